package main

import (
	"fmt"
	"text/tabwriter"

	"vetchtrail/schema"
)

// hostCommand is about entry hosts.
type hostCommand struct {
	List  hostList  `cmd:"" help:"Show the hosts of the daemon's data centre."`
	Drain hostDrain `cmd:"" help:"Make the daemon that is spoken to leave: it finishes what it has and stops."`
}

// hostList shows the hosts.
type hostList struct{}

// Run implements the subcommand.
func (c *hostList) Run(g *globals) error {
	s, err := g.status()
	if err != nil {
		return err
	}
	return g.print(s.GetHosts(), func(w *tabwriter.Writer) { printHosts(w, s) })
}

// hostDrain makes a daemon leave.
type hostDrain struct{}

// Run implements the subcommand.
func (c *hostDrain) Run(g *globals) error {
	ctx, client, done, err := g.dial()
	if err != nil {
		return err
	}
	defer done()
	reply, err := client.DrainHost(ctx, &schema.DrainHostRequest{})
	if err != nil {
		return err
	}
	return g.print(reply, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintf(w, "leaving with %d requests in flight; the daemon stops when they are done\n", reply.GetInFlight())
	})
}
