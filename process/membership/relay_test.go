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

// relayRun is the result of runRelays.
type relayRun struct {
	unreachable, checks int           // after settleTime: checks in which a host had the remote data centre as unreachable, and all checks
	reachedAfter        time.Duration // time from the start until all hosts could forward to the remote data centre
	relayRate           float64       // after settleTime: digests relayed each second, for each host
	startBytes          float64       // before settleTime: bytes of digests relayed each second, for each host
}

const (
	settleTime   = 12 * time.Second // from the start
	observedTime = 10 * time.Second // after settleTime
)

// runRelays simulates a data centre whose hosts all start at once. One of them receives the
// digests of a remote data centre of the same size and relays them to the others.
func runRelays(hosts int) relayRun {
	var r relayRun
	s := newSimulation(hosts, 10)
	other := newMembership("x", "other", 250)
	for n := range hosts - 1 {
		y := newMembership(fmt.Sprintf("y%03d", n), "other", byte(n))
		other.merge(y.heartbeatTo(other.self.PeerAddr, s.now), s.now)
	}
	other.cfg.Load.Configure([]load.EndpointInRegion{{Endpoint: vetchtrail.Endpoint{Name: "far", Service: "s", Slots: 4}}})
	for n := range int((settleTime + observedTime) / HeartbeatInterval) {
		s.tick()
		if n%int(DigestInterval/HeartbeatInterval) == 0 {
			s.deliverDigest(other)
		}
		if r.reachedAfter == 0 && s.allReach("other") {
			r.reachedAfter = time.Duration(n) * HeartbeatInterval
		}
		if n < int(settleTime/HeartbeatInterval) {
			s.digestCount, r.startBytes = 0, float64(s.digestBytes)/float64(hosts)/settleTime.Seconds()
			continue
		}
		for _, m := range s.hosts {
			r.checks++
			if c := m.DataCentres(s.now); len(c) != 1 || !c[0].Reachable {
				r.unreachable++
			}
		}
	}
	r.relayRate = float64(s.digestCount) / float64(hosts) / observedTime.Seconds()
	return r
}

// deliverDigest merges the digest of a remote data centre at the host that is assigned to
// exchange digests with it.
func (s *simulation) deliverDigest(other *Membership) {
	for _, m := range s.hosts {
		if m.IsAssigned("digest other", 1, s.now) {
			m.mu.Lock()
			m.mergeDigest(other.localDigest(s.now), s.now, s.now)
			m.mu.Unlock()
		}
	}
}

// TestDigestsReachAll guards against hosts to which a remote data centre is unreachable
// although another host of their data centre receives its digests. That happens in a data
// centre of hundreds if relays do not spread a digest before it is too old. After a start,
// all hosts must be able to forward to the remote data centre within 4 s: a host without
// members of it forwards nothing.
func TestDigestsReachAll(t *testing.T) {
	const reachedWithin = 4 * time.Second
	for _, hosts := range []int{20, 80, 160} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			r := runRelays(hosts)
			t.Logf("unreachable in %d of %d checks, %.1f digests relayed a second and host, all hosts reach it after %s", r.unreachable, r.checks, r.relayRate, r.reachedAfter)
			assert.Assert(t, r.unreachable*100 <= r.checks, "unreachable in %d of %d checks", r.unreachable, r.checks)
			assert.Assert(t, r.relayRate <= RelayFanout+1, "%.1f digests relayed a second and host", r.relayRate)
			assert.Assert(t, r.reachedAfter > 0 && r.reachedAfter <= reachedWithin, "all hosts reach it after %s", r.reachedAfter)
		})
	}
}

// TestDigestsAtStart guards against a flood of digests while all hosts start. The members
// of a data centre change all the time then, and the size of a digest with members grows
// with their number. The digests alone must not take more bytes than all control traffic of
// a host may.
func TestDigestsAtStart(t *testing.T) {
	const maxBytes = 4096 // a second and host
	for _, hosts := range []int{20, 80, 160} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			r := runRelays(hosts)
			assert.Assert(t, r.startBytes <= maxBytes, "%.0f bytes a second and host", r.startBytes)
		})
	}
}

// allReach reports whether all hosts can forward requests to a data centre.
func (s *simulation) allReach(dataCentre string) bool {
	for _, m := range s.hosts {
		m.mu.Lock()
		d, ok := m.remotes[dataCentre]
		reaches := ok && s.now.Sub(d.digestTime) < reachableFor && len(m.forwardTargets(d, "s", s.now)) > 0
		m.mu.Unlock()
		if !reaches {
			return false
		}
	}
	return true
}

// TestSmallDataCentreReachable guards against a host that reports a data centre as
// reachable but has no host there to forward to, since digests may be relayed without
// members. Digests of a small data centre must be relayed with members, so that the host can
// forward at once. Those of a large one must be sent with members on request.
func TestSmallDataCentreReachable(t *testing.T) {
	cases := map[string]struct {
		hosts   int
		reaches bool
	}{
		"small data centre": {maxInlineMembers, true},
		"large data centre": {maxInlineMembers + 1, false}, // until the members were requested
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, b, x := newMembership("a", "dc", 1), newMembership("b", "dc", 2), newMembership("x", "other", 9)
			x.cfg.Load.Configure([]load.EndpointInRegion{{Endpoint: vetchtrail.Endpoint{Name: "far", Service: "s", Slots: 4}}})
			for n := range c.hosts - 1 {
				x.merge(newMembership(fmt.Sprint("y", n), "other", byte(n+10)).heartbeatTo(x.self.PeerAddr, now), now)
			}
			exchange(a, b, now)
			a.mergeDigestReply(&schema.Digests{Digest: x.localDigest(now)}, now, now)
			b.merge(a.heartbeatTo(b.self.PeerAddr, now), now)
			_, picked := b.Pick("other", "s", now)
			assert.Equal(t, picked, c.reaches)
			assert.Equal(t, b.DataCentres(now)[0].Reachable, c.reaches)
			exchange(b, a, now.Add(time.Second))
			_, picked = b.Pick("other", "s", now.Add(time.Second))
			assert.Assert(t, picked, "the members were requested")
		})
	}
}
