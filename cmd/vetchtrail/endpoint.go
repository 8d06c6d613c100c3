package main

import (
	"net/netip"

	"vetchtrail"
)

// endpointCommand groups the subcommands that change endpoints.
type endpointCommand struct {
	Put     endpointPut     `cmd:"" help:"Add or replace an endpoint."`
	Drain   endpointDrain   `cmd:"" help:"Send no new requests to an endpoint; it finishes those in flight."`
	Undrain endpointUndrain `cmd:"" help:"Send requests to a drained endpoint again."`
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
	Slots      int            `required:"" help:"Number of requests it runs at once."`
	Fenced     bool           `help:"The endpoint checks fencing tokens."`
}

// Run proposes the endpoint.
func (c *endpointPut) Run(g *globals) error {
	return g.propose(&c.changeFlags, []vetchtrail.Edit{vetchtrail.PutEndpoint{Endpoint: vetchtrail.Endpoint{
		Name: c.Name, Service: c.Service, Region: c.Region, DataCentre: c.DataCentre, Addr: c.Address, Slots: c.Slots, Fenced: c.Fenced,
	}}})
}

// endpointDrain stops new requests to an endpoint.
type endpointDrain struct {
	changeFlags
	Name string `arg:""`
}

// Run proposes to mark the endpoint as draining.
func (c *endpointDrain) Run(g *globals) error {
	return g.propose(&c.changeFlags, []vetchtrail.Edit{vetchtrail.DrainEndpoint{Endpoint: c.Name, Draining: true}})
}

// endpointUndrain allows new requests to a drained endpoint again.
type endpointUndrain struct {
	changeFlags
	Name string `arg:""`
}

// Run proposes to clear the endpoint's draining mark.
func (c *endpointUndrain) Run(g *globals) error {
	return g.propose(&c.changeFlags, []vetchtrail.Edit{vetchtrail.DrainEndpoint{Endpoint: c.Name}})
}

// endpointRemove removes an endpoint.
type endpointRemove struct {
	changeFlags
	Name string `arg:""`
}

// Run proposes to remove the endpoint.
func (c *endpointRemove) Run(g *globals) error {
	return g.remove(&c.changeFlags, vetchtrail.ItemEndpoint, c.Name)
}
