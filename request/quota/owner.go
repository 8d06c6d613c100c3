package quota

import (
	"math"
	"time"

	"vetchtrail"
)

// LeaseRequest is a request to a region's owner for units of a workspace's quota.
type LeaseRequest struct {
	Workspace     string
	MinUnits      float64 // units that one request needs; 0: the host leases in advance
	WantedUnits   float64 // units that the host can use in the near future
	DemandedUnits float64 // units that callers requested from the host since its last lease request
	UnleasedUnits float64 // units that the host used without a lease since then, as it reached no owner
}

// LeaseReply is the reply to a LeaseRequest.
type LeaseReply struct {
	Units       float64       // units leased; 0: refused
	ExpiresAt   time.Time     // until when the units may be used
	RetryAt     time.Time     // if refused: when units will be available
	RegionLeft  float64       // units left in the region's bucket
	ReportAge   time.Duration // age of the oldest demand report from another region; negative: one never reported
	HostRate    float64       // units per second that the host may use, where hosts have an AssignedShare
	RegionShare float64       // fraction of the quota that the region may use; 0: unknown
}

// leaseTime is how long leased units may be used. Units leased to a host that crashes are lost:
// the owner has already deducted them and doesn't add them back. Units used in a window may have
// been leased up to this time before the window began. A further lease extends the time for units
// that are still unused (LeaseHolder.ApplyReply).
const leaseTime = 500 * time.Millisecond

// Owner is the state of one workspace's quota at the host that owns it for a region.
type Owner struct {
	RegionSplit *RegionSplit
	bucket      bucket
	demand      Demand
	started     bool // the bucket has its initial level
}

// NewOwner returns an Owner without demand or reports, for a host that has been the region's
// owner since a given time. The units that have accrued since then are available.
func NewOwner(regions int, since time.Time) *Owner {
	return &Owner{RegionSplit: NewRegionSplit(regions), bucket: bucket{updatedAt: since}}
}

// Demand returns the units per second that the region's callers request.
func (o *Owner) Demand(now time.Time) float64 { return o.demand.Rate(now) }

// Grant replies to a lease request under the quota in force. A request for more units than the
// bucket can hold is granted when the bucket is full, and the bucket then owes the difference.
// seenShare is the fraction of the region's hosts that this host receives heartbeats from, by
// which the region's rate is multiplied: the other hosts may be partitioned from this one and
// use their fraction of the quota without an owner or with another one.
func (o *Owner) Grant(r LeaseRequest, q vetchtrail.Quota, t Tolerance, seenShare float64, now time.Time) LeaseReply {
	o.demand.Add(r.DemandedUnits, now)
	regionRate := seenShare * o.RegionSplit.RegionRate(q.Rate, o.demand.Rate(now))
	capacity := t.capacity(q) / float64(o.RegionSplit.regions)
	if !o.started {
		o.started = true
		o.bucket.level = initialFill * capacity
	}
	o.bucket.fill(regionRate, capacity, now)
	o.bucket.level -= r.UnleasedUnits
	reply := LeaseReply{RegionLeft: o.bucket.level, ReportAge: o.RegionSplit.ReportAge(now), RegionShare: o.RegionSplit.RegionRate(q.Rate, o.demand.Rate(now)) / q.Rate}
	needed := min(r.MinUnits, capacity)
	if o.bucket.level < needed || o.bucket.level <= 0 {
		reply.RetryAt = now.Add(o.bucket.wait(max(needed, 1), regionRate))
		return reply
	}
	reply.Units = max(r.MinUnits, min(r.WantedUnits, o.bucket.level))
	if q.Unit == vetchtrail.UnitRequests {
		// A fraction of a request cannot be used and would expire with the lease.
		reply.Units = math.Floor(reply.Units)
	}
	reply.ExpiresAt = now.Add(leaseTime)
	o.bucket.spend(reply.Units)
	reply.RegionLeft = o.bucket.level
	return reply
}
