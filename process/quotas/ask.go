package quotas

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
	"vetchtrail/request/quota"
	"vetchtrail/schema"
)

const (
	// usualShards is among how many hosts of a region the workspaces are divided, so that none
	// of the narrow ones is asked for all.
	usualShards = 4
	usualDuty   = "keep quotas"
	// keepersAsked is how many hosts are asked in turn: the first may just have been lost.
	keepersAsked = 2
	// askTime bounds a question: hosts of a region are some milliseconds apart, but after a
	// power cut of all hosts, when callers press, one with a narrow link takes some hundreds.
	askTime = 300 * time.Millisecond
	// lostTime is for how long a keeper that did not answer is asked nothing: by then the
	// others know whether it lives.
	lostTime = 2 * time.Second
	// strictLostTime is the same where no other keeper is asked meanwhile: the host uses nothing for so long
	// after each question that is lost.
	strictLostTime = 500 * time.Millisecond
	// aloneTime is for how long a host uses its equal part after it reached no keeper.
	aloneTime = 200 * time.Millisecond
)

// duty names the duty to keep the quotas of a shard.
func (q *Quotas) duty(shard int) string { return q.cfg.Duty + " " + strconv.Itoa(shard) }

func (q *Quotas) shardOf(name string) int {
	return int(xxhash.Sum64String(name) % uint64(q.cfg.Shards))
}

// granted asks the region's keepers in turn until one answers.
func (q *Quotas) granted(a quota.LeaseRequest) (quota.LeaseReply, bool) {
	now := time.Now()
	for _, h := range q.cfg.Hosts.RankedIn(q.cfg.Self.Region, q.duty(q.shardOf(a.Workspace)), q.asked(), now) {
		if h.Name == q.cfg.Self.Name {
			return rebased(q.grant(q.cfg.Self.Name, a, now), now, q.cfg.Clock()), true
		}
		if q.isLost(h.Name, now) {
			continue
		}
		g, err := q.askHost(h, a)
		if err == nil {
			return g, true
		}
		q.setLost(h.Name, time.Now().Add(q.lostTime()))
		q.cfg.Log.Info("keeper of quotas not reached", "peer", h.Name, "duty", q.cfg.Duty, "of", a.Workspace, "error", err)
	}
	return quota.LeaseReply{}, false
}

// asked is how many keepers are asked in turn. Where nothing may be exceeded that is one: with messages
// late or lost, some host would always be asking the second while the others ask the first, and both
// grant the whole.
func (q *Quotas) asked() int {
	if q.cfg.Strict {
		return 1
	}
	return keepersAsked
}

// lostTime is for how long a keeper that did not answer is asked nothing.
func (q *Quotas) lostTime() time.Duration {
	if q.cfg.Strict {
		return strictLostTime
	}
	return lostTime
}

// rebased returns a grant with its moments by another clock.
func rebased(g quota.LeaseReply, from, to time.Time) quota.LeaseReply {
	for _, at := range []*time.Time{&g.ExpiresAt, &g.RetryAt} {
		if !at.IsZero() {
			*at = to.Add(at.Sub(from))
		}
	}
	return g
}

func (q *Quotas) askHost(h vetchtrail.Host, a quota.LeaseRequest) (quota.LeaseReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTime)
	defer cancel()
	m, err := q.cfg.Peers.Grant(ctx, h.Peers, &schema.GrantRequest{
		From: q.cfg.Self.Name, Workspace: a.Workspace, Least: a.MinUnits, Want: a.WantedUnits, Asked: a.DemandedUnits, Spent: a.UnleasedUnits,
	})
	if err != nil {
		return quota.LeaseReply{}, err
	}
	now := q.cfg.Clock()
	return quota.LeaseReply{
		Units: m.GetGranted(), ExpiresAt: now.Add(time.Duration(m.GetFor())), RetryAt: now.Add(time.Duration(m.GetBack())),
		RegionLeft: m.GetLeft(), ReportAge: time.Duration(m.GetAge()), HostRate: m.GetShare(), RegionShare: m.GetPart(),
	}, nil
}

func (q *Quotas) isLost(host string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Before(q.lost[host])
}

func (q *Quotas) setLost(host string, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lost[host] = until
}

// Granted answers another host.
func (q *Quotas) Granted(m *schema.GrantRequest) *schema.GrantReply {
	now := time.Now()
	g := q.grant(m.GetFrom(), quota.LeaseRequest{Workspace: m.GetWorkspace(), MinUnits: m.GetLeast(), WantedUnits: m.GetWant(), DemandedUnits: m.GetAsked(), UnleasedUnits: m.GetSpent()}, now)
	out := &schema.GrantReply{Granted: g.Units, Left: g.RegionLeft, Age: int64(g.ReportAge), Share: g.HostRate, Part: g.RegionShare}
	if g.Units > 0 {
		out.For = int64(g.ExpiresAt.Sub(now))
	} else {
		out.Back = int64(g.RetryAt.Sub(now))
	}
	return out
}

// grant answers as the keeper of the workspace's quota, by the configuration held here: a
// workspace that it does not bound, or no longer, has nothing to grant.
func (q *Quotas) grant(from string, a quota.LeaseRequest, now time.Time) quota.LeaseReply {
	bound := q.cfg.Bounds().Quota(a.Workspace)
	if !bound.Bounded() {
		return quota.LeaseReply{RetryAt: now.Add(aloneTime)}
	}
	heard := q.cfg.Hosts.HeardPart(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	k := q.keeper(a.Workspace)
	k.used = now
	if q.cfg.Way == WayTold {
		return quota.LeaseReply{HostRate: k.sharer.HostRate(from, a.DemandedUnits, bound, now), ReportAge: k.RegionSplit.ReportAge(now)}
	}
	return k.Grant(a, bound, q.cfg.Tolerance, heard, now)
}

// keeper returns what is kept for a workspace. The caller holds the lock.
func (q *Quotas) keeper(workspace string) *kept {
	k, ok := q.keepers[workspace]
	if !ok {
		keeper := quota.NewOwner(len(q.cfg.Bounds().RegionNames()), q.keeperSince(q.shardOf(workspace), time.Now()))
		k = &kept{Owner: *keeper, sharer: quota.NewShareAssigner(keeper.RegionSplit)}
		q.keepers[workspace] = k
	}
	return k
}

// keeperSince is since when this host has been the first of its region for a shard; now, if
// it is not. The caller holds the lock.
func (q *Quotas) keeperSince(shard int, now time.Time) time.Time {
	if since := q.since[shard]; !since.IsZero() {
		return since
	}
	return now
}
