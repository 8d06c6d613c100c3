package main

import "vetchtrail"

// regionCommand is about regions.
type regionCommand struct {
	Put    regionPut    `cmd:"" help:"Add or replace a region."`
	Remove regionRemove `cmd:"" help:"Remove a region."`
}

// regionPut adds or replaces a region.
type regionPut struct {
	changeFlags
	Name        string   `arg:""`
	ID          uint8    `required:"" help:"Its number, 0 to 63, never that of another region."`
	DataCentres []string `required:"" help:"Its data centres."`
}

// Run implements the subcommand.
func (c *regionPut) Run(g *globals) error {
	return g.propose(&c.changeFlags, []vetchtrail.Edit{vetchtrail.PutRegion{Region: vetchtrail.Region{
		ID: vetchtrail.RegionID(c.ID), Name: c.Name, DataCentres: c.DataCentres,
	}}})
}

// regionRemove removes a region.
type regionRemove struct {
	changeFlags
	Name string `arg:""`
}

// Run implements the subcommand.
func (c *regionRemove) Run(g *globals) error {
	return g.remove(&c.changeFlags, vetchtrail.ItemRegion, c.Name)
}
