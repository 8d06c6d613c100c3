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

// loadCommand compares policies under the same sequence of requests, with and without
// faults.
type loadCommand struct {
	Deployment string                 `enum:"wycena,cadastral" default:"wycena" help:"Example deployment to run."`
	Policies   []string               `default:"round-robin,least-in-flight,two-choices,weighted" help:"Policies to compare."`
	Off        []vetchtrail.Mechanism `help:"Mechanisms of the policy to switch off, by their names in the settings."`
	Cases      []string               `help:"Cases to run, by prefixes of their names; if none are given, all."`
	Rate       float64                `default:"100" help:"Requests a second in the steady case."`
	Length     time.Duration          `default:"12s" help:"Length of one run."`
	Deadline   time.Duration          `default:"6s" help:"Deadline of a request."`
	Prefixes   int                    `default:"48" help:"Number of shared prompt prefixes, at least 2."`
	Seed       uint64                 `default:"1" help:"Seed of the requests."`
}

const (
	loadSubnet     = 4                // of the deployment's loopback addresses
	maxTotalTime   = 30 * time.Minute // for all runs together
	maxArrivalRate = 400              // arrivals a second
	maxRunLength   = time.Minute
)

// Run runs each selected case under each policy, in a deployment of its own, and prints
// a table of the results. Progress goes to standard error.
func (c *loadCommand) Run() error {
	if c.Rate <= 0 || c.Rate > maxArrivalRate || c.Length <= 0 || c.Length > maxRunLength {
		return errors.Errorf("standin load: --rate must be above 0 and at most %d, --length above 0 and at most %s", maxArrivalRate, maxRunLength)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxTotalTime)
	defer cancel()
	spec := deployment.Wycena(loadSubnet)
	if c.Deployment == "cadastral" {
		spec = deployment.Cadastral(loadSubnet)
	}
	fmt.Printf("%s: seed %d, %g arrivals/s at the steady case, runs of %s, deadline %s\n\n", c.Deployment, c.Seed, c.Rate, c.Length, c.Deadline)
	var results []loadrun.Result
	for _, k := range loadrun.Cases() {
		for _, p := range c.Policies {
			if !c.selects(k) {
				continue
			}
			runSpec, policyName, err := variant(spec, p)
			if err != nil {
				return err
			}
			res, err := loadrun.Run(ctx, loadrun.Config{
				Spec: runSpec, Policy: policyName, SwitchedOff: c.Off, Name: p, Case: k, Rate: c.Rate, Length: c.Length, Seed: c.Seed, Deadline: c.Deadline, Prefixes: max(c.Prefixes, 2),
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

// tailFirst is the value of --policies for the weighted policy with the model weights of
// the deployment wycena, which favour a short time to the first token. With the
// deployment cadastral, they can be compared with its own weights, which avoid other regions.
const tailFirst = "tail-first"

// variant returns the deployment to run and the name of its policy for a value of
// --policies.
func variant(spec deployment.Spec, name string) (deployment.Spec, string, error) {
	if name == tailFirst {
		spec.Model.Weights = deployment.Wycena(loadSubnet).Model.Weights
		return spec, policy.NameWeighted, nil
	}
	if _, ok := policy.ByName(name, 0); !ok {
		return spec, "", errors.Errorf("standin load: unknown policy %q", name)
	}
	return spec, name, nil
}

// selects reports whether the case is selected: its name begins with one of the prefixes
// in --cases, or no prefixes are given.
func (c *loadCommand) selects(k loadrun.Case) bool {
	for _, prefix := range c.Cases {
		if len(k) >= len(prefix) && string(k[:len(prefix)]) == prefix {
			return true
		}
	}
	return len(c.Cases) == 0
}
