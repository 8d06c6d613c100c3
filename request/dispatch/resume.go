package dispatch

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

// streamPath is the path prefix at which an endpoint sends a stream again from an
// offset. The stream's name follows the prefix.
const streamPath = "/v1/streams/"

// resumeStream continues a stream whose connection broke, after the last event that
// the caller received. Only the endpoint that holds the stream can continue it. An
// endpoint in this data centre is called directly, or through another host if this one
// doesn't reach it, and one in a remote data centre through a host there. The original
// request is not run again.
func (d *Dispatcher) resumeStream(ctx context.Context, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	e, ok := d.cfg.Rules().Endpoint(r.ResumeAt.Endpoint)
	if !ok || e.Service != r.Service {
		o := d.refusal(vetchtrail.StepParse, vetchtrail.ReasonBadRequest, time.Time{})
		o.Status, o.Err = statusBadRequest, errors.New("the event ID does not belong to an endpoint of the service")
		return o
	}
	region, known := d.cfg.Rules().Region(e.Region)
	if !known || !r.AllowedRegions.Has(region.ID) {
		return d.refusal(vetchtrail.StepResidency, vetchtrail.ReasonResidency, time.Time{})
	}
	if e.DataCentre == d.cfg.Self.DataCentre {
		if reason, until := d.cfg.Endpoints.Blocked(e.Name, time.Now()); reason == vetchtrail.ReasonPaused {
			return d.refusal(vetchtrail.StepDecide, reason, until)
		}
		if retryAt, ok := d.reserve(ctx, r, e); !ok {
			return d.refusal(vetchtrail.StepDecide, vetchtrail.ReasonRateLimited, retryAt)
		}
		r.Method, r.Path, r.Body = "GET", streamPath+r.ResumeAt.Stream, nil
		o, _ := d.cfg.EndpointCaller.Call(ctx, e, r, w)
		d.returnReservation(r, o)
		noPath := o.Kind == vetchtrail.OutcomeNotRun && o.Step == vetchtrail.StepConnect
		if !noPath || r.Hops >= vetchtrail.MaxHops {
			return o
		}
	}
	if r.Hops >= vetchtrail.MaxHops {
		return d.refusal(vetchtrail.StepForward, vetchtrail.ReasonHops, time.Time{})
	}
	h, ok := d.cfg.Membership.Pick(e.DataCentre, r.Service, time.Now())
	if !ok {
		return d.refusal(vetchtrail.StepForward, vetchtrail.ReasonUnreachable, time.Now().Add(time.Second))
	}
	o := d.cfg.Peers.Forward(ctx, h, r, w)
	d.cfg.Membership.ForwardEnded(e.DataCentre, r.Service, o, time.Now())
	return o
}
