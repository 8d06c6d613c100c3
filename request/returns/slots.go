package returns

import (
	"math"
	"time"

	"vetchtrail"
)

const (
	// OfferSlotLength is the length of the slots in which hosts report their planned returns
	// to each other. Reports are up to a heartbeat old, so shorter slots would be of no use.
	OfferSlotLength = 250 * time.Millisecond
	// OfferHorizon is how far ahead planned returns are reported: the second for which admission
	// reserves capacity, and the age that reports mostly have.
	OfferHorizon = 2 * time.Second
	// settleTime is how long after its slot a return has to have ended to count as arrived. It
	// allows for the duration of most responses.
	settleTime = 10 * time.Second
	// slotCount is the number of slots in a ring: those from settleTime ago to maxDelay ahead,
	// and one at either end that is only partly within these times.
	slotCount = int((settleTime+maxDelay)/SlotLength) + 2
)

// slotRing holds the planned work of the slots from first on.
type slotRing struct {
	first int
	work  [slotCount]float64
}

// add adds work to a slot. Slots outside of the ring are ignored.
func (s *slotRing) add(slot int, work float64) {
	if slot >= s.first && slot < s.first+slotCount {
		s.work[slot%slotCount] += work
	}
}

// planned returns the work that is planned for a slot.
func (s *slotRing) planned(slot int) float64 {
	if slot < s.first || slot >= s.first+slotCount {
		return 0
	}
	return s.work[slot%slotCount]
}

// dropBefore removes the slots before first, and returns the sum of their work.
func (s *slotRing) dropBefore(first int) float64 {
	sum := 0.0
	for n := 0; s.first < first; s.first++ {
		if n++; n > slotCount { // all are empty by now
			s.first = first
			break
		}
		sum += s.work[s.first%slotCount]
		s.work[s.first%slotCount] = 0
	}
	return sum
}

func (p *Plan) slotAt(t time.Time) int { return max(int(t.Sub(p.began)/SlotLength), 0) }

// settle counts the returns that were due some time ago.
func (p *Plan) settle(now time.Time) {
	due := 0.0
	for _, l := range p.ledgers {
		due += l.slots.dropBefore(p.slotAt(now.Add(-settleTime)))
	}
	p.arrivals.add(due, 0, now)
}

// Arrived records a return that has ended, planned by this host or another one: callers choose
// hosts at random, so a host gets as much of the other hosts' returns as they get of its own.
func (p *Plan) Arrived(work float64, now time.Time) {
	p.settle(now)
	p.arrivals.add(0, work, now)
}

// Offers appends the returns that are planned from now until OfferHorizon, by priority and by
// slots of OfferSlotLength, to list. Their work is what is expected to arrive.
func (p *Plan) Offers(list []vetchtrail.PlannedReturn, now time.Time) []vetchtrail.PlannedReturn {
	share := p.arrivals.share()
	for _, l := range p.ledgers {
		for from := time.Duration(0); from < OfferHorizon; from += OfferSlotLength {
			if work := p.plannedBetween(l, now.Add(from), now.Add(from+OfferSlotLength)); work > 0 {
				list = append(list, vetchtrail.PlannedReturn{Priority: l.priority, At: now.Add(from), Work: work * share})
			}
		}
	}
	return list
}

// plannedBetween returns the work of the slots that begin from a on and before b.
func (p *Plan) plannedBetween(l *ledger, a, b time.Time) float64 {
	sum := 0.0
	for n := p.slotAt(a.Add(SlotLength - 1)); p.slotStart(n).Before(b); n++ {
		sum += l.slots.planned(n)
	}
	return sum
}

const (
	// arrivalsDecayTime is how long returns count for the share of those that arrive.
	arrivalsDecayTime = 30 * time.Second
	// assumedArrivals is the work, in tokens, that is counted as due and as arrived in addition
	// to what was: a few long prompts. It keeps the first few observations from deciding.
	assumedArrivals = 20_000
	// minArrivalShare bounds the share from below: if more callers return than did before, at
	// most twice the work that was planned arrives.
	minArrivalShare = 0.5
)

// arrivals counts how much of the planned work arrives.
type arrivals struct {
	due, came float64 // tokens, decaying
	updatedAt time.Time
}

func (a *arrivals) add(due, came float64, now time.Time) {
	keep := math.Exp(-max(now.Sub(a.updatedAt).Seconds(), 0) / arrivalsDecayTime.Seconds())
	a.due, a.came, a.updatedAt = a.due*keep+due, a.came*keep+came, now
}

// share returns the part of the planned work that is expected to arrive.
func (a *arrivals) share() float64 {
	return min(max((a.came+assumedArrivals)/(a.due+assumedArrivals), minArrivalShare), 1)
}
