// Command soak is a fault-injection test. It starts a deployment of the real programs on
// loopback addresses, sends requests to it, injects random faults, and checks the
// promises of docs/PROOFS.md. The package parses the command line and writes the
// reports; the test itself is in package soak.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"vetchtrail/soak"
	"vetchtrail/standin/deployment"
)

// arguments holds the flags for the command-line parser (kong).
type arguments struct {
	Seed     uint64  `default:"1" help:"Seed of the first run; each further run uses the next number."`
	Runs     int     `default:"1" help:"Number of runs, one after the other."`
	Minutes  float64 `default:"0.5" help:"Minutes for which a run injects faults."`
	Rate     float64 `default:"0.5" help:"Faults a second."`
	Regions  int     `default:"3" help:"Number of regions, of one data centre each, 1 to 10."`
	Hosts    int     `default:"2" help:"Entry hosts in each region."`
	Engines  int     `default:"2" help:"Model engines in each region."`
	Callers  int     `default:"2" help:"Callers for each host."`
	Rates    bool    `default:"true" negatable:"" help:"Engines advertise rate limits in their responses."`
	Words    bool    `default:"true" negatable:"" help:"Engines announce that they are leaving, or reject requests with a Retry-After."`
	Deadly   bool    `default:"true" negatable:"" help:"A caller sends a poison request, which crashes engines."`
	Overload bool    `default:"true" negatable:"" help:"Callers send three times what the engines can process, for some seconds at a time."`
	Slot     int     `default:"200" help:"Subnet: third byte of the loopback addresses; it must differ from that of other deployments on the machine."`
	Binaries string  `default:"target" type:"existingdir" help:"Directory of the programs vetchtraild, vetchtrail and standin."`
	Out      string  `default:"soak-out" help:"Directory for logs, reports and timelines."`
}

// errViolations is returned if at least one run found a broken promise.
var errViolations = errors.New("promises were broken; see the reports")

// Run runs the test once for each seed. It continues with the next seed after a run that
// found a broken promise, but not after a run that itself failed.
func (a *arguments) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := a.makePathsAbsolute(); err != nil {
		return err
	}
	var failedSeeds []uint64
	for n := range a.Runs {
		seed := a.Seed + uint64(n)
		ok, err := a.runSeed(ctx, seed)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		if !ok {
			failedSeeds = append(failedSeeds, seed)
		}
	}
	fmt.Printf("%d runs, seeds with broken promises: %v\n", a.Runs, failedSeeds)
	if len(failedSeeds) > 0 {
		return errViolations
	}
	return nil
}

// makePathsAbsolute replaces the paths in the flags by absolute ones, because the
// programs run in other working directories.
func (a *arguments) makePathsAbsolute() error {
	for _, path := range []*string{&a.Binaries, &a.Out} {
		absolute, err := filepath.Abs(*path)
		if err != nil {
			return errors.Wrap(err, "soak: absolute path")
		}
		*path = absolute
	}
	return nil
}

// runSeed runs the test with one seed, and writes its timeline to the seed's directory and
// its report to standard output. It returns false if the run found a broken promise.
func (a *arguments) runSeed(ctx context.Context, seed uint64) (bool, error) {
	dir := filepath.Join(a.Out, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false, err
	}
	spec, err := deployment.Sized(a.Slot, a.Regions, a.Hosts, a.Engines)
	if err != nil {
		return false, err
	}
	report, err := soak.Run(ctx, soak.Config{
		Seed: seed, RunLength: time.Duration(a.Minutes * float64(time.Minute)), FaultRate: a.Rate, CallersPerHost: a.Callers, Spec: spec,
		Binaries: a.Binaries, WorkDir: dir, Progress: os.Stderr, PoisonRequests: a.Deadly, RateLimits: a.Rates, Announcements: a.Words, Overload: a.Overload,
	})
	if err != nil {
		return false, err
	}
	if err := report.Plot(filepath.Join(dir, "timeline.svg")); err != nil {
		return false, err
	}
	return len(report.Violations) == 0, report.Write(os.Stdout)
}

func main() {
	var a arguments
	k := kong.Parse(&a, kong.Name("soak"), kong.Description("Run the real programs under random faults and check the promises of docs/PROOFS.md."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}
