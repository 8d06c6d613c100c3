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

// Config says how a run is to be.
type Config struct {
	Seed      uint64
	Length    time.Duration
	Rate      float64 // faults a second
	Callers   int     // for each host
	Spec      deployment.Spec
	Binaries  string    // directory of the programs
	Directory string    // for settings files and logs
	Progress  io.Writer // nil: none
	// Deadly has a caller send a request under which engines end, again and again.
	Deadly bool
	// Rates has engines name rates in their answers, one after the other.
	Rates bool
	// Words has engines say that they leave, or turn hosts away for a time, one after the other.
	Words bool
}

// Bounds of a run: of the machine's processes, and of what one person waits for.
const (
	mostLength    = 2 * time.Hour
	mostProcesses = 200
	mostRate      = 5.0
	mostCallers   = 8
)

// Check returns an error that names a value that can't be run.
func (c *Config) Check() error {
	processes := 3
	for _, r := range c.Spec.Regions {
		processes += r.Hosts + r.Engines + r.Plains
	}
	switch {
	case c.Length <= 0 || c.Length > mostLength:
		return errors.Errorf("soak: a length of %s: above 0 and up to %s", c.Length, mostLength)
	case c.Rate <= 0 || c.Rate > mostRate:
		return errors.Errorf("soak: %g faults a second: above 0 and up to %g", c.Rate, mostRate)
	case c.Callers <= 0 || c.Callers > mostCallers:
		return errors.Errorf("soak: %d callers for a host: 1 to %d", c.Callers, mostCallers)
	case processes > mostProcesses:
		return errors.Errorf("soak: %d processes: up to %d", processes, mostProcesses)
	}
	return nil
}

// Report is what a run showed.
type Report struct {
	Seed       uint64
	Events     []Event
	Outcomes   Tally
	Notes      Tally
	Violations []Violation
	Seconds    []Tally // how requests ended, by the second
}

// Run runs a deployment under faults and checks it. An error says that the run
// itself failed; broken promises are in the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	d := deployment.Build(c.Spec)
	f, err := fleet.Start(ctx, fleet.Config{
		Deployment: d, Binaries: c.Binaries, Directory: c.Directory, EngineArgs: c.engineArgs(),
		Leave: leaveTime, Poll: pollTime,
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := configure(ctx, f, &d, c.Directory); err != nil {
		return nil, err
	}
	events := Schedule(c.Seed, c.Length, c.Rate, &d)
	r := &run{cfg: c, fleet: f, d: &d, checks: newChecker(f, &d, events), report: &Report{Seed: c.Seed, Events: events, Outcomes: Tally{}}}
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	return r.report, nil
}

func (c *Config) engineArgs() []string {
	args := []string{"--step=5ms"}
	if c.Deadly {
		args = append(args, "--deadly="+deadlyPrompt, "--back="+deadlyBack.String())
	}
	return args
}

const (
	leaveTime = 500 * time.Millisecond // between announcing a stop and closing
	pollTime  = 200 * time.Millisecond // of load reports
)

// configure applies the deployment's configuration and waits until it is in force.
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
			ask := client.Ask{Host: h.Listen.Callers, Service: d.Spec.Model.Name, Prompt: "x", Tokens: 1, Timeout: askWithin}
			return f.Client.Get(ctx, h.Listen.Callers, "/readyz", nil) == nil && f.Client.Do(ctx, ask).Status == 200
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// run is one run under way.
type run struct {
	cfg    Config
	fleet  *fleet.Fleet
	d      *deployment.Deployment
	checks *checker

	mu     sync.Mutex
	report *Report
}

func (r *run) play(ctx context.Context) error {
	driving, stop := context.WithCancel(ctx)
	defer stop()
	var callers, faults conc.WaitGroup
	var drivers []*driver
	for host := range r.d.Hosts {
		for n := range r.cfg.Callers {
			v := &driver{
				d: r.d, checks: r.checks, client: client.New(), rnd: rand.New(rand.NewPCG(r.cfg.Seed, uint64(host*mostCallers+n))),
				home: host, seen: Tally{}, served: r.served,
			}
			drivers = append(drivers, v)
			callers.Go(func() { v.run(driving) })
		}
	}
	if r.cfg.Deadly {
		v := &driver{d: r.d, checks: r.checks, client: client.New(), rnd: rand.New(rand.NewPCG(r.cfg.Seed, 1<<20)), seen: Tally{}, served: func(time.Time, string) {}}
		callers.Go(func() { v.sendDeadly(driving) })
	}
	callers.Go(func() { r.checks.watch(driving) })
	callers.Go(func() { r.progress(driving) })
	naming, lift := context.WithDeadline(ctx, r.checks.began.Add(r.cfg.Length))
	defer lift()
	if r.cfg.Rates {
		faults.Go(func() { r.checks.nameRates(naming, rand.New(rand.NewPCG(r.cfg.Seed, 1<<21))) })
	}
	if r.cfg.Words {
		faults.Go(func() { r.checks.sayWords(naming, rand.New(rand.NewPCG(r.cfg.Seed, 1<<22))) })
	}
	errs := make(chan error, len(r.report.Events)+1)
	for _, e := range r.report.Events {
		faults.Go(func() {
			sleep(ctx, time.Until(r.checks.began.Add(e.At)))
			if err := (&injector{r.fleet, r.d, r.checks}).run(ctx, e); err != nil {
				errs <- errors.Wrapf(err, "soak: %s %s", e.Kind, e.Target)
			}
		})
	}
	sleep(ctx, time.Until(r.checks.began.Add(r.cfg.Length)))
	faults.Wait()
	errs <- r.recovers(ctx)
	stop()
	callers.Wait()
	if r.cfg.Deadly {
		sleep(ctx, 2*deadlyBack) // the last that it ended listen again
	}
	if err := r.checks.finish(ctx); err != nil {
		return err
	}
	if r.cfg.Deadly {
		r.checks.boundedDeadly(ctx)
	}
	r.checks.ratesKept(ctx)
	for _, v := range drivers {
		for how, n := range v.seen {
			r.report.Outcomes[how] += n
		}
	}
	for _, line := range r.fleet.Complaints() {
		r.checks.violate("no program panics or races", "%s", line)
	}
	r.report.Violations, r.report.Notes = r.checks.violations, r.checks.notes
	close(errs)
	return errors.Join(collect(errs)...)
}

func collect(errs <-chan error) []error {
	var out []error
	for err := range errs {
		if err != nil {
			out = append(out, err)
		}
	}
	return out
}

// served counts a request's end in its second.
func (r *run) served(at time.Time, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	second := int(at.Sub(r.checks.began) / time.Second)
	for len(r.report.Seconds) <= second {
		r.report.Seconds = append(r.report.Seconds, Tally{})
	}
	r.report.Seconds[second][how]++
}

const (
	// recoverTime is how long after the last fault all must be served again: a host
	// is forgotten as dead after some seconds, an endpoint tried after up to 8 s.
	recoverTime = 15 * time.Second
	// servedAgain is the share of the requests that then must be answered.
	servedAgain = 0.95
	lookFor     = 3 * time.Second
)

// recovers checks that the deployment serves again once no fault is at work.
func (r *run) recovers(ctx context.Context) error {
	for _, h := range r.d.Hosts {
		if err := r.fleet.HostUp(ctx, h.Host); err != nil {
			return err
		}
	}
	sleep(ctx, recoverTime)
	from := int(time.Since(r.checks.began) / time.Second)
	sleep(ctx, lookFor)
	r.mu.Lock()
	defer r.mu.Unlock()
	answered, all := 0, 0
	for _, t := range r.report.Seconds[min(from, len(r.report.Seconds)):] {
		for how, n := range t {
			all += n
			if how == "answered" {
				answered += n
			}
		}
	}
	if float64(answered) < servedAgain*float64(all) || all == 0 {
		r.checks.violate("the system serves again after its faults", "%d of %d answered", answered, all)
	}
	return nil
}

// progress writes a line now and then.
func (r *run) progress(ctx context.Context) {
	const every = 5 * time.Second
	for r.cfg.Progress != nil && ctx.Err() == nil {
		sleep(ctx, every)
		r.checks.mu.Lock()
		broken := len(r.checks.violations)
		r.checks.mu.Unlock()
		_, _ = fmt.Fprintf(r.cfg.Progress, "seed %d, %s of %s, %d promises broken\n", r.cfg.Seed,
			time.Since(r.checks.began).Round(time.Second), r.cfg.Length, broken)
	}
}
