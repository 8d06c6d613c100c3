package dispatch

import (
	"context"
	"time"

	"vetchtrail"
)

const (
	// promptsToReplace is how often a prompt is processed if an attempt is replaced: for the
	// attempt and for its replacement.
	promptsToReplace = 2
	// processProbeTimeout bounds the check whether the process of an endpoint has ended. The
	// endpoint is in this data centre, where a machine without the process refuses at once,
	// and the next attempt waits for the result.
	processProbeTimeout = 100 * time.Millisecond
)

// isFinal reports whether no other attempt could replace the one that is about to be made:
// the route or the retry budget allows none, or there is no time to process the prompt
// again. It is determined on the host that received the request from its caller.
func (d *Dispatcher) isFinal(r *vetchtrail.Request, p placement, history *attemptHistory, attempt int, now time.Time) bool {
	switch {
	case d.cfg.SwitchedOff.Has(vetchtrail.MechanismFinalAttempts):
		return false
	case d.cfg.SwitchedOff.Has(vetchtrail.MechanismRetries):
		return true
	case attempt >= maxTotalAttempts || history.reachedTarget+1 >= attemptLimit(r):
		return true
	case !now.Add(promptsToReplace * p.predictedTTFT).Before(r.Deadline):
		return true
	}
	return !d.budget(r.Service).HasRetry(now)
}

// processEnded reports whether the response of an attempt was lost because the process of
// its endpoint has ended: the endpoint then refuses connections.
func (d *Dispatcher) processEnded(ctx context.Context, r *vetchtrail.Request, p placement, o vetchtrail.Outcome) bool {
	if d.cfg.ProcessEnded == nil || d.cfg.SwitchedOff.Has(vetchtrail.MechanismFinalAttempts) || !r.Repeatable || p.dataCentre != "" || !brokeOff(o) {
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, vetchtrail.Earlier(time.Now().Add(processProbeTimeout), r.Deadline))
	defer cancel()
	return d.cfg.ProcessEnded(ctx, p.endpoint)
}

// brokeOff reports whether the endpoint or the network ended an attempt before its response
// was complete.
func brokeOff(o vetchtrail.Outcome) bool {
	lost := o.Reason == vetchtrail.ReasonResponseLost || o.Reason == vetchtrail.ReasonResponseBroken
	return o.Kind == vetchtrail.OutcomeUnknown && lost
}
