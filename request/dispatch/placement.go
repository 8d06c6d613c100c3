package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"vetchtrail"
	"vetchtrail/request/queue"
)

// findPlacement finds a target for the next attempt, after a wait in the queue if
// necessary. It returns false with the refusal if there is none.
func (d *Dispatcher) findPlacement(ctx context.Context, r *vetchtrail.Request, history attemptHistory, attempt int) (placement, vetchtrail.Outcome, bool) {
	waitQueue := d.waitQueue(r)
	for range maxPlacementRounds {
		dec := d.decide(r, history)
		if dec.Kind == vetchtrail.RunHere && waitQueue.Len() > 0 {
			// The request must not be served before those in the queue.
			dec.Kind, dec.Reason = vetchtrail.WaitHere, vetchtrail.ReasonFull
		}
		d.recordDecision(r, dec, attempt)
		switch dec.Kind {
		case vetchtrail.Refuse:
			return placement{}, d.refusal(vetchtrail.StepDecide, dec.Reason, dec.RetryAt), false
		case vetchtrail.WaitHere:
			return d.waitForCapacity(ctx, r, history, attempt)
		}
		if p, ok := d.acquire(ctx, r, dec); ok {
			return p, vetchtrail.Outcome{}, true
		}
		if dec.Kind == vetchtrail.RunElsewhere {
			history.excluded = append(history.excluded, dec.Name)
		}
	}
	return d.waitForCapacity(ctx, r, history, attempt)
}

// decide builds a view of the candidates as of now and has the policy decide.
func (d *Dispatcher) decide(r *vetchtrail.Request, history attemptHistory) vetchtrail.Decision {
	now := time.Now()
	v := d.viewPool.Get().(*vetchtrail.View)
	defer d.viewPool.Put(v)
	newest := d.cfg.Rules()
	s, _ := newest.Service(r.Service)
	ownRegion, _ := newest.Region(d.cfg.Self.Region)
	v.Region, v.Weights = ownRegion.ID, s.Weights
	v.AdmissionInForce, v.MoreUrgent = d.admissionInForce(r, now), false
	v.ExpectedEvents, v.UrgentInterval, v.IdlePrefill, v.CachedShare, v.PredictionRatio = 0, 0, 0, 0, 0
	v.Endpoints, v.Remotes, v.Excluded, v.ViaPeers = v.Endpoints[:0], v.Remotes[:0], history.excluded, 0
	v.RefusedHere, v.WaitExhausted = history.refusedHere, history.waitExhausted
	v.PlannedReturns = history.reached == 0 && d.plansReturns(r, now)
	v.QueueWait = d.waitQueue(r).EstimatedWait().Seconds()
	d.cfg.Endpoints.Fill(v, r, now)
	v.ExpectedEvents = expectedEvents(r, s.EventTokens, v.ExpectedEvents)
	d.cfg.Membership.AppendRemotes(v, r.Service, func(name string) (vetchtrail.RegionID, bool) {
		region, ok := newest.Region(name)
		return region.ID, ok
	}, now)
	d.markOtherVersions(v, r)
	random := d.randomPool.Get().(*rand.Rand)
	defer d.randomPool.Put(random)
	dec := d.cfg.Policy.Decide(now, r, v, random)
	if dec.Kind == vetchtrail.Refuse && history.reached == 0 && admitSilent(v) {
		return d.cfg.Policy.Decide(now, r, v, random)
	}
	return dec
}

// admitSilent lets a first attempt go to silent endpoints that accept connections, if no endpoint is available:
// there is nothing better, and they probably go on soon. It reports whether there are any.
func admitSilent(v *vetchtrail.View) bool {
	admitted := false
	for i := range v.Endpoints {
		if !v.Endpoints[i].Unavailable {
			return false
		}
	}
	for i := range v.Endpoints {
		if e := &v.Endpoints[i]; e.UnavailableReason == vetchtrail.ReasonSilent && e.Connected {
			e.Unavailable, admitted = false, true
		}
	}
	return admitted
}

// assumedResponseShare is the assumed length of a response, as a share of its maximum
// number of tokens, when there is no other estimate.
const assumedResponseShare = 0.5

// expectedEvents returns the expected number of events in a streamed response; 0: not
// a stream, or not known. It uses the caller's estimate of the response length if
// there is one, otherwise the usual number of events of the route's responses,
// otherwise the maximum length of the response.
func expectedEvents(r *vetchtrail.Request, tokensPerEvent int, usual float64) float64 {
	switch {
	case !r.Stream:
		return 0
	case r.ExpectedTokens > 0 && tokensPerEvent > 0:
		return float64(r.ExpectedTokens) / float64(tokensPerEvent)
	case usual > 0 || tokensPerEvent == 0:
		return usual
	}
	return assumedResponseShare * float64(r.MaxTokens) / float64(tokensPerEvent)
}

// acquire acquires capacity at the endpoint that the policy chose, with a reservation
// within its rate limit, or picks a host of the data centre that it chose. It returns
// false if that fails: other requests may have taken the capacity or the rate limit
// since the decision, or no host of the data centre may be reachable.
func (d *Dispatcher) acquire(ctx context.Context, r *vetchtrail.Request, dec vetchtrail.Decision) (placement, bool) {
	if dec.Kind == vetchtrail.RunElsewhere {
		h, ok := d.cfg.Membership.Pick(dec.Name, r.Service, time.Now())
		return placement{host: h, dataCentre: dec.Name, predictedTTFT: dec.Wait}, ok
	}
	e, ok := d.cfg.Endpoints.Find(dec.Name)
	if !ok {
		return placement{}, false
	}
	if _, ok := d.reserve(ctx, r, e); !ok {
		return placement{}, false
	}
	if !d.cfg.Endpoints.Acquire(dec.Name, r, time.Now()) {
		d.returnReservation(r, vetchtrail.Outcome{Kind: vetchtrail.OutcomeNotRun})
		return placement{}, false
	}
	return placement{endpoint: e, predictedTTFT: dec.Wait}, true
}

// waitForCapacity waits in the service's queue until a candidate has capacity, the
// request may wait no longer, or its caller disconnects. A request that can't join the
// queue, or leaves it without capacity, is forwarded or refused (forwardOrRefuse).
func (d *Dispatcher) waitForCapacity(ctx context.Context, r *vetchtrail.Request, history attemptHistory, attempt int) (placement, vetchtrail.Outcome, bool) {
	if d.cfg.SwitchedOff.Has(vetchtrail.MechanismQueueing) {
		return d.forwardOrRefuse(ctx, r, history, vetchtrail.ReasonFull, time.Now().Add(minRetryDelay), attempt)
	}
	s, _ := d.cfg.Rules().Service(r.Service)
	waitQueue := d.waitQueue(r)
	joined := waitQueue.Join(r, s.QueueLimit, time.Now())
	if joined.Waiter == nil {
		return d.forwardOrRefuse(ctx, r, history, joined.Reason, time.Now().Add(max(joined.Wait, minRetryDelay)), attempt)
	}
	w := joined.Waiter
	timeout := time.NewTimer(time.Until(r.QueueDeadline()))
	defer timeout.Stop()
	stopped := d.taking.Done()
	if r.ResponseStarted {
		stopped = nil
	}
	for {
		select {
		case <-w.Ready():
			p, o, done := d.decideAtHead(ctx, r, waitQueue, w, history, attempt)
			if done {
				return p, o, o.Reason == ""
			}
			continue
		case <-w.Dropped(): // the queue dropped the request
			waitQueue.Leave(w, false, time.Now())
			return d.forwardOrRefuse(ctx, r, history, vetchtrail.ReasonDeadline, time.Now().Add(max(waitQueue.EstimatedWait(), minRetryDelay)), attempt)
		case <-timeout.C:
			waitQueue.Leave(w, false, time.Now())
			return d.forwardOrRefuse(ctx, r, history, vetchtrail.ReasonDeadline, time.Now().Add(max(waitQueue.EstimatedWait(), minRetryDelay)), attempt)
		case <-stopped:
			waitQueue.Leave(w, false, time.Now())
			return d.forwardOrRefuse(ctx, r, history, vetchtrail.ReasonLeaving, time.Now().Add(minRetryDelay), attempt)
		case <-ctx.Done():
			waitQueue.Leave(w, false, time.Now())
			reason, retryAt := vetchtrail.CancelReason(ctx), time.Time{}
			if reason == vetchtrail.ReasonLeaving {
				retryAt = time.Now().Add(minRetryDelay)
			}
			return d.refuseWaiter(r, reason, retryAt, attempt)
		}
	}
}

// decideAtHead has the policy decide again for the request at the head of the queue,
// when capacity may have become free. If it returns done, the request has left the
// queue with a placement or a refusal; otherwise it stays in the queue.
func (d *Dispatcher) decideAtHead(ctx context.Context, r *vetchtrail.Request, waitQueue *queue.Queue, w *queue.Waiter, history attemptHistory, attempt int) (p placement, o vetchtrail.Outcome, done bool) {
	if o, ok := d.applyRules(r); !ok { // the configuration may have changed
		waitQueue.Leave(w, false, time.Now())
		return placement{}, o, true
	}
	dec := d.decide(r, history)
	switch dec.Kind {
	case vetchtrail.WaitHere:
		return placement{}, vetchtrail.Outcome{}, false
	case vetchtrail.Refuse:
		d.recordDecision(r, dec, attempt)
		waitQueue.Leave(w, false, time.Now())
		return placement{}, d.refusal(vetchtrail.StepQueue, dec.Reason, dec.RetryAt), true
	}
	p, ok := d.acquire(ctx, r, dec)
	if !ok {
		return placement{}, vetchtrail.Outcome{}, false
	}
	d.recordDecision(r, dec, attempt)
	waitQueue.Leave(w, true, time.Now())
	return p, vetchtrail.Outcome{}, true
}

// forwardOrRefuse forwards a request that may not wait, or not any longer, to a remote
// data centre that can still serve it. If there is none, it refuses the request with
// the given reason.
func (d *Dispatcher) forwardOrRefuse(ctx context.Context, r *vetchtrail.Request, history attemptHistory, reason vetchtrail.Reason, retryAt time.Time, attempt int) (placement, vetchtrail.Outcome, bool) {
	history.waitExhausted = true
	if d.cfg.SwitchedOff.Has(vetchtrail.MechanismForwardAfterWait) {
		return d.refuseWaiter(r, reason, retryAt, attempt)
	}
	if dec := d.decide(r, history); dec.Kind == vetchtrail.RunElsewhere {
		if p, ok := d.acquire(ctx, r, dec); ok {
			d.recordDecision(r, dec, attempt)
			return p, vetchtrail.Outcome{}, true
		}
	}
	return d.refuseWaiter(r, reason, retryAt, attempt)
}

// refuseWaiter refuses a request that waited for capacity or would have to.
func (d *Dispatcher) refuseWaiter(r *vetchtrail.Request, reason vetchtrail.Reason, retryAt time.Time, attempt int) (placement, vetchtrail.Outcome, bool) {
	d.recordDecision(r, vetchtrail.Decision{Kind: vetchtrail.Refuse, Reason: reason, RetryAt: retryAt}, attempt)
	return placement{}, d.refusal(vetchtrail.StepQueue, reason, retryAt), false
}

// recordDecision records a decision on an attempt in the journal.
func (d *Dispatcher) recordDecision(r *vetchtrail.Request, dec vetchtrail.Decision, attempt int) {
	now := time.Now()
	record := vetchtrail.JournalRecord{
		At: now, Request: r.ID, Service: r.Service, Route: r.Route, PromptTokens: r.PromptTokens(), Workspace: r.Workspace,
		Home: d.cfg.Rules().RegionName(r.HomeRegion), Decision: dec, Attempt: attempt, Hops: r.Hops, Revision: r.Revision,
		Goal: r.Goal, Deadline: r.Deadline, CallerCanRetry: r.CallerCanRetry, Cost: r.Cost, Quota: r.Quota,
		LastEventID: r.LastEventID, Resumes: r.Resumes,
	}
	if e, ok := d.cfg.Endpoints.Find(dec.Name); ok {
		record.SoftwareVersion = e.SoftwareVersion
	}
	if listing := d.currentListing(); listing != nil {
		record.ListingRevision, record.ListingAge = listing.Revision, now.Sub(listing.ReadAt)
	}
	d.cfg.Journal.Record(record)
}
