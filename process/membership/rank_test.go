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

// TestRank guards against two hosts of a region with the same rank for a task although all
// know each other by heartbeats and digests, and against ranks that count hosts of an
// unreachable data centre.
func TestRank(t *testing.T) {
	var all []*Membership
	for i := range 6 {
		m := newMembership(fmt.Sprint("h", i), fmt.Sprint("dc", i%2), byte(i+1))
		m.self.Region = "r"
		all = append(all, m)
	}
	for _, a := range all {
		for _, b := range all {
			if a != b && a.self.DataCentre == b.self.DataCentre {
				exchange(a, b, now)
			}
		}
	}
	for _, a := range all {
		for _, b := range all {
			if a.self.DataCentre != b.self.DataCentre {
				a.mergeDigestReply(&schema.Digests{Digest: b.localDigest(now)}, now, now)
			}
		}
	}
	ranks := map[int]string{}
	for _, m := range all {
		region, dataCentre := m.Rank("duty", now)
		ranks[region] = m.self.Name
		assert.Assert(t, dataCentre <= region && dataCentre < 3)
	}
	assert.Equal(t, len(ranks), 6, "%v", ranks)
	for _, m := range all {
		first := m.FirstOthers("duty", 1, now)[0].Name
		if m.self.Name != ranks[0] {
			assert.Equal(t, first, ranks[0])
		} else {
			assert.Equal(t, first, ranks[1])
		}
	}
	region, dataCentre := all[0].Rank("duty", now.Add(reachableFor))
	assert.Equal(t, region, dataCentre, "the other data centre is unreachable")
}

// TestIntroduced guards against hosts of one data centre that never find each other, as
// their only seed is in a remote data centre. The seed must introduce them.
func TestIntroduced(t *testing.T) {
	seed := newMembership("seed", "other", 9)
	first, second := newMembership("a", "dc", 1), newMembership("b", "dc", 2)
	exchangeWithSeed := func(m *Membership, at time.Time) {
		reply := seed.HandleDigests(&schema.Digests{From: m.self.Name, Digest: withoutMembers(m.localDigest(at))})
		m.mergeDigestReply(reply, at, at)
		if reply.GetWantMembers() { // as exchangeDigests does
			seed.HandleDigests(&schema.Digests{From: m.self.Name, Digest: m.localDigest(at)})
		}
	}
	exchangeWithSeed(first, now)
	assert.Equal(t, len(first.heartbeatTargets(now)), 0, "no other host is known yet")
	exchangeWithSeed(second, now.Add(time.Second))
	assert.DeepEqual(t, fmt.Sprint(second.heartbeatTargets(now)), fmt.Sprintf("[%s]", first.self.PeerAddr))
	exchange(second, first, now.Add(time.Second))
	assert.Equal(t, len(second.pendingIntroduced()), 0, "the introduced host is known now")
	second.mu.Lock()
	second.recordIntroduced([]string{"not an address"})
	second.mu.Unlock()
	assert.Equal(t, len(second.pendingIntroduced()), 0)
}

// TestUnlistedHostRanksLast guards against a task that too many hosts do because a host that
// the platform does not list does it in addition to the listed ones.
func TestUnlistedHostRanksLast(t *testing.T) {
	m := newMembership("a", "dc", 1)
	assert.Equal(t, m.ListedRank("duty", now), 0, "no host is listed")
	m.SetListedHosts([]vetchtrail.Host{{Name: "b", Region: "elsewhere"}})
	assert.Equal(t, m.ListedRank("duty", now), 0, "no host of the region is listed")
	m.SetListedHosts([]vetchtrail.Host{{Name: "b", Region: m.self.Region}})
	assert.Assert(t, m.ListedRank("duty", now) > 100)
}

// TestRelayedLoads guards against load reports that are relayed without need, or not at all.
// Where reports come only with responses, a host must also relay those of other hosts while
// they are new. Where hosts poll endpoints, it must send only those that it fetched itself.
// Either way a report must be sent once to each host.
func TestRelayedLoads(t *testing.T) {
	cases := map[string]struct {
		wholeRegion bool
		age         time.Duration
		fetched     bool // by this host; else received from another
		want        int
	}{
		"whole region, new report of another host": {true, time.Second, false, 1},
		"whole region, old report of another host": {true, maxRelayedReportAge, false, 0},
		"whole region, new fetched report":         {true, time.Second, true, 1},
		"polling, new report of another host":      {false, time.Second, false, 0},
		"polling, new fetched report":              {false, time.Second, true, 1},
		"polling, old fetched report":              {false, maxRelayedReportAge, true, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := newMembership("a", "dc", 1)
			m.cfg.CallsWholeRegion = c.wholeRegion
			m.cfg.Load.Configure([]load.EndpointInRegion{{Endpoint: vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 4}}})
			r := vetchtrail.LoadReport{TakenAt: now.Add(-c.age), Running: 3}
			if c.fetched {
				m.cfg.Load.RecordReport("e", r, time.Time{})
			} else {
				m.cfg.Load.RecordReportByHash(load.NameHash("e"), r, time.Time{})
			}
			to := &sentState{}
			assert.Equal(t, len(m.loadsFor(to, now)), c.want)
			assert.Equal(t, len(m.loadsFor(to, now)), 0, "sent twice")
		})
	}
}
