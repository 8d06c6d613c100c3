// Package soak runs a deployment of real programs as separate processes under a
// random schedule of faults, and checks the promises of docs/PROOFS.md from what
// callers and endpoints see.
package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"vetchtrail/standin/deployment"
)

// Kind is a kind of fault.
type Kind string

// Kinds of fault.
const (
	HostKill     Kind = "host killed"
	HostStop     Kind = "host stopped in order"
	HostFreeze   Kind = "host frozen"
	AllStop      Kind = "all hosts of a region stopped in order"
	LinkCut      Kind = "link cut"
	LinkForth    Kind = "link cut one way"
	LinkReset    Kind = "connections reset"
	LinkSlow     Kind = "link slow"
	StoreDown    Kind = "store down"
	StoreSilent  Kind = "store silent"
	StoreSlow    Kind = "store slow"
	StoreLost    Kind = "store loses answers"
	EngineKill   Kind = "endpoint killed"
	EngineFreeze Kind = "endpoint frozen"
	EngineRefuse Kind = "endpoint refuses"
	EngineCut    Kind = "endpoint cuts streams"
	EngineEarly  Kind = "endpoint ends streams early, as if whole"
	EngineJunk   Kind = "endpoint answers nonsense"
	AppLost      Kind = "plain service loses answers"
	Drain        Kind = "endpoint drained and taken back"
)

// weights are how often each kind comes beside the others.
var weights = []struct {
	kind   Kind
	weight int
}{
	{HostKill, 4}, {HostStop, 4}, {HostFreeze, 3}, {AllStop, 1}, {LinkCut, 3}, {LinkForth, 3}, {LinkReset, 2}, {LinkSlow, 2},
	{StoreDown, 2}, {StoreSilent, 2}, {StoreSlow, 1}, {StoreLost, 2}, {EngineKill, 3}, {EngineFreeze, 2}, {EngineRefuse, 2},
	{EngineCut, 2}, {EngineEarly, 2}, {EngineJunk, 1}, {AppLost, 2}, {Drain, 3},
}

// Event is one fault, from a moment of the run on.
type Event struct {
	At     time.Duration
	For    time.Duration
	Kind   Kind
	Target string // a host, an endpoint, or the region where a link begins
	To     string // the region or platform where a link ends; of a region's stop, its data centre
}

// End is when the fault is over.
func (e Event) End() time.Duration { return e.At + e.For }

const (
	quietStart = 2 * time.Second // before the first fault
	// shortest and longest bound a fault; the longest is well above the seconds in
	// which a host is taken as dead.
	shortest = 200 * time.Millisecond
	longest  = 6 * time.Second
	// drainFor is how long an endpoint is drained: it must be left alone for some of
	// it.
	drainFor = 9 * time.Second
)

// Schedule draws the faults of a run: rate a second, in series and overlapping.
// The same seed and deployment give the same.
func Schedule(seed uint64, length time.Duration, rate float64, d *deployment.Deployment) []Event {
	rnd := rand.New(rand.NewPCG(seed, seed>>7))
	total := 0
	for _, w := range weights {
		total += w.weight
	}
	var out []Event
	for at := quietStart; at < length; at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)) {
		e := Event{At: at, For: shortest + time.Duration(rnd.Float64()*float64(longest-shortest)), Kind: drawKind(rnd, total)}
		e.aim(rnd, d)
		if !overlaps(out, e) {
			out = append(out, e)
		}
	}
	return out
}

func drawKind(rnd *rand.Rand, total int) Kind {
	n := rnd.IntN(total)
	for _, w := range weights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	return HostKill
}

// aim picks what a fault strikes.
func (e *Event) aim(rnd *rand.Rand, d *deployment.Deployment) {
	region := func() string { return d.Spec.Regions[rnd.IntN(len(d.Spec.Regions))].Name }
	switch e.Kind {
	case HostKill, HostStop, HostFreeze:
		e.Target = d.Hosts[rnd.IntN(len(d.Hosts))].Host
	case AllStop:
		r := d.Spec.Regions[rnd.IntN(len(d.Spec.Regions))]
		e.Target, e.To = r.Name, r.DataCentre
	case LinkCut, LinkForth, LinkReset, LinkSlow:
		e.Target, e.To = region(), region()
		if e.Target == e.To {
			e.To = deployment.PlatformName
		}
	case StoreDown, StoreSilent, StoreSlow, StoreLost:
	case AppLost:
		e.Target = drawEndpoint(rnd, d, d.Spec.Plain.Name)
	default:
		e.Target = drawEndpoint(rnd, d, d.Spec.Model.Name)
	}
	if e.Kind == Drain {
		e.For = drainFor
	}
}

func drawEndpoint(rnd *rand.Rand, d *deployment.Deployment, service string) string {
	var names []string
	for _, e := range d.Document.Endpoints {
		if e.Service == service {
			names = append(names, e.Name)
		}
	}
	return names[rnd.IntN(len(names))]
}

// overlaps says whether a fault strikes what another still does: a stopped process
// can't be frozen, and the end of one would heal the other.
func overlaps(all []Event, e Event) bool {
	return slices.ContainsFunc(all, func(o Event) bool {
		return e.At < o.End()+settle && (o.object() == e.object() || o.holds(e) || e.holds(o))
	})
}

// settle is how long a process or link is left alone after a fault: the end of an
// orderly stop takes about a second.
const settle = 2 * time.Second

// holds says whether a stop of a whole region strikes what another event does.
func (e Event) holds(o Event) bool {
	return e.Kind == AllStop && (o.Kind == AllStop || strings.HasPrefix(o.Target, e.To+"-"))
}

// object is what is struck, so that only one fault holds it at a time.
func (e Event) object() string {
	switch e.Kind {
	case LinkCut, LinkForth, LinkReset, LinkSlow:
		return e.Target + ">" + e.To
	case StoreDown, StoreSilent, StoreSlow, StoreLost:
		return "store"
	}
	return e.Target
}
