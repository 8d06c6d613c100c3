package main

import (
	"time"

	"vetchtrail"
)

// serviceCommand groups the subcommands that change services.
type serviceCommand struct {
	Put    servicePut    `cmd:"" help:"Add or replace a service."`
	Remove serviceRemove `cmd:"" help:"Remove a service."`
}

// servicePut adds or replaces a service.
type servicePut struct {
	changeFlags
	Name    string        `arg:""`
	Kind    string        `enum:"model,plain" default:"model" help:"model for a model engine, plain for another HTTP service."`
	Allowed []string      `help:"Regions that may process its requests; if none are given, only the caller's home region."`
	Tail    float64       `default:"1" help:"Weight of the predicted time to the first token."`
	Away    float64       `default:"0" help:"Seconds added to the cost of running a request outside the region of the host that decides."`
	Cost    float64       `default:"0" help:"Weight of the engine time used."`
	Read    float64       `default:"0" help:"Weight of the time to read prompt tokens that an endpoint has not cached."`
	Within  time.Duration `default:"20s" help:"Longest time that a request may take if its caller sets no deadline."`
	Event   int           `default:"0" help:"Tokens in one event of an answer; 0: not known."`
	Queue   int           `default:"64" help:"Maximum number of requests that one host queues for it."`
}

// Run proposes the service.
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

// Run proposes to remove the service.
func (c *serviceRemove) Run(g *globals) error {
	return g.remove(&c.changeFlags, vetchtrail.ItemService, c.Name)
}

// remove proposes to remove an item of any kind from the configuration.
func (g *globals) remove(f *changeFlags, kind vetchtrail.ItemKind, name string) error {
	return g.propose(f, []vetchtrail.Edit{vetchtrail.Remove{Kind: kind, Name: name}})
}
