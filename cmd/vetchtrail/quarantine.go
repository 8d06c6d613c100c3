package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/schema"
)

// quarantineCommand shows and changes what is held back.
type quarantineCommand struct {
	List    quarantineListCommand    `cmd:"" default:"1" help:"Show the requests that are held back, and those that may be soon."`
	Release quarantineReleaseCommand `cmd:"" help:"Let a request go."`
}

type quarantineListCommand struct{}

// Run implements the subcommand.
func (c *quarantineListCommand) Run(g *globals) error {
	ctx, client, done, err := g.dial()
	if err != nil {
		return err
	}
	defer done()
	reply, err := client.Quarantine(ctx, &schema.QuarantineRequest{})
	if err != nil {
		return err
	}
	now := time.Now()
	return g.print(reply, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintln(w, "REQUEST\tSTATE\tENDPOINTS ENDED\tTIMES HELD\tSINCE\tUNTIL")
		for _, h := range reply.GetHolds() {
			_, _ = fmt.Fprintf(w, "%x\t%s\t%d\t%d\t%s\t%s\n", h.GetDigest(), stateOf(h), h.GetEnds(), h.GetStrike(),
				now.Add(-time.Duration(h.GetAge())).Format(time.TimeOnly), now.Add(time.Duration(h.GetRemaining())).Format(time.TimeOnly))
		}
		for _, s := range reply.GetSuspects() {
			_, _ = fmt.Fprintf(w, "%x\tsuspected\t%d\t\t\t\n", s.GetDigest(), s.GetEnds())
		}
	})
}

func stateOf(h *schema.Hold) string {
	switch {
	case h.GetReleased():
		return "let go"
	case h.GetRemaining() <= 0:
		return "over"
	}
	return "held back"
}

type quarantineReleaseCommand struct {
	Digest string `arg:"" help:"The request, as the list shows it."`
}

// Run implements the subcommand.
func (c *quarantineReleaseCommand) Run(g *globals) error {
	d, err := vetchtrail.ParseDigest(c.Digest)
	if err != nil {
		return err
	}
	ctx, client, done, err := g.dial()
	if err != nil {
		return err
	}
	defer done()
	reply, err := client.Release(ctx, &schema.ReleaseRequest{Digest: d[:]})
	if err != nil {
		return err
	}
	if !reply.GetReleased() {
		return errors.Errorf("request %s is not held back", d)
	}
	return g.print(reply, func(w *tabwriter.Writer) { _, _ = fmt.Fprintf(w, "%s is let go\n", d) })
}
