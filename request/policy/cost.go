package policy

import (
	"vetchtrail"
)

const (
	// wholeShare is how much the whole answer weighs beside its first token.
	wholeShare = 0.1
	// refusedPenalty is what staying costs, in seconds, after an endpoint here
	// refused: where load is balanced, the next one is as full, and a second
	// refusal is final.
	refusedPenalty = 4.0
	// failureCost is what an endpoint's failure costs, in seconds: about the time
	// of another attempt with a caller's own pause.
	failureCost = 1.0
)

// costOf weighs one more request at an endpoint with n requests.
func costOf(s *scored, e *vetchtrail.EndpointView, r *vetchtrail.Request, v *vetchtrail.View, n float64) float64 {
	prefill := readTime(e, r)
	first := firstAt(e, r, n) + e.Service*wholeShare
	if v.Refused {
		first += refusedPenalty
	}
	if !s.off.Has(vetchtrail.FailureCost) {
		first += failureCost * e.Failing
	}
	return v.Weights.Tail*first + v.Weights.Cost*(prefill+e.Service) + v.Weights.Read*idleTime(unread(e, r), e, v)
}

// unread is how many tokens of a request's prompt the endpoint lacks.
func unread(e *vetchtrail.EndpointView, r *vetchtrail.Request) int {
	return max(0, r.PromptTokens()-e.Kept)
}

// idleTime is the seconds in which an idle endpoint reads tokens. What is read once
// more costs the same wherever that is, and however long it takes.
func idleTime(tokens int, e *vetchtrail.EndpointView, v *vetchtrail.View) float64 {
	return float64(tokens) * min(e.Prefill, v.IdleRead)
}

// unreadElsewhere is how many tokens of a request's prompt have to be read in another
// data centre: its endpoints are taken to hold as much of what prompts share as those
// here do.
func unreadElsewhere(s *scored, r *vetchtrail.Request, v *vetchtrail.View) int {
	all := r.PromptTokens()
	if len(r.Prompt) == 0 || s.off.Has(vetchtrail.KeptElsewhere) {
		return all
	}
	shared := all - r.Prompt[len(r.Prompt)-1].Tokens
	return all - int(v.KeptShare*float64(shared))
}

// readTime predicts the seconds that an endpoint reads at a request's prompt.
func readTime(e *vetchtrail.EndpointView, r *vetchtrail.Request) float64 {
	return float64(unread(e, r)) * e.Prefill
}

// firstAt predicts the seconds until the first of an answer arrives from an
// endpoint with n requests.
func firstAt(e *vetchtrail.EndpointView, r *vetchtrail.Request, n float64) float64 {
	return waitAt(e, n) + e.Base + e.Backlog + readTime(e, r)
}
