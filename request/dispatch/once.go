package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/request/once"
)

// once runs a request with a key, if this process issued it; otherwise it goes
// to the host that did.
func (d *Dispatcher) once(ctx context.Context, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	key, err := once.Parse(r.Key)
	if err != nil {
		o := d.refusal(vetchtrail.StepOnce, vetchtrail.ReasonKey, time.Time{})
		o.Status, o.Err = statusBadRequest, err
		return o
	}
	if d.cfg.Keeper.Mine(key) {
		return d.first(ctx, key, r, a)
	}
	if r.Hops > 0 {
		return d.passedOn(ctx, key, r, a)
	}
	return d.toIssuer(ctx, key, r, a)
}

// Starting is the outcome of a request that came before this host held a
// configuration.
func (d *Dispatcher) Starting(r *vetchtrail.Request) vetchtrail.Outcome {
	return d.keyed(r, d.refusal(vetchtrail.StepDecide, vetchtrail.ReasonStarting, time.Now().Add(time.Second)))
}

// keyed is the outcome of a request that was refused before its key was looked
// at. The refusal tells nothing of earlier tries: unless this process issued
// the key and has not begun it, they may have run.
func (d *Dispatcher) keyed(r *vetchtrail.Request, o vetchtrail.Outcome) vetchtrail.Outcome {
	key, err := once.Parse(r.Key)
	if r.Key == "" || err != nil || (d.cfg.Keeper.Mine(key) && !d.cfg.Keeper.Begun(key)) {
		return o
	}
	o.Kind = vetchtrail.Unknown
	return o
}

// passedOn runs a keyed request that its issuer sent here. One that another
// host took this process for the issuer of is not run: that process is gone.
func (d *Dispatcher) passedOn(ctx context.Context, key once.Key, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	if key.Host == d.cfg.Self.Name {
		return d.issuerGone(r)
	}
	return d.attempts(ctx, r, a)
}

// first runs a key's request unless it was begun before; a repeat gets what
// the first got.
func (d *Dispatcher) first(ctx context.Context, key once.Key, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	rec, first, err := d.cfg.Keeper.Begin(key, once.Fingerprint(r), time.Now())
	if err != nil {
		return d.keyProblem(key, err)
	}
	if !first {
		return d.repeat(ctx, rec, r, a)
	}
	tee := &once.Tee{To: a}
	// The caller's leaving does not stop it: a repeat will ask for its answer.
	o := d.attempts(context.WithoutCancel(ctx), r, tee)
	d.cfg.Keeper.Finish(key, rec, tee, o)
	return o
}

func (d *Dispatcher) repeat(ctx context.Context, rec *once.Record, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	timeout := time.NewTimer(time.Until(r.Deadline))
	defer timeout.Stop()
	select {
	case <-rec.Done():
		return rec.Replay(a)
	case <-timeout.C:
	case <-ctx.Done():
	}
	o := d.unknown(vetchtrail.ReasonLost, errors.New("the request is still running"))
	o.RetryAt = time.Now().Add(time.Second)
	return o
}

// keyProblem tells why a key can't be used here.
func (d *Dispatcher) keyProblem(key once.Key, err error) vetchtrail.Outcome {
	o := d.refusal(vetchtrail.StepOnce, vetchtrail.ReasonKey, time.Time{})
	o.Err = err
	switch {
	case errors.Is(err, once.ErrReused):
		o.Status = statusConflict
	case errors.Is(err, once.ErrFull):
		o.Reason, o.RetryAt = vetchtrail.ReasonOverCapacity, time.Now().Add(time.Second)
	case errors.Is(err, once.ErrExpired):
		o.Status, o.Reason = statusConflict, vetchtrail.ReasonKeyExpired
		if once.Forgotten(key, time.Now()) {
			o.Kind = vetchtrail.Unknown
		}
	}
	return o
}

// toIssuer passes a keyed request to the process that issued its key. Whatever
// keeps it from getting there, an earlier try may have run: without the
// issuer's word the outcome is unknown.
func (d *Dispatcher) toIssuer(ctx context.Context, key once.Key, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	h, ok := d.cfg.Membership.Find(key.Host, time.Now())
	if !ok {
		return d.unknown(vetchtrail.ReasonIssuerGone, errors.New("host "+key.Host+", which issued the key, is not known here"))
	}
	if h.Incarnation != key.Incarnation {
		return d.issuerGone(r)
	}
	g, known := d.cfg.Rules().Region(h.Region)
	if !known || !r.Allowed.Has(g.ID) {
		return d.unknown(vetchtrail.ReasonResidency, errors.New("the request may not go to the region of host "+key.Host+", which issued the key"))
	}
	o := d.cfg.Peers.Forward(ctx, h, r, a)
	if o.Kind == vetchtrail.NotRun && o.Step == vetchtrail.StepConnect {
		o.Kind, o.Status, o.RetryAt = vetchtrail.Unknown, statusBadGateway, time.Now().Add(time.Second)
	}
	return o
}

// issuerGone is the answer when the issuing process was replaced: nothing will
// start the request after its deadline, but it may have run.
func (d *Dispatcher) issuerGone(r *vetchtrail.Request) vetchtrail.Outcome {
	return d.unknown(vetchtrail.ReasonIssuerGone,
		errors.New("the process that issued the key is gone: the request may have run, and will not start after "+r.Deadline.UTC().Format(time.RFC3339)))
}

func (d *Dispatcher) unknown(why vetchtrail.Reason, err error) vetchtrail.Outcome {
	return vetchtrail.Outcome{
		Kind: vetchtrail.Unknown, Status: statusBadGateway, Step: vetchtrail.StepOnce,
		Peer: d.cfg.Self.Name, Reason: why, Err: err,
	}
}
