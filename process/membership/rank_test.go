package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/schema"
)

// TestRank: the hosts of a region, over its data centres, have ranks of their own for a
// duty, and those that can't be reached none.
func TestRank(t *testing.T) {
	var all []*Membership
	for i := range 6 {
		m := newMember(fmt.Sprint("h", i), fmt.Sprint("dc", i%2), byte(i+1))
		m.self.Region = "r"
		all = append(all, m)
	}
	for _, a := range all {
		for _, b := range all {
			if a != b && a.self.DataCentre == b.self.DataCentre {
				swap(a, b, now)
			}
		}
	}
	for _, a := range all {
		for _, b := range all {
			if a.self.DataCentre != b.self.DataCentre {
				a.swapped(&schema.Digests{Digest: b.ownDigest(now)}, now, now)
			}
		}
	}
	ranks := map[int]string{}
	for _, m := range all {
		region, centre := m.Rank("duty", now)
		ranks[region] = m.self.Name
		assert.Assert(t, centre <= region && centre < 3)
	}
	assert.Equal(t, len(ranks), 6, "%v", ranks)
	for _, m := range all {
		first := m.Ranked("duty", 1, now)[0].Name
		if m.self.Name != ranks[0] {
			assert.Equal(t, first, ranks[0])
		} else {
			assert.Equal(t, first, ranks[1])
		}
	}
	region, centre := all[0].Rank("duty", now.Add(reachableFor))
	assert.Equal(t, region, centre, "the other data centre is out of reach")
}

// TestIntroduced: a host whose settings name peers of another data centre only finds
// those of its own through them.
func TestIntroduced(t *testing.T) {
	seed := newMember("seed", "other", 9)
	first, second := newMember("a", "dc", 1), newMember("b", "dc", 2)
	meet := func(m *Membership, at time.Time) {
		first := seed.Swapped(&schema.Digests{From: m.self.Name, Digest: withoutMembers(m.ownDigest(at))})
		m.swapped(first, at, at)
		if first.GetWantMembers() { // as a host does that is asked for them
			seed.Swapped(&schema.Digests{From: m.self.Name, Digest: m.ownDigest(at)})
		}
	}
	meet(first, now)
	assert.Equal(t, len(first.targets(now)), 0, "nobody else is known yet")
	meet(second, now.Add(time.Second))
	assert.DeepEqual(t, fmt.Sprint(second.targets(now)), fmt.Sprintf("[%s]", first.self.Peers))
	swap(second, first, now.Add(time.Second))
	assert.Equal(t, len(second.toMeet()), 0, "it is known now")
	second.mu.Lock()
	second.meet([]string{"not an address"})
	second.mu.Unlock()
	assert.Equal(t, len(second.toMeet()), 0)
}

// TestUnlistedGoBehind: a host that the platform does not list has no part in what only
// the listed may do.
func TestUnlistedGoBehind(t *testing.T) {
	m := newMember("a", "dc", 1)
	assert.Equal(t, m.Before("duty", now), 0, "nobody is listed")
	m.SetListed([]vetchtrail.Host{{Name: "b", Region: "elsewhere"}})
	assert.Equal(t, m.Before("duty", now), 0, "nobody of its region is listed")
	m.SetListed([]vetchtrail.Host{{Name: "b", Region: m.self.Region}})
	assert.Assert(t, m.Before("duty", now) > 100)
}

// TestRelayedLoads: where answers alone tell of loads, a host passes on what others told
// it while that is new, once to each host; else only what it fetched itself.
func TestRelayedLoads(t *testing.T) {
	cases := map[string]struct {
		whole   bool
		age     time.Duration
		fetched bool // by this host
		want    int
	}{
		"told by another":             {true, time.Second, false, 1},
		"told long ago":               {true, relayedFor, false, 0},
		"fetched":                     {true, time.Second, true, 1},
		"another's duty":              {false, time.Second, false, 0},
		"this host's duty":            {false, time.Second, true, 1},
		"this host's duty, long past": {false, relayedFor, true, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newMember("a", "dc", 1)
			m.cfg.WholeRegion = c.whole
			m.cfg.Load.Configure([]load.Placed{{Endpoint: vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 4}}})
			r := vetchtrail.LoadReport{At: now.Add(-c.age), Running: 3}
			if c.fetched {
				m.cfg.Load.Report("e", r, time.Time{})
			} else {
				m.cfg.Load.ReportShort(load.Short("e"), r, time.Time{})
			}
			to := &told{}
			assert.Equal(t, len(m.loadsFor(to, now)), c.want)
			assert.Equal(t, len(m.loadsFor(to, now)), 0, "it was told")
		})
	}
}
