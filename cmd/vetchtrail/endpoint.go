package main

import (
	"net/netip"

	"vetchtrail"
)

// endpointCommand is about endpoints.
type endpointCommand struct {
	Put     endpointPut     `cmd:"" help:"Add or replace an endpoint."`
	Drain   endpointDrain   `cmd:"" help:"Give an endpoint no new work; what it has, it finishes."`
	Undrain endpointUndrain `cmd:"" help:"Take a drained endpoint into use again."`
	Remove  endpointRemove  `cmd:"" help:"Remove an endpoint."`
}

// endpointPut adds or replaces an endpoint.
type endpointPut struct {
	changeFlags
	Name       string         `arg:""`
	Service    string         `required:""`
	Region     string         `required:""`
	DataCentre string         `required:""`
	Address    netip.AddrPort `required:"" help:"ip:port"`
	Slots      int            `required:"" help:"Requests it runs at once."`
	Fenced     bool           `help:"It checks the fencing token of orders."`
}

// Run implements the subcommand.
func (c *endpointPut) Run(g *globals) error {
	return g.propose(&c.changeFlags, []vetchtrail.Edit{vetchtrail.PutEndpoint{Endpoint: vetchtrail.Endpoint{
		Name: c.Name, Service: c.Service, Region: c.Region, DataCentre: c.DataCentre, Addr: c.Address, Slots: c.Slots, Fenced: c.Fenced,
	}}})
}

// endpointDrain drains an endpoint.
type endpointDrain struct {
	changeFlags
	Name string `arg:""`
}

// Run implements the subcommand.
func (c *endpointDrain) Run(g *globals) error {
	return g.propose(&c.changeFlags, []vetchtrail.Edit{vetchtrail.DrainEndpoint{Endpoint: c.Name, Draining: true}})
}

// endpointUndrain ends a drain.
type endpointUndrain struct {
	changeFlags
	Name string `arg:""`
}

// Run implements the subcommand.
func (c *endpointUndrain) Run(g *globals) error {
	return g.propose(&c.changeFlags, []vetchtrail.Edit{vetchtrail.DrainEndpoint{Endpoint: c.Name}})
}

// endpointRemove removes an endpoint.
type endpointRemove struct {
	changeFlags
	Name string `arg:""`
}

// Run implements the subcommand.
func (c *endpointRemove) Run(g *globals) error {
	return g.remove(&c.changeFlags, vetchtrail.ItemEndpoint, c.Name)
}
