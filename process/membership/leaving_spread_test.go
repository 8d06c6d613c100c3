package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
)

// TestLeavingEndpointSpreads guards against hosts that still send requests to an endpoint
// after it announced to another host that it is leaving. The announcement must reach all hosts
// of the data centre within three seconds. Even if a tenth of a region's thousands of endpoints
// leave within a minute, the messages must take far fewer bytes than all control traffic may.
func TestLeavingEndpointSpreads(t *testing.T) {
	const (
		knownWithin = 3 * time.Second // required by the operators
		maxBytes    = 2000            // a second and host, of 4,000 for all control traffic
		length      = 20 * time.Second
	)
	cases := map[string]struct{ hosts, endpoints, leave int }{
		"8 hosts":  {8, 40, 2},
		"60 hosts": {60, 400, 14},
		"77 hosts, a tenth of 4,000 endpoints in a minute": {77, 134, 134},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(c.hosts, c.endpoints)
			for range 12 { // until all hosts know each other
				s.tick()
			}
			s.leavingBytes = 0
			rnd, ticks, slowest := rand.New(rand.NewPCG(1, 2)), int(length/HeartbeatInterval), time.Duration(0)
			announced, pending := 0, map[string]time.Time{} // pending: time of the announcement, by endpoint, until it has reached all hosts
			for n := range ticks {
				for ; announced < c.leave*(n+1)/ticks; announced++ {
					e := s.endpoints[announced].Name
					pending[e] = s.now
					s.hosts[rnd.IntN(c.hosts)].cfg.Load.RecordAnnouncement(e, time.Time{}, vetchtrail.Availability{Leaving: true, RequestedAt: s.now, ReceivedAt: s.now})
				}
				s.tick()
				for e, at := range pending {
					slowest = max(slowest, s.now.Sub(at))
					if s.allKnowLeaving(e) {
						delete(pending, e)
					}
				}
			}
			hostBytes := s.leavingBytes / c.hosts / int(length/time.Second)
			t.Logf("known by all hosts within %s, %d bytes a second and host", slowest, hostBytes)
			assert.Assert(t, slowest <= knownWithin, "known by all hosts within %s", slowest)
			assert.Assert(t, hostBytes <= maxBytes, "%d bytes a second and host", hostBytes)
		})
	}
}

// simulation is a data centre whose hosts exchange heartbeats in virtual time.
type simulation struct {
	now          time.Time
	hosts        []*Membership
	byAddr       map[netip.AddrPort]*Membership
	endpoints    []vetchtrail.Endpoint
	leavingBytes int                        // bytes sent about leaving endpoints
	digestCount  int                        // digests relayed
	digestBytes  int                        // bytes of the digests relayed
	pairs        map[[2]netip.AddrPort]bool // hosts that sent and received a heartbeat; nil to not record them
}

// newSimulation returns a data centre whose hosts all have the first as a seed, and which
// all know the endpoints.
func newSimulation(hosts, endpoints int) *simulation {
	s := &simulation{now: time.Now(), byAddr: map[netip.AddrPort]*Membership{}}
	var placed []load.EndpointInRegion
	for n := range endpoints {
		e := vetchtrail.Endpoint{Name: fmt.Sprintf("i-%010x", n*7919), Service: "s", Slots: 4}
		s.endpoints = append(s.endpoints, e)
		placed = append(placed, load.EndpointInRegion{Endpoint: e})
	}
	for n := range hosts {
		m := newMembership(fmt.Sprint("h", n), "dc", byte(n+1))
		m.cfg.Load.Configure(placed)
		m.cfg.LeavingEndpoints = &leavingRecorder{table: m.cfg.Load}
		if n > 0 {
			m.seeds = []netip.AddrPort{s.hosts[0].self.PeerAddr}
		}
		s.hosts = append(s.hosts, m)
		s.byAddr[m.self.PeerAddr] = m
	}
	return s
}

// tick advances the time by a HeartbeatInterval and has each host send its heartbeats.
func (s *simulation) tick() {
	s.now = s.now.Add(HeartbeatInterval)
	for _, m := range s.hosts {
		m.cfg.LeavingEndpoints.(*leavingRecorder).at = s.now
	}
	for _, m := range s.hosts {
		for _, addr := range m.heartbeatTargets(s.now) {
			to := s.byAddr[addr]
			if s.pairs != nil {
				s.pairs[[2]netip.AddrPort{m.self.PeerAddr, addr}] = true
			}
			request := m.heartbeatTo(addr, s.now)
			to.merge(request, s.now)
			reply := to.newHeartbeat(to.members[m.self.Name], s.now)
			m.merge(reply, s.now)
			s.digestCount += len(request.GetDigests()) + len(reply.GetDigests())
			for _, d := range append(request.GetDigests(), reply.GetDigests()...) {
				s.digestBytes += proto.Size(d)
			}
			for _, l := range append(request.GetLeaves(), reply.GetLeaves()...) {
				s.leavingBytes += proto.Size(l) + 2 // with the tag and length of the field
			}
		}
	}
}

// allKnowLeaving reports whether all hosts know that an endpoint is leaving.
func (s *simulation) allKnowLeaving(name string) bool {
	for _, m := range s.hosts {
		if reason, _ := m.cfg.Load.Blocked(name, s.now); reason == "" {
			return false
		}
	}
	return true
}
