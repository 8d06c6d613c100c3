package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"vetchtrail/standin/deployment"
)

// Kind is a kind of fault; its text is shown in reports and timelines.
type Kind string

// Kinds of fault. Engines are the stand-ins for endpoints of the model service, plain services
// those for other endpoints.
const (
	HostKill            Kind = "host killed"
	HostStop            Kind = "host stopped gracefully"
	HostFreeze          Kind = "host frozen"
	RegionStop          Kind = "all hosts of a region stopped gracefully"
	LinkCut             Kind = "link cut"
	LinkCutOneWay       Kind = "link cut in one direction"
	LinkReset           Kind = "connections reset"
	LinkSlow            Kind = "link slow"
	StoreDown           Kind = "store down"
	StoreSilent         Kind = "store silent"
	StoreSlow           Kind = "store slow"
	StoreLosesResponses Kind = "store loses responses"
	EngineKill          Kind = "endpoint killed"
	EngineFreeze        Kind = "endpoint frozen"
	EngineRefuses       Kind = "endpoint refuses"
	EngineCutsStreams   Kind = "endpoint cuts streams"
	EngineEndsEarly     Kind = "endpoint ends streams early, without an error"
	EngineNonsense      Kind = "endpoint sends malformed responses"
	PlainLosesResponses Kind = "plain service loses responses"
	EndpointDrain       Kind = "endpoint drained and undrained"
)

// faultWeights are the relative frequencies of the kinds of fault.
var faultWeights = []struct {
	kind   Kind
	weight int
}{
	{HostKill, 4}, {HostStop, 4}, {HostFreeze, 3}, {RegionStop, 1}, {LinkCut, 3}, {LinkCutOneWay, 3}, {LinkReset, 2}, {LinkSlow, 2},
	{StoreDown, 2}, {StoreSilent, 2}, {StoreSlow, 1}, {StoreLosesResponses, 2}, {EngineKill, 3}, {EngineFreeze, 2}, {EngineRefuses, 2},
	{EngineCutsStreams, 2}, {EngineEndsEarly, 2}, {EngineNonsense, 1}, {PlainLosesResponses, 2}, {EndpointDrain, 3},
}

// Fault is one scheduled fault.
type Fault struct {
	Start    time.Duration // into the run
	Duration time.Duration
	Kind     Kind
	Target   string // a host, an endpoint, a region to stop, or the region where a link starts; empty: the store
	To       string // the region or platform where a link ends; for RegionStop, the data centre of the region
}

// End returns the time into the run at which the fault is cleared.
func (f Fault) End() time.Duration { return f.Start + f.Duration }

const (
	faultFreeStart = 2 * time.Second // from the start of the run to its first fault
	// minFaultDuration and maxFaultDuration bound the duration of a fault. The maximum is well
	// above the few seconds after which the other hosts regard a silent host as dead.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 6 * time.Second
	// drainDuration is how long an endpoint is drained. It covers drainPropagation, after which
	// the endpoint must get no new requests, and drainObservation, in which that is checked.
	drainDuration = 9 * time.Second
)

// Schedule draws the faults of a run at random, faultsPerSecond on average. Faults of different
// resources may overlap in time; of two faults that would affect one resource at the same time, it
// drops the later one. The same arguments give the same schedule.
func Schedule(seed uint64, length time.Duration, faultsPerSecond float64, d *deployment.Deployment) []Fault {
	rnd := rand.New(rand.NewPCG(seed, seed>>7))
	total := 0
	for _, w := range faultWeights {
		total += w.weight
	}
	var out []Fault
	for at := faultFreeStart; at < length; at += time.Duration(rnd.ExpFloat64() / faultsPerSecond * float64(time.Second)) {
		f := Fault{Start: at, Duration: minFaultDuration + time.Duration(rnd.Float64()*float64(maxFaultDuration-minFaultDuration)), Kind: pickKind(rnd, total)}
		f.pickTarget(rnd, d)
		if !overlaps(out, f) {
			out = append(out, f)
		}
	}
	return out
}

// pickKind draws a kind of fault by faultWeights, whose sum is total.
func pickKind(rnd *rand.Rand, total int) Kind {
	n := rnd.IntN(total)
	for _, w := range faultWeights {
		if n -= w.weight; n < 0 {
			return w.kind
		}
	}
	return HostKill
}

// pickTarget draws the target of a fault, which depends on its kind.
func (f *Fault) pickTarget(rnd *rand.Rand, d *deployment.Deployment) {
	region := func() string { return d.Spec.Regions[rnd.IntN(len(d.Spec.Regions))].Name }
	switch f.Kind {
	case HostKill, HostStop, HostFreeze:
		f.Target = d.Hosts[rnd.IntN(len(d.Hosts))].Host
	case RegionStop:
		r := d.Spec.Regions[rnd.IntN(len(d.Spec.Regions))]
		f.Target, f.To = r.Name, r.DataCentre
	case LinkCut, LinkCutOneWay, LinkReset, LinkSlow:
		f.Target, f.To = region(), region()
		if f.Target == f.To {
			f.To = deployment.PlatformName
		}
	case StoreDown, StoreSilent, StoreSlow, StoreLosesResponses:
	case PlainLosesResponses:
		f.Target = pickEndpoint(rnd, d, d.Spec.Plain.Name)
	default:
		f.Target = pickEndpoint(rnd, d, d.Spec.Model.Name)
	}
	if f.Kind == EndpointDrain {
		f.Duration = drainDuration
	}
}

// pickEndpoint draws an endpoint of a service.
func pickEndpoint(rnd *rand.Rand, d *deployment.Deployment, service string) string {
	var names []string
	for _, e := range d.Document.Endpoints {
		if e.Service == service {
			names = append(names, e.Name)
		}
	}
	return names[rnd.IntN(len(names))]
}

// overlaps reports whether f affects a resource that a scheduled fault still affects, or affected
// less than settleTime before. Two faults on one resource at a time don't work: a stopped process
// can't be frozen, and clearing one link fault would clear the other too.
func overlaps(scheduled []Fault, f Fault) bool {
	return slices.ContainsFunc(scheduled, func(other Fault) bool {
		return f.Start < other.End()+settleTime && (other.resource() == f.resource() || other.stopsTargetOf(f) || f.stopsTargetOf(other))
	})
}

// settleTime is how long after the end of a fault no other fault affects the same resource, and
// checks still regard the fault as active. It covers a graceful stop, which takes about a second.
const settleTime = 2 * time.Second

// stopsTargetOf reports whether f stops all hosts of a region, and other affects a host or an
// endpoint of this region or stops a region too: only one region is stopped at a time.
func (f Fault) stopsTargetOf(other Fault) bool {
	return f.Kind == RegionStop && (other.Kind == RegionStop || strings.HasPrefix(other.Target, f.To+"-"))
}

// resource returns the name of the process, link or store that a fault affects.
func (f Fault) resource() string {
	switch f.Kind {
	case LinkCut, LinkCutOneWay, LinkReset, LinkSlow:
		return f.Target + ">" + f.To
	case StoreDown, StoreSilent, StoreSlow, StoreLosesResponses:
		return "store"
	}
	return f.Target
}
