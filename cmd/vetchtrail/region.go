package main

import "vetchtrail"

// regionCommand groups the subcommands that change regions.
type regionCommand struct {
	Put    regionPut    `cmd:"" help:"Add or replace a region."`
	Remove regionRemove `cmd:"" help:"Remove a region."`
}

// regionPut adds or replaces a region.
type regionPut struct {
	changeFlags
	Name        string   `arg:""`
	ID          uint8    `required:"" help:"Number of the region, 0 to 63; no other region may have or have had it."`
	DataCentres []string `required:"" help:"Data centres of the region."`
}

// Run proposes the region.
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

// Run proposes to remove the region.
func (c *regionRemove) Run(g *globals) error {
	return g.remove(&c.changeFlags, vetchtrail.ItemRegion, c.Name)
}
