// Package policy decides whether a request runs at an endpoint of this data centre, is
// forwarded to a remote data centre, waits or is refused. A policy is a pure function of
// its arguments: it does no I/O and reads no clock. It doesn't carry out its decisions;
// package dispatch does.
package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"vetchtrail"
)

const (
	// costSpreadShare is the difference up to which the costs of two endpoints count as
	// equal (the cost spread), as a share of a request's service time.
	costSpreadShare = 0.002
	// maxSpreads limits which endpoints can be drawn: those whose cost is less than this many
	// cost spreads above the lowest cost.
	maxSpreads = 3.0
)

// Weighted is the default policy. It chooses the candidate with the lowest cost, or one of
// the local endpoints with about the lowest. The cost is a weighted sum of the predicted
// time to the first token, the cost of leaving the region, the endpoint's processing time
// and the prompt tokens to process. The weights are those of the service.
type Weighted struct {
	SwitchedOff vetchtrail.Mechanisms // mechanisms that are switched off
}

// evaluation holds the inputs of one decision and what the pass over the endpoints of
// this data centre (evaluate) found.
type evaluation struct {
	costs           [maxCachedCosts]float64 // of the first endpoints; math.MaxFloat64 for those that can't be drawn
	bestCost        float64                 // lowest cost of an available endpoint
	bestIndex       int                     // endpoint with that cost
	available       int                     // endpoints that can accept the request now
	waitable        int                     // endpoints that can't accept it now, but are worth waiting for
	rateLimited     int                     // waitable endpoints that have no requests left under their rate limit
	pausedOrLimited int                     // waitable endpoints that are paused or rate-limited
	slow            int                     // endpoints at which the stream would be too slow (streamTooSlow)
	wait            float64                 // seconds until the first waitable endpoint is free, at least the wait in the queue
	otherRequests   float64                 // mean number of requests of other hosts at an endpoint
	peerUsable      bool                    // an endpoint can be used by a peer only (EndpointView.ViaPeers)
	peerCost        float64                 // lowest cost of such an endpoint, without the way to the peer
	peerFirstToken  float64                 // predicted seconds to the first token there
	now             time.Time
	switchedOff     vetchtrail.Mechanisms // mechanisms that are switched off
}

// maxCachedCosts is how many costs evaluate stores for drawEndpoint. The costs of further
// endpoints are calculated twice.
const maxCachedCosts = 320

// Decide implements vetchtrail.Policy. It runs the request here unless a remote data
// centre is clearly cheaper. If no local endpoint is available, it forwards the request
// if that costs less than to wait here or if the request can't wait here. Otherwise it
// lets the request wait, or refuses it if the wait would be too long or would not help.
func (w Weighted) Decide(now time.Time, r *vetchtrail.Request, v *vetchtrail.View, rnd *rand.Rand) vetchtrail.Decision {
	var d vetchtrail.Decision
	ev := evaluation{switchedOff: w.SwitchedOff}
	if !now.Before(r.Deadline) {
		return refuse(&d, vetchtrail.ReasonDeadline, now, 0)
	}
	evaluate(&ev, &d, now, r, v)
	ev.wait = max(ev.wait, v.QueueWait)
	remote, remoteCost := bestRemote(&d, &ev, r, v)
	if ev.available > 0 && (remote < 0 || ev.bestCost*remoteMargin <= remoteCost) {
		return runHere(&d, &ev, now, r, v, rnd)
	}
	if remote >= 0 && (ev.waitable == 0 || v.WaitExhausted || worthForwarding(&ev, r, v, remoteCost)) {
		return runElsewhere(&d, &ev, remote, remoteCost, r, v)
	}
	if ev.waitable > 0 && ev.waitable == ev.pausedOrLimited && now.Add(exactDuration(ev.wait)).After(r.QueueDeadline()) {
		return refusePaused(&d, &ev, now)
	}
	if ev.waitable > 0 && ev.slow == 0 && !v.WaitExhausted && !queuedForRateLimits(&ev, v) && !ev.switchedOff.Has(vetchtrail.MechanismQueueing) {
		return waitHere(&d, &ev, now, r, v)
	}
	if ev.waitable > 0 && ev.waitable == ev.rateLimited {
		return refuse(&d, vetchtrail.ReasonRateLimited, now, cappedDuration(ev.wait))
	}
	return refuse(&d, refusalReason(r, v), now, retryDelay(now, r))
}

// refusePaused refuses a request when each endpoint that it could wait for is paused or
// rate-limited for longer than the request may wait. The retry time is when the first of
// them accepts requests again.
func refusePaused(d *vetchtrail.Decision, ev *evaluation, now time.Time) vetchtrail.Decision {
	d.Kind, d.Reason, d.RetryAt = vetchtrail.Refuse, vetchtrail.ReasonPaused, now.Add(max(exactDuration(ev.wait), minRetryDelay))
	return *d
}

// queuedForRateLimits reports whether all endpoints that a request could wait for are
// rate-limited and other requests already wait for them. A longer queue doesn't raise the
// rate limits, so a request that joined the queue would probably be refused too, only later.
func queuedForRateLimits(ev *evaluation, v *vetchtrail.View) bool {
	return ev.waitable == ev.rateLimited && v.QueueWait > 0
}

// evaluate calculates the cost of each endpoint that can accept the request now, and finds
// the lowest cost. It counts the other endpoints by the reason why they can't accept it, and
// records these reasons in d.
func evaluate(ev *evaluation, d *vetchtrail.Decision, now time.Time, r *vetchtrail.Request, v *vetchtrail.View) {
	ev.bestCost, ev.wait = math.Inf(1), math.Inf(1)
	ev.otherRequests, ev.now = meanOtherRequests(r, v), now
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		if reason := unusableReason(e, r, v); reason != "" {
			ev.cacheCost(i, math.MaxFloat64)
			d.AddCandidate(e.Name, 0, reason)
			ev.considerViaPeers(e, r, v)
			switch reason {
			case vetchtrail.ReasonRateLimited:
				ev.rateLimited++
				fallthrough
			case vetchtrail.ReasonPaused:
				ev.pausedOrLimited++
				fallthrough
			case vetchtrail.ReasonEndpointRefused, vetchtrail.ReasonColdStart:
				ev.waitable++
				ev.wait = min(ev.wait, e.AvailableIn)
			}
			continue
		}
		requests := estimateRequests(e, ev.otherRequests)
		if streamTooSlow(ev, e.EventInterval, timeToFirstToken(e, r, requests), r, v) {
			ev.slow++
			ev.cacheCost(i, math.MaxFloat64)
			d.AddCandidate(e.Name, e.EventInterval, vetchtrail.ReasonSlow)
			continue
		}
		if e.InFlight >= e.InFlightLimit {
			wait := startDelay(e, requests) + e.ServiceTime/float64(max(e.Slots, 1))
			ev.waitable++
			ev.wait = min(ev.wait, wait)
			ev.cacheCost(i, math.MaxFloat64)
			d.AddCandidate(e.Name, wait, vetchtrail.ReasonFull)
			continue
		}
		ev.available++
		cost := endpointCost(ev, e, r, v, requests)
		ev.cacheCost(i, cost)
		ev.updateBest(i, cost)
	}
}

// considerViaPeers finds the lowest cost of the endpoints that this host doesn't reach but its peers do. Whether a
// stream would be too slow there is left to the peer: this host has observed no streams of the endpoint lately.
func (ev *evaluation) considerViaPeers(e *vetchtrail.EndpointView, r *vetchtrail.Request, v *vetchtrail.View) {
	if !e.ViaPeers || !r.AllowedRegions.Has(e.Region) {
		return
	}
	requests := estimateRequests(e, ev.otherRequests)
	firstToken := timeToFirstToken(e, r, requests)
	if cost := endpointCost(ev, e, r, v, requests); !ev.peerUsable || cost < ev.peerCost {
		ev.peerUsable, ev.peerCost, ev.peerFirstToken = true, cost, firstToken
	}
}

func (ev *evaluation) cacheCost(i int, cost float64) {
	if i < maxCachedCosts {
		ev.costs[i] = cost
	}
}

func (ev *evaluation) updateBest(i int, cost float64) {
	if cost < ev.bestCost {
		ev.bestCost, ev.bestIndex = cost, i
	}
}

// cost returns the cost of the endpoint with index i. It is math.MaxFloat64 for an
// endpoint that can't be drawn.
func (ev *evaluation) cost(i int, r *vetchtrail.Request, v *vetchtrail.View) float64 {
	if i < maxCachedCosts {
		return ev.costs[i]
	}
	e := &v.Endpoints[i]
	if unusableReason(e, r, v) != "" || e.InFlight >= e.InFlightLimit {
		return math.MaxFloat64
	}
	requests := estimateRequests(e, ev.otherRequests)
	if streamTooSlow(ev, e.EventInterval, timeToFirstToken(e, r, requests), r, v) {
		return math.MaxFloat64
	}
	return endpointCost(ev, e, r, v, requests)
}

// unusableReason returns why the request can't be sent to an endpoint. It is empty if the
// endpoint can be used. It doesn't check InFlightLimit.
func unusableReason(e *vetchtrail.EndpointView, r *vetchtrail.Request, v *vetchtrail.View) vetchtrail.Reason {
	switch {
	case !r.AllowedRegions.Has(e.Region):
		return vetchtrail.ReasonResidency
	case e.Unavailable:
		return e.UnavailableReason
	case len(v.Excluded) > 0 && slices.Contains(v.Excluded, e.Name):
		return vetchtrail.ReasonTriedBefore
	}
	return ""
}

// runHere draws one of the endpoints with about the lowest cost and decides to run the
// request there. It refuses the request instead if its first token would be too late.
func runHere(d *vetchtrail.Decision, ev *evaluation, now time.Time, r *vetchtrail.Request, v *vetchtrail.View, rnd *rand.Rand) vetchtrail.Decision {
	chosen := drawEndpoint(d, ev, r, v, rnd)
	e := &v.Endpoints[chosen]
	d.Wait = cappedDuration(timeToFirstToken(e, r, estimateRequests(e, ev.otherRequests)))
	if missesGoal(ev, expectedWait(d.Wait, v), r, v) || callerLeavesFirst(ev, d.Wait, r) {
		return refuse(d, vetchtrail.ReasonOverCapacity, now, retryDelay(now, r))
	}
	if now.Add(d.Wait).After(r.Deadline) {
		return refuse(d, vetchtrail.ReasonDeadline, now, d.Wait)
	}
	d.Kind, d.Target, d.Name, d.Cost = vetchtrail.RunHere, chosen, e.Name, ev.cost(chosen, r, v)
	d.Reason = vetchtrail.ReasonChosen
	d.Backlog, d.CachedTokens, d.ReportAge, d.EventInterval = cappedDuration(e.Backlog), e.CachedTokens, e.ReportAge, cappedDuration(e.EventInterval)
	d.Running, d.Queued, d.InFlight = e.Running, e.Queued, e.InFlight
	d.RateLimited, d.Rate, d.RateLeft = e.RateLimited, e.Rate, e.RateLeft
	return *d
}

// drawEndpoint draws an endpoint at random. The weight of an endpoint falls as its cost
// rises above the lowest, to zero at maxSpreads cost spreads. The draw is a single pass:
// each endpoint replaces the one drawn so far with the probability weight / total, where
// total is the sum of the weights so far. One random number is used for the whole pass.
func drawEndpoint(d *vetchtrail.Decision, ev *evaluation, r *vetchtrail.Request, v *vetchtrail.View, rnd *rand.Rand) int {
	chosen, total := ev.bestIndex, 0.0
	// Endpoints of uneven speed rarely have about the same cost, so that without the second
	// term all hosts would choose the few best ones by the same reports.
	inverseRange := 1 / max(maxSpreads*costSpread(&v.Endpoints[ev.bestIndex], v.Weights.Tail), v.Weights.Tail*v.Uncertainty)
	u := rnd.Float64()
	for i := range v.Endpoints {
		cost := ev.cost(i, r, v)
		if cost == math.MaxFloat64 {
			continue
		}
		d.AddCandidate(v.Endpoints[i].Name, cost, vetchtrail.ReasonCost)
		closeness := 1 - (cost-ev.bestCost)*inverseRange
		if closeness <= 0 {
			continue
		}
		weight := closeness * closeness
		total += weight
		// Each branch scales u, which is now in a part of [0, 1), back to the whole range, so
		// that u is uniform again for the next endpoint.
		if p := weight / total; u < p {
			chosen, u = i, u/p
		} else {
			u = (u - p) / (1 - p)
		}
	}
	return chosen
}

// costSpread returns the difference up to which two costs count as equal. It is
// proportional to the endpoint's service time and to the service's weight of latency.
func costSpread(e *vetchtrail.EndpointView, tailWeight float64) float64 {
	return max(costSpreadShare*e.ServiceTime*max(tailWeight, 0.1), 1e-6)
}

// waitHere decides that a request waits for capacity here. It refuses the request instead
// if the predicted wait ends after its deadline.
func waitHere(d *vetchtrail.Decision, ev *evaluation, now time.Time, r *vetchtrail.Request, v *vetchtrail.View) vetchtrail.Decision {
	d.Wait = cappedDuration(ev.wait)
	if now.Add(d.Wait).After(r.Deadline) {
		return refuse(d, vetchtrail.ReasonDeadline, now, d.Wait)
	}
	d.Kind, d.Reason, d.Cost = vetchtrail.WaitHere, vetchtrail.ReasonFull, v.Weights.Tail*ev.wait
	return *d
}
