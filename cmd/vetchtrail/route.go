package main

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

// routeCommand groups the subcommands that change routes.
type routeCommand struct {
	Put    routePut    `cmd:"" help:"Add or replace a route."`
	Remove routeRemove `cmd:"" help:"Remove a route."`
}

// routePut adds or replaces a route.
type routePut struct {
	changeFlags
	Name      string        `arg:""`
	Hostname  string        `required:"" help:"Host name of the requests that the route matches."`
	Prefix    string        `default:"/" help:"Path prefix that the route matches; begins and ends with a slash."`
	Kind      string        `enum:"unsafe,safe,stream" default:"unsafe" help:"unsafe: a request runs at most once; safe: it may run again; stream: the answer is a stream of events."`
	To        []string      `required:"" help:"Services that the requests go to, as NAME or NAME=WEIGHT."`
	Attempts  int           `default:"1" help:"Maximum number of endpoints that one request is sent to."`
	Within    time.Duration `default:"20s" help:"Longest time that a request may take."`
	Goal      time.Duration `default:"1s" help:"Latency objective: time within which an answer has its full value."`
	Pause     time.Duration `help:"Longest interval between two events of a stream before its answer is late; 0: not set."`
	Rank      int8          `default:"5" help:"Urgency of the requests; 0 is the most urgent."`
	Homes     []string      `help:"Regions that may process the requests; if none are given, all."`
	Sticky    bool          `help:"Requests list the parts of their prompts."`
	Resumable bool          `help:"A stream may continue at another endpoint."`
	Keyed     bool          `help:"Callers must present the key of a workspace."`
}

// Run proposes the route.
func (c *routePut) Run(g *globals) error {
	kind, _ := vetchtrail.ParseRouteKind(c.Kind)
	targets, err := parseTargets(c.To)
	if err != nil {
		return err
	}
	return g.propose(&c.changeFlags, []vetchtrail.Edit{vetchtrail.PutRoute{Route: vetchtrail.Route{
		Name: c.Name, Host: c.Hostname, PathPrefix: c.Prefix, Kind: kind, Targets: targets, Attempts: c.Attempts,
		AnswerWithin: c.Within, Goal: c.Goal, Pause: c.Pause, Rank: c.Rank, Homes: c.Homes, Sticky: c.Sticky, Resumable: c.Resumable, Keyed: c.Keyed,
	}}})
}

// parseTargets parses the values of --to. A service without a weight gets the weight 1.
func parseTargets(values []string) ([]vetchtrail.Target, error) {
	var out []vetchtrail.Target
	for _, value := range values {
		name, weight, hasWeight := strings.Cut(value, "=")
		t := vetchtrail.Target{Service: name, Weight: 1}
		if hasWeight {
			n, err := strconv.Atoi(weight)
			if err != nil {
				return nil, errors.Errorf("route put: the weight in %q is not a number", value)
			}
			t.Weight = n
		}
		out = append(out, t)
	}
	return out, nil
}

// routeRemove removes a route.
type routeRemove struct {
	changeFlags
	Name string `arg:""`
}

// Run proposes to remove the route.
func (c *routeRemove) Run(g *globals) error {
	return g.remove(&c.changeFlags, vetchtrail.ItemRoute, c.Name)
}
