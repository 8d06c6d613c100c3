package quota

import (
	"time"

	"vetchtrail"
)

// EqualShare is a host's equal share of a workspace's quota. It needs no communication between
// hosts, but it refuses requests at busy hosts while the shares of other hosts stay unused.
type EqualShare struct {
	bucket        bucket
	started       bool    // the bucket has its initial level
	relativeShare float64 // the region's share of the quota relative to an equal one; 0: unknown
}

// Take deducts units if this host's share has any left. hosts is the number of hosts among
// which the quota is divided. A request may cost more than is left, and the share then owes
// the difference. If it is refused, retryAt is when units will be available.
func (e *EqualShare) Take(units float64, q vetchtrail.Quota, t Tolerance, hosts int, now time.Time) (ok bool, retryAt time.Time) {
	n := float64(max(1, hosts)) / e.shareFactor()
	capacity := t.capacity(q) / n
	if !e.started {
		e.started = true
		e.bucket = bucket{level: initialFill * capacity, updatedAt: now}
	}
	e.bucket.fill(q.Rate/n, capacity, now)
	if e.bucket.level <= 0 {
		return false, now.Add(e.bucket.wait(1, q.Rate/n))
	}
	e.bucket.spend(units)
	return true, time.Time{}
}

// SetRegionShare stores the fraction of the quota that the region may use, as its owner last
// reported it, and the number of regions. A host without an owner is limited to its share of
// the region's fraction. With an equal share of the whole quota, hosts in regions with a small
// fraction would exceed the quota, because the owners of the other regions lease the rest.
func (e *EqualShare) SetRegionShare(share float64, regions int) {
	e.relativeShare = share * float64(regions)
}

// shareFactor returns the factor, at most 1, by which the equal share is reduced.
func (e *EqualShare) shareFactor() float64 {
	if e.relativeShare <= 0 {
		return 1
	}
	return min(1, e.relativeShare)
}

// Spend deducts units that the host used under a lease, so that it cannot use them a second
// time when it reaches no owner. It leaves a debt as it is: where every second lease request
// is lost, a host uses leases and its equal share in turn, and would exceed the quota if each
// lease cleared the debt.
func (e *EqualShare) Spend(units float64) {
	e.bucket.level = min(e.bucket.level, max(0, e.bucket.level-units))
}

// Return gives back units that were not used.
func (e *EqualShare) Return(units float64) { e.bucket.level += units }
