// Package quotas keeps what all hosts together run for a workspace within its quota, or send to an
// endpoint within the rate that it names, by the rules of request/quota: it carries their messages
// between hosts. It lives for the process.
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

// Ways in which a quota is kept.
const (
	// WayLeased: a host of each region grants pieces of it.
	WayLeased = "leased"
	// WayTold: hosts have parts by what their callers asked for lately, as they told.
	WayTold = "told"
	// WayEqual: each host has an equal part.
	WayEqual = "equal"
)

// Ways are the names of the ways.
var Ways = []string{WayLeased, WayTold, WayEqual}

// Peers is how the quotas reach other hosts.
type Peers interface {
	Grant(ctx context.Context, addr netip.AddrPort, m *schema.GrantRequest) (*schema.GrantReply, error)
	Claim(ctx context.Context, addr netip.AddrPort, m *schema.Claims) (*schema.Claims, error)
}

// Hosts is what the quotas know of the other hosts.
type Hosts interface {
	// RankedIn returns the first n live hosts of a region for a duty.
	RankedIn(region, duty string, n int, now time.Time) []vetchtrail.Host
	// HeardPart returns the part of the region's hosts that this one hears of.
	HeardPart(now time.Time) float64
	// Count returns how many hosts there are, those too that are lost.
	Count() int
}

// Bounds says what is bounded, and for whom.
type Bounds interface {
	// Quota returns the quota of a workspace or endpoint by its name; without a bound: there is
	// nothing to keep.
	Quota(name string) vetchtrail.Quota
	// RegionNames returns the regions whose hosts share the quotas.
	RegionNames() []string
}

// Config is what Quotas need.
type Config struct {
	Self      vetchtrail.Host
	Bounds    func() Bounds
	Hosts     Hosts
	Peers     Peers
	Tolerance quota.Tolerance
	Way       string
	// Duty names the duty to keep the quotas, of which there are so many shards.
	Duty   string
	Shards int
	// Strict leaves a host that reaches no keeper nothing, in place of an equal part: many hosts
	// with one request each would be more than an endpoint in need takes in seconds.
	Strict bool
	// Clock goes on while the host is suspended: units that it holds lapse meanwhile. What it
	// keeps of the region's parts stands still, as nobody is granted of it. Nil: time.Now.
	Clock func() time.Time
	Log   *slog.Logger
}

// Quotas is a host's part in keeping quotas. It is safe for use by many.
type Quotas struct {
	cfg      Config
	sequence uint64 // of the claims told

	mu      sync.Mutex
	held    map[string]*held     // by workspace, as a host that runs requests
	keepers map[string]*kept     // by workspace, as the host that keeps the region's part
	lost    map[string]time.Time // until when a keeper is not asked, by host
	since   []time.Time          // when this host became the region's keeper of a shard; zero: it is not
}

// held is what this host holds for a workspace.
type held struct {
	mu      sync.Mutex
	holder  quota.LeaseHolder
	equal   quota.EqualShare
	told    quota.AssignedShare
	alone   time.Time     // until when no keeper is asked, as none was reached
	asking  chan struct{} // closed when the question under way is answered; nil: none is
	waiting float64       // units of the requests that wait for it
}

// kept is a keeper with its workspace.
type kept struct {
	quota.Owner
	sharer *quota.ShareAssigner // where hosts are told shares
	used   time.Time            // when it was last asked or heard of
}

// asks returns the units a second that the region's callers ask for.
func (k *kept) asks(now time.Time) float64 { return k.Demand(now) + k.sharer.Demand(now) }

// New returns quotas of which nothing is held.
func New(c Config) *Quotas {
	if c.Way == "" {
		c.Way = WayLeased
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Shards == 0 {
		c.Duty, c.Shards = usualDuty, usualShards
	}
	return &Quotas{
		cfg: c, held: map[string]*held{}, keepers: map[string]*kept{}, lost: map[string]time.Time{}, since: make([]time.Time, c.Shards),
	}
}

// answers is how often a request waits for the answer to a question, each asked for several
// requests at once.
const answers = 3

// Take implements vetchtrail.Quotas.
func (q *Quotas) Take(ctx context.Context, workspace string, charge float64) vetchtrail.QuotaVerdict {
	bound := q.cfg.Bounds().Quota(workspace)
	if !bound.Bounded() {
		return vetchtrail.QuotaVerdict{Granted: true}
	}
	h := q.heldOf(workspace)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := q.cfg.Clock()
	h.holder.RecordDemand(charge, now)
	switch q.cfg.Way {
	case WayEqual:
		return q.takeEqual(h, charge, bound, now)
	case WayTold:
		return q.takeTold(h, workspace, charge, bound, now)
	}
	for range answers {
		if h.holder.Spend(charge, now) {
			h.equal.Spend(charge)
			q.askAhead(h, workspace, now)
			return h.verdict(true, time.Time{}, now)
		}
		if now.Before(h.alone) {
			if q.cfg.Strict {
				return h.verdict(false, h.alone, now)
			}
			return q.takeEqual(h, charge, bound, now)
		}
		if back, shut := h.holder.Blocked(now); shut {
			return h.verdict(false, back, now)
		}
		if !q.await(ctx, h, workspace, charge) {
			break
		}
		now = q.cfg.Clock()
	}
	back, _ := h.holder.Blocked(now)
	return h.verdict(false, latest(back, now.Add(leastBack)), now)
}

// leastBack is the least time that a caller is told to wait for room.
const leastBack = 50 * time.Millisecond

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (q *Quotas) takeEqual(h *held, charge float64, bound vetchtrail.Quota, now time.Time) vetchtrail.QuotaVerdict {
	ok, back := h.equal.Take(charge, bound, q.cfg.Tolerance, q.cfg.Hosts.Count(), now)
	if ok {
		h.holder.RecordUnleased(charge)
	}
	return h.verdict(ok, back, now)
}

// takeTold takes from the host's share, and asks for a new one now and then.
func (q *Quotas) takeTold(h *held, workspace string, charge float64, bound vetchtrail.Quota, now time.Time) vetchtrail.QuotaVerdict {
	if h.told.RequestDue(now) {
		q.ask(h, workspace, 0)
	}
	ok, back := h.told.Take(charge, bound, q.cfg.Tolerance, q.cfg.Hosts.Count(), now)
	return h.verdict(ok, back, now)
}

func (h *held) verdict(ok bool, back, now time.Time) vetchtrail.QuotaVerdict {
	here, region, age := h.holder.Balance(now)
	if !back.IsZero() {
		back = time.Now().Add(back.Sub(now)) // by the clock of callers
	}
	return vetchtrail.QuotaVerdict{Granted: ok, RetryAt: back, Left: here, Region: region, Age: age}
}

// Return implements vetchtrail.Quotas.
func (q *Quotas) Return(workspace string, charge float64) {
	h := q.heldOf(workspace)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch now := q.cfg.Clock(); q.cfg.Way {
	case WayEqual:
		h.equal.Return(charge)
	case WayTold:
		h.told.Return(charge)
	default:
		h.holder.Return(charge, now)
	}
}

// Void drops what this host was granted and has not used.
func (q *Quotas) Void(name string) {
	h := q.heldOf(name)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.DiscardLease()
}

// heldOf returns what is held for a workspace.
func (q *Quotas) heldOf(workspace string) *held {
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.held[workspace]
	if !ok {
		h = &held{}
		q.held[workspace] = h
	}
	return h
}

// await waits for the answer to a question that covers the charge. The caller holds the
// lock, which is open meanwhile. It returns false if the caller is gone.
func (q *Quotas) await(ctx context.Context, h *held, workspace string, charge float64) bool {
	h.waiting += charge
	q.ask(h, workspace, charge)
	asking := h.asking
	h.mu.Unlock()
	answered := true
	select {
	case <-asking:
	case <-ctx.Done():
		answered = false
	}
	h.mu.Lock()
	h.waiting -= charge
	return answered
}

// askAhead asks for units before those held are used up. The caller holds the lock.
func (q *Quotas) askAhead(h *held, workspace string, now time.Time) {
	if h.holder.ShouldPrefetch(now) && !now.Before(h.alone) {
		q.ask(h, workspace, 0)
	}
}

// ask asks a keeper, unless a question is under way. The caller holds the lock.
func (q *Quotas) ask(h *held, workspace string, least float64) {
	if h.asking != nil {
		return
	}
	h.asking = make(chan struct{})
	a := h.holder.NewRequest(workspace, least, h.waiting, q.cfg.Clock())
	go q.question(h, a)
}

// question asks the region's keepers in turn until one answers.
func (q *Quotas) question(h *held, a quota.LeaseRequest) {
	g, ok := q.granted(a)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := q.cfg.Clock()
	switch {
	case ok && q.cfg.Way == WayTold:
		h.told.ApplyReply(g.HostRate, now)
	case ok:
		h.holder.ApplyReply(a, g, now)
		h.equal.SetRegionShare(g.RegionShare, len(q.cfg.Bounds().RegionNames()))
	default:
		h.holder.RestoreRequest(a)
		h.alone = now.Add(aloneTime)
		q.cfg.Log.Warn("no keeper of quotas reached", "duty", q.cfg.Duty, "of", a.Workspace, "until", h.alone, "equal_part", !q.cfg.Strict, "hosts", q.cfg.Hosts.Count())
	}
	close(h.asking)
	h.asking = nil
}
