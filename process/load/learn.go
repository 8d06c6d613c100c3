package load

import (
	"math"
	"slices"
	"time"

	"vetchtrail"
)

// Release gives the room back and learns from the attempt.
func (t *Table) Release(name string, o vetchtrail.Observation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.life(name, o.Born)
	if !ok {
		return
	}
	s.mark(now, -1)
	delete(s.reading, o.Request)
	delete(s.streams, o.Request)
	t.wake(s.Service)
	if o.Outcome.Cold > 0 {
		s.cold.configure(now.Add(o.Outcome.Cold), s.ColdRate)
	}
	switch {
	case o.Cancel:
	case o.Outcome.Reason == vetchtrail.ReasonFailed, o.Outcome.Status >= firstFailure && o.Outcome.Kind == vetchtrail.Answered:
		s.failing(1, t.means[s.Service], now)
		t.failedInRow(s, now)
	case o.Outcome.Kind == vetchtrail.Answered:
		s.failing(0, t.means[s.Service], now)
		t.means[s.Service].sawEvents(o.Route, o.Outcome.Events)
		t.answered(s, o, now)
	case o.Outcome.Reason == vetchtrail.ReasonMisled:
		s.leaving.misled = now.Add(misledFor)
	case o.Outcome.Reason == vetchtrail.ReasonRefused:
		t.cutLimit(s)
		s.avoid(vetchtrail.ReasonRefused, vetchtrail.Earlier(o.Outcome.RetryAt, now.Add(refusedMost)))
	case o.Outcome.Step == vetchtrail.StepConnect:
		s.avoid(vetchtrail.ReasonUnreachable, now.Add(min(downFor<<min(s.downs, downShifts), downMost)))
		s.downs++
		s.warmth = coldStart
	case o.Outcome.Kind == vetchtrail.NotRun: // kept back here
	default:
		if o.Outcome.Reason == vetchtrail.ReasonDeadline {
			t.cutLimit(s)
		}
		if !s.leaves(now) { // else it ended as it said
			t.failed(s, now)
		}
	}
}

func (t *Table) answered(s *state, o vetchtrail.Observation, now time.Time) {
	m := t.means[s.Service]
	s.failures, s.ejects, s.downs, s.failRun = 0, 0, 0, 0
	s.warmth = math.Min(1, s.warmth+warmStep)
	first := o.Timing.First.Sub(o.Timing.Sent).Seconds()
	whole := o.Timing.Done.Sub(o.Timing.Sent).Seconds()
	if whole <= 0 {
		return
	}
	if o.Outcome.Events > 0 {
		m.borne.observe(o.Predicted.Seconds(), first)
	}
	s.observed = now
	s.service.observe(whole)
	m.service.observe(whole)
	if o.Tokens > 0 && s.own < s.Slots {
		s.observePace(first/float64(o.Tokens), m)
	}
	if !t.off.Has(vetchtrail.AdaptiveLimits) {
		s.adapt(first)
	}
}

// downShifts bounds the doublings of downFor.
const downShifts = 8

// firstFailure is the lowest status by which an endpoint says that it failed.
const firstFailure = 500

// failing learns how often an endpoint answers with a failure of its own. It is
// not out of use for that, as others may fail as often: it only costs more.
func (s *state) failing(failed float64, m *means, now time.Time) {
	s.fails.observe(failed)
	m.fails.observe(failed)
	s.failsAt = now
}

// failedInRow ejects an endpoint that has answered so many requests in a row with a
// failure of its own as would not happen by chance, if it failed as often as the
// others of its service do: one that fails at once is idle, and draws the requests.
func (t *Table) failedInRow(s *state, now time.Time) {
	s.failRun++
	usual := min(max(t.usualFails(s), failsLeast), failsMost)
	if math.Pow(usual, float64(s.failRun)) < failsChance && !t.off.Has(vetchtrail.Ejection) {
		t.eject(s, now)
	}
}

// usualFails is the median of the shares of failures of a service's other endpoints.
func (t *Table) usualFails(s *state) float64 {
	var shares []float64
	for _, other := range t.services[s.Service] {
		if other != s {
			shares = append(shares, other.fails.value)
		}
	}
	if len(shares) == 0 {
		return failsMost
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}

// excess is how much more often than its service an endpoint fails.
func (s *state) excess(m *means, now time.Time) float64 {
	if s.fails.seen < fewSeen {
		return 0
	}
	trust := math.Exp(-now.Sub(s.failsAt).Seconds() / forget.Seconds())
	return trust * math.Max(0, s.fails.value-m.fails.value)
}

// observePace learns from the seconds a prompt token took on a slot that was
// free.
func (s *state) observePace(token float64, m *means) {
	s.pace.observe(math.Min(math.Max(token/m.token.value, fastest), slowest))
	m.token.observe(token / math.Max(s.pace.value, 1))
}

// adapt moves the limit: up while requests start in good time, down while they
// are held back at the endpoint for clearly longer than they take. An answer that
// is read whole begins when it ends, so that half of them take longer than usual.
func (s *state) adapt(first float64) {
	if first > heldBack*s.service.value {
		s.limit = math.Max(1, s.limit*0.95)
		return
	}
	if float64(s.own+1) >= s.limit {
		s.limit = math.Min(limitRoom*float64(s.Slots), s.limit+1/s.limit)
	}
}

// cutLimit lowers the limit after a refusal or a timeout.
func (t *Table) cutLimit(s *state) {
	if !t.off.Has(vetchtrail.AdaptiveLimits) {
		s.limit = math.Max(1, s.limit*limitCut)
	}
}

// avoid takes an endpoint out of use for a while for a reason that is surely
// its own, so that no share of them bounds it.
func (s *state) avoid(why vetchtrail.Reason, until time.Time) { s.backWhy, s.backOff = why, until }

// failed counts a failure; after some in a row the endpoint is ejected. An answer that
// is lost says nothing of the endpoint's room.
func (t *Table) failed(s *state, now time.Time) {
	s.failures++
	if s.failures < failuresTo || t.off.Has(vetchtrail.Ejection) {
		return
	}
	t.eject(s, now)
}

// eject takes an endpoint out of use for a while, longer each time until it answers
// well, unless too many of its service are out already.
func (t *Table) eject(s *state, now time.Time) {
	out := 0
	for _, other := range t.services[s.Service] {
		if now.Before(other.ejected) {
			out++
		}
	}
	if float64(out+1) > math.Max(1, ejectShare*float64(len(t.services[s.Service]))) || t.alone(s, now) {
		return
	}
	s.ejected = now.Add(min(ejectFirst<<s.ejects, ejectMost))
	s.ejects = min(s.ejects+1, 5)
	s.failures = 0
	s.warmth = coldStart
}

// alone says whether no other endpoint of the service is in use here: with the
// last one out, its requests could only be refused.
func (t *Table) alone(s *state, now time.Time) bool {
	for _, other := range t.services[s.Service] {
		if other != s && other.inUse(now) {
			return false
		}
	}
	return true
}

// notable is how much slower an endpoint is than its service, or 1 if that is
// not sure.
func notable(ratio float64, seen int) float64 {
	if seen < fewSeen || ratio < 1+usual {
		return 1
	}
	return ratio
}

// average is a running mean. The first observations weigh more, so that what
// it started from is soon forgotten.
type average struct {
	value float64
	seen  int
}

func (a *average) observe(x float64) {
	a.seen++
	a.value += math.Max(smoothing, 1/float64(a.seen+1)) * (x - a.value)
}
