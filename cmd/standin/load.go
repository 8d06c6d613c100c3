package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/request/policy"
	"vetchtrail/standin/deployment"
	"vetchtrail/standin/loadrun"
)

// loadCommand compares the policies on the same arrivals.
type loadCommand struct {
	Deployment string                 `enum:"wycena,cadastral" default:"wycena" help:"Whose deployment of today."`
	Policies   []string               `default:"round-robin,least-in-flight,two-choices,weighted" help:"Policies to run."`
	Off        []vetchtrail.Mechanism `help:"Mechanisms of the policy that are switched off, by their names in the settings."`
	Cases      []string               `help:"Cases to run, by the beginnings of their names; all if none are given."`
	Rate       float64                `default:"100" help:"Arrivals a second at the steady case."`
	Length     time.Duration          `default:"12s" help:"Of one run."`
	Deadline   time.Duration          `default:"6s" help:"Of a request."`
	Prefixes   int                    `default:"48" help:"Prompt beginnings in use."`
	Seed       uint64                 `default:"1" help:"Of the arrivals."`
}

const (
	loadSlot  = 4
	mostTime  = 30 * time.Minute
	mostRate  = 400
	mostRunOf = time.Minute
)

// Run implements the subcommand.
func (c *loadCommand) Run() error {
	if c.Rate <= 0 || c.Rate > mostRate || c.Length <= 0 || c.Length > mostRunOf {
		return errors.Errorf("standin load: a rate up to %d and a length up to %s", mostRate, mostRunOf)
	}
	ctx, cancel := context.WithTimeout(context.Background(), mostTime)
	defer cancel()
	spec := deployment.Wycena(loadSlot)
	if c.Deployment == "cadastral" {
		spec = deployment.Cadastral(loadSlot)
	}
	fmt.Printf("%s: seed %d, %g arrivals/s at the steady case, runs of %s, deadline %s\n\n", c.Deployment, c.Seed, c.Rate, c.Length, c.Deadline)
	var results []loadrun.Result
	for _, k := range loadrun.Cases() {
		for _, p := range c.Policies {
			if !c.wants(k) {
				continue
			}
			run, name, err := variant(spec, p)
			if err != nil {
				return err
			}
			res, err := loadrun.Run(ctx, loadrun.Config{
				Spec: run, Policy: name, SwitchedOff: c.Off, Name: p, Case: k, Rate: c.Rate, Length: c.Length, Seed: c.Seed, Deadline: c.Deadline, Prefixes: max(c.Prefixes, 2),
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			if err != nil {
				return err
			}
			results = append(results, res)
			fmt.Fprintf(os.Stderr, "%s, %s: %d of %d answered\n", k, p, res.Answered, res.Sent)
		}
	}
	loadrun.Table(os.Stdout, results)
	return nil
}

// tailFirst is the system's policy with Wycena WO's weights, to compare the
// Co-operative's with.
const tailFirst = "tail-first"

// variant returns the deployment and the policy's name for a run.
func variant(spec deployment.Spec, name string) (deployment.Spec, string, error) {
	if name == tailFirst {
		spec.Model.Weights = deployment.Wycena(loadSlot).Model.Weights
		return spec, policy.NameWeighted, nil
	}
	if _, ok := policy.ByName(name, 0); !ok {
		return spec, "", errors.Errorf("standin load: no policy %q", name)
	}
	return spec, name, nil
}

func (c *loadCommand) wants(k loadrun.Case) bool {
	for _, w := range c.Cases {
		if len(k) >= len(w) && string(k[:len(w)]) == w {
			return true
		}
	}
	return len(c.Cases) == 0
}
