// Package policy holds the pure policies that decide where a request runs.
// None does I/O or reads a clock.
package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"vetchtrail"
)

const (
	// evenSpread is the share of a request's service time by which two
	// candidates' costs may differ and still be taken as equal.
	evenSpread = 0.002
	// tooFar is how many spreads from the best a cost has no chance.
	tooFar = 3.0
)

// Weighted is the policy of the system: it weighs the predicted time to the
// first token, leaving the region, and engine time by the service's weights.
type Weighted struct {
	Off vetchtrail.Mechanisms // that are not used
}

// scored is what is found on the pass over the endpoints.
type scored struct {
	costs   [heldCosts]float64 // of the first endpoints; unusable: the largest number
	best    float64            // lowest cost
	lowest  int                // endpoint that has it
	open    int                // endpoints that may take a request now
	full    int                // that may not for their limit only
	limited int                // of these, that name a rate of which nothing is left
	paused  int                // of these, that want nothing from this host for a time
	slow    int                // that would not end the answer in time
	wait    float64            // shortest predicted wait at those
	others  float64            // requests of other hosts at an endpoint, in the mean
	now     time.Time
	off     vetchtrail.Mechanisms
}

// heldCosts is how many costs are held between the passes; those of further
// endpoints are worked out again.
const heldCosts = 320

// Decide implements vetchtrail.Policy.
func (w Weighted) Decide(now time.Time, r *vetchtrail.Request, v *vetchtrail.View, rnd *rand.Rand) vetchtrail.Decision {
	var d vetchtrail.Decision
	s := scored{off: w.Off}
	if !now.Before(r.Deadline) {
		return refuse(&d, vetchtrail.ReasonDeadline, now, 0)
	}
	score(&s, &d, now, r, v)
	s.wait = max(s.wait, v.Line)
	remote, remoteCost := bestRemote(&d, &s, r, v)
	if s.open > 0 && (remote < 0 || s.best*awayMargin <= remoteCost) {
		return runHere(&d, &s, now, r, v, rnd)
	}
	if remote >= 0 && (s.full == 0 || v.Waited || worthLeaving(&s, r, v, remoteCost)) {
		return runElsewhere(&d, &s, remote, remoteCost, r, v)
	}
	if s.full > 0 && s.full == s.paused && now.Add(exactly(s.wait)).After(r.WaitUntil()) {
		return refusePaused(&d, &s, now)
	}
	if s.full > 0 && s.slow == 0 && !v.Waited && !rationed(&s, v) && !s.off.Has(vetchtrail.Waiting) {
		return waitHere(&d, &s, now, r, v)
	}
	if s.full > 0 && s.full == s.limited {
		return refuse(&d, vetchtrail.ReasonLimited, now, seconds(s.wait))
	}
	return refuse(&d, refusal(r, v), now, backAfter(now, r))
}

// refusePaused refuses a request that could only wait for endpoints that want nothing from this host for longer
// than it may wait. It is told when the first of them does.
func refusePaused(d *vetchtrail.Decision, s *scored, now time.Time) vetchtrail.Decision {
	d.Kind, d.Reason, d.RetryAt = vetchtrail.Refuse, vetchtrail.ReasonPaused, now.Add(max(exactly(s.wait), minRetry))
	return *d
}

// rationed says whether all that a request could wait for here is a part of rates that endpoints
// name, for which others wait already: the line would grow while the rates don't, and who joined it be
// refused late.
func rationed(s *scored, v *vetchtrail.View) bool { return s.full == s.limited && v.Line > 0 }

// score finds the cost of each endpoint and the lowest.
func score(s *scored, d *vetchtrail.Decision, now time.Time, r *vetchtrail.Request, v *vetchtrail.View) {
	s.best, s.wait = math.Inf(1), math.Inf(1)
	s.others, s.now = meanOthers(r, v), now
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		if why := unfit(e, r, v); why != "" {
			s.hold(i, math.MaxFloat64)
			d.Note(e.Name, 0, why)
			switch why {
			case vetchtrail.ReasonLimited:
				s.limited++
				fallthrough
			case vetchtrail.ReasonPaused:
				s.paused++
				fallthrough
			case vetchtrail.ReasonRefused, vetchtrail.ReasonCold:
				s.full++
				s.wait = min(s.wait, e.Back)
			}
			continue
		}
		n := load(e, s.others)
		if endsLate(s, e.Gap, firstAt(e, r, n), r, v) {
			s.slow++
			s.hold(i, math.MaxFloat64)
			d.Note(e.Name, e.Gap, vetchtrail.ReasonSlow)
			continue
		}
		if e.Own >= e.Limit {
			wait := waitAt(e, n) + e.Service/float64(max(e.Slots, 1))
			s.full++
			s.wait = min(s.wait, wait)
			s.hold(i, math.MaxFloat64)
			d.Note(e.Name, wait, vetchtrail.ReasonFull)
			continue
		}
		s.open++
		cost := costOf(s, e, r, v, n)
		s.hold(i, cost)
		s.found(i, cost)
	}
}

func (s *scored) hold(i int, cost float64) {
	if i < heldCosts {
		s.costs[i] = cost
	}
}

func (s *scored) found(i int, cost float64) {
	if cost < s.best {
		s.best, s.lowest = cost, i
	}
}

// cost returns an endpoint's cost.
func (s *scored) cost(i int, r *vetchtrail.Request, v *vetchtrail.View) float64 {
	if i < heldCosts {
		return s.costs[i]
	}
	e := &v.Endpoints[i]
	if unfit(e, r, v) != "" || e.Own >= e.Limit {
		return math.MaxFloat64
	}
	n := load(e, s.others)
	if endsLate(s, e.Gap, firstAt(e, r, n), r, v) {
		return math.MaxFloat64
	}
	return costOf(s, e, r, v, n)
}

// unfit says why an endpoint can't be used at all; empty: it can.
func unfit(e *vetchtrail.EndpointView, r *vetchtrail.Request, v *vetchtrail.View) vetchtrail.Reason {
	switch {
	case !r.Allowed.Has(e.Region):
		return vetchtrail.ReasonResidency
	case e.Away:
		return e.Why
	case len(v.Excluded) > 0 && slices.Contains(v.Excluded, e.Name):
		return vetchtrail.ReasonExcluded
	}
	return ""
}

// runHere draws one of the endpoints whose costs are about the best.
func runHere(d *vetchtrail.Decision, s *scored, now time.Time, r *vetchtrail.Request, v *vetchtrail.View, rnd *rand.Rand) vetchtrail.Decision {
	chosen := draw(d, s, r, v, rnd)
	e := &v.Endpoints[chosen]
	d.Wait = seconds(firstAt(e, r, load(e, s.others)))
	if crowded(s, likely(d.Wait, v), r) || unheard(s, d.Wait, r) {
		return refuse(d, vetchtrail.ReasonOverCapacity, now, backAfter(now, r))
	}
	if now.Add(d.Wait).After(r.Deadline) {
		return refuse(d, vetchtrail.ReasonDeadline, now, d.Wait)
	}
	d.Kind, d.Target, d.Name, d.Cost = vetchtrail.RunHere, chosen, e.Name, s.cost(chosen, r, v)
	d.Reason = vetchtrail.ReasonChosen
	d.Backlog, d.Holds, d.Age, d.Gap = seconds(e.Backlog), e.Kept, e.Age, seconds(e.Gap)
	d.Running, d.Queued, d.Own = e.Running, e.Queued, e.Own
	d.Limited, d.Rate, d.Left = e.Limited, e.Rate, e.Left
	return *d
}

// draw picks an endpoint with a weight that falls with its distance from the
// best: one random number decides between the weights one after the other.
func draw(d *vetchtrail.Decision, s *scored, r *vetchtrail.Request, v *vetchtrail.View, rnd *rand.Rand) int {
	chosen, total := s.lowest, 0.0
	reach := 1 / (tooFar * spread(&v.Endpoints[s.lowest], v.Weights.Tail))
	u := rnd.Float64()
	for i := range v.Endpoints {
		cost := s.cost(i, r, v)
		if cost == math.MaxFloat64 {
			continue
		}
		d.Note(v.Endpoints[i].Name, cost, vetchtrail.ReasonCost)
		near := 1 - (cost-s.best)*reach
		if near <= 0 {
			continue
		}
		weight := near * near
		total += weight
		// u stays uniform: it is stretched over what is left of it.
		if p := weight / total; u < p {
			chosen, u = i, u/p
		} else {
			u = (u - p) / (1 - p)
		}
	}
	return chosen
}

func spread(e *vetchtrail.EndpointView, tail float64) float64 {
	return max(evenSpread*e.Service*max(tail, 0.1), 1e-6)
}

func waitHere(d *vetchtrail.Decision, s *scored, now time.Time, r *vetchtrail.Request, v *vetchtrail.View) vetchtrail.Decision {
	d.Wait = seconds(s.wait)
	if now.Add(d.Wait).After(r.Deadline) {
		return refuse(d, vetchtrail.ReasonDeadline, now, d.Wait)
	}
	d.Kind, d.Reason, d.Cost = vetchtrail.WaitHere, vetchtrail.ReasonFull, v.Weights.Tail*s.wait
	return *d
}
