package quota

import (
	"time"

	"vetchtrail"
)

// ShareAssigner divides a region's share of a quota among its hosts by their recent demand. It
// never withdraws a rate: until the other hosts have requested theirs again, the rates of all
// hosts may add up to more than the region's share.
type ShareAssigner struct {
	RegionSplit *RegionSplit
	hosts       map[string]*Demand // by host
	total       Demand
}

// NewShareAssigner returns a ShareAssigner without hosts.
func NewShareAssigner(split *RegionSplit) *ShareAssigner {
	return &ShareAssigner{RegionSplit: split, hosts: map[string]*Demand{}}
}

// Demand returns the units per second that the region's callers request.
func (s *ShareAssigner) Demand(now time.Time) float64 { return s.total.Rate(now) }

// HostRate returns the units per second that a host may use. demandedUnits is what its callers
// requested since the host's last request.
func (s *ShareAssigner) HostRate(host string, demandedUnits float64, q vetchtrail.Quota, now time.Time) float64 {
	s.total.Add(demandedUnits, now)
	d, ok := s.hosts[host]
	if !ok {
		d = &Demand{}
		s.hosts[host] = d
	}
	d.Add(demandedUnits, now)
	regionRate, sum := s.RegionSplit.RegionRate(q.Rate, s.total.Rate(now)), 0.0
	for _, other := range s.hosts {
		sum += other.Rate(now)
	}
	ownDemand := d.Rate(now)
	if sum > regionRate {
		return regionRate * ownDemand / sum
	}
	return ownDemand + (regionRate-sum)/float64(len(s.hosts))
}

const (
	// shareInterval is how often a host requests its rate.
	shareInterval = 250 * time.Millisecond
	// shareTTL is how long a rate is valid without a new reply. After that the host uses an equal
	// share.
	shareTTL = time.Second
)

// AssignedShare is a host's share of a workspace's quota, at the rate that the owner assigned.
type AssignedShare struct {
	bucket        bucket
	rate          float64   // units per second
	expiresAt     time.Time // until when the rate is valid
	nextRequestAt time.Time // when the host requests its rate again
	started       bool      // the bucket has its initial level
}

// RequestDue reports whether the host should request its rate now. If it returns true, the next
// request is due only after shareInterval, so the caller must make this one.
func (a *AssignedShare) RequestDue(now time.Time) bool {
	if now.Before(a.nextRequestAt) {
		return false
	}
	a.nextRequestAt = now.Add(shareInterval)
	return true
}

// ApplyReply stores the rate from the owner's reply.
func (a *AssignedShare) ApplyReply(rate float64, now time.Time) {
	a.rate, a.expiresAt = rate, now.Add(shareTTL)
}

// Take deducts units if the host's share has any left. A request may cost more than is left,
// and the share then owes the difference. If it is refused, retryAt is when units will be
// available.
func (a *AssignedShare) Take(units float64, q vetchtrail.Quota, t Tolerance, hosts int, now time.Time) (ok bool, retryAt time.Time) {
	rate := q.Rate / float64(max(1, hosts))
	if now.Before(a.expiresAt) {
		rate = a.rate
	}
	capacity := t.capacity(q) * rate / q.Rate
	if !a.started {
		a.started = true
		a.bucket = bucket{level: initialFill * capacity, updatedAt: now}
	}
	a.bucket.fill(rate, capacity, now)
	if a.bucket.level <= 0 {
		return false, now.Add(a.bucket.wait(1, rate))
	}
	a.bucket.spend(units)
	return true, time.Time{}
}

// Return gives back units that were not used.
func (a *AssignedShare) Return(units float64) { a.bucket.level += units }
