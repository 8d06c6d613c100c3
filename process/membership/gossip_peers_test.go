package membership

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestGossipGrowth guards against gossip that costs too much in a large data centre. The
// number of hosts that a host exchanges heartbeats with may grow only with the logarithm of
// the number of hosts. The state held for each other host must not grow with the number of
// endpoints. Still, load reports must reach all hosts while they are new enough to use. No
// host starts or stops, and some load reports are received with responses each second.
func TestGossipGrowth(t *testing.T) {
	const (
		length       = 3 * time.Second
		reportRate   = 40   // load reports a second
		maxStateSize = 2000 // bytes for each other host, in a data centre of 80
	)
	cases := map[string]struct{ hosts, endpoints, peers int }{
		"80 hosts, 400 endpoints":   {80, 400, 14},
		"160 hosts, 400 endpoints":  {160, 400, 16},
		"160 hosts, 1600 endpoints": {160, 1600, 16},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(c.hosts, c.endpoints)
			for _, m := range s.hosts {
				m.cfg.CallsWholeRegion = true
			}
			for range 12 {
				s.tick()
			}
			s.pairs = map[[2]netip.AddrPort]bool{}
			rnd, late := rand.New(rand.NewPCG(1, 2)), 0
			ticks := int(length / HeartbeatInterval)
			for range ticks {
				var reported []string
				for range reportRate * int(HeartbeatInterval) / int(time.Second) {
					e := s.endpoints[rnd.IntN(c.endpoints)].Name
					s.hosts[rnd.IntN(c.hosts)].cfg.Load.LoadReported(vetchtrail.Endpoint{Name: e}, vetchtrail.LoadReport{TakenAt: s.now, Running: 1})
					reported = append(reported, e)
				}
				at := s.now
				for range maxRelayedReportAge / HeartbeatInterval {
					s.tick()
				}
				for _, e := range reported {
					for _, m := range s.hosts {
						if m.cfg.Load.ReportedAt(e).Before(at) {
							late++
						}
					}
				}
			}
			assert.Assert(t, len(s.pairs) <= c.hosts*c.peers, "%d pairs of %d hosts", len(s.pairs), c.hosts)
			share := float64(late) / float64(ticks*reportRate/2*c.hosts)
			assert.Assert(t, share < 0.02, "%.3f of the load reports arrived late", share)
			for _, m := range s.hosts {
				for _, b := range m.members {
					size := len(b.sentState.shortIDs)*16 + len(b.sentState.rateLimits)*64 + len(b.relayed)*64
					assert.Assert(t, size < maxStateSize*c.hosts/80, "%d bytes of state for one other host", size)
				}
			}
			t.Logf("%.1f gossip peers for each host, %.4f of the load reports arrived late", float64(len(s.pairs))/float64(c.hosts), share)
		})
	}
}
