package dispatch

import (
	"time"

	"vetchtrail"
	"vetchtrail/request/policy"
)

// needsAdmission reports whether admission applies to a request: to streams of routes, whose
// work is known by the tokens of their prompts.
func needsAdmission(r *vetchtrail.Request) bool {
	return r.Route != "" && r.Stream && r.PromptTokens() > 0
}

// admissionInForce reports whether admission replaces rules of the policy for a request.
func (d *Dispatcher) admissionInForce(r *vetchtrail.Request, now time.Time) bool {
	return d.cfg.Admission != nil && needsAdmission(r) && d.cfg.Admission.InForce(r.Service, now)
}

// admit asks for the admission of a request that its caller sent to this host. It returns false
// with the refusal if the request is not admitted. A request that another host forwarded was
// admitted there.
func (d *Dispatcher) admit(r *vetchtrail.Request, attempt int) (vetchtrail.Outcome, bool) {
	if d.cfg.Admission == nil || attempt > 1 || r.Hops > 0 || !needsAdmission(r) {
		return vetchtrail.Outcome{}, true
	}
	now := time.Now()
	verdict := d.cfg.Admission.Admit(r, now)
	if verdict.Admitted {
		return vetchtrail.Outcome{}, true
	}
	dec := vetchtrail.Decision{Kind: vetchtrail.Refuse, Reason: vetchtrail.ReasonOverCapacity, RetryAt: policy.RetryAt(now, r)}
	dec.AddCandidate(r.Service, verdict.Share, vetchtrail.ReasonAdmission)
	d.recordDecision(r, dec, attempt)
	return d.refusal(vetchtrail.StepDecide, dec.Reason, dec.RetryAt), false
}
