// Package returns decides when the callers of requests that a host refused for lack of
// capacity should return. It is pure: time, randomness and demand are arguments. Package
// process/returns keeps the plans and exchanges them with other hosts.
//
// A plan grants returns at a rate (HostRates). Work that has been planned is charged at once, so
// a return fits from the time at which the rate has paid for all work that was planned before
// it and for its own. Requests are large compared with what one host may plan in a slot:
// unused capacity is therefore kept for later requests, within a bound.
package returns

import (
	"math/rand/v2"
	"time"

	"vetchtrail"
)

const (
	// SlotLength is the length of the slots in which returns are planned. It is short compared
	// with latency objectives, so that little time is lost by waiting for a slot to begin.
	SlotLength = 100 * time.Millisecond
	// keptTime bounds the capacity that a host keeps while it plans no returns. More of it
	// would be used within a short time, by all hosts together. The capacity for one
	// request is kept too, within maxKeptTime.
	keptTime = 500 * time.Millisecond
	// maxKeptTime bounds what is kept for one request. Callers state the size of their requests,
	// and one that states far too much must not allow a burst of others later.
	maxKeptTime = time.Minute
	// workDecay is the factor by which the kept capacity for one large request falls with
	// each smaller one.
	workDecay = 0.99
	// maxPriorities bounds the priorities that a plan tells apart. Returns of further ones are
	// not planned.
	maxPriorities = 8
	// shortageGap is the time without a refusal after which a shortage has ended. A host that
	// is short of capacity refuses several requests a second.
	shortageGap = 2 * time.Second
)

// Plan is one host's plan for one service. It is not safe for concurrent use.
type Plan struct {
	began      time.Time // beginning of slot 0
	ledgers    []*ledger // by priority, in no particular order
	arrivals   arrivals
	shortSince time.Time // beginning of the shortage; zero: there is none
	refusedAt  time.Time // newest refusal
}

// ledger holds the returns of one priority.
type ledger struct {
	priority    int8
	inObjective account // of Rates.InObjective
	any         account // of Rates.Any
	largest     float64 // work of a large request
	updatedAt   time.Time
	slots       slotRing
}

// New returns an empty plan.
func New(now time.Time) *Plan { return &Plan{began: now} }

// Add plans the return of a refused request. It returns when its caller should retry, at a
// random time within a slot. If there is no slot in which it can be served, ok is false, and
// the time is that at which the shortage probably ends, which is after the deadline.
func (p *Plan) Add(f Refused, d *vetchtrail.ServiceDemand, now time.Time, rnd *rand.Rand) (at time.Time, ok bool) {
	p.noteRefusal(d, now)
	p.settle(now)
	l := p.ledger(f.Priority, now)
	if l == nil || f.Returned || !(f.Work > 0) {
		return p.shortageEnd(f.Deadline, now), false
	}
	rates := HostRates(d, f.Priority)
	work := f.Work * p.arrivals.share()
	l.accrue(rates, work, now, rnd)
	objective, deadline := f.limits(now)
	account := &l.inObjective
	n, ok := p.slotWithin(now, account.wait(work, rates.InObjective), objective)
	if !ok {
		account = &l.any
		if n, ok = p.slotWithin(now, account.wait(work, rates.Any), deadline); !ok {
			return p.shortageEnd(f.Deadline, now), false
		}
	}
	account.credit -= work
	l.slots.add(n, f.Work)
	return p.slotStart(n).Add(scale(SlotLength, rnd.Float64())), true
}

// account is the capacity for returns that use the same rate.
type account struct {
	credit float64 // tokens that may be planned now; negative: planned ahead
}

// wait returns how long it takes until work fits. It is over maxDelay if it never does.
func (a *account) wait(work, rate float64) time.Duration {
	switch missing := work - a.credit; {
	case missing <= 0:
		return 0
	case missing >= rate*maxDelay.Seconds():
		return 2 * maxDelay
	default:
		return time.Duration(missing / rate * float64(time.Second))
	}
}

// accrue adds the capacity of a time in seconds. It keeps at most that of keptTime or, within
// maxKeptTime, largest.
func (a *account) accrue(rate, seconds, largest float64) {
	a.credit = min(a.credit+rate*seconds, max(rate*keptTime.Seconds(), min(largest, rate*maxKeptTime.Seconds())))
}

// slotWithin returns the first slot that begins after the given wait, if it ends by latest.
func (p *Plan) slotWithin(now time.Time, wait time.Duration, latest time.Time) (slot int, ok bool) {
	slot = int((now.Sub(p.began)+max(wait, minDelay)-1)/SlotLength) + 1
	return slot, !p.slotStart(slot + 1).After(latest)
}

func (p *Plan) slotStart(n int) time.Time { return p.began.Add(time.Duration(n) * SlotLength) }

// ledger returns the ledger of a priority, or nil if there are too many.
func (p *Plan) ledger(priority int8, now time.Time) *ledger {
	for _, l := range p.ledgers {
		if l.priority == priority {
			return l
		}
	}
	if len(p.ledgers) == maxPriorities {
		return nil
	}
	l := &ledger{priority: priority, updatedAt: now, slots: slotRing{first: p.slotAt(now)}}
	p.ledgers = append(p.ledgers, l)
	return l
}

// accrue adds the capacity since the last call. A new ledger begins with a random part of the
// work of a request: otherwise all hosts would plan their first returns at the same time.
func (l *ledger) accrue(rates Rates, work float64, now time.Time, rnd *rand.Rand) {
	if l.largest == 0 {
		l.inObjective.credit, l.any.credit = work*rnd.Float64(), work*rnd.Float64()
	}
	l.largest = max(work, workDecay*l.largest)
	seconds := max(now.Sub(l.updatedAt).Seconds(), 0)
	l.updatedAt = now
	l.inObjective.accrue(rates.InObjective, seconds, l.largest)
	l.any.accrue(rates.Any, seconds, l.largest)
}

// noteRefusal records a refusal, from which the duration of the shortage follows.
func (p *Plan) noteRefusal(d *vetchtrail.ServiceDemand, now time.Time) {
	if !Short(d) {
		p.shortSince = time.Time{}
	} else if p.shortSince.IsZero() || now.Sub(p.refusedAt) > shortageGap {
		p.shortSince = now
	}
	p.refusedAt = now
}

// shortageEnd returns when the shortage probably ends. A shortage of unknown duration is
// expected to last as long again as it has lasted. The time is after the request's deadline,
// and bounded by maxDelay unless the deadline is later.
func (p *Plan) shortageEnd(deadline, now time.Time) time.Time {
	end := now.Add(minDelay)
	if !p.shortSince.IsZero() {
		end = now.Add(min(now.Sub(p.shortSince), maxDelay))
	}
	return vetchtrail.Later(end, deadline.Add(SlotLength))
}
