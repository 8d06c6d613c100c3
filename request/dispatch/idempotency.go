package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/request/idempotency"
)

// runWithKey runs a request with an idempotency key. Only the process that issued
// the key (its issuer) may start the request, so any other process forwards it there.
func (d *Dispatcher) runWithKey(ctx context.Context, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	key, err := idempotency.Parse(r.IdempotencyKey)
	if err != nil {
		o := d.refusal(vetchtrail.StepIdempotency, vetchtrail.ReasonIdempotencyKey, time.Time{})
		o.Status, o.Err = statusBadRequest, err
		return o
	}
	if d.cfg.IssuedKeys.IssuedHere(key) {
		return d.runAsIssuer(ctx, key, r, w)
	}
	if r.Hops > 0 {
		return d.runForwarded(ctx, key, r, w)
	}
	return d.forwardToIssuer(ctx, key, r, w)
}

// StartingOutcome returns the outcome of a request that arrived before this host
// had a configuration.
func (d *Dispatcher) StartingOutcome(r *vetchtrail.Request) vetchtrail.Outcome {
	return d.refusalBeforeKeyCheck(r, d.refusal(vetchtrail.StepDecide, vetchtrail.ReasonStarting, time.Now().Add(time.Second)))
}

// refusalBeforeKeyCheck returns the outcome of a request that was refused before
// its idempotency key was checked. If it has a key, an earlier request with that key
// may have run, so the outcome is unknown unless this process issued the key and has
// not begun a request with it, or the issuer forwarded the request, which knows of any earlier one.
func (d *Dispatcher) refusalBeforeKeyCheck(r *vetchtrail.Request, o vetchtrail.Outcome) vetchtrail.Outcome {
	key, err := idempotency.Parse(r.IdempotencyKey)
	fromIssuer := r.Hops > 0 && r.ResumeAt.Endpoint == "" && key.Host != d.cfg.Self.Name
	if r.IdempotencyKey == "" || err != nil || fromIssuer || (d.cfg.IssuedKeys.IssuedHere(key) && !d.cfg.IssuedKeys.MayHaveBegun(key)) {
		return o
	}
	o.Kind = vetchtrail.OutcomeUnknown
	return o
}

// runForwarded runs a request with an idempotency key that another host forwarded.
// If the key names another host, the issuer forwarded the request. If it names this
// host, the issuer was an earlier process of this host, which has ended; the request
// is not run, because that process may have run one with the same key.
func (d *Dispatcher) runForwarded(ctx context.Context, key idempotency.Key, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	if key.Host == d.cfg.Self.Name {
		return d.issuerGone(r)
	}
	return d.runWithRetries(ctx, r, w)
}

// runAsIssuer runs the first request with a key that this process issued. Any
// further request with the key gets the response to the first.
func (d *Dispatcher) runAsIssuer(ctx context.Context, key idempotency.Key, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	rec, first, err := d.cfg.IssuedKeys.Begin(key, idempotency.Fingerprint(r), time.Now())
	if err != nil {
		return d.unusableKeyRefusal(key, err)
	}
	if !first {
		return d.awaitFirst(ctx, rec, r, w)
	}
	tee := &idempotency.Tee{To: w}
	// The request continues when its caller disconnects, because a retry with the
	// same key needs the response.
	ctx, cancel := d.untilEnding(context.WithoutCancel(ctx))
	defer cancel()
	o := d.runWithRetries(ctx, r, tee)
	d.cfg.IssuedKeys.Finish(key, rec, tee, o)
	return o
}

// awaitFirst waits until the first request with a key has ended, and replays its
// response to a further request with the key.
func (d *Dispatcher) awaitFirst(ctx context.Context, rec *idempotency.Record, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	timeout := time.NewTimer(time.Until(r.Deadline))
	defer timeout.Stop()
	select {
	case <-rec.Done():
		return rec.Replay(w)
	case <-timeout.C:
	case <-ctx.Done():
	}
	o := d.unknownOutcome(vetchtrail.ReasonResponseLost, errors.New("the first request with this key is still running"))
	o.RetryAt = time.Now().Add(time.Second)
	return o
}

// unusableKeyRefusal returns the outcome of a request whose idempotency key can't be
// used. err is the error of idempotency.Registry.Begin.
func (d *Dispatcher) unusableKeyRefusal(key idempotency.Key, err error) vetchtrail.Outcome {
	o := d.refusal(vetchtrail.StepIdempotency, vetchtrail.ReasonIdempotencyKey, time.Time{})
	o.Err = err
	switch {
	case errors.Is(err, idempotency.ErrReused):
		o.Status = statusConflict
	case errors.Is(err, idempotency.ErrFull):
		o.Reason, o.RetryAt = vetchtrail.ReasonOverCapacity, time.Now().Add(time.Second)
	case errors.Is(err, idempotency.ErrExpired):
		o.Status, o.Reason = statusConflict, vetchtrail.ReasonIdempotencyKeyExpired
		if idempotency.RecordMayBeRemoved(key, time.Now()) {
			// The record of an earlier request may have been removed.
			o.Kind = vetchtrail.OutcomeUnknown
		}
	}
	return o
}

// forwardToIssuer forwards a request to the process that issued its idempotency key.
// If that process can't be reached or has ended, or its region is not allowed, the
// outcome is unknown, because an earlier request with the key may have run.
func (d *Dispatcher) forwardToIssuer(ctx context.Context, key idempotency.Key, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	h, ok := d.cfg.Membership.Find(key.Host, time.Now())
	if !ok {
		return d.unknownOutcome(vetchtrail.ReasonIssuerGone, errors.New("host "+key.Host+", which issued the key, is unknown to this host"))
	}
	if h.Incarnation != key.Incarnation {
		return d.issuerGone(r)
	}
	region, known := d.cfg.Rules().Region(h.Region)
	if !known || !r.AllowedRegions.Has(region.ID) {
		return d.unknownOutcome(vetchtrail.ReasonResidency, errors.New("the request may not go to the region of host "+key.Host+", which issued the key"))
	}
	o := d.cfg.Peers.Forward(ctx, h, r, w)
	if o.Kind == vetchtrail.OutcomeNotRun && (o.Step == vetchtrail.StepConnect || o.HostLost) {
		o.Kind, o.Status, o.RetryAt = vetchtrail.OutcomeUnknown, statusBadGateway, time.Now().Add(time.Second)
	}
	return o
}

// issuerGone returns the outcome of a request whose idempotency key was issued by a
// process that has ended. An earlier request with the key may have run; no request
// starts after its deadline.
func (d *Dispatcher) issuerGone(r *vetchtrail.Request) vetchtrail.Outcome {
	return d.unknownOutcome(vetchtrail.ReasonIssuerGone,
		errors.New("the process that issued the key has ended: the request may have run, but will not start after "+r.Deadline.UTC().Format(time.RFC3339)))
}

// unknownOutcome returns the outcome of a request with an idempotency key when this
// host can't determine whether the request ran.
func (d *Dispatcher) unknownOutcome(reason vetchtrail.Reason, err error) vetchtrail.Outcome {
	return vetchtrail.Outcome{
		Kind: vetchtrail.OutcomeUnknown, Status: statusBadGateway, Step: vetchtrail.StepIdempotency,
		Peer: d.cfg.Self.Name, Reason: reason, Err: err,
	}
}
