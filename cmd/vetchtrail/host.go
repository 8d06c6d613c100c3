package main

import (
	"fmt"
	"text/tabwriter"

	"vetchtrail/schema"
)

// hostCommand groups the subcommands for entry hosts.
type hostCommand struct {
	List  hostList  `cmd:"" help:"Show the hosts of the daemon's data centre."`
	Drain hostDrain `cmd:"" help:"Make the daemon at --daemon leave: it finishes the requests in flight and stops."`
}

// hostList shows the hosts of the daemon's data centre.
type hostList struct{}

// Run prints a table of the hosts.
func (c *hostList) Run(g *globals) error {
	s, err := g.status()
	if err != nil {
		return err
	}
	return g.print(s.GetHosts(), func(w *tabwriter.Writer) { printHosts(w, s) })
}

// hostDrain makes the daemon leave the system and stop.
type hostDrain struct{}

// Run makes the daemon leave and prints how many requests the daemon still has in flight.
// It doesn't wait until they end.
func (c *hostDrain) Run(g *globals) error {
	ctx, client, cleanup, err := g.dial()
	if err != nil {
		return err
	}
	defer cleanup()
	reply, err := client.DrainHost(ctx, &schema.DrainHostRequest{})
	if err != nil {
		return err
	}
	return g.print(reply, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintf(w, "leaving with %d requests in flight; the daemon stops when they are done\n", reply.GetInFlight())
	})
}
