package dispatch

import (
	"context"

	"vetchtrail"
	"vetchtrail/request/idempotency"
)

// quotaUse takes the cost of a request's attempts from the quota of its workspace.
// The cost of an attempt is taken before the attempt is placed, so before any wait in
// the queue. It is taken by the host that received the request from its caller or, if
// the request has an idempotency key, by the issuer of the key. Each attempt that may
// have run uses up its cost. The cost of an attempt that did not run is used for the
// next attempt, or returned.
type quotaUse struct {
	d     *Dispatcher
	req   *vetchtrail.Request
	cost  float64 // of one attempt, in quota units; 0: nothing is taken
	taken bool    // the cost is taken, and no attempt has used it yet
}

// quotaUse returns the quota use of a request. Its cost is 0 if the workspace has
// no quota, or if the cost is taken on another host.
func (d *Dispatcher) quotaUse(r *vetchtrail.Request) *quotaUse {
	u := &quotaUse{d: d, req: r}
	if d.cfg.Quotas == nil || r.Workspace == "" || (r.Hops > 0 && !d.issuedKey(r)) {
		return u
	}
	if q := d.cfg.Rules().Quota(r.Workspace); q.IsLimited() {
		u.cost = q.Cost(r)
		r.Cost = u.cost
	}
	return u
}

// issuedKey reports whether this process issued the idempotency key of a request.
// Other hosts forward such a request here before they take its cost, so this host
// takes it.
func (d *Dispatcher) issuedKey(r *vetchtrail.Request) bool {
	key, err := idempotency.Parse(r.IdempotencyKey)
	return r.IdempotencyKey != "" && err == nil && d.cfg.IssuedKeys.IssuedHere(key)
}

// take takes the cost of the next attempt, unless the cost of an earlier attempt that
// did not run can be used. It returns false with the refusal if the quota is exceeded.
func (u *quotaUse) take(ctx context.Context, attempt int) (vetchtrail.Outcome, bool) {
	if u.cost == 0 || u.taken {
		return vetchtrail.Outcome{}, true
	}
	v := u.d.cfg.Quotas.Take(ctx, u.req.Workspace, u.cost)
	u.taken, u.req.Quota = v.Granted, v
	if v.Granted {
		return vetchtrail.Outcome{}, true
	}
	u.d.recordDecision(u.req, vetchtrail.Decision{Kind: vetchtrail.Refuse, Reason: vetchtrail.ReasonOverQuota, RetryAt: v.RetryAt}, attempt)
	return u.d.refusal(vetchtrail.StepDecide, vetchtrail.ReasonOverQuota, v.RetryAt), false
}

// attemptEnded counts the cost as used if the attempt may have run.
func (u *quotaUse) attemptEnded(o vetchtrail.Outcome) {
	if o.Kind != vetchtrail.OutcomeNotRun {
		u.taken = false
	}
}

// returnUnused returns the cost to the quota if no attempt used it.
func (u *quotaUse) returnUnused() {
	if u.taken && u.cost > 0 {
		u.d.cfg.Quotas.Return(u.req.Workspace, u.cost)
	}
}
