package quotas

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/request/quota"
	"vetchtrail/schema"
	"vetchtrail/version/rules"
)

// network joins the quotas of some hosts in one process.
type network struct {
	mu    sync.Mutex
	hosts []vetchtrail.Host
	at    map[netip.AddrPort]*Quotas
	cut   map[string]bool // hosts that reach nobody
	asks  int
}

// port is a host's view of the network.
type port struct {
	net  *network
	name string
}

func (p port) reach(addr netip.AddrPort) (*Quotas, error) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.net.asks++
	to := p.net.at[addr]
	if p.net.cut[p.name] || p.net.cut[to.cfg.Self.Name] {
		return nil, errors.New("cut off")
	}
	return to, nil
}

func (p port) Grant(_ context.Context, addr netip.AddrPort, m *schema.GrantRequest) (*schema.GrantReply, error) {
	to, err := p.reach(addr)
	if err != nil {
		return nil, err
	}
	return to.Granted(m), nil
}

func (p port) Claim(_ context.Context, addr netip.AddrPort, m *schema.Claims) (*schema.Claims, error) {
	to, err := p.reach(addr)
	if err != nil {
		return nil, err
	}
	return to.Claimed(m), nil
}

func (p port) RankedIn(region, _ string, n int, _ time.Time) []vetchtrail.Host {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	var out []vetchtrail.Host
	for _, h := range p.net.hosts {
		if h.Region == region && len(out) < n {
			out = append(out, h)
		}
	}
	return out
}

func (p port) Count() int                  { return len(p.net.hosts) }
func (p port) HeardPart(time.Time) float64 { return 1 }

// virtual runs a test on virtual time: demand fades with time, however slow the machine is.
func virtual(t *testing.T, name string, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

// join makes hosts of three regions that hold one workspace with a quota.
func join(t *testing.T, way string, q vetchtrail.Quota, each int) (*network, []*Quotas) {
	t.Helper()
	var edits []vetchtrail.Edit
	for i, name := range []string{"a", "b", "c"} {
		edits = append(edits, vetchtrail.PutRegion{Region: vetchtrail.Region{ID: vetchtrail.RegionID(i), Name: name, DataCentres: []string{name + "-1"}}})
	}
	held, err := rules.Restore(append(edits, vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "w", Quota: q}}), 1)
	assert.NilError(t, err)
	n := &network{at: map[netip.AddrPort]*Quotas{}, cut: map[string]bool{}}
	var out []*Quotas
	for i := range 3 * each {
		region := string(rune('a' + i%3))
		h := vetchtrail.Host{Name: fmt.Sprint(region, i), Region: region, Peers: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))}
		one := New(Config{
			Self: h, Bounds: func() Bounds { return held }, Hosts: port{n, h.Name}, Peers: port{n, h.Name}, Way: way,
			Tolerance: quota.Tolerance{Window: 8 * time.Second, Overage: 0.1}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		n.hosts, n.at[h.Peers] = append(n.hosts, h), one
		out = append(out, one)
	}
	return n, out
}

// TestTake: what hosts of three regions let through at once of a workspace's quota, and what
// is told to who is refused.
func TestTake(t *testing.T) {
	bound := vetchtrail.Quota{Rate: 100, Burst: 100}
	cases := map[string]struct {
		way       string
		cut       []string // hosts that reach nobody
		least     int      // of 600 requests at once
		most      int
		reachable bool
	}{
		"leased":             {WayLeased, nil, 20, 150, true},
		"told":               {WayTold, nil, 10, 150, true},
		"equal":              {WayEqual, nil, 10, 150, true},
		"leased, one is cut": {WayLeased, []string{"a3"}, 20, 150, true},
		"all are cut":        {WayLeased, []string{"a0", "b1", "c2", "a3", "b4", "c5"}, 5, 150, true},
	}
	for name, c := range cases {
		virtual(t, name, func(t *testing.T) {
			n, hosts := join(t, c.way, bound, 2)
			for _, h := range c.cut {
				n.cut[h] = true
			}
			through := 0
			for i := range 600 {
				v := hosts[i%len(hosts)].Take(context.Background(), "w", 1)
				if v.Granted {
					through++
					continue
				}
				assert.Assert(t, v.RetryAt.After(time.Now().Add(-time.Second)), "no time to come back: %v", v)
			}
			assert.Assert(t, through >= c.least && through <= c.most, "%d of 600", through)
		})
	}
}

// TestAlone: a host that reaches no keeper lets through its equal part, and no more.
func TestAlone(t *testing.T) { virtual(t, "cut", testAlone) }

func testAlone(t *testing.T) {
	n, hosts := join(t, WayLeased, vetchtrail.Quota{Rate: 900, Burst: 900}, 3)
	alone := hosts[6] // the third of its region, which keeps no quota
	n.cut[alone.cfg.Self.Name] = true
	through := 0
	for range 1000 {
		if alone.Take(context.Background(), "w", 1).Granted {
			through++
		}
	}
	assert.Assert(t, through > 20 && through < 150, "%d of 1000", through)
}

// TestReturn: what did not run is there for others.
func TestReturn(t *testing.T) {
	for _, way := range Ways {
		virtual(t, way, func(t *testing.T) {
			_, hosts := join(t, way, vetchtrail.Quota{Rate: 0.001, Burst: 100}, 1)
			through := 0
			for range 400 {
				if hosts[0].Take(context.Background(), "w", 1).Granted {
					hosts[0].Return("w", 1)
					through++
				}
			}
			assert.Equal(t, through, 400)
		})
	}
}

// TestUnbounded: a workspace without a quota costs nobody a message.
func TestUnbounded(t *testing.T) {
	n, hosts := join(t, WayLeased, vetchtrail.Quota{}, 2)
	for range 100 {
		assert.Assert(t, hosts[3].Take(context.Background(), "w", 1e9).Granted)
	}
	assert.Equal(t, n.asks, 0)
}

// TestClaims: a region whose callers ask for all of a quota gets the parts of the others
// once they have swapped claims; one that can't be reached keeps its part.
func TestClaims(t *testing.T) {
	cases := map[string]struct {
		cut  bool // region c reaches nobody from the start
		part [2]float64
	}{
		"all in touch":        {false, [2]float64{0.9, 1}},
		"one was never heard": {true, [2]float64{0.3, 0.45}},
	}
	for name, c := range cases {
		virtual(t, name, func(t *testing.T) {
			n, hosts := join(t, WayLeased, vetchtrail.Quota{Rate: 1000, Burst: 1000}, 1)
			n.cut["c2"] = c.cut
			for range 3 {
				hosts[0].Take(context.Background(), "w", 1500)
				for _, h := range hosts {
					h.swap(context.Background(), time.Now())
				}
				time.Sleep(20 * time.Millisecond)
			}
			hosts[0].mu.Lock()
			part := hosts[0].keepers["w"].RegionSplit.RegionRate(1000, 5000) / 1000
			hosts[0].mu.Unlock()
			assert.Assert(t, part >= c.part[0] && part <= c.part[1], "%.2f", part)
		})
	}
}

// TestForget: what is held for a workspace that nobody asks for any more is dropped.
func TestForget(t *testing.T) {
	virtual(t, "a minute later", func(t *testing.T) {
		_, hosts := join(t, WayLeased, vetchtrail.Quota{Rate: 100, Burst: 100}, 1)
		hosts[0].Take(context.Background(), "w", 1)
		hosts[0].forget(time.Now(), time.Now())
		assert.Equal(t, len(hosts[0].held), 1)
		hosts[0].forget(time.Now().Add(2*time.Minute), time.Now().Add(2*time.Minute))
		assert.Equal(t, len(hosts[0].held), 0)
	})
}

// TestSuspendedHolder: what a host was granted before it was suspended is void when it wakes:
// its keeper has granted the same room to others since.
func TestSuspendedHolder(t *testing.T) {
	cases := map[string]struct {
		asleep time.Duration
		spends bool
	}{
		"awake":                      {0, true},
		"suspended for a moment":     {100 * time.Millisecond, true},
		"suspended for five seconds": {5 * time.Second, false},
	}
	for name, c := range cases {
		virtual(t, name, func(t *testing.T) {
			began := time.Now()
			asleep := time.Duration(0)
			clock := func() time.Time { return time.Unix(5000, 0).Add(time.Since(began) + asleep) }
			q := New(Config{Clock: clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
			h := q.heldOf("w")
			a := h.holder.NewRequest("w", 0, 0, clock())
			h.holder.ApplyReply(a, quota.LeaseReply{Units: 10, ExpiresAt: clock().Add(500 * time.Millisecond)}, clock())
			asleep = c.asleep
			assert.Equal(t, h.holder.Spend(1, q.cfg.Clock()), c.spends)
			steady := time.Now()
			g := rebased(quota.LeaseReply{ExpiresAt: steady.Add(time.Second)}, steady, clock())
			left := g.ExpiresAt.Sub(clock())
			assert.Assert(t, left > 900*time.Millisecond && left <= time.Second && g.RetryAt.IsZero(), "%s", left)
			v := h.verdict(false, clock().Add(300*time.Millisecond), clock())
			assert.Assert(t, time.Until(v.RetryAt) > 200*time.Millisecond && time.Until(v.RetryAt) <= 300*time.Millisecond, "%s", time.Until(v.RetryAt))
		})
	}
}
