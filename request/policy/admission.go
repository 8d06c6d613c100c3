package policy

import (
	"time"

	"vetchtrail"
)

const (
	// maxStreamShare is the largest share of the time left until its deadline that a
	// stream may be expected to take. Even a stream with twice the expected number of
	// events then ends in time.
	maxStreamShare = 0.4
	// maxStreamShareOnRetry replaces maxStreamShare for a stream whose caller has retried
	// or has little time left. If such a stream is refused again, the request is lost.
	maxStreamShareOnRetry = 0.7
	// lessUrgentShare is the event interval from which less urgent streams are refused, as a
	// share of the interval from which more urgent ones are. Processing the prompts of less
	// urgent streams slows the more urgent ones. Without the margin both would be refused
	// equally often.
	lessUrgentShare = 0.5
	// maxGoalRatio bounds the expected wait of a first attempt for its first event, as a
	// multiple of the time left until its latency objective. The expected wait is a median:
	// of the responses that are expected after the objective, more than half do miss it.
	maxGoalRatio = 1.1
)

// streamTooSlow reports whether a stream would probably take too much of the time that
// its request has left. The stream is expected to send its first event after firstEvent
// seconds and the others at the given interval in seconds. Admitting a stream slows the
// streams that already run at the endpoint. So a stream is also too slow if the interval
// leaves too little margin for more urgent streams (lessUrgentShare). The rest of a stream
// that has begun is never too slow: its caller would get a broken response instead of a
// late one. Where admission is in force, it leaves that margin, and the most urgent streams
// are only too slow if they can't end before their deadline.
func streamTooSlow(ev *evaluation, interval, firstEvent float64, r *vetchtrail.Request, v *vetchtrail.View) bool {
	if r.Route == "" || r.ResponseStarted || v.ExpectedEvents == 0 || ev.switchedOff.Has(vetchtrail.MechanismStreamPace) {
		return false
	}
	if v.UrgentInterval > 0 && !v.AdmissionInForce && !ev.switchedOff.Has(vetchtrail.MechanismUrgentFirst) && interval > lessUrgentShare*maxStreamShare*v.UrgentInterval {
		return true
	}
	share := maxStreamShare
	if !r.CallerCanRetry {
		share = maxStreamShareOnRetry
	}
	if admittedMostUrgent(v) {
		share = 1
	}
	return firstEvent+interval*v.ExpectedEvents > share*r.Deadline.Sub(ev.now).Seconds()
}

// missesGoal reports whether the first attempt of a stream should be refused because it
// would probably miss its latency objective. After the refusal, the streams that would have
// been queued behind it can begin in time, and its caller can retry when the peak may be over.
// Where returns are planned, capacity is reserved for them, so a return that would miss its
// objective is refused too: it would only delay the others.
func missesGoal(ev *evaluation, wait time.Duration, r *vetchtrail.Request, v *vetchtrail.View) bool {
	judged := r.CallerCanRetry || (v.PlannedReturns && !r.ResponseStarted)
	return !admittedMostUrgent(v) && !ev.switchedOff.Has(vetchtrail.MechanismShedding) && judged && r.Stream && !r.Goal.IsZero() && float64(wait) > maxGoalRatio*float64(r.Goal.Sub(ev.now))
}

// admittedMostUrgent reports whether a request is one of the most urgent that callers currently
// ask for, and admission is in force. To refuse it would leave capacity to less urgent ones.
func admittedMostUrgent(v *vetchtrail.View) bool { return v.AdmissionInForce && !v.MoreUrgent }

// callerLeavesFirst reports whether the caller would give up before the first event of
// the stream. The stream would then process its prompt, occupy a slot and slow the other
// streams for nothing.
func callerLeavesFirst(ev *evaluation, wait time.Duration, r *vetchtrail.Request) bool {
	return !ev.switchedOff.Has(vetchtrail.MechanismShedding) && !r.FirstEventBy.IsZero() && !r.ResponseStarted && ev.now.Add(wait).After(r.FirstEventBy)
}

// expectedWait corrects the wait that was predicted for an endpoint of this data centre
// by the observed ratio of actual to predicted waits. Without observations it returns
// the prediction.
func expectedWait(predicted time.Duration, v *vetchtrail.View) time.Duration {
	if v.PredictionRatio == 0 {
		return predicted
	}
	return time.Duration(v.PredictionRatio * float64(predicted))
}
