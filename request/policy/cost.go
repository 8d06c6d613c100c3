package policy

import (
	"vetchtrail"
)

const (
	// serviceTimeWeight is the weight of the time for the whole response, relative to the
	// time to its first token.
	serviceTimeWeight = 0.1
	// refusedPenaltySeconds is added to the cost of every endpoint of this data centre after
	// one of them refused the request because of its load. Where load is balanced, the next
	// endpoint is as full, and a second refusal is final.
	refusedPenaltySeconds = 4.0
	// failureCostSeconds is the cost of a failed attempt: about the time of another
	// attempt, including the pause that the caller makes before it.
	failureCostSeconds = 1.0
)

// endpointCost returns the cost, in weighted seconds, of sending one more request to an
// endpoint that is estimated to have the given number of requests.
func endpointCost(ev *evaluation, e *vetchtrail.EndpointView, r *vetchtrail.Request, v *vetchtrail.View, requests float64) float64 {
	prefill := prefillTime(e, r)
	latency := timeToFirstToken(e, r, requests) + e.ServiceTime*serviceTimeWeight
	if v.RefusedHere {
		latency += refusedPenaltySeconds
	}
	if !ev.switchedOff.Has(vetchtrail.MechanismFailureCost) {
		latency += failureCostSeconds * e.ExcessFailureRate
	}
	return v.Weights.Tail*latency + v.Weights.Cost*(prefill+e.ServiceTime) + v.Weights.Read*idlePrefillTime(uncachedTokens(e, r), e, v)
}

// uncachedTokens returns how many tokens of a request's prompt the endpoint has not
// cached.
func uncachedTokens(e *vetchtrail.EndpointView, r *vetchtrail.Request) int {
	return max(0, r.PromptTokens()-e.CachedTokens)
}

// idlePrefillTime predicts the seconds that an idle endpoint takes to process prompt
// tokens. It is a measure of the work, which is the same at a busy endpoint although a busy
// endpoint takes longer.
func idlePrefillTime(tokens int, e *vetchtrail.EndpointView, v *vetchtrail.View) float64 {
	return float64(tokens) * min(e.Prefill, v.IdlePrefill)
}

// remoteUncachedTokens estimates how many tokens of a request's prompt a remote data
// centre would have to process. All parts of a prompt but the last may be shared with other
// requests; the estimate assumes that the remote endpoints have cached the same fraction of
// them (View.CachedShare) as the local endpoints.
func remoteUncachedTokens(ev *evaluation, r *vetchtrail.Request, v *vetchtrail.View) int {
	total := r.PromptTokens()
	if len(r.Prompt) == 0 || ev.switchedOff.Has(vetchtrail.MechanismRemoteCacheEstimate) {
		return total
	}
	shared := total - r.Prompt[len(r.Prompt)-1].Tokens
	return total - int(v.CachedShare*float64(shared))
}

// prefillTime predicts the seconds that an endpoint takes to process the part of a
// request's prompt that it has not cached.
func prefillTime(e *vetchtrail.EndpointView, r *vetchtrail.Request) float64 {
	return float64(uncachedTokens(e, r)) * e.Prefill
}

// timeToFirstToken predicts the seconds until the first token of a response arrives from
// an endpoint that is estimated to have the given number of requests.
func timeToFirstToken(e *vetchtrail.EndpointView, r *vetchtrail.Request, requests float64) float64 {
	return startDelay(e, requests) + e.BaseLatency + e.Backlog + prefillTime(e, r)
}
