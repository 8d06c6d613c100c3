package dispatch

import (
	"context"
	"time"

	"vetchtrail"
)

// permit gets leave for a request to go to an endpoint. All ways to one ask here: first tries and
// further ones, what was passed on, what waited in a line, what is taken up again. What a host counts
// by itself bounds nothing that all hosts share.
func (d *Dispatcher) permit(ctx context.Context, r *vetchtrail.Request, e vetchtrail.Endpoint) (retryAt time.Time, ok bool) {
	r.Permit = vetchtrail.Permit{}
	if d.cfg.Permits == nil {
		return time.Time{}, true
	}
	r.Permit, retryAt, ok = d.cfg.Permits.Take(ctx, e)
	return retryAt, ok
}

// giveBack gives the permit of an attempt back that did not get to the endpoint. One that it declined
// has got there.
func (d *Dispatcher) giveBack(r *vetchtrail.Request, o vetchtrail.Outcome) {
	if d.cfg.Permits != nil && !arrived(o) {
		d.cfg.Permits.Return(r.Permit)
	}
	r.Permit = vetchtrail.Permit{}
}
