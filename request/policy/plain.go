package policy

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"vetchtrail"
)

// Names of the policies, as in settings.
const (
	NameWeighted      = "weighted"
	NameRoundRobin    = "round-robin"
	NameLeastInFlight = "least-in-flight"
	NameTwoChoices    = "two-choices"
)

// ByName returns a policy without the mechanisms that are off; ok is false if there
// is none of the name. The plain ones, which have none of them, are the baselines that
// measurements compare with.
func ByName(name string, off vetchtrail.Mechanisms) (p vetchtrail.Policy, ok bool) {
	switch name {
	case NameWeighted, "":
		return Weighted{Off: off}, true
	case NameRoundRobin:
		return &plain{pick: roundRobin()}, true
	case NameLeastInFlight:
		return &plain{pick: leastInFlight}, true
	case NameTwoChoices:
		return &plain{pick: twoChoices}, true
	}
	return nil, false
}

// usualEndpoints is how many usable endpoints are held without allocation.
const usualEndpoints = 512

// picker chooses among the indexes of usable endpoints.
type picker func(v *vetchtrail.View, usable []int, rnd *rand.Rand) int

// plain chooses among the usable endpoints here, and leaves for the first
// usable data centre only when there is none.
type plain struct{ pick picker }

// Decide implements vetchtrail.Policy.
func (p *plain) Decide(now time.Time, r *vetchtrail.Request, v *vetchtrail.View, rnd *rand.Rand) vetchtrail.Decision {
	var d vetchtrail.Decision
	if !now.Before(r.Deadline) {
		return refuse(&d, vetchtrail.ReasonDeadline, now, 0)
	}
	var room [usualEndpoints]int
	usable, full := room[:0], 0
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		switch why := unfit(e, r, v); {
		case why == vetchtrail.ReasonRefused:
			full++
		case why != "":
			d.Note(e.Name, 0, why)
		case e.Own >= e.Limit:
			full++
		default:
			usable = append(usable, i)
		}
	}
	if len(usable) > 0 {
		at := p.pick(v, usable, rnd)
		d.Kind, d.Target, d.Name, d.Reason = vetchtrail.RunHere, at, v.Endpoints[at].Name, vetchtrail.ReasonChosen
		d.Looked += len(usable)
		return d
	}
	if at, cost := bestRemote(&d, &scored{now: now}, r, v); at >= 0 {
		return runElsewhere(&d, &scored{now: now}, at, cost, r, v)
	}
	if full > 0 {
		d.Kind, d.Reason = vetchtrail.WaitHere, vetchtrail.ReasonFull
		return d
	}
	return refuse(&d, refusal(r, v), now, minRetry)
}

func roundRobin() picker {
	var turn atomic.Uint64
	return func(_ *vetchtrail.View, usable []int, _ *rand.Rand) int {
		return usable[turn.Add(1)%uint64(len(usable))]
	}
}

func leastInFlight(v *vetchtrail.View, usable []int, rnd *rand.Rand) int {
	start := rnd.IntN(len(usable))
	best := usable[start]
	for i := range usable {
		at := usable[(start+i)%len(usable)]
		if v.Endpoints[at].Own < v.Endpoints[best].Own {
			best = at
		}
	}
	return best
}

func twoChoices(v *vetchtrail.View, usable []int, rnd *rand.Rand) int {
	a, b := usable[rnd.IntN(len(usable))], usable[rnd.IntN(len(usable))]
	if reportedLoad(&v.Endpoints[b]) < reportedLoad(&v.Endpoints[a]) {
		return b
	}
	return a
}

// reportedLoad takes a late report at its word, corrected by what this host has
// started and finished since.
func reportedLoad(e *vetchtrail.EndpointView) int {
	if !reported(e) {
		return e.Own
	}
	return max(e.Own, e.Running+e.Queued+e.OwnSince)
}
