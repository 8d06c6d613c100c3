package policy

import (
	"time"

	"vetchtrail"
)

const (
	// endShare is the share of the time left that a usual stream may take to its
	// end: one with twice the events still ends in time.
	endShare = 0.4
	// endShareBack is the same for one whose caller has come back or has little time:
	// refused again, it is lost for sure.
	endShareBack = 0.7
	// yieldShare is how much earlier, as the pace of an endpoint's streams falls, less
	// urgent streams are told to come back than more urgent ones: what they make an
	// endpoint read slows those, which would be refused as often.
	yieldShare = 0.5
	// crowdedGoals is how many times the time to its goal a first try's answer may be
	// expected to take to begin: of those expected later, over half do begin late, as the
	// expectation is the median of what predictions have borne out.
	crowdedGoals = 1.1
)

// endsLate says whether a stream that begins after first seconds, with the events
// that are expected of it, would take too much of the time that its request has.
// One more stream also slows those that run.
func endsLate(s *scored, gap, first float64, r *vetchtrail.Request, v *vetchtrail.View) bool {
	if r.Route == "" || v.Events == 0 || s.off.Has(vetchtrail.Pace) {
		return false
	}
	if v.UrgentPace > 0 && !s.off.Has(vetchtrail.UrgentFirst) && gap > yieldShare*endShare*v.UrgentPace {
		return true
	}
	share := endShare
	if !r.Fresh {
		share = endShareBack
	}
	return first+gap*v.Events > share*r.Deadline.Sub(s.now).Seconds()
}

// crowded says whether a first try would so likely begin after its goal that it does
// better to give way: those behind it begin in time, and its caller comes back when
// the peak may be over.
func crowded(s *scored, wait time.Duration, r *vetchtrail.Request) bool {
	return !s.off.Has(vetchtrail.Shedding) && r.Fresh && r.Stream && !r.Goal.IsZero() && float64(wait) > crowdedGoals*float64(r.Goal.Sub(s.now))
}

// unheard says whether a stream would begin so late that its caller has left by then: it
// would cost its prompt and its place, and the streams beside it their pace, for nothing.
func unheard(s *scored, wait time.Duration, r *vetchtrail.Request) bool {
	return !s.off.Has(vetchtrail.Shedding) && !r.BeginBy.IsZero() && !r.Begun && s.now.Add(wait).After(r.BeginBy)
}

// likely is the time that usually passes of one that was predicted for an endpoint here.
func likely(wait time.Duration, v *vetchtrail.View) time.Duration {
	if v.Borne == 0 {
		return wait
	}
	return time.Duration(v.Borne * float64(wait))
}
