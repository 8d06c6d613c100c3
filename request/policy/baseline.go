package policy

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"vetchtrail"
)

// Names of the policies in the settings.
const (
	NameWeighted      = "weighted"
	NameRoundRobin    = "round-robin"
	NameLeastInFlight = "least-in-flight"
	NameTwoChoices    = "two-choices"
)

// ByName returns the policy with the given name, or the weighted one for an empty name.
// The weighted policy doesn't use the mechanisms in switchedOff. The others are baselines for
// comparison and ignore switchedOff. ok is false if no policy has the name.
func ByName(name string, switchedOff vetchtrail.Mechanisms) (p vetchtrail.Policy, ok bool) {
	switch name {
	case NameWeighted, "":
		return Weighted{SwitchedOff: switchedOff}, true
	case NameRoundRobin:
		return &baseline{pick: roundRobin()}, true
	case NameLeastInFlight:
		return &baseline{pick: leastInFlight}, true
	case NameTwoChoices:
		return &baseline{pick: twoChoices}, true
	}
	return nil, false
}

// stackEndpoints is how many usable endpoints a decision can list without allocating
// memory on the heap.
const stackEndpoints = 512

// picker chooses one of the usable endpoints, which are given by their indexes in the
// view, and returns its index in the view.
type picker func(v *vetchtrail.View, usable []int, rnd *rand.Rand) int

// baseline is a policy that leaves the choice among the usable endpoints of this data
// centre to its picker. It forwards a request to a remote data centre only when no
// endpoint here is usable.
type baseline struct{ pick picker }

// Decide implements vetchtrail.Policy.
func (p *baseline) Decide(now time.Time, r *vetchtrail.Request, v *vetchtrail.View, rnd *rand.Rand) vetchtrail.Decision {
	var d vetchtrail.Decision
	if !now.Before(r.Deadline) {
		return refuse(&d, vetchtrail.ReasonDeadline, now, 0)
	}
	var buf [stackEndpoints]int
	usable, waitable := buf[:0], 0
	ev := evaluation{now: now}
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		switch reason := unusableReason(e, r, v); {
		case reason == vetchtrail.ReasonEndpointRefused:
			waitable++
		case reason != "":
			d.AddCandidate(e.Name, 0, reason)
			ev.considerViaPeers(e, r, v)
		case e.InFlight >= e.InFlightLimit:
			waitable++
		default:
			usable = append(usable, i)
		}
	}
	if len(usable) > 0 {
		index := p.pick(v, usable, rnd)
		d.Kind, d.Target, d.Name, d.Reason = vetchtrail.RunHere, index, v.Endpoints[index].Name, vetchtrail.ReasonChosen
		d.Considered += len(usable)
		return d
	}
	if index, cost := bestRemote(&d, &ev, r, v); index >= 0 {
		return runElsewhere(&d, &ev, index, cost, r, v)
	}
	if waitable > 0 {
		d.Kind, d.Reason = vetchtrail.WaitHere, vetchtrail.ReasonFull
		return d
	}
	return refuse(&d, refusalReason(r, v), now, minRetryDelay)
}

// roundRobin returns a picker that takes the usable endpoints in turn.
func roundRobin() picker {
	var calls atomic.Uint64
	return func(_ *vetchtrail.View, usable []int, _ *rand.Rand) int {
		return usable[calls.Add(1)%uint64(len(usable))]
	}
}

// leastInFlight picks the endpoint with the fewest requests of this host. The scan
// starts at a random endpoint, so that ties are not always broken the same way.
func leastInFlight(v *vetchtrail.View, usable []int, rnd *rand.Rand) int {
	start := rnd.IntN(len(usable))
	best := usable[start]
	for i := range usable {
		index := usable[(start+i)%len(usable)]
		if v.Endpoints[index].InFlight < v.Endpoints[best].InFlight {
			best = index
		}
	}
	return best
}

// twoChoices draws two endpoints at random and picks the one with the lower reported
// load.
func twoChoices(v *vetchtrail.View, usable []int, rnd *rand.Rand) int {
	a, b := usable[rnd.IntN(len(usable))], usable[rnd.IntN(len(usable))]
	if reportedLoad(&v.Endpoints[b]) < reportedLoad(&v.Endpoints[a]) {
		return b
	}
	return a
}

// reportedLoad returns the number of requests in an endpoint's load report, corrected by
// those that this host has started and finished there since. Unlike estimateRequests it
// doesn't discount the report for its age.
func reportedLoad(e *vetchtrail.EndpointView) int {
	if !hasFreshReport(e) {
		return e.InFlight
	}
	return max(e.InFlight, e.Running+e.Queued+e.InFlightChange)
}
