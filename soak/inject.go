package soak

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"vetchtrail/standin/deployment"
	"vetchtrail/standin/engine"
	"vetchtrail/standin/fleet"
	"vetchtrail/standin/kv"
	"vetchtrail/standin/link"
	"vetchtrail/standin/plain"
)

const (
	// addedDelay is the delay that the fault of a slow link adds in each direction, and that of a
	// slow store to each call.
	addedDelay = 300 * time.Millisecond
	// eventsBeforeCut is the number of events after which an engine cuts its streams or ends them
	// early.
	eventsBeforeCut = 2
	// responsesLost is how many responses in a row the store or a service loses in one fault.
	responsesLost = 2
)

// injector injects faults and clears them.
type injector struct {
	fleet  *fleet.Fleet
	d      *deployment.Deployment
	checks *checker
}

// run injects a fault, waits for its duration and clears it.
func (j *injector) run(ctx context.Context, fault Fault) error {
	switch fault.Kind {
	case HostKill:
		return j.killHost(ctx, fault)
	case HostStop:
		return j.stopHosts(ctx, fault, []string{fault.Target})
	case RegionStop:
		return j.stopHosts(ctx, fault, j.hostsInRegion(fault.Target))
	case HostFreeze, EngineFreeze:
		return j.freeze(ctx, fault)
	case EngineKill:
		return j.killEngine(ctx, fault)
	case EndpointDrain:
		return j.drain(ctx, fault)
	}
	set, clear := j.faultCalls(ctx, fault)
	if err := set(); err != nil {
		return err
	}
	sleep(ctx, fault.Duration)
	return clear()
}

// faultCalls returns the functions that set and clear a fault by a call to a stand-in.
func (j *injector) faultCalls(ctx context.Context, fault Fault) (set, clear func() error) {
	linkFault := func(lf link.Fault) func() error {
		return func() error { return j.fleet.SetLinkFault(context.WithoutCancel(ctx), fault.Target, fault.To, lf) }
	}
	storeFault := func(f kv.Faults) func() error {
		return func() error { return j.fleet.Client.Put(context.WithoutCancel(ctx), j.d.Store, "/faults", f) }
	}
	endpointFault := func(f any) func() error {
		return func() error {
			addr, err := j.fleet.EndpointAddr(fault.Target)
			if err != nil {
				return err
			}
			return j.putFaults(context.WithoutCancel(ctx), addr, f)
		}
	}
	switch fault.Kind {
	case LinkCut:
		return linkFault(link.Fault{Cut: true}), linkFault(link.Fault{})
	case LinkCutOneWay:
		return linkFault(link.Fault{HoldOutbound: true}), linkFault(link.Fault{})
	case LinkReset:
		return linkFault(link.Fault{Reset: true}), linkFault(link.Fault{Reset: true})
	case LinkSlow:
		return linkFault(link.Fault{Delay: addedDelay}), linkFault(link.Fault{})
	case StoreDown:
		return storeFault(kv.Faults{Outage: true}), storeFault(kv.Faults{})
	case StoreSilent:
		return storeFault(kv.Faults{Silent: true}), storeFault(kv.Faults{})
	case StoreSlow:
		return storeFault(kv.Faults{Delay: addedDelay}), storeFault(kv.Faults{})
	case StoreLosesResponses:
		return storeFault(kv.Faults{LoseResponses: responsesLost}), storeFault(kv.Faults{})
	case EngineRefuses:
		return endpointFault(engine.Faults{Refuse: true}), endpointFault(engine.Faults{})
	case EngineCutsStreams:
		return endpointFault(engine.Faults{CutAfter: eventsBeforeCut}), endpointFault(engine.Faults{})
	case EngineEndsEarly:
		return endpointFault(engine.Faults{EndEarly: eventsBeforeCut}), endpointFault(engine.Faults{})
	case EngineNonsense:
		return endpointFault(engine.Faults{Nonsense: true}), endpointFault(engine.Faults{})
	case PlainLosesResponses:
		return endpointFault(plain.Faults{LoseResponses: responsesLost}), endpointFault(plain.Faults{})
	}
	unknown := func() error { return errors.Errorf("soak: unknown fault %s", fault.Kind) }
	return unknown, unknown
}

// putFaults sets the faults of an endpoint. It retries for about twice poisonRestartDelay, as an
// endpoint that the poison request has just crashed listens again only after poisonRestartDelay.
func (j *injector) putFaults(ctx context.Context, addr netip.AddrPort, f any) error {
	for attempts := 0; ; attempts++ {
		err := j.fleet.Client.Put(ctx, addr, "/faults", f)
		if err == nil || attempts > 2*int(poisonRestartDelay/poisonRetryInterval) {
			return err
		}
		sleep(ctx, poisonRetryInterval)
	}
}

// hostsInRegion returns the names of a region's hosts.
func (j *injector) hostsInRegion(region string) []string {
	var out []string
	for _, h := range j.d.Hosts {
		if h.Region == region {
			out = append(out, h.Host)
		}
	}
	return out
}

// killHost kills a host's process and starts another after the fault's duration.
func (j *injector) killHost(ctx context.Context, fault Fault) error {
	if err := j.fleet.Kill(fault.Target); err != nil {
		return err
	}
	j.checks.processEnded(fault.Target)
	sleep(ctx, fault.Duration)
	return j.fleet.StartHost(fault.Target)
}

// stopHosts stops hosts gracefully, all at once, and starts them again after the fault's duration.
func (j *injector) stopHosts(ctx context.Context, fault Fault, names []string) error {
	var stops conc.WaitGroup
	errs := make([]error, len(names))
	for i, name := range names {
		stops.Go(func() {
			errs[i] = j.fleet.Stop(name)
			j.checks.processEnded(name)
		})
	}
	stops.Wait()
	for i, name := range names {
		if errs[i] != nil {
			j.checks.recordViolation("a host that is told to stop exits cleanly", "%s: %s", name, errs[i])
		}
	}
	sleep(ctx, fault.Duration)
	for _, name := range names {
		if err := j.fleet.StartHost(name); err != nil {
			return err
		}
	}
	return nil
}

// freeze suspends a process for the fault's duration.
func (j *injector) freeze(ctx context.Context, fault Fault) error {
	if err := j.fleet.Suspend(fault.Target); err != nil {
		return err
	}
	sleep(ctx, fault.Duration)
	return j.fleet.Resume(fault.Target)
}

// killEngine kills an engine and starts it again after the fault's duration. It first reads the
// engine's records of its requests, as the new process starts with empty records.
func (j *injector) killEngine(ctx context.Context, fault Fault) error {
	if err := j.checks.keepExecutions(ctx, fault.Target); err != nil {
		return err
	}
	j.checks.keepPoisonArrivals(ctx, fault.Target)
	if err := j.fleet.Kill(fault.Target); err != nil {
		return err
	}
	sleep(ctx, fault.Duration)
	return j.fleet.StartEndpoint(fault.Target)
}

const (
	// drainPropagation is how long an endpoint may still get new requests after its drain was
	// accepted: the users' bound of 5 s, and an allowance for a busy machine.
	drainPropagation = 6500 * time.Millisecond
	// drainObservation is how long the endpoint's requests are then counted.
	drainObservation = 1500 * time.Millisecond
)

// drain drains an endpoint by the operators' tool, checks that the endpoint gets no new requests,
// and undrains it.
func (j *injector) drain(ctx context.Context, fault Fault) error {
	began := time.Now()
	if out, err := j.fleet.Tool(ctx, j.d.Hosts[0].Host, "endpoint", "drain", fault.Target); err != nil {
		j.checks.note("drain not accepted: " + out)
		return nil // the store or the host may be down
	}
	inForce := time.Now()
	sleep(ctx, drainPropagation)
	before, err := j.checks.executionCount(ctx, fault.Target)
	sleep(ctx, drainObservation)
	after, err2 := j.checks.executionCount(ctx, fault.Target)
	if err == nil && err2 == nil && after > before && j.checks.noPropagationFault(began, time.Now()) {
		j.checks.recordViolation("a drained endpoint gets no new requests", "%s: started %d requests, %s after the drain", fault.Target, after-before, time.Since(began))
	}
	for ctx.Err() == nil {
		if _, err = j.fleet.Tool(ctx, j.d.Hosts[len(j.d.Hosts)-1].Host, "endpoint", "undrain", fault.Target); err == nil {
			j.checks.recordDrain(fault.Target, inForce)
			return nil
		}
		sleep(ctx, time.Second)
	}
	return nil
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
