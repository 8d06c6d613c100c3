package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"vetchtrail"
	"vetchtrail/connection/endpoint"
)

// overlapLimit bounds how long an attempt at a silent endpoint and its replacement go on side by
// side after the replacement was sent: an endpoint must not work for long on a stream that another
// one continues.
const overlapLimit = 300 * time.Millisecond

// forwardedOverlapLimit is overlapLimit for a replacement at another host. Its report that it was sent, and the
// cancellation of an attempt that was forwarded too, take some time.
const forwardedOverlapLimit = 200 * time.Millisecond

// forwardLimit bounds how long another host may take to send a replacement to an endpoint. It is over the time for
// which that host waits for a connection.
const forwardLimit = time.Second

// replacementWait is how long a replacement may wait for capacity at another host. If it finds none,
// its refusal has to arrive within overlapLimit.
const replacementWait = 100 * time.Millisecond

// handover runs an attempt that another one may replace. When the endpoint of the attempt is silent,
// the replacement is placed and started beside it. Whichever first brings a part of the response is
// kept, and the other one is cancelled; if the replacement fails before that, the attempt goes on.
// It isn't given up before the replacement has been sent.
type handover struct {
	dispatcher *Dispatcher
	ctx        context.Context // of the request
	use        *quotaUse       // of the original
	parent     *branch         // the replacement that this handover runs itself; nil: none
	caller     vetchtrail.ResponseWriter
	original   branch

	mu            sync.Mutex
	history       attemptHistory // before the original, with the replacements that failed
	lastAttempt   int            // number of the newest attempt
	replacement   *branch        // in progress, or kept; nil: none
	kept          *branch        // nil: not decided
	originalEnded bool
	silence       vetchtrail.Silence // of the original's endpoint, as last reported
	begun         bool               // the response, at that time
}

// branch is one of the attempts of a handover.
type branch struct {
	handover  *handover
	req       *vetchtrail.Request // each has its own
	placement placement
	attempt   int
	cancel    context.CancelCauseFunc
	startedAt time.Time     // of a replacement, as is peer
	peer      string        // endpoint or data centre that it was placed at; empty: not placed yet
	sent      bool          // it was sent to an endpoint
	silent    bool          // its endpoint was silent; of a replacement that is not kept
	done      chan struct{} // closed when a replacement has ended
	outcome   vetchtrail.Outcome
}

// runReplaceable runs an attempt and hands it over to another one if its endpoint is silent. It
// returns the outcome of the attempt that was kept, with its placement and the number of the newest
// attempt. The history gets the others.
func (d *Dispatcher) runReplaceable(ctx context.Context, r *vetchtrail.Request, p placement, history *attemptHistory, attempt int, use *quotaUse, caller vetchtrail.ResponseWriter, parent *branch) (vetchtrail.Outcome, placement, int) {
	if r.Hops > 0 || r.Final || r.Route == "" || !r.Repeatable {
		o := d.runAttempt(ctx, r, p, attempt, d.trackEvents(r, caller))
		use.attemptEnded(o)
		return o, p, attempt
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h := &handover{dispatcher: d, ctx: ctx, use: use, parent: parent, caller: caller, history: history.clone(), lastAttempt: attempt}
	h.original = branch{handover: h, req: r, placement: p, attempt: attempt}
	kept := h.run()
	*history = h.history
	return kept.outcome, kept.placement, h.lastAttempt
}

// trackEvents returns the writer of an attempt's response. It tracks the events of a stream that may
// be resumed.
func (d *Dispatcher) trackEvents(r *vetchtrail.Request, caller vetchtrail.ResponseWriter) vetchtrail.ResponseWriter {
	if r.Stream && r.Resumable {
		return &eventTracker{next: caller, req: r, origins: d.cfg.Origins}
	}
	return caller
}

// clone returns a copy to which attempts can be added.
func (h *attemptHistory) clone() attemptHistory {
	out := *h
	out.excluded = slices.Clone(h.excluded)
	return out
}

// run runs the original and waits for its replacement. It returns the branch whose outcome is that of
// the request so far, with the state of the request copied to the original's.
func (h *handover) run() *branch {
	original := &h.original
	ctx, cancel := context.WithCancelCause(h.ctx)
	defer cancel(nil)
	original.cancel = cancel
	original.outcome = h.dispatcher.runAttempt(ctx, original.req, original.placement, original.attempt, h.dispatcher.trackEvents(original.req, original))
	original.outcome.ResponseStarted = original.outcome.ResponseStarted || original.req.ResponseStarted
	h.use.attemptEnded(original.outcome)
	replacement := h.endOriginal()
	if replacement == nil {
		return original
	}
	<-replacement.done
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.kept != replacement {
		return original
	}
	h.history.add(original.req, original.placement, original.outcome, false)
	h.history.last = h.history.overallOutcome(original.outcome)
	adopt(original.req, replacement.req)
	return replacement
}

// adopt copies to a request what an attempt with a copy of it changed.
func adopt(r, changed *vetchtrail.Request) {
	r.ResponseStarted, r.LastEventID = changed.ResponseStarted, changed.LastEventID
	r.StreamVersion, r.ResponseVersion = changed.StreamVersion, changed.ResponseVersion
	r.RetryUnsent, r.Quota = changed.RetryUnsent, changed.Quota
	r.HomeRegion, r.AllowedRegions, r.Priority, r.Revision = changed.HomeRegion, changed.AllowedRegions, changed.Priority, changed.Revision
}

// endOriginal records that the original has ended. It returns the replacement that is still to be
// waited for, if there is one.
func (h *handover) endOriginal() *branch {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.originalEnded = true
	if h.replacement != nil && h.kept == nil && (h.original.outcome.Kind == vetchtrail.OutcomeAnswered || h.ctx.Err() != nil) {
		cause := vetchtrail.HandoverEvent
		if h.ctx.Err() != nil {
			cause = vetchtrail.HandoverLeft
		}
		h.keep(&h.original, cause)
	}
	return h.replacement
}

// keep decides which branch is kept and cancels the other one. The caller holds the lock.
func (h *handover) keep(b *branch, cause vetchtrail.HandoverCause) {
	h.record(b, cause, "")
	h.kept = b
	other := h.replacement
	if b == h.replacement {
		other = &h.original
		endpoint.CountSilent(b.req.Service, true)
	}
	other.cancel(vetchtrail.ErrSuperseded)
}

// record counts and records that a branch goes on, with the reason of the replacement's end. The caller holds the lock.
func (h *handover) record(kept *branch, cause vetchtrail.HandoverCause, reason vetchtrail.Reason) {
	r, replacement := h.original.req, h.replacement
	decision := vetchtrail.HandoverDecision{
		Kept: vetchtrail.HandoverOriginal, Cause: cause, Peer: replacement.peer, Sent: replacement.sent, Reason: reason,
		ResponseStarted: h.begun, Connected: h.silence.Connected, Standstill: h.silence.Standstill, Overlap: time.Since(replacement.startedAt),
	}
	if kept == replacement {
		decision.Kept = vetchtrail.HandoverReplacement
	}
	countHandover(r.Service, &decision)
	h.dispatcher.cfg.Journal.Record(vetchtrail.JournalRecord{
		At: time.Now(), Request: r.ID, Service: r.Service, Route: r.Route, Attempt: replacement.attempt, Handover: &decision,
	})
}

// RequestSent implements vetchtrail.SendObserver. Only from the send to an endpoint may both endpoints work.
func (b *branch) RequestSent(forwarded bool) {
	h := b.handover
	if h.parent != nil {
		h.parent.RequestSent(forwarded)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case b == &h.original || b.sent:
		return
	case forwarded:
		time.AfterFunc(forwardLimit, func() { h.endOverlap(b) })
		return
	}
	b.sent = true
	limit := overlapLimit
	if b.placement.dataCentre != "" {
		limit = forwardedOverlapLimit
	}
	time.AfterFunc(limit, func() { h.endOverlap(b) })
}

// Begin implements vetchtrail.ResponseWriter.
func (b *branch) Begin(status int, header []vetchtrail.HeaderField) error {
	if err := b.claim(); err != nil {
		return err
	}
	return b.handover.caller.Begin(status, header)
}

// Write implements vetchtrail.ResponseWriter.
func (b *branch) Write(part []byte) error {
	if err := b.claim(); err != nil {
		return err
	}
	return b.handover.caller.Write(part)
}

// claim keeps the branch if none is kept yet. It returns an error if the other one is.
func (b *branch) claim() error {
	h := b.handover
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.kept == nil && h.replacement != nil {
		h.keep(b, vetchtrail.HandoverEvent)
	}
	if h.kept != nil && h.kept != b {
		return vetchtrail.ErrSuperseded
	}
	return nil
}

// EndpointSilent implements vetchtrail.SilenceObserver. It starts a replacement for the original
// unless one is in progress.
func (b *branch) EndpointSilent(s vetchtrail.Silence) {
	h := b.handover
	if h.parent != nil {
		h.parent.EndpointSilent(s)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if b != &h.original {
		b.silent = true
		return
	}
	h.silence, h.begun = s, b.req.ResponseStarted
	if h.replacement != nil || h.parent != nil && !h.parent.isKept() {
		return
	}
	again := *b.req
	again.CallerCanRetry, again.RetryUnsent, again.Reservation, again.Avoid = false, false, vetchtrail.Reservation{}, s.Endpoint
	again.QueueUntil = time.Now().Add(replacementWait)
	ctx, cancel := context.WithCancelCause(h.ctx)
	h.replacement = &branch{handover: h, req: &again, attempt: h.lastAttempt + 1, startedAt: time.Now(), cancel: cancel, done: make(chan struct{})}
	go h.replace(ctx, h.replacement)
}

// isKept reports whether the branch is kept.
func (b *branch) isKept() bool {
	b.handover.mu.Lock()
	defer b.handover.mu.Unlock()
	return b.handover.kept == b
}

// replace places a replacement and runs it. Without a place the original goes on, and its next
// silence tries again.
func (h *handover) replace(ctx context.Context, b *branch) {
	defer close(b.done)
	defer b.cancel(nil)
	d := h.dispatcher
	use := d.quotaUse(b.req)
	defer use.returnUnused()
	defer d.returnRetry(b.req)
	history := h.historyWithOriginal()
	if !d.placeReplacement(ctx, b, history, use) {
		h.replacementEnded(b, nil)
		return
	}
	h.mu.Lock()
	b.peer = b.placement.name()
	h.mu.Unlock()
	b.req.Final = d.isFinal(b.req, b.placement, &history, b.attempt, time.Now())
	countAttempt(b.req.Service, b.attempt, &history)
	countRetry(b.req.Service, true)
	var attempt int
	b.outcome, b.placement, attempt = d.runReplaceable(ctx, b.req, b.placement, &history, b.attempt, use, b, b)
	h.mu.Lock()
	h.lastAttempt = attempt
	h.mu.Unlock()
	h.replacementEnded(b, &history)
}

// historyWithOriginal returns the history of the attempts before a replacement.
func (h *handover) historyWithOriginal() attemptHistory {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.history.clone()
	out.add(h.original.req, h.original.placement, vetchtrail.Outcome{Kind: vetchtrail.OutcomeUnknown}, false)
	return out
}

// replacementEnded keeps a replacement that was answered. The original goes on beside any other, which is added
// to the history if it had a place.
func (h *handover) replacementEnded(b *branch, history *attemptHistory) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.kept == b:
		h.history.merge(history)
		return
	case h.kept == nil && history != nil && b.outcome.Kind == vetchtrail.OutcomeAnswered:
		h.keep(b, vetchtrail.HandoverEvent)
		return
	case history != nil:
		if h.kept == nil {
			h.record(&h.original, vetchtrail.HandoverEnded, b.outcome.Reason)
		}
		h.history.add(b.req, b.placement, b.outcome, false)
		h.history.last = h.history.overallOutcome(b.outcome)
		if !reached(b.outcome) {
			h.lastAttempt = b.attempt - 1 // what was refused or not reached takes none of the original's attempts
		}
	}
	h.replacement, h.kept = nil, nil
}

// merge adds the failed attempts of a replacement's own handover.
func (h *attemptHistory) merge(later *attemptHistory) {
	h.excluded = append(h.excluded, later.excluded...)
	h.refusedHere = h.refusedHere || later.refusedHere
	h.reached = max(h.reached, later.reached-1)
	h.reachedTarget = max(h.reachedTarget, later.reachedTarget-1)
	h.last = later.last
}

// endOverlap decides which branch is kept if neither has brought anything for overlapLimit. The
// original is kept if its endpoint still accepts connections and there is nothing better: all
// endpoints of the service stand still, or the replacement's does, or the replacement has reached none.
// If no endpoint is known to work, both go on: that of the original accepts none, and the replacement has reached none.
func (h *handover) endOverlap(b *branch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.kept != nil || h.replacement != b || h.originalEnded {
		return
	}
	if !h.silence.Connected && !b.sent {
		return
	}
	if h.silence.Connected && (h.silence.Standstill || b.silent || !b.sent) {
		h.keep(&h.original, vetchtrail.HandoverLimit)
		return
	}
	h.keep(b, vetchtrail.HandoverLimit)
}

// placeReplacement finds a place for a replacement without a wait, and takes the retry for it from
// the budget. The endpoint of the original counts as used.
func (d *Dispatcher) placeReplacement(ctx context.Context, b *branch, history attemptHistory, use *quotaUse) bool {
	r := b.req
	if !d.mayReplace(r, &history, b.attempt) {
		return false
	}
	if _, ok := d.applyRules(r); !ok {
		return false
	}
	if _, ok := use.take(ctx, b.attempt); !ok {
		return false
	}
	for range maxPlacementRounds {
		dec := d.decide(r, history)
		canRun := dec.Kind == vetchtrail.RunElsewhere || dec.Kind == vetchtrail.RunHere && d.waitQueue(r).Len() == 0
		if !canRun || ctx.Err() != nil || !r.RetryUnsent && !d.takeRetry(r, 0) {
			return false
		}
		if p, ok := d.acquire(ctx, r, dec); ok {
			d.recordDecision(r, dec, b.attempt)
			b.placement = p
			return true
		}
		history.excluded = append(history.excluded, dec.Name)
	}
	return false
}

// mayReplace reports whether the limits of a request's attempts allow a replacement. history has the
// attempts before it.
func (d *Dispatcher) mayReplace(r *vetchtrail.Request, history *attemptHistory, attempt int) bool {
	switch {
	case d.cfg.SwitchedOff.Has(vetchtrail.MechanismRetries):
		return false
	case attempt > maxTotalAttempts, history.reachedTarget >= attemptLimit(r):
		return false
	case r.ResponseStarted && !r.Resumable:
		return false
	case r.LastEventID != "" && !d.knowsVersion(r):
		return false
	}
	return time.Now().Before(r.Deadline)
}
