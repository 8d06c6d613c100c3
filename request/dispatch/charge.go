package dispatch

import (
	"context"

	"vetchtrail"
	"vetchtrail/request/once"
)

// charge is what the attempts of one request take of its workspace's quota. The host where
// the request came in takes it, before anything is done for it; each attempt that an
// endpoint may have run counts.
type charge struct {
	d      *Dispatcher
	req    *vetchtrail.Request
	amount float64
	paid   bool // for an attempt that did not run yet
}

// charge returns the charge of a request; that of one which counts nothing here is free.
func (d *Dispatcher) charge(r *vetchtrail.Request) *charge {
	c := &charge{d: d, req: r}
	if d.cfg.Quotas == nil || r.Workspace == "" || (r.Hops > 0 && !d.issued(r)) {
		return c
	}
	if q := d.cfg.Rules().Quota(r.Workspace); q.Bounded() {
		c.amount = q.Charge(r)
		r.Charge = c.amount
	}
	return c
}

// issued says whether a request came to this host for its key, so that the one where it
// came in took nothing.
func (d *Dispatcher) issued(r *vetchtrail.Request) bool {
	key, err := once.Parse(r.Key)
	return r.Key != "" && err == nil && d.cfg.Keeper.Mine(key)
}

// pay takes the charge of the next attempt, unless it is paid for. It returns false with
// the refusal of a request that goes beyond the quota.
func (c *charge) pay(ctx context.Context, attempt int) (vetchtrail.Outcome, bool) {
	if c.amount == 0 || c.paid {
		return vetchtrail.Outcome{}, true
	}
	v := c.d.cfg.Quotas.Take(ctx, c.req.Workspace, c.amount)
	c.paid, c.req.Quota = v.Granted, v
	if v.Granted {
		return vetchtrail.Outcome{}, true
	}
	c.d.note(c.req, vetchtrail.Decision{Kind: vetchtrail.Refuse, Reason: vetchtrail.ReasonQuota, RetryAt: v.RetryAt}, attempt)
	return c.d.refusal(vetchtrail.StepDecide, vetchtrail.ReasonQuota, v.RetryAt), false
}

// used notes that an attempt ended so.
func (c *charge) used(o vetchtrail.Outcome) {
	if o.Kind != vetchtrail.NotRun {
		c.paid = false
	}
}

// settle gives back what no attempt used.
func (c *charge) settle() {
	if c.paid && c.amount > 0 {
		c.d.cfg.Quotas.Return(c.req.Workspace, c.amount)
	}
}
