package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/connection/operator"
	"vetchtrail/schema"
	"vetchtrail/version/document"
	"vetchtrail/version/rules"
)

// configCommand is about the configuration as a whole.
type configCommand struct {
	Apply   configApply   `cmd:"" help:"Make the configuration what a file says."`
	Show    configShow    `cmd:"" help:"Print the configuration as a file."`
	Diff    configDiff    `cmd:"" help:"Show what apply would change."`
	History configHistory `cmd:"" help:"Show accepted changes: who, when and why."`
	Wait    configWait    `cmd:"" help:"Wait until a revision is in force, and say where it is not."`
}

// configApply makes the configuration what a file says.
type configApply struct {
	changeFlags
	File string `arg:"" type:"existingfile" help:"Document (YAML)."`
}

// Run implements the subcommand.
func (c *configApply) Run(g *globals) error {
	ctx, client, done, err := g.dial()
	if err != nil {
		return err
	}
	defer done()
	held, edits, err := difference(ctx, client, c.File)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		return g.print(change{Result: "UNCHANGED", Revision: held.Revision()}, func(w *tabwriter.Writer) {
			_, _ = fmt.Fprintf(w, "nothing to change: revision %d is what the file says\n", held.Revision())
		})
	}
	if c.ExpectRevision == 0 {
		c.ExpectRevision = held.Revision() // the difference only holds against what was read
	}
	return g.proposeOn(ctx, client, &c.changeFlags, edits)
}

// difference returns what the daemon holds and the edits that make it what a
// file says.
func difference(ctx context.Context, client *operator.Client, path string) (*rules.Rules, []vetchtrail.Edit, error) {
	wanted, err := readDocument(path)
	if err != nil {
		return nil, nil, err
	}
	held, err := client.Rules(ctx)
	if err != nil {
		return nil, nil, err
	}
	return held, held.Difference(wanted), nil
}

func readDocument(path string) (*rules.Rules, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	d, err := document.Parse(text)
	if err != nil {
		return nil, exitError{exitInvalid, errors.Errorf("%s: %s", path, err)}
	}
	wanted, err := d.Rules()
	if err != nil {
		return nil, exitError{exitInvalid, errors.Errorf("%s: %s", path, err)}
	}
	return wanted, nil
}

// configShow prints the configuration.
type configShow struct{}

// Run implements the subcommand.
func (c *configShow) Run(g *globals) error {
	held, err := g.rules()
	if err != nil {
		return err
	}
	d := document.Of(held)
	text, err := d.YAML()
	if err != nil {
		return err
	}
	return g.print(d, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintf(w, "# revision %d\n%s", held.Revision(), text)
	})
}

// configDiff shows what apply would change.
type configDiff struct {
	File string `arg:"" type:"existingfile" help:"Document (YAML)."`
}

// Run implements the subcommand.
func (c *configDiff) Run(g *globals) error {
	ctx, client, done, err := g.dial()
	if err != nil {
		return err
	}
	defer done()
	_, edits, err := difference(ctx, client, c.File)
	if err != nil {
		return err
	}
	lines := []string{}
	for _, e := range edits {
		lines = append(lines, describe(e))
	}
	return g.print(lines, func(w *tabwriter.Writer) {
		for _, l := range lines {
			_, _ = fmt.Fprintln(w, l)
		}
	})
}

func describe(e vetchtrail.Edit) string {
	if _, ok := e.(vetchtrail.Remove); ok {
		return "remove " + rules.Title(e)
	}
	return fmt.Sprintf("put    %s: %+v", rules.Title(e), e)
}

// configHistory shows accepted changes.
type configHistory struct {
	From uint64 `help:"First revision."`
	Most uint32 `default:"20" help:"How many, the newest."`
}

// entry is a printed change of the history.
type entry struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	ID       string    `json:"id"`
	Edits    []string  `json:"edits"`
}

// Run implements the subcommand.
func (c *configHistory) Run(g *globals) error {
	ctx, client, done, err := g.dial()
	if err != nil {
		return err
	}
	defer done()
	reply, err := client.History(ctx, &schema.HistoryRequest{From: c.From, Most: c.Most})
	if err != nil {
		return err
	}
	entries := []entry{}
	for _, m := range reply.GetChanges() {
		ch, err := schema.ToChange(m)
		if err != nil {
			return err
		}
		e := entry{Revision: ch.Revision, At: ch.At, Author: ch.Author, Reason: ch.Reason, ID: ch.ID}
		for _, edit := range ch.Edits {
			e.Edits = append(e.Edits, rules.Title(edit))
		}
		entries = append(entries, e)
	}
	return g.print(entries, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintln(w, "REVISION\tAT\tAUTHOR\tEDITS\tREASON")
		for _, e := range entries {
			_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\n", e.Revision, e.At.Format(time.RFC3339), e.Author, len(e.Edits), e.Reason)
		}
	})
}

// configWait waits for a revision.
type configWait struct {
	Revision uint64        `arg:"" help:"The revision."`
	Timeout  time.Duration `default:"10s" help:"How long."`
}

const waitLook = 200 * time.Millisecond

// Run implements the subcommand.
func (c *configWait) Run(g *globals) error {
	deadline := time.Now().Add(c.Timeout)
	for {
		s, err := g.status()
		if err != nil {
			return err
		}
		lines, all := inForce(s, c.Revision)
		if all || time.Now().After(deadline) {
			return g.tellForce(c.Revision, lines, all)
		}
		time.Sleep(waitLook)
	}
}

// place is where a revision is in force or not.
type place struct {
	Name     string    `json:"name"`
	Region   string    `json:"region"`
	Revision uint64    `json:"revision"` // newest known to be in force there
	InForce  bool      `json:"in_force"`
	Heard    time.Time `json:"heard"` // when that was known
	CutOff   bool      `json:"cut_off"`
}

// inForce tells for the daemon's own hosts and each other data centre.
func inForce(s *schema.StatusReply, revision uint64) ([]place, bool) {
	var out []place
	all := true
	for _, h := range s.GetHosts() {
		if h.GetState() == "dead" || h.GetState() == "leaving" {
			continue
		}
		out = append(out, place{
			Name: h.GetName(), Region: h.GetRegion(), Revision: h.GetRevision(), InForce: h.GetRevision() >= revision,
			Heard: time.Unix(0, h.GetHeard()), CutOff: h.GetState() == "suspect",
		})
	}
	for _, d := range s.GetDataCentres() {
		out = append(out, place{
			Name: d.GetName(), Region: d.GetRegion(), Revision: d.GetRevision(), InForce: d.GetRevision() >= revision,
			Heard: time.Unix(0, d.GetHeard()), CutOff: !d.GetReachable(),
		})
	}
	for _, p := range out {
		all = all && p.InForce
	}
	return out, all
}

func (g *globals) tellForce(revision uint64, lines []place, all bool) error {
	err := g.print(lines, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintln(w, "WHERE\tREGION\tREVISION\tIN FORCE\tHEARD")
		for _, p := range lines {
			word := "yes"
			if !p.InForce {
				word = "not yet"
			}
			if p.CutOff {
				word += ", cut off since " + p.Heard.Format(time.RFC3339)
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", p.Name, p.Region, p.Revision, word, p.Heard.Format(time.RFC3339))
		}
	})
	if err != nil || all {
		return err
	}
	return exitError{exitNotYet, errors.Errorf("revision %d is not in force everywhere yet", revision)}
}
