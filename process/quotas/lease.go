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
	// defaultShards is the number of shards among which the workspaces are divided. Each has an
	// owner of its own in a region, so that no host with little bandwidth serves all lease
	// requests.
	defaultShards = 4
	// defaultTask is the task to own a quota. All hosts hash this text to agree on the owners, so it
	// has to stay the same.
	defaultTask = "keep quotas"
	// maxOwnersTried is how many hosts a lease request is sent to in turn, because the first may
	// just have crashed.
	maxOwnersTried = 2
	// requestTimeout bounds a lease request to one host. Hosts of a region are a few milliseconds
	// apart. But after a power failure of all hosts, when many callers retry, a host with little
	// bandwidth takes several hundred milliseconds.
	requestTimeout = 300 * time.Millisecond
	// unreachableTime is how long an owner that did not reply gets no requests. By then the
	// membership has detected whether it is alive.
	unreachableTime = 2 * time.Second
	// strictUnreachableTime replaces unreachableTime with Config.Strict. It is shorter because no
	// other owner is queried meanwhile: after each lost lease request the host runs nothing for
	// that long.
	strictUnreachableTime = 500 * time.Millisecond
	// ownerRetryDelay is the delay until a host that reached no owner tries again. Meanwhile it
	// uses its equal share, or nothing with Config.Strict.
	ownerRetryDelay = 200 * time.Millisecond
)

// shardTask returns the name of the task to own the quotas of a shard.
func (q *Quotas) shardTask(shard int) string { return q.cfg.Task + " " + strconv.Itoa(shard) }

// shardOf returns the shard of a workspace or endpoint.
func (q *Quotas) shardOf(name string) int {
	return int(xxhash.Sum64String(name) % uint64(q.cfg.Shards))
}

// requestLease sends a lease request to the region's owner, and then to the hosts that rank
// after it, until one replies. It returns false if none did.
func (q *Quotas) requestLease(r quota.LeaseRequest) (quota.LeaseReply, bool) {
	now := time.Now()
	for _, h := range q.cfg.Hosts.FirstInRegion(q.cfg.Self.Region, q.shardTask(q.shardOf(r.Workspace)), q.ownersToTry(), now) {
		if h.Name == q.cfg.Self.Name {
			return convertClock(q.leaseAsOwner(q.cfg.Self.Name, r, now), now, q.cfg.Clock()), true
		}
		if q.isUnreachable(h.Name, now) {
			continue
		}
		reply, err := q.requestLeaseFrom(h, r)
		if err == nil {
			return reply, true
		}
		q.markUnreachable(h.Name, time.Now().Add(q.unreachableTime()))
		q.cfg.Log.Info("keeper of quotas not reached", "peer", h.Name, "duty", q.cfg.Task, "of", r.Workspace, "error", err)
	}
	return quota.LeaseReply{}, false
}

// ownersToTry returns how many hosts a lease request is sent to in turn. With Config.Strict it
// is one. With two, when messages are late or lost, some hosts would use the second host while
// the others use the first, and both would lease out the whole quota.
func (q *Quotas) ownersToTry() int {
	if q.cfg.Strict {
		return 1
	}
	return maxOwnersTried
}

// unreachableTime returns how long an owner that did not reply gets no requests.
func (q *Quotas) unreachableTime() time.Duration {
	if q.cfg.Strict {
		return strictUnreachableTime
	}
	return unreachableTime
}

// convertClock converts the times of a reply from one clock to another. from and to are the
// current times of the two clocks.
func convertClock(reply quota.LeaseReply, from, to time.Time) quota.LeaseReply {
	for _, at := range []*time.Time{&reply.ExpiresAt, &reply.RetryAt} {
		if !at.IsZero() {
			*at = to.Add(at.Sub(from))
		}
	}
	return reply
}

// requestLeaseFrom sends a lease request to one host.
func (q *Quotas) requestLeaseFrom(h vetchtrail.Host, r quota.LeaseRequest) (quota.LeaseReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	m, err := q.cfg.Peers.RequestQuotaLease(ctx, h.PeerAddr, &schema.GrantRequest{
		From: q.cfg.Self.Name, Workspace: r.Workspace, Least: r.MinUnits, Want: r.WantedUnits, Asked: r.DemandedUnits, Spent: r.UnleasedUnits,
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

// isUnreachable reports whether a host recently did not reply.
func (q *Quotas) isUnreachable(host string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return now.Before(q.unreachable[host])
}

// markUnreachable stops lease requests to a host until a given time.
func (q *Quotas) markUnreachable(host string, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.unreachable[host] = until
}

// HandleLeaseRequest handles a lease request from another host.
func (q *Quotas) HandleLeaseRequest(m *schema.GrantRequest) *schema.GrantReply {
	now := time.Now()
	reply := q.leaseAsOwner(m.GetFrom(), quota.LeaseRequest{Workspace: m.GetWorkspace(), MinUnits: m.GetLeast(), WantedUnits: m.GetWant(), DemandedUnits: m.GetAsked(), UnleasedUnits: m.GetSpent()}, now)
	out := &schema.GrantReply{Granted: reply.Units, Left: reply.RegionLeft, Age: int64(reply.ReportAge), Share: reply.HostRate, Part: reply.RegionShare}
	if reply.Units > 0 {
		out.For = int64(reply.ExpiresAt.Sub(now))
	} else {
		out.Back = int64(reply.RetryAt.Sub(now))
	}
	return out
}

// leaseAsOwner handles a lease request as the owner of a workspace's quota, by the
// configuration of this host. If that has no limit for the workspace, it leases nothing.
func (q *Quotas) leaseAsOwner(from string, r quota.LeaseRequest, now time.Time) quota.LeaseReply {
	limit := q.cfg.QuotaSource().Quota(r.Workspace)
	if !limit.IsLimited() {
		return quota.LeaseReply{RetryAt: now.Add(ownerRetryDelay)}
	}
	seenShare := q.cfg.Hosts.SeenShare(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	o := q.owned(r.Workspace)
	o.lastUsed = now
	if q.cfg.Strategy == StrategyAssigned {
		return quota.LeaseReply{HostRate: o.assigner.HostRate(from, r.DemandedUnits, limit, now), ReportAge: o.RegionSplit.ReportAge(now)}
	}
	return o.Grant(r, limit, q.cfg.Tolerance, seenShare, now)
}

// owned returns the owner's state of a workspace, and creates it if needed. It must be called
// with q.mu locked.
func (q *Quotas) owned(workspace string) *ownedQuota {
	o, ok := q.ownedQuotas[workspace]
	if !ok {
		owned := quota.NewOwner(len(q.cfg.QuotaSource().RegionNames()), q.ownershipStart(q.shardOf(workspace), time.Now()))
		o = &ownedQuota{Owner: *owned, assigner: quota.NewShareAssigner(owned.RegionSplit)}
		q.ownedQuotas[workspace] = o
	}
	return o
}

// ownershipStart returns when this host became the owner of a shard in its region. It returns now
// if that isn't recorded: this host is not the owner, or no demand is exchanged because there is
// only one region. It must be called with q.mu locked.
func (q *Quotas) ownershipStart(shard int, now time.Time) time.Time {
	if ownedSince := q.ownedSince[shard]; !ownedSince.IsZero() {
		return ownedSince
	}
	return now
}
