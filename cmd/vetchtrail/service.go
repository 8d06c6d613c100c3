package main

import (
	"time"

	"vetchtrail"
)

// serviceCommand is about services.
type serviceCommand struct {
	Put    servicePut    `cmd:"" help:"Add or replace a service."`
	Remove serviceRemove `cmd:"" help:"Remove a service."`
}

// servicePut adds or replaces a service.
type servicePut struct {
	changeFlags
	Name    string        `arg:""`
	Kind    string        `enum:"model,plain" default:"model" help:"model or plain."`
	Allowed []string      `help:"Regions that may process it; none: only the caller's home."`
	Tail    float64       `default:"1" help:"Weight of the time to the first token."`
	Away    float64       `default:"0" help:"Seconds that leaving the region counts as."`
	Cost    float64       `default:"0" help:"Weight of engine time."`
	Read    float64       `default:"0" help:"Weight of reading prompts that an endpoint does not hold."`
	Within  time.Duration `default:"20s" help:"Time for an answer when the caller sets none."`
	Event   int           `default:"0" help:"Tokens that an event of an answer holds; 0: not known."`
	Queue   int           `default:"64" help:"Requests one host lets wait."`
}

// Run implements the subcommand.
func (c *servicePut) Run(g *globals) error {
	kind, _ := vetchtrail.ParseServiceKind(c.Kind)
	return g.propose(&c.changeFlags, []vetchtrail.Edit{vetchtrail.PutService{Service: vetchtrail.Service{
		Name: c.Name, Kind: kind, Allowed: c.Allowed, AnswerWithin: c.Within, QueueLimit: c.Queue, EventTokens: c.Event,
		Weights: vetchtrail.Weights{Tail: c.Tail, Away: c.Away, Cost: c.Cost, Read: c.Read},
	}}})
}

// serviceRemove removes a service.
type serviceRemove struct {
	changeFlags
	Name string `arg:""`
}

// Run implements the subcommand.
func (c *serviceRemove) Run(g *globals) error {
	return g.remove(&c.changeFlags, vetchtrail.ItemService, c.Name)
}

func (g *globals) remove(f *changeFlags, kind vetchtrail.ItemKind, name string) error {
	return g.propose(f, []vetchtrail.Edit{vetchtrail.Remove{Kind: kind, Name: name}})
}
