package main

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
)

// routeCommand is about routes.
type routeCommand struct {
	Put    routePut    `cmd:"" help:"Add or replace a route."`
	Remove routeRemove `cmd:"" help:"Remove a route."`
}

// routePut adds or replaces a route.
type routePut struct {
	changeFlags
	Name      string        `arg:""`
	Hostname  string        `required:"" help:"Host name of its requests."`
	Prefix    string        `default:"/" help:"Prefix of their path; begins and ends with a slash."`
	Kind      string        `enum:"unsafe,safe,stream" default:"unsafe" help:"unsafe, safe or stream."`
	To        []string      `required:"" help:"Services, as NAME or NAME=WEIGHT."`
	Attempts  int           `default:"1" help:"Endpoints that a request may be sent to."`
	Within    time.Duration `default:"20s" help:"Longest time that a request is held."`
	Goal      time.Duration `default:"1s" help:"Time within which an answer is worth all it can be."`
	Pause     time.Duration `help:"Longest time between two events of a stream in time; 0: not said."`
	Rank      int8          `default:"5" help:"0 is the most urgent."`
	Homes     []string      `help:"Regions that may process its requests; none: all."`
	Sticky    bool          `help:"Requests name the parts of their prompts."`
	Resumable bool          `help:"A stream may go on at another endpoint."`
	Keyed     bool          `help:"Its callers must show the key of a workspace."`
}

// Run implements the subcommand.
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

func parseTargets(list []string) ([]vetchtrail.Target, error) {
	var out []vetchtrail.Target
	for _, text := range list {
		name, weight, given := strings.Cut(text, "=")
		t := vetchtrail.Target{Service: name, Weight: 1}
		if given {
			n, err := strconv.Atoi(weight)
			if err != nil {
				return nil, errors.Errorf("route put: %q is not NAME=WEIGHT", text)
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

// Run implements the subcommand.
func (c *routeRemove) Run(g *globals) error {
	return g.remove(&c.changeFlags, vetchtrail.ItemRoute, c.Name)
}
