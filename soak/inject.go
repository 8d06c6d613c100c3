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
	// slowBy is what a slow link or store adds to each passage.
	slowBy = 300 * time.Millisecond
	// cutEvents is after how many events an engine cuts its streams, or ends them early.
	cutEvents = 2
	// lostMost is how many answers a store or service loses at a time.
	lostMost = 2
)

// injector makes faults happen and ends them.
type injector struct {
	fleet  *fleet.Fleet
	d      *deployment.Deployment
	checks *checker
}

// run makes an event happen, waits for its time and ends it.
func (j *injector) run(ctx context.Context, e Event) error {
	switch e.Kind {
	case HostKill:
		return j.killHost(ctx, e)
	case HostStop:
		return j.stopHosts(ctx, e, []string{e.Target})
	case AllStop:
		return j.stopHosts(ctx, e, j.hostsOf(e.Target))
	case HostFreeze, EngineFreeze:
		return j.freeze(ctx, e)
	case EngineKill:
		return j.killEngine(ctx, e)
	case Drain:
		return j.drain(ctx, e)
	}
	set, clear := j.setting(ctx, e)
	if err := set(); err != nil {
		return err
	}
	sleep(ctx, e.For)
	return clear()
}

// setting returns how a fault is set and cleared by a call to a stand-in.
func (j *injector) setting(ctx context.Context, e Event) (set, clear func() error) {
	trouble := func(t link.Trouble) func() error {
		return func() error { return j.fleet.Trouble(context.WithoutCancel(ctx), e.Target, e.To, t) }
	}
	store := func(f kv.Faults) func() error {
		return func() error { return j.fleet.Client.Put(context.WithoutCancel(ctx), j.d.Store, "/faults", f) }
	}
	at := func(f any) func() error {
		return func() error {
			addr, err := j.fleet.EndpointAddr(e.Target)
			if err != nil {
				return err
			}
			return j.setAt(context.WithoutCancel(ctx), addr, f)
		}
	}
	switch e.Kind {
	case LinkCut:
		return trouble(link.Trouble{Cut: true}), trouble(link.Trouble{})
	case LinkForth:
		return trouble(link.Trouble{Forth: true}), trouble(link.Trouble{})
	case LinkReset:
		return trouble(link.Trouble{Reset: true}), trouble(link.Trouble{Reset: true})
	case LinkSlow:
		return trouble(link.Trouble{Delay: slowBy}), trouble(link.Trouble{})
	case StoreDown:
		return store(kv.Faults{Outage: true}), store(kv.Faults{})
	case StoreSilent:
		return store(kv.Faults{Silent: true}), store(kv.Faults{})
	case StoreSlow:
		return store(kv.Faults{Delay: slowBy}), store(kv.Faults{})
	case StoreLost:
		return store(kv.Faults{LoseAnswers: lostMost}), store(kv.Faults{})
	case EngineRefuse:
		return at(engine.Faults{Refuse: true}), at(engine.Faults{})
	case EngineCut:
		return at(engine.Faults{CutAfter: cutEvents}), at(engine.Faults{})
	case EngineEarly:
		return at(engine.Faults{EndEarly: cutEvents}), at(engine.Faults{})
	case EngineJunk:
		return at(engine.Faults{Nonsense: true}), at(engine.Faults{})
	case AppLost:
		return at(plain.Faults{LoseAnswers: lostMost}), at(plain.Faults{})
	}
	unknown := func() error { return errors.Errorf("soak: no fault %s", e.Kind) }
	return unknown, unknown
}

// setAt sets an endpoint's fault. One that a request has just ended is asked again until it is
// back.
func (j *injector) setAt(ctx context.Context, addr netip.AddrPort, f any) error {
	for tries := 0; ; tries++ {
		err := j.fleet.Client.Put(ctx, addr, "/faults", f)
		if err == nil || tries > 2*int(deadlyBack/deadlyPause) {
			return err
		}
		sleep(ctx, deadlyPause)
	}
}

func (j *injector) hostsOf(region string) []string {
	var out []string
	for _, h := range j.d.Hosts {
		if h.Region == region {
			out = append(out, h.Host)
		}
	}
	return out
}

func (j *injector) killHost(ctx context.Context, e Event) error {
	if err := j.fleet.Kill(e.Target); err != nil {
		return err
	}
	j.checks.ended(e.Target)
	sleep(ctx, e.For)
	return j.fleet.StartHost(e.Target)
}

// stopHosts tells hosts to stop at the same moment and starts them again.
func (j *injector) stopHosts(ctx context.Context, e Event, names []string) error {
	var stops conc.WaitGroup
	errs := make([]error, len(names))
	for i, name := range names {
		stops.Go(func() {
			errs[i] = j.fleet.Stop(name)
			j.checks.ended(name)
		})
	}
	stops.Wait()
	for i, name := range names {
		if errs[i] != nil {
			j.checks.violate("a host that was told to stop ended badly", "%s: %s", name, errs[i])
		}
	}
	sleep(ctx, e.For)
	for _, name := range names {
		if err := j.fleet.StartHost(name); err != nil {
			return err
		}
	}
	return nil
}

func (j *injector) freeze(ctx context.Context, e Event) error {
	if err := j.fleet.Freeze(e.Target); err != nil {
		return err
	}
	sleep(ctx, e.For)
	return j.fleet.Thaw(e.Target)
}

// killEngine kills an engine; what it ran is counted before, as it forgets it.
func (j *injector) killEngine(ctx context.Context, e Event) error {
	if err := j.checks.collect(ctx, e.Target); err != nil {
		return err
	}
	j.checks.collectDeadly(ctx, e.Target)
	if err := j.fleet.Kill(e.Target); err != nil {
		return err
	}
	sleep(ctx, e.For)
	return j.fleet.StartEndpoint(e.Target)
}

const (
	// leftAlone is how long after its drain was accepted an endpoint must get nothing
	// new: the users' 5 s and what a busy machine adds.
	leftAlone = 6500 * time.Millisecond
	// quietLook is how long it is then watched.
	quietLook = 1500 * time.Millisecond
)

// drain takes an endpoint out of use and back by the operators' tool.
func (j *injector) drain(ctx context.Context, e Event) error {
	began := time.Now()
	if out, err := j.fleet.Tool(ctx, j.d.Hosts[0].Host, "endpoint", "drain", e.Target); err != nil {
		j.checks.note("drain not accepted: " + out)
		return nil // the store or the host may be away
	}
	sleep(ctx, leftAlone)
	before, err := j.checks.runsOf(ctx, e.Target)
	sleep(ctx, quietLook)
	after, err2 := j.checks.runsOf(ctx, e.Target)
	if err == nil && err2 == nil && after > before && j.checks.calm(began, time.Now()) {
		j.checks.violate("a drained endpoint got new work", "%s: %d runs, %s after the drain", e.Target, after-before, time.Since(began))
	}
	for ctx.Err() == nil {
		if _, err = j.fleet.Tool(ctx, j.d.Hosts[len(j.d.Hosts)-1].Host, "endpoint", "undrain", e.Target); err == nil {
			return nil
		}
		sleep(ctx, time.Second)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
