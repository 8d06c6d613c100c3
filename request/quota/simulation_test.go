package quota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"vetchtrail"
	"vetchtrail/standin/eventqueue"
)

// The simulation runs the hosts of three regions on virtual time. Messages are delayed or lost,
// regions and hosts are partitioned, hosts restart without their state, and the callers' demand
// moves between regions.

// simStart is when a simulation starts.
var simStart = time.Unix(1_800_000_000, 0)

// strategy is a way to enforce a quota.
type strategy string

const (
	strategyLeased   strategy = "leased"
	strategyEqual    strategy = "equal"
	strategyAssigned strategy = "told"
)

// simHost is a simulated host and its state.
type simHost struct {
	name           string
	region         int
	instance       int       // counts the starts of the host
	down           bool      // not running
	partitioned    bool      // partitioned from all other hosts
	partitionedAt  time.Time // when it was partitioned
	holder         LeaseHolder
	equalShare     EqualShare
	assignedShare  AssignedShare
	requestPending bool      // a lease request is under way
	unleasedUntil  time.Time // until when it uses its equal share, as no owner replied
	owner          *Owner
	assigner       *ShareAssigner
	startedAt      time.Time
}

// sim is one run of the simulation, in which all hosts use the same strategy.
type sim struct {
	strategy    strategy
	quota       vetchtrail.Quota
	tolerance   Tolerance
	rng         *rand.Rand
	now         time.Time
	events      eventqueue.EventQueue
	hosts       []*simHost
	partitioned [3]bool // regions that are partitioned from the others
	lossShare   float64 // fraction of messages lost
	messages    int     // number sent
	sequence    uint64  // number of the last demand report
	disabled    string  // the mechanism that is switched off; empty: none

	usages             []usage
	requests           int    // number of requests
	withinQuota        int    // of these, the ones that a single bucket for all hosts accepts
	refusedWithinQuota int    // of these, the ones that were refused
	idealBucket        bucket // the single bucket
}

// usage is a request that ran.
type usage struct {
	at    time.Time
	units float64
}

// newSim returns a simulation whose regions have already exchanged their demand.
func newSim(kind strategy, q vetchtrail.Quota, seed uint64, hosts int) *sim {
	s := &sim{
		strategy: kind, quota: q, rng: rand.New(rand.NewPCG(seed, 7)), now: simStart,
		tolerance:   Tolerance{Window: 8 * time.Second, Overage: 0.1, Slack: 140_000},
		idealBucket: bucket{level: q.Burst, updatedAt: simStart},
	}
	for i := range hosts {
		h := &simHost{name: fmt.Sprint("h", i), region: i % 3}
		s.hosts = append(s.hosts, h)
		s.start(h)
	}
	for range 40 {
		s.exchangeRound()
	}
	return s
}

// start starts a host without any state.
func (s *sim) start(h *simHost) {
	instance := h.instance + 1
	*h = simHost{name: h.name, region: h.region, instance: instance, startedAt: s.now}
	since := s.now
	if s.disabled == "an owner starts with a full bucket" {
		since = since.Add(-time.Hour)
	}
	h.owner, h.assigner = NewOwner(3, since), NewShareAssigner(NewRegionSplit(3))
}

// after schedules a function.
func (s *sim) after(d time.Duration, do func()) {
	s.events.Schedule(s.now.Add(d), do)
}

// advance runs everything scheduled up to a given time.
func (s *sim) advance(to time.Time) {
	for {
		at, do, ok := s.events.Next(to)
		if !ok {
			break
		}
		s.now = at
		do()
	}
	s.now = to
}

// ownerOf returns the region's owner: its first live host that is not partitioned.
func (s *sim) ownerOf(region int) *simHost {
	for _, h := range s.hosts {
		if h.region == region && !h.down && !h.partitioned {
			return h
		}
	}
	return nil
}

// seenShare returns the fraction of a region's hosts that its owner counts as alive. The owner
// stops counting a partitioned host after two seconds. It keeps counting hosts that are down.
func (s *sim) seenShare(region int) float64 {
	all, seen := 0, 0
	for _, h := range s.hosts {
		if h.region != region {
			continue
		}
		all++
		if !h.partitioned || s.now.Sub(h.partitionedAt) < 2*time.Second {
			seen++
		}
	}
	return float64(seen) / float64(all)
}

// send delivers a message after a delay, unless it is lost, or the receiver is partitioned or
// has restarted by then.
func (s *sim) send(from, to *simHost, do func()) {
	s.messages++
	delay := time.Duration(1+s.rng.IntN(8)) * time.Millisecond
	if from.region != to.region {
		delay += 55 * time.Millisecond
	}
	if s.rng.Float64() < s.lossShare {
		return
	}
	instances := [2]int{from.instance, to.instance}
	s.after(delay, func() {
		regionsPartitioned := from.region != to.region && (s.partitioned[from.region] || s.partitioned[to.region])
		if !to.down && to.instance == instances[1] && !regionsPartitioned && !from.partitioned && !to.partitioned {
			do()
		}
	})
}

// requestLease sends a host's lease request to the owner in its region.
func (s *sim) requestLease(h *simHost, minUnits float64) {
	ownerHost := s.ownerOf(h.region)
	if h.requestPending || ownerHost == nil {
		return
	}
	h.requestPending = true
	leaseRequest := h.holder.NewRequest("w", minUnits, minUnits, s.now)
	instance, replied := h.instance, false
	s.after(150*time.Millisecond, func() {
		if h.instance == instance && !replied {
			h.requestPending = false
			h.holder.RestoreRequest(leaseRequest)
			h.unleasedUntil = s.now.Add(500 * time.Millisecond)
		}
	})
	s.send(h, ownerHost, func() {
		if s.strategy == strategyAssigned {
			hostRate := ownerHost.assigner.HostRate(h.name, leaseRequest.DemandedUnits, s.quota, s.now)
			s.send(ownerHost, h, func() {
				replied, h.requestPending = true, false
				h.assignedShare.ApplyReply(hostRate, s.now)
			})
			return
		}
		reply := ownerHost.owner.Grant(leaseRequest, s.quota, s.tolerance, s.seenShare(h.region), s.now)
		if s.disabled == "leases are not deducted from the bucket" {
			ownerHost.owner.bucket.level += reply.Units
		}
		s.send(ownerHost, h, func() {
			if replied {
				return
			}
			if s.now.After(reply.ExpiresAt) && reply.Units > 0 {
				return
			}
			replied, h.requestPending = true, false
			h.holder.ApplyReply(leaseRequest, reply, s.now)
			if s.disabled != "units used without a lease are not reported" {
				h.equalShare.SetRegionShare(reply.RegionShare, 3)
			}
		})
	})
}

// request makes one caller's request at a host.
func (s *sim) request(h *simHost, units float64) {
	s.requests++
	s.idealBucket.fill(s.quota.Rate, s.quota.Burst, s.now)
	idealAccepts := s.idealBucket.level >= units
	if idealAccepts {
		s.idealBucket.level -= units
		s.withinQuota++
	}
	h.holder.RecordDemand(units, s.now)
	s.attempt(h, units, idealAccepts, 3)
}

// attempt runs a request if the quota allows it. While the host's lease request is under way, it
// tries again every 20 ms, up to attemptsLeft times.
func (s *sim) attempt(h *simHost, units float64, idealAccepts bool, attemptsLeft int) {
	ok, wait := s.take(h, units)
	switch {
	case ok:
		s.usages = append(s.usages, usage{s.now, units})
	case wait && attemptsLeft > 0:
		instance := h.instance
		s.after(20*time.Millisecond, func() {
			if h.instance == instance && !h.down {
				s.attempt(h, units, idealAccepts, attemptsLeft-1)
			}
		})
	case idealAccepts:
		s.refusedWithinQuota++
	}
}

// take spends the units of a request by the strategy of the simulation. If wait is true, a
// lease request is under way, and take may be called again after its reply.
func (s *sim) take(h *simHost, units float64) (ok, wait bool) {
	switch s.strategy {
	case strategyEqual:
		ok, _ = h.equalShare.Take(units, s.quota, s.tolerance, len(s.hosts), s.now)
		return ok, false
	case strategyAssigned:
		if h.assignedShare.RequestDue(s.now) {
			s.requestLease(h, 0)
		}
		ok, _ = h.assignedShare.Take(units, s.quota, s.tolerance, len(s.hosts), s.now)
		return ok, false
	}
	if h.holder.Spend(units, s.now) {
		if s.disabled != "units used without a lease are not reported" {
			h.equalShare.Spend(units)
		}
		if h.holder.ShouldPrefetch(s.now) {
			s.requestLease(h, 0)
		}
		return true, false
	}
	if s.now.Before(h.unleasedUntil) {
		if ok, _ = h.equalShare.Take(units, s.quota, s.tolerance, len(s.hosts), s.now); ok && s.disabled != "units used without a lease are not reported" {
			h.holder.RecordUnleased(units)
		}
		return ok, false
	}
	if _, blocked := h.holder.Blocked(s.now); blocked {
		return false, false
	}
	s.requestLease(h, units)
	return false, true
}

// exchangeRound exchanges demand reports between the owners of all regions, and then advances
// the simulation by 200 ms.
func (s *sim) exchangeRound() {
	for from := range 3 {
		ownerHost := s.ownerOf(from)
		for to := range 3 {
			if remoteOwnerHost := s.ownerOf(to); ownerHost != nil && remoteOwnerHost != nil && from != to {
				s.exchange(ownerHost, remoteOwnerHost)
			}
		}
	}
	s.advance(s.now.Add(200 * time.Millisecond))
}

// split returns an owner's RegionSplit and the demand in its region.
func (s *sim) split(h *simHost) (*RegionSplit, float64) {
	if s.strategy == strategyAssigned {
		return h.assigner.RegionSplit, h.assigner.Demand(s.now)
	}
	return h.owner.RegionSplit, h.owner.Demand(s.now)
}

// exchange sends a demand report from one owner to another, which confirms it with its own.
func (s *sim) exchange(from, to *simHost) {
	split, rate := s.split(from)
	s.sequence++
	sequence := s.sequence
	split.MarkSent(fmt.Sprint(to.region), rate)
	if s.disabled == "demand counts before it is confirmed" {
		split.MarkConfirmed(fmt.Sprint(to.region), rate)
	}
	s.send(from, to, func() {
		remoteSplit, remoteRate := s.split(to)
		remoteSplit.Receive(fmt.Sprint(from.region), from.name, sequence, rate, s.now)
		s.sequence++
		replySequence := s.sequence
		remoteSplit.MarkSent(fmt.Sprint(from.region), remoteRate)
		s.send(to, from, func() {
			split.MarkConfirmed(fmt.Sprint(to.region), rate)
			split.Receive(fmt.Sprint(to.region), to.name, replySequence, remoteRate, s.now)
		})
	})
}
