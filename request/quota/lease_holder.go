package quota

import "time"

const (
	// prefetchTime is how far ahead a host leases units for the demand of its own callers. A
	// workspace in constant use then costs a few lease requests per second.
	prefetchTime = 250 * time.Millisecond
	// minBlockTime and maxBlockTime bound how long a host requests no lease after a refusal, so
	// that a refused workspace costs a few lease requests per second and host, whatever its
	// callers do.
	minBlockTime = 50 * time.Millisecond
	maxBlockTime = 250 * time.Millisecond
)

// LeaseHolder is the state of one workspace's quota at a host that runs its requests.
type LeaseHolder struct {
	units         float64   // units leased and not yet used
	expiresAt     time.Time // until when the units may be used
	blockedUntil  time.Time // until when no lease is requested, after a refusal
	retryAt       time.Time // when units will be available, by the last refusal
	demandedUnits float64   // units requested by callers since the last lease request
	unleasedUnits float64   // units used without a lease since the last lease request
	unitDemand    Demand    // units that callers request per second
	requestDemand Demand    // requests per second
	lastReply     LeaseReply
	// prefetchedAt is when a lease was last requested in advance.
	prefetchedAt time.Time
}

// Spend deducts the units of a request if enough are leased. The request must have been
// counted with RecordDemand.
func (h *LeaseHolder) Spend(units float64, now time.Time) bool {
	if !now.Before(h.expiresAt) {
		h.units = 0
	}
	if h.units < units {
		return false
	}
	h.units -= units
	return true
}

// RecordDemand counts the units of a request that arrived.
func (h *LeaseHolder) RecordDemand(units float64, now time.Time) {
	h.demandedUnits += units
	h.unitDemand.Add(units, now)
	h.requestDemand.Add(1, now)
}

// expectedUnits returns how many units callers are likely to request within prefetchTime. It
// is 0 at a host that expects less than one request, which therefore leases nothing in advance:
// idle leases at some sixty hosts would use up the whole quota of a small workspace.
func (h *LeaseHolder) expectedUnits(now time.Time) float64 {
	if h.requestDemand.Rate(now)*prefetchTime.Seconds() < 1 {
		return 0
	}
	return h.unitDemand.Rate(now) * prefetchTime.Seconds()
}

// RecordUnleased counts units that were used without a lease. The next lease request reports
// them.
func (h *LeaseHolder) RecordUnleased(units float64) { h.unleasedUnits += units }

// Return gives back units that were not used, unless the lease has expired.
func (h *LeaseHolder) Return(units float64, now time.Time) {
	if now.Before(h.expiresAt) {
		h.units += units
	}
}

// DiscardLease drops all leased units.
func (h *LeaseHolder) DiscardLease() { h.units, h.expiresAt = 0, time.Time{} }

// Blocked reports whether no lease may be requested now, and when units will be available.
func (h *LeaseHolder) Blocked(now time.Time) (retryAt time.Time, blocked bool) {
	return h.retryAt, now.Before(h.blockedUntil)
}

// NewRequest returns a lease request for a waiting request, which needs minUnits, and for all
// waiting requests together, which need waitingUnits. A minUnits of 0 requests units in advance.
func (h *LeaseHolder) NewRequest(workspace string, minUnits, waitingUnits float64, now time.Time) LeaseRequest {
	r := LeaseRequest{Workspace: workspace, MinUnits: minUnits, DemandedUnits: h.demandedUnits, UnleasedUnits: h.unleasedUnits}
	if minUnits == 0 {
		h.prefetchedAt = now
	}
	r.WantedUnits = max(waitingUnits, h.expectedUnits(now))
	h.demandedUnits, h.unleasedUnits = 0, 0
	return r
}

// RestoreRequest is called for a lease request without a reply. It makes the next lease request
// report the same units again.
func (h *LeaseHolder) RestoreRequest(r LeaseRequest) {
	h.demandedUnits += r.DemandedUnits
	h.unleasedUnits += r.UnleasedUnits
}

// ApplyReply stores the reply to a lease request.
func (h *LeaseHolder) ApplyReply(r LeaseRequest, reply LeaseReply, now time.Time) {
	h.lastReply = reply
	if reply.Units > 0 {
		if !now.Before(h.expiresAt) {
			h.units = 0
		}
		h.units += reply.Units
		h.expiresAt = reply.ExpiresAt
		return
	}
	if r.MinUnits == 0 {
		return // requested in advance: the units held stay valid
	}
	h.retryAt = reply.RetryAt
	h.blockedUntil = now.Add(min(maxBlockTime, max(minBlockTime, reply.RetryAt.Sub(now))))
}

// Balance returns the units that are leased here, and the units left in the region and the
// report age by the last reply.
func (h *LeaseHolder) Balance(now time.Time) (here, region float64, age time.Duration) {
	if now.Before(h.expiresAt) {
		here = h.units
	}
	return here, h.lastReply.RegionLeft, h.lastReply.ReportAge
}

// ShouldPrefetch reports whether to request the next lease before the leased units are used
// up, at most once in minBlockTime.
func (h *LeaseHolder) ShouldPrefetch(now time.Time) bool {
	return h.units < h.expectedUnits(now)*prefetchThreshold && !now.Before(h.prefetchedAt.Add(minBlockTime))
}

// prefetchThreshold is the fraction of the expected units below which the next lease is
// requested.
const prefetchThreshold = 0.3

// Idle reports whether no caller has made a request for idleAfter, so that the state may be
// dropped.
func (h *LeaseHolder) Idle(now time.Time) bool { return now.Sub(h.unitDemand.updatedAt) > idleAfter }

// idleAfter is how long a host keeps the state of a workspace without requests.
const idleAfter = time.Minute
