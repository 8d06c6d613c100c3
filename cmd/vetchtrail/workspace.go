package main

import "vetchtrail"

// workspaceCommand is about workspaces.
type workspaceCommand struct {
	Put    workspacePut    `cmd:"" help:"Add or replace a workspace: its home, regions and priority."`
	Remove workspaceRemove `cmd:"" help:"Remove a workspace."`
}

// workspacePut adds or replaces a workspace.
type workspacePut struct {
	changeFlags
	Name     string   `arg:""`
	Home     string   `help:"Region it belongs to; none: where its request enters."`
	Allowed  []string `help:"Regions that may process its requests; none: those of the service."`
	Priority int8     `default:"0" help:"Higher goes first."`
}

// Run implements the subcommand.
func (c *workspacePut) Run(g *globals) error {
	return g.propose(&c.changeFlags, []vetchtrail.Edit{vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{
		Name: c.Name, Home: c.Home, Allowed: c.Allowed, Priority: c.Priority,
	}}})
}

// workspaceRemove removes a workspace.
type workspaceRemove struct {
	changeFlags
	Name string `arg:""`
}

// Run implements the subcommand.
func (c *workspaceRemove) Run(g *globals) error {
	return g.remove(&c.changeFlags, vetchtrail.ItemWorkspace, c.Name)
}
