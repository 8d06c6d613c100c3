package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/schema"
)

// quarantineCommand groups the subcommands for the quarantine of poison requests:
// requests that are refused because endpoints crashed while running them.
type quarantineCommand struct {
	List    quarantineList    `cmd:"" default:"1" help:"Show the requests in quarantine, and those under suspicion."`
	Release quarantineRelease `cmd:"" help:"Release a request from quarantine."`
}

// quarantineList shows the quarantined and the suspected requests.
type quarantineList struct{}

// Run prints a table of the quarantine entries, and below them the requests that may be
// quarantined soon.
func (c *quarantineList) Run(g *globals) error {
	ctx, client, cleanup, err := g.dial()
	if err != nil {
		return err
	}
	defer cleanup()
	reply, err := client.Quarantine(ctx, &schema.QuarantineRequest{})
	if err != nil {
		return err
	}
	now := time.Now()
	return g.print(reply, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintln(w, "REQUEST\tSTATE\tENDPOINTS ENDED\tTIMES HELD\tSINCE\tUNTIL")
		for _, h := range reply.GetHolds() {
			_, _ = fmt.Fprintf(w, "%x\t%s\t%d\t%d\t%s\t%s\n", h.GetDigest(), entryState(h)+partNote(h.GetPart()), h.GetEnds(), h.GetStrike(),
				now.Add(-time.Duration(h.GetAge())).Format(time.TimeOnly), now.Add(time.Duration(h.GetRemaining())).Format(time.TimeOnly))
		}
		for _, s := range reply.GetSuspects() {
			_, _ = fmt.Fprintf(w, "%x\tsuspected%s\t%d\t\t\t\n", s.GetDigest(), partNote(s.GetPart()), s.GetEnds())
		}
	})
}

// entryState returns the state column of a quarantine entry: "let go",
// "over" or "held back".
func entryState(h *schema.Hold) string {
	switch {
	case h.GetReleased():
		return "let go"
	case h.GetRemaining() <= 0:
		return "over"
	}
	return "held back"
}

// partNote marks the state of a part of prompts, whose hash is in the place of a request's.
func partNote(part bool) string {
	if part {
		return " (part)"
	}
	return ""
}

// quarantineRelease releases a request from quarantine.
type quarantineRelease struct {
	Digest string `arg:"" help:"Content hash of the request, as the list shows it."`
}

// Run releases the request. It fails if the request is not in quarantine.
func (c *quarantineRelease) Run(g *globals) error {
	contentHash, err := vetchtrail.ParseContentHash(c.Digest)
	if err != nil {
		return err
	}
	ctx, client, cleanup, err := g.dial()
	if err != nil {
		return err
	}
	defer cleanup()
	reply, err := client.Release(ctx, &schema.ReleaseRequest{Digest: contentHash[:]})
	if err != nil {
		return err
	}
	if !reply.GetReleased() {
		return errors.Errorf("request %s is not in quarantine", contentHash)
	}
	return g.print(reply, func(w *tabwriter.Writer) { _, _ = fmt.Fprintf(w, "released request %s\n", contentHash) })
}
