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

// digestsPlay is a data centre whose hosts start at once, with another as large that one host swaps for.
type digestsPlay struct {
	late, looks int           // at which a host had no new digest, once they are settled
	reached     time.Duration // when all knew hosts there
	passed      float64       // digests a second and host, once they are settled
	start       float64       // bytes of digests a second and host before
}

const (
	digestsSettle = 12 * time.Second
	digestsLength = 10 * time.Second
)

func playDigests(hosts int) digestsPlay {
	var p digestsPlay
	f := newGossip(hosts, 10)
	other := newMember("x", "other", 250)
	for n := range hosts - 1 {
		y := newMember(fmt.Sprintf("y%03d", n), "other", byte(n))
		other.merge(y.heartbeat(other.self.Peers, f.now), f.now)
	}
	other.cfg.Load.Configure([]load.Placed{{Endpoint: vetchtrail.Endpoint{Name: "far", Service: "s", Slots: 4}}})
	for n := range int((digestsSettle + digestsLength) / Tick) {
		f.tick()
		if n%int(SwapTick/Tick) == 0 {
			f.swapWith(other)
		}
		if p.reached == 0 && f.allReach("other") {
			p.reached = time.Duration(n) * Tick
		}
		if n < int(digestsSettle/Tick) {
			f.digests, p.start = 0, float64(f.digestBytes)/float64(hosts)/digestsSettle.Seconds()
			continue
		}
		for _, m := range f.hosts {
			p.looks++
			if c := m.DataCentres(f.now); len(c) != 1 || !c[0].Reachable {
				p.late++
			}
		}
	}
	p.passed = float64(f.digests) / float64(hosts) / digestsLength.Seconds()
	return p
}

// swapWith has the host whose duty it is swap with another data centre.
func (f *gossip) swapWith(other *Membership) {
	for _, m := range f.hosts {
		if m.OnDuty("digest other", 1, f.now) {
			m.mu.Lock()
			m.mergeDigest(other.ownDigest(f.now), f.now, f.now)
			m.mu.Unlock()
		}
	}
}

// TestDigestsReachAll: every host of a data centre can reach the others by digests that are new, though one host
// swaps for each: also where it is one of hundreds. Hosts that start at once know hosts there within 4 s: one that knows
// none passes nothing on.
func TestDigestsReachAll(t *testing.T) {
	const reached = 4 * time.Second
	for _, hosts := range []int{20, 80, 160} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			p := playDigests(hosts)
			t.Logf("%d of %d looks found no new digest, %.1f passed on a second and host, all reach it after %s", p.late, p.looks, p.passed, p.reached)
			assert.Assert(t, p.late*100 <= p.looks, "%d of %d looks", p.late, p.looks)
			assert.Assert(t, p.passed <= PassEach+1, "%.1f digests a second and host", p.passed)
			assert.Assert(t, p.reached > 0 && p.reached <= reached, "all reach it after %s", p.reached)
		})
	}
}

// TestDigestsAtStart: also while all hosts start, the digests of a data centre as large take no more bytes a second than
// all control may.
func TestDigestsAtStart(t *testing.T) {
	const most = 4096
	for _, hosts := range []int{20, 80, 160} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			p := playDigests(hosts)
			assert.Assert(t, p.start <= most, "%.0f bytes a second and host", p.start)
		})
	}
}

// allReach says whether all hosts can pass requests on to a data centre.
func (f *gossip) allReach(dataCentre string) bool {
	for _, m := range f.hosts {
		m.mu.Lock()
		d, ok := m.remotes[dataCentre]
		reaches := ok && f.now.Sub(d.at) < reachableFor && len(m.takers(d, f.now)) > 0
		m.mu.Unlock()
		if !reaches {
			return false
		}
	}
	return true
}

// TestFewMembers: a host that is handed on a digest of a small data centre can pass requests there at once; and one
// that knows no host there doesn't say that it reaches it.
func TestFewMembers(t *testing.T) {
	cases := map[string]struct {
		hosts   int
		reaches bool
	}{
		"a small data centre": {fewMembers, true},
		"a large one":         {fewMembers + 1, false}, // until it has asked
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, b, x := newMember("a", "dc", 1), newMember("b", "dc", 2), newMember("x", "other", 9)
			x.cfg.Load.Configure([]load.Placed{{Endpoint: vetchtrail.Endpoint{Name: "far", Service: "s", Slots: 4}}})
			for n := range c.hosts - 1 {
				x.merge(newMember(fmt.Sprint("y", n), "other", byte(n+10)).heartbeat(x.self.Peers, now), now)
			}
			swap(a, b, now)
			a.swapped(&schema.Digests{Digest: x.ownDigest(now)}, now, now)
			b.merge(a.heartbeat(b.self.Peers, now), now)
			_, picked := b.Pick("other", "s", now)
			assert.Equal(t, picked, c.reaches)
			assert.Equal(t, b.DataCentres(now)[0].Reachable, c.reaches)
			swap(b, a, now.Add(time.Second))
			_, picked = b.Pick("other", "s", now.Add(time.Second))
			assert.Assert(t, picked, "it asked for them")
		})
	}
}
