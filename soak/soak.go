// Package soak runs a deployment of the real programs, as separate processes on this machine,
// while it injects random faults and many callers send requests. It checks the promises of
// docs/PROOFS.md against the responses that callers receive, the requests that endpoints record
// and the configuration revisions that hosts report. It doesn't measure performance:
// standin/loadrun and standin/capacity do.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"vetchtrail/standin/client"
	"vetchtrail/standin/deployment"
	"vetchtrail/standin/fleet"
)

// Config holds the parameters of a run.
type Config struct {
	Seed           uint64        // of the schedule of faults and of the requests
	RunLength      time.Duration // how long faults are injected
	FaultRate      float64       // faults a second
	CallersPerHost int           // callers that send most of their requests to one host
	Spec           deployment.Spec
	Binaries       string    // directory of the programs
	WorkDir        string    // for settings files and logs
	Progress       io.Writer // receives a line every few seconds; nil: none
	// PoisonRequests makes one caller repeat a poison request, which crashes engines.
	PoisonRequests bool
	// RateLimits makes engines advertise a rate limit in their responses, one engine at a time.
	RateLimits bool
	// Announcements makes engines announce that they are leaving, or reject requests with a
	// Retry-After, one engine at a time.
	Announcements bool
	// Overload makes callers send three times what the engines can process, for some seconds at
	// a time.
	Overload bool
}

// Limits of a run, so that one machine can run the processes in an acceptable time.
const (
	maxRunLength      = 2 * time.Hour
	maxProcesses      = 200
	maxFaultRate      = 5.0
	maxCallersPerHost = 8
)

// Check returns an error that names the first value that is out of bounds.
func (c *Config) Check() error {
	processes := 3 // store, list of endpoints and links
	for _, r := range c.Spec.Regions {
		processes += r.Hosts + r.Engines + r.PlainEndpoints
	}
	switch {
	case c.RunLength <= 0 || c.RunLength > maxRunLength:
		return errors.Errorf("soak: length %s is out of bounds: must be above 0 and at most %s", c.RunLength, maxRunLength)
	case c.FaultRate <= 0 || c.FaultRate > maxFaultRate:
		return errors.Errorf("soak: %g faults a second are out of bounds: must be above 0 and at most %g", c.FaultRate, maxFaultRate)
	case c.CallersPerHost <= 0 || c.CallersPerHost > maxCallersPerHost:
		return errors.Errorf("soak: %d callers for each host are out of bounds: must be 1 to %d", c.CallersPerHost, maxCallersPerHost)
	case processes > maxProcesses:
		return errors.Errorf("soak: %d processes are too many: must be at most %d", processes, maxProcesses)
	}
	return nil
}

// Report is the result of a run.
type Report struct {
	Seed             uint64
	Faults           []Fault
	Outcomes         Tally // of all callers' requests, but not of the poison request
	Notes            Tally // observations that break no promise
	Violations       []Violation
	OutcomesBySecond []Tally // outcomes of requests, by second of the run
}

// Run starts a deployment, injects the scheduled faults while callers send requests, and checks
// the promises. An error means that the run itself failed; broken promises are in the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	d := deployment.Build(c.Spec)
	if c.Overload {
		d.Document.Workspaces = append(d.Document.Workspaces, overloadWorkspaces(&d)...)
	}
	f, err := fleet.Start(ctx, fleet.Config{
		Deployment: d, Binaries: c.Binaries, WorkDir: c.WorkDir, EngineArgs: c.engineArgs(),
		LeaveTime: leaveDelay, PollInterval: pollInterval,
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := configure(ctx, f, &d, c.WorkDir); err != nil {
		return nil, err
	}
	faults := Schedule(c.Seed, c.RunLength, c.FaultRate, &d)
	r := &run{cfg: c, fleet: f, d: &d, checks: newChecker(f, &d, faults), report: &Report{Seed: c.Seed, Faults: faults, Outcomes: Tally{}}}
	if err := r.execute(ctx); err != nil {
		return nil, err
	}
	return r.report, nil
}

// engineArgs returns the flags of the stand-in engines.
func (c *Config) engineArgs() []string {
	args := []string{"--step=" + engineStep.String()}
	if c.PoisonRequests {
		args = append(args, "--deadly="+poisonPrompt, "--back="+poisonRestartDelay.String())
	}
	return args
}

const (
	engineStep   = 5 * time.Millisecond   // between two tokens of a response, while an engine is idle
	leaveDelay   = 500 * time.Millisecond // how long a stopping host announces that it is leaving, before it closes its listeners
	pollInterval = 200 * time.Millisecond // between two load reports that a host reads from an endpoint
)

// configure applies the deployment's configuration and waits until every host is ready and
// responds to a model request with status 200.
func configure(ctx context.Context, f *fleet.Fleet, d *deployment.Deployment, dir string) error {
	text, err := d.Document.YAML()
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "configuration.yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	if out, err := f.Tool(ctx, d.Hosts[0].Host, "config", "apply", file); err != nil {
		return errors.Wrapf(err, "soak: config apply: %s", out)
	}
	for _, h := range d.Hosts {
		err := f.Await(ctx, h.Host+" ready", func() bool {
			req := client.Request{Host: h.Listen.Callers, Service: d.Spec.Model.Name, Prompt: "x", Tokens: 1, Timeout: modelTimeout}
			return f.Client.Get(ctx, h.Listen.Callers, "/readyz", nil) == nil && f.Client.Do(ctx, req).Status == 200
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// run is the state of one run.
type run struct {
	cfg    Config
	fleet  *fleet.Fleet
	d      *deployment.Deployment
	checks *checker

	mu     sync.Mutex // guards report.OutcomesBySecond
	report *Report
}

// execute starts the callers, injects the faults at their times, and fills in the report. It
// stops the callers only after the deployment has had time to recover from the last fault.
func (r *run) execute(ctx context.Context) error {
	callersCtx, stop := context.WithCancel(ctx)
	defer stop()
	var callerGroup, faultGroup conc.WaitGroup
	var callers []*caller
	for host := range r.d.Hosts {
		for n := range r.cfg.CallersPerHost {
			c := &caller{
				d: r.d, checks: r.checks, client: client.New(), rnd: rand.New(rand.NewPCG(r.cfg.Seed, uint64(host*maxCallersPerHost+n))),
				homeHost: host, outcomes: Tally{}, recordOutcome: r.recordOutcome,
			}
			callers = append(callers, c)
			callerGroup.Go(func() { c.run(callersCtx) })
		}
	}
	if r.cfg.PoisonRequests {
		c := &caller{d: r.d, checks: r.checks, client: client.New(), rnd: rand.New(rand.NewPCG(r.cfg.Seed, 1<<20)), outcomes: Tally{}, recordOutcome: func(time.Time, string) {}}
		callerGroup.Go(func() { c.sendPoisonRequests(callersCtx) })
	}
	callerGroup.Go(func() { r.checks.watchRevisions(callersCtx) })
	callerGroup.Go(func() { r.writeProgress(callersCtx) })
	announceCtx, stopAnnouncing := context.WithDeadline(ctx, r.checks.startedAt.Add(r.cfg.RunLength))
	defer stopAnnouncing()
	if r.cfg.RateLimits {
		faultGroup.Go(func() { r.checks.advertiseRateLimits(announceCtx, rand.New(rand.NewPCG(r.cfg.Seed, 1<<21))) })
	}
	if r.cfg.Announcements {
		faultGroup.Go(func() { r.checks.announceAvailability(announceCtx, rand.New(rand.NewPCG(r.cfg.Seed, 1<<22))) })
	}
	if r.cfg.Overload {
		c := &caller{d: r.d, checks: r.checks, client: client.New(), rnd: rand.New(rand.NewPCG(r.cfg.Seed, 1<<23))}
		faultGroup.Go(func() { c.sendOverloads(announceCtx) })
	}
	errs := make(chan error, len(r.report.Faults)+1)
	for _, f := range r.report.Faults {
		faultGroup.Go(func() {
			sleep(ctx, time.Until(r.checks.startedAt.Add(f.Start)))
			if err := (&injector{r.fleet, r.d, r.checks}).run(ctx, f); err != nil {
				errs <- errors.Wrapf(err, "soak: %s %s", f.Kind, f.Target)
			}
		})
	}
	sleep(ctx, time.Until(r.checks.startedAt.Add(r.cfg.RunLength)))
	faultGroup.Wait()
	errs <- r.checkRecovery(ctx)
	stop()
	callerGroup.Wait()
	if r.cfg.PoisonRequests {
		sleep(ctx, 2*poisonRestartDelay) // until the engines that crashed last listen again
	}
	if err := r.checks.checkExecutions(ctx); err != nil {
		return err
	}
	if r.cfg.PoisonRequests {
		r.checks.checkPoisonArrivals(ctx)
	}
	r.checks.checkRateLimits(ctx)
	for _, c := range callers {
		for outcome, n := range c.outcomes {
			r.report.Outcomes[outcome] += n
		}
	}
	for _, line := range r.fleet.RacesAndPanics() {
		r.checks.recordViolation("no program panics or races", "%s", line)
	}
	r.report.Violations, r.report.Notes = r.checks.violations, r.checks.notes
	close(errs)
	return errors.Join(nonNilErrors(errs)...)
}

// nonNilErrors drains a closed channel and returns its errors without the nils.
func nonNilErrors(errs <-chan error) []error {
	var out []error
	for err := range errs {
		if err != nil {
			out = append(out, err)
		}
	}
	return out
}

// recordOutcome counts the outcome of a request in the second of the run in which it ended.
func (r *run) recordOutcome(at time.Time, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	second := int(at.Sub(r.checks.startedAt) / time.Second)
	for len(r.report.OutcomesBySecond) <= second {
		r.report.OutcomesBySecond = append(r.report.OutcomesBySecond, Tally{})
	}
	r.report.OutcomesBySecond[second][outcome]++
}

const (
	// recoveryTime is how long the system may take to recover from the last fault: hosts regard a
	// silent host as dead after some seconds, and retry an endpoint that refuses connections after up
	// to 8 s.
	recoveryTime = 15 * time.Second
	// minAnsweredShare is the share of requests that must be answered after recoveryTime.
	minAnsweredShare = 0.95
	// recoverySample is how long requests are counted for that share.
	recoverySample = 3 * time.Second
)

// checkRecovery waits until all hosts respond and then for recoveryTime, and checks that the
// deployment then answers at least minAnsweredShare of the requests.
func (r *run) checkRecovery(ctx context.Context) error {
	for _, h := range r.d.Hosts {
		if err := r.fleet.AwaitHost(ctx, h.Host); err != nil {
			return err
		}
	}
	sleep(ctx, recoveryTime)
	from := int(time.Since(r.checks.startedAt) / time.Second)
	sleep(ctx, recoverySample)
	r.mu.Lock()
	defer r.mu.Unlock()
	answered, all := 0, 0
	for _, t := range r.report.OutcomesBySecond[min(from, len(r.report.OutcomesBySecond)):] {
		for outcome, n := range t {
			all += n
			if outcome == "answered" {
				answered += n
			}
		}
	}
	if float64(answered) < minAnsweredShare*float64(all) || all == 0 {
		r.checks.recordViolation("the system recovers after the last fault", "%d of %d answered", answered, all)
	}
	return nil
}

// writeProgress writes a line of progress every few seconds until ctx ends.
func (r *run) writeProgress(ctx context.Context) {
	const every = 5 * time.Second
	for r.cfg.Progress != nil && ctx.Err() == nil {
		sleep(ctx, every)
		r.checks.mu.Lock()
		broken := len(r.checks.violations)
		r.checks.mu.Unlock()
		_, _ = fmt.Fprintf(r.cfg.Progress, "seed %d, %s of %s, %d promises broken\n", r.cfg.Seed,
			time.Since(r.checks.startedAt).Round(time.Second), r.cfg.RunLength, broken)
	}
}
