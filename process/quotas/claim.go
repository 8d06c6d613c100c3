package quotas

import (
	"context"
	"time"

	"vetchtrail"
	"vetchtrail/schema"
)

const (
	// claimEvery is the pause between two swaps of claims with another region: a region
	// that comes to its peak lives on what its bucket holds until the others know of it,
	// two ways between regions later.
	claimEvery = 200 * time.Millisecond
	// claimTime bounds a swap: some ways between regions.
	claimTime = time.Second
	// idleTime is how long after its last question a workspace is no longer told of.
	idleTime = 10 * time.Second
	// forgetTime is for how long a keeper's state of a workspace that nobody asks for is
	// kept, and forgetEvery how often a host looks for what it holds for such.
	forgetTime  = 5 * time.Minute
	forgetEvery = 10 * time.Second
)

// Run swaps claims with the other regions until ctx ends, for the shards that this host
// keeps.
func (q *Quotas) Run(ctx context.Context) {
	t := time.NewTicker(claimEvery)
	defer t.Stop()
	var forget time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		if len(q.cfg.Bounds().RegionNames()) > 1 {
			q.swap(ctx, now)
		}
		if !now.Before(forget) {
			q.forget(now, q.cfg.Clock())
			forget = now.Add(forgetEvery)
		}
	}
}

// forget drops what is held for workspaces that nobody asks for. What is held has a clock of its
// own.
func (q *Quotas) forget(now, holding time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for name, h := range q.held {
		h.mu.Lock()
		idle := h.holder.Idle(holding)
		h.mu.Unlock()
		if idle {
			delete(q.held, name)
		}
	}
	for name, k := range q.keepers {
		if now.Sub(k.used) > forgetTime {
			delete(q.keepers, name)
		}
	}
	for name, until := range q.lost {
		if !now.Before(until) {
			delete(q.lost, name)
		}
	}
}

// swap tells the keepers of other regions what this one is asked for.
func (q *Quotas) swap(ctx context.Context, now time.Time) {
	for shard, claims := range q.claims(now) {
		if !q.keeps(shard, now) || len(claims) == 0 {
			continue
		}
		for _, region := range q.cfg.Bounds().RegionNames() {
			if region == q.cfg.Self.Region {
				continue
			}
			for _, h := range q.cfg.Hosts.RankedIn(region, q.duty(shard), 1, now) {
				go q.swapWith(ctx, region, h, shard, claims)
			}
		}
	}
}

// keeps says whether this host is the first of its region for a shard.
func (q *Quotas) keeps(shard int, now time.Time) bool {
	first := q.cfg.Hosts.RankedIn(q.cfg.Self.Region, q.duty(shard), 1, now)
	is := len(first) > 0 && first[0].Name == q.cfg.Self.Name
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case !is:
		q.since[shard] = time.Time{}
	case q.since[shard].IsZero():
		q.since[shard] = now
	}
	return is
}

// claims returns what this region is asked for, by shard.
func (q *Quotas) claims(now time.Time) [][]*schema.Claim {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([][]*schema.Claim, q.cfg.Shards)
	for name, k := range q.keepers {
		if now.Sub(k.used) < idleTime {
			shard := q.shardOf(name)
			out[shard] = append(out[shard], &schema.Claim{Workspace: name, Rate: k.asks(now)})
		}
	}
	return out
}

func (q *Quotas) swapWith(ctx context.Context, region string, h vetchtrail.Host, shard int, claims []*schema.Claim) {
	ctx, cancel := context.WithTimeout(ctx, claimTime)
	defer cancel()
	out := &schema.Claims{From: q.cfg.Self.Name, Region: q.cfg.Self.Region, Shard: uint32(shard), Claims: claims, Sequence: q.telling(region, claims)}
	reply, err := q.cfg.Peers.Claim(ctx, h.Peers, out)
	if err != nil {
		q.cfg.Log.Debug("claims not swapped", "peer", h.Name, "error", err)
		return
	}
	q.mu.Lock()
	for _, c := range claims {
		q.keeper(c.GetWorkspace()).RegionSplit.MarkConfirmed(region, c.GetRate())
	}
	q.mu.Unlock()
	q.hear(reply, time.Now())
}

// telling notes claims that are on their way to a region, and numbers them.
func (q *Quotas) telling(region string, claims []*schema.Claim) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	for _, c := range claims {
		q.keeper(c.GetWorkspace()).RegionSplit.MarkSent(region, c.GetRate())
	}
	return q.sequence
}

// hear takes the claims of another region.
func (q *Quotas) hear(m *schema.Claims, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range m.GetClaims() {
		k := q.keeper(c.GetWorkspace())
		k.RegionSplit.Receive(m.GetRegion(), m.GetFrom(), m.GetSequence(), c.GetRate(), now)
		if k.used.IsZero() {
			k.used = now
		}
	}
}

// Claimed takes the claims of another region's keeper and answers with those of this one,
// for the same workspaces: for one that nobody asks for here that is nothing.
func (q *Quotas) Claimed(m *schema.Claims) *schema.Claims {
	now := time.Now()
	q.hear(m, now)
	out := &schema.Claims{From: q.cfg.Self.Name, Region: q.cfg.Self.Region, Shard: m.GetShard()}
	q.mu.Lock()
	for _, c := range m.GetClaims() {
		out.Claims = append(out.Claims, &schema.Claim{Workspace: c.GetWorkspace(), Rate: q.keeper(c.GetWorkspace()).asks(now)})
	}
	q.mu.Unlock()
	out.Sequence = q.telling(m.GetRegion(), out.GetClaims())
	return out
}
