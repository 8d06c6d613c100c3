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

// Replaceable reports whether another attempt can replace the one at endpoint e, which is
// silent. If so, it takes the retry from the budget: all streams of an endpoint are silent
// at the same time, and only as many may end as the budget lets continue.
func (d *Dispatcher) Replaceable(e vetchtrail.Endpoint, r *vetchtrail.Request) bool {
	return d.replaceable(e.Name, r)
}

// replaceable does what Replaceable does for an attempt at an endpoint or a data centre.
func (d *Dispatcher) replaceable(target string, r *vetchtrail.Request) bool {
	if d.cfg.SwitchedOff.Has(vetchtrail.MechanismFinalAttempts) {
		return true
	}
	again := *r
	again.CallerCanRetry = false
	dec := d.decide(&again, attemptHistory{excluded: []string{target}})
	canRun := dec.Kind == vetchtrail.RunElsewhere || (dec.Kind == vetchtrail.RunHere && d.waitQueue(r).Len() == 0)
	if !canRun || !d.takeRetry(r, 0) {
		return false
	}
	r.RetryTaken = true
	return true
}

// forward forwards a request. It cancels the call when the request's endpoint is silent and another
// attempt can replace this one.
func (d *Dispatcher) forward(ctx context.Context, r *vetchtrail.Request, p placement, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	forwardCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	replaced := false
	o := d.cfg.Peers.Forward(forwardCtx, p.host, r, &forwardObserver{
		ResponseWriter: w, begun: func() { d.retrySent(r) },
		silent: func() {
			d.retrySent(r)
			if !replaced && !r.Final && d.replaceable(p.dataCentre, r) {
				replaced = true
				cancel()
			}
		},
	})
	if replaced && ctx.Err() == nil && o.Kind != vetchtrail.OutcomeAnswered {
		o.Reason, o.EndpointSilent = vetchtrail.ReasonResponseBroken, true
	}
	return o
}

// processEnded reports whether the response of an attempt was lost because the process of
// its endpoint has ended: the endpoint then refuses connections.
func (d *Dispatcher) processEnded(ctx context.Context, r *vetchtrail.Request, p placement, o vetchtrail.Outcome) bool {
	if d.cfg.ProcessEnded == nil || d.cfg.SwitchedOff.Has(vetchtrail.MechanismFinalAttempts) || !r.Repeatable || p.dataCentre != "" || !brokeOff(r, o) {
		return false
	}
	ctx, cancel := context.WithDeadline(ctx, vetchtrail.Earlier(time.Now().Add(processProbeTimeout), r.Deadline))
	defer cancel()
	return d.cfg.ProcessEnded(ctx, p.endpoint)
}

// brokeOff reports whether the endpoint or the network ended an attempt before its response
// was complete. An attempt that was ended because its endpoint is silent did not break off.
func brokeOff(r *vetchtrail.Request, o vetchtrail.Outcome) bool {
	lost := o.Reason == vetchtrail.ReasonResponseLost || o.Reason == vetchtrail.ReasonResponseBroken
	return o.Kind == vetchtrail.OutcomeUnknown && lost && !r.RetryTaken
}
