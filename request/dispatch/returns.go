package dispatch

import (
	"time"

	"vetchtrail"
)

// plansReturns reports whether the planner decides when the caller of a request retries. It
// does for requests of routes, on the host that received them from their callers.
func (d *Dispatcher) plansReturns(r *vetchtrail.Request, now time.Time) bool {
	return d.cfg.Returns != nil && r.Hops == 0 && r.Route != "" && (d.cfg.ReturnsInForce == nil || d.cfg.ReturnsInForce(r.Service, now))
}

// planReturn replaces the retry time of a request that was refused for lack of capacity by the
// planned one, and reports the outcome to the planner. callerCanRetry is the request's
// CallerCanRetry at its arrival, which its attempts may have changed.
func (d *Dispatcher) planReturn(r *vetchtrail.Request, o vetchtrail.Outcome, callerCanRetry bool) vetchtrail.Outcome {
	now := time.Now()
	if !d.plansReturns(r, now) {
		return o
	}
	r.CallerCanRetry = callerCanRetry
	if lacksCapacity(o) {
		if at, ok := d.cfg.Returns.Plan(r, now); !at.IsZero() {
			o.RetryAt, o.RetryPlan = at, vetchtrail.RetryTooLate
			if ok {
				o.RetryPlan = vetchtrail.RetryInSlot
			}
		}
	}
	d.cfg.Returns.Ended(r, o, now)
	return o
}

// lacksCapacity reports whether a request was refused for lack of capacity. Other refusals have
// a retry time of their own: that of a rate limit, a quota or a pause.
func lacksCapacity(o vetchtrail.Outcome) bool {
	if o.Kind != vetchtrail.OutcomeNotRun {
		return false
	}
	switch o.Reason {
	case vetchtrail.ReasonOverCapacity, vetchtrail.ReasonNoEndpoint, vetchtrail.ReasonFull, vetchtrail.ReasonQueueFull:
		return true
	case vetchtrail.ReasonDeadline:
		return o.Step == vetchtrail.StepQueue
	}
	return false
}
