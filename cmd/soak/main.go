// Command soak runs a deployment of the real programs under random faults and
// checks the promises of docs/PROOFS.md while it runs.
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

// arguments are the flags.
type arguments struct {
	Seed     uint64  `default:"1" help:"Of the first run; the next runs take the next ones."`
	Runs     int     `default:"1" help:"Runs, one after the other."`
	Minutes  float64 `default:"0.5" help:"Faults are made for so long in a run."`
	Rate     float64 `default:"0.5" help:"Faults a second."`
	Regions  int     `default:"3" help:"Regions of one data centre each, 1 to 10."`
	Hosts    int     `default:"2" help:"Entry hosts of a region."`
	Engines  int     `default:"2" help:"Model engines of a region."`
	Callers  int     `default:"2" help:"Callers that keep to a host."`
	Rates    bool    `default:"true" negatable:"" help:"Engines name rates in their answers."`
	Words    bool    `default:"true" negatable:"" help:"Engines say that they leave, or turn hosts away for a time."`
	Deadly   bool    `default:"true" negatable:"" help:"A caller sends a request under which engines end."`
	Slot     int     `default:"200" help:"Third number of the loopback addresses, apart from other deployments' on the machine."`
	Binaries string  `default:"target" type:"existingdir" help:"Directory of vetchtraild, vetchtrail and standin."`
	Out      string  `default:"soak-out" help:"Directory for logs, reports and timelines."`
}

// errBroken says that a promise was broken.
var errBroken = errors.New("promises were broken: see the reports")

// Run runs the seeds.
func (a *arguments) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := a.absolute(); err != nil {
		return err
	}
	var broken []uint64
	for n := range a.Runs {
		seed := a.Seed + uint64(n)
		ok, err := a.one(ctx, seed)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		if !ok {
			broken = append(broken, seed)
		}
	}
	fmt.Printf("%d runs, seeds with broken promises: %v\n", a.Runs, broken)
	if len(broken) > 0 {
		return errBroken
	}
	return nil
}

// absolute makes the paths absolute: the programs run in directories of their own.
func (a *arguments) absolute() error {
	for _, path := range []*string{&a.Binaries, &a.Out} {
		whole, err := filepath.Abs(*path)
		if err != nil {
			return errors.Wrap(err, "soak: paths")
		}
		*path = whole
	}
	return nil
}

// one runs a seed and writes its report.
func (a *arguments) one(ctx context.Context, seed uint64) (bool, error) {
	dir := filepath.Join(a.Out, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return false, err
	}
	spec, err := deployment.Sized(a.Slot, a.Regions, a.Hosts, a.Engines)
	if err != nil {
		return false, err
	}
	report, err := soak.Run(ctx, soak.Config{
		Seed: seed, Length: time.Duration(a.Minutes * float64(time.Minute)), Rate: a.Rate, Callers: a.Callers, Spec: spec,
		Binaries: a.Binaries, Directory: dir, Progress: os.Stderr, Deadly: a.Deadly, Rates: a.Rates, Words: a.Words,
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
	k := kong.Parse(&a, kong.Name("soak"), kong.Description("Run the real programs under random faults and check their promises."), kong.UsageOnError())
	k.FatalIfErrorf(k.Run())
}
