package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

// streamPath is where an endpoint gives a stream again from an offset.
const streamPath = "/v1/streams/"

// resume goes on with a stream where its caller lost it: at the endpoint that
// holds it, through a host of its data centre. Nothing is started anew.
func (d *Dispatcher) resume(ctx context.Context, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	e, ok := d.cfg.Rules().Endpoint(r.Resume.Endpoint)
	if !ok || e.Service != r.Service {
		o := d.refusal(vetchtrail.StepParse, vetchtrail.ReasonBadRequest, time.Time{})
		o.Status, o.Err = statusBadRequest, errors.New("the event id names no endpoint of the service")
		return o
	}
	g, known := d.cfg.Rules().Region(e.Region)
	if !known || !r.Allowed.Has(g.ID) {
		return d.refusal(vetchtrail.StepResidency, vetchtrail.ReasonResidency, time.Time{})
	}
	if e.DataCentre == d.cfg.Self.DataCentre {
		if why, until := d.cfg.Table.Bars(e.Name, time.Now()); why == vetchtrail.ReasonPaused {
			return d.refusal(vetchtrail.StepDecide, why, until)
		}
		if retryAt, ok := d.permit(ctx, r, e); !ok {
			return d.refusal(vetchtrail.StepDecide, vetchtrail.ReasonLimited, retryAt)
		}
		r.Method, r.Path, r.Body = "GET", streamPath+r.Resume.Stream, nil
		o, _ := d.cfg.Endpoints.Call(ctx, e, r, a)
		d.giveBack(r, o)
		return o
	}
	if r.Hops >= vetchtrail.MaxHops {
		return d.refusal(vetchtrail.StepForward, vetchtrail.ReasonHops, time.Time{})
	}
	h, ok := d.cfg.Membership.Pick(e.DataCentre, r.Service, time.Now())
	if !ok {
		return d.refusal(vetchtrail.StepForward, vetchtrail.ReasonUnreachable, time.Now().Add(time.Second))
	}
	o := d.cfg.Peers.Forward(ctx, h, r, a)
	d.cfg.Membership.Returned(e.DataCentre, r.Service, o, time.Now())
	return o
}
