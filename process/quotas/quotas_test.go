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

// network connects the Quotas of several hosts in one process.
type network struct {
	mu          sync.Mutex
	hosts       []vetchtrail.Host
	byAddr      map[netip.AddrPort]*Quotas // by the address for peers
	partitioned map[string]bool            // hosts that are partitioned from all others
	messages    int                        // number of requests between hosts
}

// hostView is the network as one host sees it. It implements Hosts and Peers.
type hostView struct {
	net  *network
	name string
}

// reach returns the Quotas at an address, or an error if the network is partitioned.
func (v hostView) reach(addr netip.AddrPort) (*Quotas, error) {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	v.net.messages++
	to := v.net.byAddr[addr]
	if v.net.partitioned[v.name] || v.net.partitioned[to.cfg.Self.Name] {
		return nil, errors.New("host is partitioned")
	}
	return to, nil
}

func (v hostView) RequestQuotaLease(_ context.Context, addr netip.AddrPort, m *schema.GrantRequest) (*schema.GrantReply, error) {
	to, err := v.reach(addr)
	if err != nil {
		return nil, err
	}
	return to.HandleLeaseRequest(m), nil
}

func (v hostView) ExchangeDemand(_ context.Context, addr netip.AddrPort, m *schema.Claims) (*schema.Claims, error) {
	to, err := v.reach(addr)
	if err != nil {
		return nil, err
	}
	return to.HandleDemand(m), nil
}

func (v hostView) FirstInRegion(region, _ string, n int, _ time.Time) []vetchtrail.Host {
	v.net.mu.Lock()
	defer v.net.mu.Unlock()
	var out []vetchtrail.Host
	for _, h := range v.net.hosts {
		if h.Region == region && len(out) < n {
			out = append(out, h)
		}
	}
	return out
}

func (v hostView) Count() int                  { return len(v.net.hosts) }
func (v hostView) SeenShare(time.Time) float64 { return 1 }

// onVirtualTime runs a test on virtual time, as demand decays with time and the result must
// not depend on the speed of the machine.
func onVirtualTime(t *testing.T, name string, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

// newNetwork returns hosts in three regions, with one workspace that has the given quota.
func newNetwork(t *testing.T, strategy string, q vetchtrail.Quota, hostsPerRegion int) (*network, []*Quotas) {
	t.Helper()
	var edits []vetchtrail.Edit
	for i, name := range []string{"a", "b", "c"} {
		edits = append(edits, vetchtrail.PutRegion{Region: vetchtrail.Region{ID: vetchtrail.RegionID(i), Name: name, DataCentres: []string{name + "-1"}}})
	}
	configuration, err := rules.Restore(append(edits, vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "w", Quota: q}}), 1)
	assert.NilError(t, err)
	n := &network{byAddr: map[netip.AddrPort]*Quotas{}, partitioned: map[string]bool{}}
	var out []*Quotas
	for i := range 3 * hostsPerRegion {
		region := string(rune('a' + i%3))
		h := vetchtrail.Host{Name: fmt.Sprint(region, i), Region: region, PeerAddr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))}
		host := New(Config{
			Self: h, QuotaSource: func() QuotaSource { return configuration }, Hosts: hostView{n, h.Name}, Peers: hostView{n, h.Name}, Strategy: strategy,
			Tolerance: quota.Tolerance{Window: 8 * time.Second, Overage: 0.1}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		n.hosts, n.byAddr[h.PeerAddr] = append(n.hosts, h), host
		out = append(out, host)
	}
	return n, out
}

// TestTake guards against hosts that together run more than the quota and its tolerance, and
// against refusals without a time to retry. Hosts in three regions get 600 requests at once.
func TestTake(t *testing.T) {
	limit := vetchtrail.Quota{Rate: 100, Burst: 100}
	cases := map[string]struct {
		strategy    string
		partitioned []string // hosts that are partitioned from all others
		minGranted  int      // of 600 requests
		maxGranted  int
		reachable   bool
	}{
		"leased":                       {StrategyLeased, nil, 20, 150, true},
		"assigned":                     {StrategyAssigned, nil, 10, 150, true},
		"equal":                        {StrategyEqual, nil, 10, 150, true},
		"leased, one host partitioned": {StrategyLeased, []string{"a3"}, 20, 150, true},
		"leased, all partitioned":      {StrategyLeased, []string{"a0", "b1", "c2", "a3", "b4", "c5"}, 5, 150, true},
	}
	for name, c := range cases {
		onVirtualTime(t, name, func(t *testing.T) {
			n, hosts := newNetwork(t, c.strategy, limit, 2)
			for _, h := range c.partitioned {
				n.partitioned[h] = true
			}
			granted := 0
			for i := range 600 {
				v := hosts[i%len(hosts)].Take(context.Background(), "w", 1)
				if v.Granted {
					granted++
					continue
				}
				assert.Assert(t, v.RetryAt.After(time.Now().Add(-time.Second)), "no time to retry: %v", v)
			}
			assert.Assert(t, granted >= c.minGranted && granted <= c.maxGranted, "%d of 600", granted)
		})
	}
}

// TestUnreachableOwners guards against a host that reaches no owner and runs more than its
// equal share, or nothing.
func TestUnreachableOwners(t *testing.T) { onVirtualTime(t, "partitioned", testUnreachableOwners) }

func testUnreachableOwners(t *testing.T) {
	n, hosts := newNetwork(t, StrategyLeased, vetchtrail.Quota{Rate: 900, Burst: 900}, 3)
	isolated := hosts[6] // the third host of its region, which owns no shard
	n.partitioned[isolated.cfg.Self.Name] = true
	granted := 0
	for range 1000 {
		if isolated.Take(context.Background(), "w", 1).Granted {
			granted++
		}
	}
	assert.Assert(t, granted > 20 && granted < 150, "%d of 1000", granted)
}

// TestReturn guards against losing the units of requests that did not run.
func TestReturn(t *testing.T) {
	for _, strategy := range Strategies {
		onVirtualTime(t, strategy, func(t *testing.T) {
			_, hosts := newNetwork(t, strategy, vetchtrail.Quota{Rate: 0.001, Burst: 100}, 1)
			granted := 0
			for range 400 {
				if hosts[0].Take(context.Background(), "w", 1).Granted {
					hosts[0].Return("w", 1)
					granted++
				}
			}
			assert.Equal(t, granted, 400)
		})
	}
}

// TestWithoutQuota guards against messages between hosts for a workspace without a quota.
func TestWithoutQuota(t *testing.T) {
	n, hosts := newNetwork(t, StrategyLeased, vetchtrail.Quota{}, 2)
	for range 100 {
		assert.Assert(t, hosts[3].Take(context.Background(), "w", 1e9).Granted)
	}
	assert.Equal(t, n.messages, 0)
}

// TestDemandExchange guards against a region that keeps its share although only the callers of
// another one make requests, and against using the share of a region that cannot be reached.
func TestDemandExchange(t *testing.T) {
	cases := map[string]struct {
		partitioned bool       // region c is partitioned from the start
		share       [2]float64 // minimum and maximum fraction of the quota for region a
	}{
		"all connected":          {false, [2]float64{0.9, 1}},
		"one region partitioned": {true, [2]float64{0.3, 0.45}},
	}
	for name, c := range cases {
		onVirtualTime(t, name, func(t *testing.T) {
			n, hosts := newNetwork(t, StrategyLeased, vetchtrail.Quota{Rate: 1000, Burst: 1000}, 1)
			n.partitioned["c2"] = c.partitioned
			for range 3 {
				hosts[0].Take(context.Background(), "w", 1500)
				for _, h := range hosts {
					h.exchange(context.Background(), time.Now())
				}
				time.Sleep(20 * time.Millisecond)
			}
			hosts[0].mu.Lock()
			share := hosts[0].ownedQuotas["w"].RegionSplit.RegionRate(1000, 5000) / 1000
			hosts[0].mu.Unlock()
			assert.Assert(t, share >= c.share[0] && share <= c.share[1], "%.2f", share)
		})
	}
}

// TestIdleQuotasDropped guards against keeping the state of workspaces without requests for ever.
func TestIdleQuotasDropped(t *testing.T) {
	onVirtualTime(t, "two minutes later", func(t *testing.T) {
		_, hosts := newNetwork(t, StrategyLeased, vetchtrail.Quota{Rate: 100, Burst: 100}, 1)
		hosts[0].Take(context.Background(), "w", 1)
		hosts[0].dropIdle(time.Now(), time.Now())
		assert.Equal(t, len(hosts[0].localQuotas), 1)
		hosts[0].dropIdle(time.Now().Add(2*time.Minute), time.Now().Add(2*time.Minute))
		assert.Equal(t, len(hosts[0].localQuotas), 0)
	})
}

// TestSuspendedHost guards against using a lease after the host was suspended for longer than
// the lease lasts: the owner has leased the same units to other hosts since.
func TestSuspendedHost(t *testing.T) {
	cases := map[string]struct {
		suspended time.Duration
		canSpend  bool
	}{
		"not suspended":        {0, true},
		"suspended for 100 ms": {100 * time.Millisecond, true},
		"suspended for 5 s":    {5 * time.Second, false},
	}
	for name, c := range cases {
		onVirtualTime(t, name, func(t *testing.T) {
			startedAt := time.Now()
			suspended := time.Duration(0)
			clock := func() time.Time { return time.Unix(5000, 0).Add(time.Since(startedAt) + suspended) }
			q := New(Config{Clock: clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
			l := q.localOf("w")
			r := l.holder.NewRequest("w", 0, 0, clock())
			l.holder.ApplyReply(r, quota.LeaseReply{Units: 10, ExpiresAt: clock().Add(500 * time.Millisecond)}, clock())
			suspended = c.suspended
			assert.Equal(t, l.holder.Spend(1, q.cfg.Clock()), c.canSpend)
			systemNow := time.Now()
			reply := convertClock(quota.LeaseReply{ExpiresAt: systemNow.Add(time.Second)}, systemNow, clock())
			left := reply.ExpiresAt.Sub(clock())
			assert.Assert(t, left > 900*time.Millisecond && left <= time.Second && reply.RetryAt.IsZero(), "%s", left)
			v := l.verdict(false, clock().Add(300*time.Millisecond), clock())
			assert.Assert(t, time.Until(v.RetryAt) > 200*time.Millisecond && time.Until(v.RetryAt) <= 300*time.Millisecond, "%s", time.Until(v.RetryAt))
		})
	}
}
