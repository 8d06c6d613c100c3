package returns

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

var start = time.Unix(1_800_000_000, 0)

// demandOf returns the demand for one host with a supply of 100,000 tokens a second.
func demandOf(classes ...vetchtrail.ClassDemand) *vetchtrail.ServiceDemand {
	return &vetchtrail.ServiceDemand{Supply: 100_000, Hosts: 1, Classes: classes}
}

// TestFirstReturn guards against times at which the caller can't be served any more, or that it
// doesn't follow, against slots without capacity, and against lower priorities that take the
// capacity of higher ones.
func TestFirstReturn(t *testing.T) {
	long := Refused{Priority: 1, Work: 1000, Goal: start.Add(time.Second), Deadline: start.Add(12 * time.Second), ResponseTime: 4 * time.Second}
	short := Refused{Priority: 1, Work: 1000, Goal: start.Add(time.Second), Deadline: start.Add(1200 * time.Millisecond), ResponseTime: time.Second}
	returned, large, low := long, long, long
	returned.Returned = true
	large.Work = 1e9
	low.Priority = 0
	full := demandOf(vetchtrail.ClassDemand{Priority: 1, Asked: 300_000, Admitted: 100_000})
	highOnly := demandOf(vetchtrail.ClassDemand{Priority: 1, Asked: 90_000, Admitted: 90_000}, vetchtrail.ClassDemand{Priority: 0, Asked: 210_000, Admitted: 10_000})
	cases := map[string]struct {
		f      Refused
		demand *vetchtrail.ServiceDemand
		ok     bool
		latest time.Duration
	}{
		"within the objective":                      {long, full, true, 500 * time.Millisecond},
		"response takes longer than is left":        {short, full, false, 0},
		"refused for the second time":               {returned, full, false, 0},
		"more work than can be processed":           {large, full, false, 0},
		"measured too long ago":                     {long, &vetchtrail.ServiceDemand{Supply: 100_000, Hosts: 1, Age: time.Hour}, false, 0},
		"no supply":                                 {long, &vetchtrail.ServiceDemand{Hosts: 1}, false, 0},
		"lower priority, higher refused":            {low, full, false, 0},
		"lower priority, higher all admitted":       {low, highOnly, true, 4 * time.Second},
		"higher priority, lower refused":            {long, highOnly, true, 500 * time.Millisecond},
		"more hosts than the supply has tokens for": {long, &vetchtrail.ServiceDemand{Supply: 100, Hosts: 1000}, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			// Uses up what a new plan begins with.
			p, rnd := New(start), rand.New(rand.NewPCG(1, 2))
			p.Add(Refused{Priority: c.f.Priority, Work: 1000, Goal: c.f.Goal, Deadline: start.Add(12 * time.Second)}, c.demand, start, rnd)
			at, ok := p.Add(c.f, c.demand, start, rnd)
			assert.Equal(t, ok, c.ok)
			if !ok {
				assert.Assert(t, at.After(c.f.Deadline))
				return
			}
			assert.Assert(t, at.Sub(start) >= minDelay && at.Sub(start) <= c.latest, "%s", at.Sub(start))
		})
	}
}

// TestPlannedRate guards against more returns in any second than the reserved share of the
// supply, and against late returns that take the capacity of those in time.
func TestPlannedRate(t *testing.T) {
	p, rnd := New(start), rand.New(rand.NewPCG(3, 4))
	d := demandOf(vetchtrail.ClassDemand{Asked: 300_000, Admitted: 75_000})
	planned, inTime := map[int]float64{}, 0
	for i := range 4000 {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		goal := now.Add(time.Second)
		at, ok := p.Add(Refused{Work: 1000, Goal: goal, Deadline: now.Add(12 * time.Second), ResponseTime: time.Second}, d, now, rnd)
		if !ok {
			continue
		}
		p.Arrived(1000, now) // at the rate at which returns are planned, so that all count as arrived
		planned[int(at.Sub(start)/time.Second)] += 1000
		if at.Before(goal) {
			inTime++
		}
	}
	assert.Assert(t, len(planned) > 20)
	for second, work := range planned {
		assert.Assert(t, work <= (reservedShare+keptTime.Seconds()*reservedShare)*d.Supply+1000, "second %d: %g", second, work)
	}
	assert.Assert(t, inTime >= 20*int((reservedShare-lateShare)*d.Supply/1000), "%d", inTime)
}

// TestReturnsThatDoNotArrive guards against capacity that stays reserved for callers that don't
// return, and against work that is offered to other hosts after its slot.
func TestReturnsThatDoNotArrive(t *testing.T) {
	for arrive, low := range map[bool]float64{true: 0.9, false: minArrivalShare} {
		p, rnd := New(start), rand.New(rand.NewPCG(5, 6))
		d := demandOf(vetchtrail.ClassDemand{Asked: 300_000, Admitted: 75_000})
		now := start
		for ; now.Before(start.Add(time.Minute)); now = now.Add(10 * time.Millisecond) {
			if _, ok := p.Add(Refused{Work: 2000, Goal: now.Add(time.Second), Deadline: now.Add(12 * time.Second)}, d, now, rnd); ok && arrive {
				p.Arrived(2000, now)
			}
		}
		assert.Assert(t, p.arrivals.share() >= low && (arrive || p.arrivals.share() == low), "%g", p.arrivals.share())
		offers, planned, last := p.Offers(nil, now), 0.0, p.slotAt(now.Add(OfferHorizon-1))
		for n := p.slotAt(now.Add(SlotLength - 1)); n <= last; n++ {
			planned += p.ledgers[0].slots.planned(n)
		}
		offered := 0.0
		for _, o := range offers {
			assert.Assert(t, !o.At.Before(now) && o.At.Before(now.Add(OfferHorizon)))
			offered += o.Work
		}
		assert.Assert(t, offered > 0 && math.Abs(offered-planned*p.arrivals.share()) < 1, "%g %g", offered, planned)
		assert.Equal(t, len(p.Offers(nil, now.Add(time.Hour))), 0)
	}
}

// TestBoundedPlan guards against memory that grows with the number of priorities or refusals,
// and against a request that states far too much work and allows a burst of others later.
func TestBoundedPlan(t *testing.T) {
	p, rnd := New(start), rand.New(rand.NewPCG(7, 8))
	for i := range 10 * maxPriorities {
		now := start.Add(time.Duration(i) * time.Hour)
		p.Add(Refused{Priority: int8(i), Work: 1e12, Deadline: now.Add(time.Minute)}, demandOf(), now, rnd)
		p.Add(Refused{Priority: 0, Work: 1000, Deadline: now.Add(time.Minute)}, demandOf(), now, rnd)
	}
	assert.Equal(t, len(p.ledgers), maxPriorities)
	for _, l := range p.ledgers {
		assert.Assert(t, l.any.credit <= 100_000*maxKeptTime.Seconds(), "%g", l.any.credit)
	}
}
