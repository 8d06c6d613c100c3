// Package quotas keeps the requests that all hosts run for a workspace within its quota. It
// also serves rate limits of endpoints, which are quotas of requests (package ratelimits).
//
// Package request/quota has the rules. This package holds their state, which ends with the
// process, and carries their messages between hosts: lease requests to the owner of a quota,
// and the exchange of demand between the owners in different regions.
package quotas

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"vetchtrail"
	"vetchtrail/request/quota"
	"vetchtrail/schema"
)

// Strategies to enforce a quota.
const (
	// StrategyLeased leases units from the owner in each region.
	StrategyLeased = "leased"
	// StrategyAssigned assigns a rate to each host by the recent demand of its callers.
	StrategyAssigned = "told"
	// StrategyEqual gives each host an equal share.
	StrategyEqual = "equal"
)

// Strategies are the names of the strategies, as the setting quotas.way has them.
var Strategies = []string{StrategyLeased, StrategyAssigned, StrategyEqual}

// Peers sends requests to other hosts.
type Peers interface {
	// RequestQuotaLease sends a lease request to an owner.
	RequestQuotaLease(ctx context.Context, addr netip.AddrPort, m *schema.GrantRequest) (*schema.GrantReply, error)
	// ExchangeDemand sends this region's demand to the owner in another region and returns that
	// region's demand.
	ExchangeDemand(ctx context.Context, addr netip.AddrPort, m *schema.Claims) (*schema.Claims, error)
}

// Hosts provides this host's view of the other hosts, from the membership.
type Hosts interface {
	// FirstInRegion returns the n live hosts of a region that rank first for a task. The first of
	// them is the owner.
	FirstInRegion(region, task string, n int, now time.Time) []vetchtrail.Host
	// SeenShare returns the fraction of the region's hosts that this host receives heartbeats
	// from.
	SeenShare(now time.Time) float64
	// Count returns the number of known hosts, including crashed ones.
	Count() int
}

// QuotaSource provides the configured quotas.
type QuotaSource interface {
	// Quota returns the quota of a workspace or endpoint by its name. One without a limit needs no
	// enforcement.
	Quota(name string) vetchtrail.Quota
	// RegionNames returns the regions whose hosts share the quotas.
	RegionNames() []string
}

// Config configures Quotas.
type Config struct {
	Self        vetchtrail.Host
	QuotaSource func() QuotaSource
	Hosts       Hosts
	Peers       Peers
	Tolerance   quota.Tolerance
	Strategy    string
	// Task is the name of the task to own quotas, which is divided into Shards. Hosts are ranked for
	// each shard by a hash of this name and the shard number.
	Task   string
	Shards int
	// With Strict, a host that reaches no owner runs nothing, instead of using an equal share. An
	// equal share may be one request at each of many hosts, which is more than an overloaded
	// endpoint accepts within seconds.
	Strict bool
	// Clock continues while the host is suspended, so that its leases expire meanwhile. The
	// buckets that this host owns do not use it: no host leases from them during the suspension.
	// The default is time.Now.
	Clock func() time.Time
	Log   *slog.Logger
}

// Quotas enforces quotas at one host, together with the Quotas of the other hosts. It is safe
// for concurrent use.
type Quotas struct {
	cfg      Config
	sequence uint64 // number of the last demand report sent; guarded by mu

	mu          sync.Mutex
	localQuotas map[string]*localQuota // by workspace, as a host that runs requests
	ownedQuotas map[string]*ownedQuota // by workspace, as the owner in this region
	unreachable map[string]time.Time   // by host, until when no lease is requested from it
	ownedSince  []time.Time            // by shard, when this host became the owner in its region; zero: it is not, or not recorded
}

// localQuota is the state of a workspace's quota at a host that runs its requests.
type localQuota struct {
	mu               sync.Mutex
	holder           quota.LeaseHolder
	equalShare       quota.EqualShare
	assigned         quota.AssignedShare
	unreachableUntil time.Time     // until when no owner is queried, as none was reached
	pending          chan struct{} // closed when the lease request under way has ended; nil: there is none
	waitingUnits     float64       // units of the requests that wait for it
}

// ownedQuota is the state of a workspace's quota at the owner in a region.
type ownedQuota struct {
	quota.Owner
	assigner *quota.ShareAssigner // for StrategyAssigned
	lastUsed time.Time            // when the last lease request, or the first demand report, was received
}

// sumDemand returns the units per second that the region's callers request, under any strategy.
func (o *ownedQuota) sumDemand(now time.Time) float64 { return o.Demand(now) + o.assigner.Demand(now) }

// New returns Quotas that hold no leases.
func New(c Config) *Quotas {
	if c.Strategy == "" {
		c.Strategy = StrategyLeased
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Shards == 0 {
		c.Task, c.Shards = defaultTask, defaultShards
	}
	return &Quotas{
		cfg: c, localQuotas: map[string]*localQuota{}, ownedQuotas: map[string]*ownedQuota{}, unreachable: map[string]time.Time{}, ownedSince: make([]time.Time, c.Shards),
	}
}

// maxReplyWaits is how many lease requests a request waits for. Each of them may have started
// without the cost of this request, and its units may be used up by others.
const maxReplyWaits = 3

// Take implements vetchtrail.QuotaLimiter.
func (q *Quotas) Take(ctx context.Context, workspace string, cost float64) vetchtrail.QuotaVerdict {
	limit := q.cfg.QuotaSource().Quota(workspace)
	if !limit.IsLimited() {
		return vetchtrail.QuotaVerdict{Granted: true}
	}
	l := q.localOf(workspace)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := q.cfg.Clock()
	l.holder.RecordDemand(cost, now)
	switch q.cfg.Strategy {
	case StrategyEqual:
		return q.takeEqualShare(l, cost, limit, now)
	case StrategyAssigned:
		return q.takeAssignedShare(l, workspace, cost, limit, now)
	}
	for range maxReplyWaits {
		if l.holder.Spend(cost, now) {
			l.equalShare.Spend(cost)
			q.prefetch(l, workspace, now)
			return l.verdict(true, time.Time{}, now)
		}
		if now.Before(l.unreachableUntil) {
			if q.cfg.Strict {
				return l.verdict(false, l.unreachableUntil, now)
			}
			return q.takeEqualShare(l, cost, limit, now)
		}
		if retryAt, blocked := l.holder.Blocked(now); blocked {
			return l.verdict(false, retryAt, now)
		}
		if !q.awaitReply(ctx, l, workspace, cost) {
			break
		}
		now = q.cfg.Clock()
	}
	retryAt, _ := l.holder.Blocked(now)
	return l.verdict(false, later(retryAt, now.Add(minRetryDelay)), now)
}

// minRetryDelay is the shortest retry delay for a request that is refused after it has waited for
// lease requests.
const minRetryDelay = 50 * time.Millisecond

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// takeEqualShare spends the cost from this host's equal share, without a lease.
func (q *Quotas) takeEqualShare(l *localQuota, cost float64, limit vetchtrail.Quota, now time.Time) vetchtrail.QuotaVerdict {
	ok, retryAt := l.equalShare.Take(cost, limit, q.cfg.Tolerance, q.cfg.Hosts.Count(), now)
	if ok {
		l.holder.RecordUnleased(cost)
	}
	return l.verdict(ok, retryAt, now)
}

// takeAssignedShare spends the cost from this host's assigned share, and requests a new rate
// from time to time.
func (q *Quotas) takeAssignedShare(l *localQuota, workspace string, cost float64, limit vetchtrail.Quota, now time.Time) vetchtrail.QuotaVerdict {
	if l.assigned.RequestDue(now) {
		q.startRequest(l, workspace, 0)
	}
	ok, retryAt := l.assigned.Take(cost, limit, q.cfg.Tolerance, q.cfg.Hosts.Count(), now)
	return l.verdict(ok, retryAt, now)
}

// verdict returns the result for the caller. retryAt and now are times of Config.Clock.
func (l *localQuota) verdict(ok bool, retryAt, now time.Time) vetchtrail.QuotaVerdict {
	local, region, age := l.holder.Balance(now)
	if !retryAt.IsZero() {
		retryAt = time.Now().Add(retryAt.Sub(now)) // as a time of the system clock, which callers use
	}
	return vetchtrail.QuotaVerdict{Granted: ok, RetryAt: retryAt, HostLeft: local, RegionLeft: region, ReportAge: age}
}

// Return implements vetchtrail.QuotaLimiter.
func (q *Quotas) Return(workspace string, cost float64) {
	l := q.localOf(workspace)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch now := q.cfg.Clock(); q.cfg.Strategy {
	case StrategyEqual:
		l.equalShare.Return(cost)
	case StrategyAssigned:
		l.assigned.Return(cost)
	default:
		l.holder.Return(cost, now)
	}
}

// DiscardLease drops the units that this host has leased and not used.
func (q *Quotas) DiscardLease(name string) {
	l := q.localOf(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.DiscardLease()
}

// localOf returns the local state of a workspace, and creates it if needed.
func (q *Quotas) localOf(workspace string) *localQuota {
	q.mu.Lock()
	defer q.mu.Unlock()
	l, ok := q.localQuotas[workspace]
	if !ok {
		l = &localQuota{}
		q.localQuotas[workspace] = l
	}
	return l
}

// awaitReply waits for the end of the lease request under way, and starts one for the cost if
// there is none. It must be called with l.mu locked, and unlocks it while it waits. It returns
// false if ctx ended first.
func (q *Quotas) awaitReply(ctx context.Context, l *localQuota, workspace string, cost float64) bool {
	l.waitingUnits += cost
	q.startRequest(l, workspace, cost)
	pending := l.pending
	l.mu.Unlock()
	ended := true
	select {
	case <-pending:
	case <-ctx.Done():
		ended = false
	}
	l.mu.Lock()
	l.waitingUnits -= cost
	return ended
}

// prefetch starts the next lease request before the leased units are used up. It must be
// called with l.mu locked.
func (q *Quotas) prefetch(l *localQuota, workspace string, now time.Time) {
	if l.holder.ShouldPrefetch(now) && !now.Before(l.unreachableUntil) {
		q.startRequest(l, workspace, 0)
	}
}

// startRequest starts a lease request unless one is under way. It must be called with l.mu
// locked.
func (q *Quotas) startRequest(l *localQuota, workspace string, minUnits float64) {
	if l.pending != nil {
		return
	}
	l.pending = make(chan struct{})
	r := l.holder.NewRequest(workspace, minUnits, l.waitingUnits, q.cfg.Clock())
	go q.runRequest(l, r)
}

// runRequest sends a lease request and applies the reply. If no owner replies, it sends none
// for ownerRetryDelay.
func (q *Quotas) runRequest(l *localQuota, r quota.LeaseRequest) {
	reply, ok := q.requestLease(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := q.cfg.Clock()
	switch {
	case ok && q.cfg.Strategy == StrategyAssigned:
		l.assigned.ApplyReply(reply.HostRate, now)
	case ok:
		l.holder.ApplyReply(r, reply, now)
		l.equalShare.SetRegionShare(reply.RegionShare, len(q.cfg.QuotaSource().RegionNames()))
	default:
		l.holder.RestoreRequest(r)
		l.unreachableUntil = now.Add(ownerRetryDelay)
		q.cfg.Log.Warn("no keeper of quotas reached", "duty", q.cfg.Task, "of", r.Workspace, "until", l.unreachableUntil, "equal_part", !q.cfg.Strict, "hosts", q.cfg.Hosts.Count())
	}
	close(l.pending)
	l.pending = nil
}
