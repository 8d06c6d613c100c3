package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

// held says whether a request is held back. It is asked on each way on which a request reaches
// an endpoint: as it comes, before each attempt, as its turn in a line comes, at the host that
// it is passed to, and just before its first byte leaves. A request that fails comes again as a
// new one, at any host: what is counted within one try alone, such as its attempts, bounds
// nothing then.
func (d *Dispatcher) held(r *vetchtrail.Request) (vetchtrail.Hold, bool) {
	if d.cfg.Quarantine == nil {
		return vetchtrail.Hold{}, false
	}
	return d.cfg.Quarantine.Held(r)
}

// heldBack is the outcome of a request that is held back. No time is named at which to come
// back: asking again serves nobody.
func (d *Dispatcher) heldBack(hold vetchtrail.Hold) vetchtrail.Outcome {
	o := d.refusal(vetchtrail.StepHold, vetchtrail.ReasonHeldBack, time.Time{})
	o.Err = errors.Errorf("%d endpoints ended while they ran this request (%s): it is not run again for now", hold.Ends, hold.Digest)
	return o
}

// learn tells what an attempt showed of its endpoint's life.
func (d *Dispatcher) learn(ctx context.Context, e vetchtrail.Endpoint, r *vetchtrail.Request, o vetchtrail.Outcome, t vetchtrail.Timing, n int) {
	lost := o.Kind == vetchtrail.Unknown && ctx.Err() == nil
	if lost {
		d.noteLost(r, o, t.Sent, n)
	}
	switch {
	case d.cfg.Quarantine == nil:
	case lost:
		d.cfg.Quarantine.Lost(e, r, o, t)
	case o.Kind == vetchtrail.Answered:
		d.cfg.Quarantine.Answered(r)
	}
}

// noteLost writes a line of an attempt that may have run: which of an endpoint's requests
// ended with it, and whether they came again, can only be told from all of them.
func (d *Dispatcher) noteLost(r *vetchtrail.Request, o vetchtrail.Outcome, sent time.Time, n int) {
	d.cfg.Journal.Note(vetchtrail.Record{
		At: sent, Request: r.ID, Service: r.Service, Route: r.Route, Workspace: r.Workspace, Prompt: r.PromptTokens(),
		Hops: r.Hops, Attempt: n, Lost: true, Outcome: o, Took: time.Since(sent), Digest: r.Digest(),
	})
}
