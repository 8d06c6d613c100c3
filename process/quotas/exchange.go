package quotas

import (
	"context"
	"time"

	"vetchtrail"
	"vetchtrail/schema"
)

const (
	// exchangeInterval is the interval at which an owner exchanges demand with another region. When
	// the demand in a region rises, the region has only its previous rate and the units in its bucket
	// until the other regions have confirmed the increase, which takes one more round trip between
	// regions.
	exchangeInterval = 200 * time.Millisecond
	// exchangeTimeout bounds an exchange. It allows for several round trips between regions.
	exchangeTimeout = time.Second
	// demandIdleTime is how long after its last lease request the demand for a workspace is still
	// reported.
	demandIdleTime = 10 * time.Second
	// ownedIdleTime is how long an owner keeps the state of a workspace without lease requests.
	// dropIdleInterval is how often a host drops the state of idle workspaces.
	ownedIdleTime    = 5 * time.Minute
	dropIdleInterval = 10 * time.Second
)

// Run exchanges demand with the other regions for the shards that this host owns, and drops
// the state of idle workspaces. It returns when ctx ends.
func (q *Quotas) Run(ctx context.Context) {
	t := time.NewTicker(exchangeInterval)
	defer t.Stop()
	var dropIdleAt time.Time // when to drop idle state next
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		if len(q.cfg.QuotaSource().RegionNames()) > 1 {
			q.exchange(ctx, now)
		}
		if !now.Before(dropIdleAt) {
			q.dropIdle(now, q.cfg.Clock())
			dropIdleAt = now.Add(dropIdleInterval)
		}
	}
}

// dropIdle drops the state of workspaces without requests, and of hosts that are no longer marked as
// unreachable. now is the current time by the system clock, which owned state uses, and leaseNow by
// Config.Clock, which local state uses.
func (q *Quotas) dropIdle(now, leaseNow time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, l := range q.localQuotas {
		l.mu.Lock()
		idle := l.holder.Idle(leaseNow)
		l.mu.Unlock()
		if idle {
			delete(q.localQuotas, name)
		}
	}
	for name, o := range q.ownedQuotas {
		if now.Sub(o.lastUsed) > ownedIdleTime {
			delete(q.ownedQuotas, name)
		}
	}
	for name, until := range q.unreachable {
		if !now.Before(until) {
			delete(q.unreachable, name)
		}
	}
}

// exchange exchanges demand with the owners in the other regions, for the shards that this host owns
// and that have demand.
func (q *Quotas) exchange(ctx context.Context, now time.Time) {
	for shard, demands := range q.demands(now) {
		if !q.ownsShard(shard, now) || len(demands) == 0 {
			continue
		}
		for _, region := range q.cfg.QuotaSource().RegionNames() {
			if region == q.cfg.Self.Region {
				continue
			}
			for _, h := range q.cfg.Hosts.FirstInRegion(region, q.shardTask(shard), 1, now) {
				go q.exchangeWith(ctx, region, h, shard, demands)
			}
		}
	}
}

// ownsShard reports whether this host is its region's owner of a shard, and records since when.
func (q *Quotas) ownsShard(shard int, now time.Time) bool {
	first := q.cfg.Hosts.FirstInRegion(q.cfg.Self.Region, q.shardTask(shard), 1, now)
	owns := len(first) > 0 && first[0].Name == q.cfg.Self.Name
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case !owns:
		q.ownedSince[shard] = time.Time{}
	case q.ownedSince[shard].IsZero():
		q.ownedSince[shard] = now
	}
	return owns
}

// demands returns this region's demand for each workspace, by shard.
func (q *Quotas) demands(now time.Time) [][]*schema.Claim {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([][]*schema.Claim, q.cfg.Shards)
	for name, o := range q.ownedQuotas {
		if now.Sub(o.lastUsed) < demandIdleTime {
			shard := q.shardOf(name)
			out[shard] = append(out[shard], &schema.Claim{Workspace: name, Rate: o.sumDemand(now)})
		}
	}
	return out
}

// exchangeWith reports this region's demand for a shard to the owner in another region, and
// stores that region's demand from the reply.
func (q *Quotas) exchangeWith(ctx context.Context, region string, h vetchtrail.Host, shard int, demands []*schema.Claim) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	out := &schema.Claims{From: q.cfg.Self.Name, Region: q.cfg.Self.Region, Shard: uint32(shard), Claims: demands, Sequence: q.markSent(region, demands)}
	reply, err := q.cfg.Peers.ExchangeDemand(ctx, h.PeerAddr, out)
	if err != nil {
		q.cfg.Log.Debug("demand not exchanged", "peer", h.Name, "error", err)
		return
	}
	q.mu.Lock()
	for _, c := range demands {
		q.owned(c.GetWorkspace()).RegionSplit.MarkConfirmed(region, c.GetRate())
	}
	q.mu.Unlock()
	q.receive(reply, time.Now())
}

// markSent records that a demand report is being sent to a region, and returns its number.
func (q *Quotas) markSent(region string, demands []*schema.Claim) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	for _, c := range demands {
		q.owned(c.GetWorkspace()).RegionSplit.MarkSent(region, c.GetRate())
	}
	return q.sequence
}

// receive stores the demand report of another region.
func (q *Quotas) receive(m *schema.Claims, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range m.GetClaims() {
		o := q.owned(c.GetWorkspace())
		o.RegionSplit.Receive(m.GetRegion(), m.GetFrom(), m.GetSequence(), c.GetRate(), now)
		if o.lastUsed.IsZero() {
			o.lastUsed = now
		}
	}
}

// HandleDemand handles the demand report of the owner in another region. It returns this region's
// demand for the same workspaces, which is 0 for a workspace without requests here.
func (q *Quotas) HandleDemand(m *schema.Claims) *schema.Claims {
	now := time.Now()
	q.receive(m, now)
	out := &schema.Claims{From: q.cfg.Self.Name, Region: q.cfg.Self.Region, Shard: m.GetShard()}
	q.mu.Lock()
	for _, c := range m.GetClaims() {
		out.Claims = append(out.Claims, &schema.Claim{Workspace: c.GetWorkspace(), Rate: q.owned(c.GetWorkspace()).sumDemand(now)})
	}
	q.mu.Unlock()
	out.Sequence = q.markSent(m.GetRegion(), out.GetClaims())
	return out
}
