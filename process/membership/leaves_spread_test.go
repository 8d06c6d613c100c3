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

// TestLeavesSpread: the hosts of a data centre know within three seconds that an endpoint leaves, whoever heard it, and
// what it costs where a tenth of a region's thousands of endpoints leave within a minute stays well below what all
// control may take.
func TestLeavesSpread(t *testing.T) {
	const (
		knownIn   = 3 * time.Second // as the operators ask
		mostBytes = 2000            // a second and host, of 4,000 for all control
		length    = 20 * time.Second
	)
	cases := map[string]struct{ hosts, endpoints, leave int }{
		"8 hosts":  {8, 40, 2},
		"60 hosts": {60, 400, 14},
		"77 hosts, a tenth of 4,000 endpoints in a minute": {77, 134, 134},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newGossip(c.hosts, c.endpoints)
			for range 12 { // until all have met
				f.tick()
			}
			f.bytes = 0
			rnd, ticks, slowest := rand.New(rand.NewPCG(1, 2)), int(length/Tick), time.Duration(0)
			said, open := 0, map[string]time.Time{}
			for n := range ticks {
				for ; said < c.leave*(n+1)/ticks; said++ {
					e := f.endpoints[said].Name
					open[e] = f.now
					f.hosts[rnd.IntN(c.hosts)].cfg.Load.HearNotice(e, time.Time{}, vetchtrail.Notice{Leaving: true, Asked: f.now, Heard: f.now})
				}
				f.tick()
				for e, at := range open {
					slowest = max(slowest, f.now.Sub(at))
					if f.known(e) {
						delete(open, e)
					}
				}
			}
			each := f.bytes / c.hosts / int(length/time.Second)
			t.Logf("known by all within %s, %d bytes a second and host", slowest, each)
			assert.Assert(t, slowest <= knownIn, "%s", slowest)
			assert.Assert(t, each <= mostBytes, "%d", each)
		})
	}
}

// gossip is a data centre whose hosts exchange heartbeats on virtual time.
type gossip struct {
	now         time.Time
	hosts       []*Membership
	byAddr      map[netip.AddrPort]*Membership
	endpoints   []vetchtrail.Endpoint
	bytes       int // of words on endpoints that leave
	digests     int // that were passed on
	digestBytes int
	met         map[[2]netip.AddrPort]bool // pairs of hosts that exchanged heartbeats; nil: not noted
}

func newGossip(hosts, endpoints int) *gossip {
	f := &gossip{now: time.Now(), byAddr: map[netip.AddrPort]*Membership{}}
	var placed []load.Placed
	for n := range endpoints {
		e := vetchtrail.Endpoint{Name: fmt.Sprintf("i-%010x", n*7919), Service: "s", Slots: 4}
		f.endpoints = append(f.endpoints, e)
		placed = append(placed, load.Placed{Endpoint: e})
	}
	for n := range hosts {
		m := newMember(fmt.Sprint("h", n), "dc", byte(n+1))
		m.cfg.Load.Configure(placed)
		m.cfg.Notices = &leaver{table: m.cfg.Load}
		if n > 0 {
			m.seeds = []netip.AddrPort{f.hosts[0].self.Peers}
		}
		f.hosts = append(f.hosts, m)
		f.byAddr[m.self.Peers] = m
	}
	return f
}

// tick has each host exchange heartbeats once.
func (f *gossip) tick() {
	f.now = f.now.Add(Tick)
	for _, m := range f.hosts {
		m.cfg.Notices.(*leaver).at = f.now
	}
	for _, m := range f.hosts {
		for _, addr := range m.targets(f.now) {
			to := f.byAddr[addr]
			if f.met != nil {
				f.met[[2]netip.AddrPort{m.self.Peers, addr}] = true
			}
			there := m.heartbeat(addr, f.now)
			to.merge(there, f.now)
			back := to.message(to.members[m.self.Name], f.now)
			m.merge(back, f.now)
			f.digests += len(there.GetDigests()) + len(back.GetDigests())
			for _, d := range append(there.GetDigests(), back.GetDigests()...) {
				f.digestBytes += proto.Size(d)
			}
			for _, l := range append(there.GetLeaves(), back.GetLeaves()...) {
				f.bytes += proto.Size(l) + 2
			}
		}
	}
}

// known says whether all hosts know that an endpoint leaves.
func (f *gossip) known(name string) bool {
	for _, m := range f.hosts {
		if why, _ := m.cfg.Load.Bars(name, f.now); why == "" {
			return false
		}
	}
	return true
}
