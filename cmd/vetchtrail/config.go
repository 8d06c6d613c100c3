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

// configCommand groups the subcommands for the configuration as a whole.
type configCommand struct {
	Apply   configApply   `cmd:"" help:"Replace the configuration with the contents of a file."`
	Show    configShow    `cmd:"" help:"Print the configuration in the file format of apply."`
	Diff    configDiff    `cmd:"" help:"Show what apply would change."`
	History configHistory `cmd:"" help:"Show accepted changes: author, time and reason."`
	Wait    configWait    `cmd:"" help:"Wait until a revision is in force everywhere, and show where it is not."`
}

// configApply replaces the configuration with the contents of a file.
type configApply struct {
	changeFlags
	File string `arg:"" type:"existingfile" help:"Configuration file (YAML)."`
}

// Run proposes the edits that lead from the daemon's configuration to the file's. The
// proposal is refused if the configuration changes after it was read.
func (c *configApply) Run(g *globals) error {
	ctx, client, cleanup, err := g.dial()
	if err != nil {
		return err
	}
	defer cleanup()
	current, edits, err := readDifference(ctx, client, c.File)
	if err != nil {
		return err
	}
	if len(edits) == 0 {
		return g.print(changeResult{Result: "UNCHANGED", Revision: current.Revision()}, func(w *tabwriter.Writer) {
			_, _ = fmt.Fprintf(w, "nothing to change: revision %d has the contents of the file\n", current.Revision())
		})
	}
	if c.ExpectRevision == 0 {
		c.ExpectRevision = current.Revision() // the edits lead to the file's contents only from the revision that was read
	}
	return g.proposeOn(ctx, client, &c.changeFlags, edits)
}

// readDifference returns the daemon's configuration and the edits that turn it into the
// configuration in the file.
func readDifference(ctx context.Context, client *operator.Client, path string) (*rules.Rules, []vetchtrail.Edit, error) {
	wanted, err := readDocument(path)
	if err != nil {
		return nil, nil, err
	}
	current, err := client.Rules(ctx)
	if err != nil {
		return nil, nil, err
	}
	return current, current.Difference(wanted), nil
}

// readDocument reads and validates a configuration file.
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

// configShow prints the configuration in the file format of apply.
type configShow struct{}

// Run prints the daemon's configuration, as YAML after a line with its revision.
func (c *configShow) Run(g *globals) error {
	current, err := g.rules()
	if err != nil {
		return err
	}
	d := document.FromRules(current)
	text, err := d.YAML()
	if err != nil {
		return err
	}
	return g.print(d, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintf(w, "# revision %d\n%s", current.Revision(), text)
	})
}

// configDiff shows what apply would change.
type configDiff struct {
	File string `arg:"" type:"existingfile" help:"Configuration file (YAML)."`
}

// Run prints one line for each edit that apply would propose.
func (c *configDiff) Run(g *globals) error {
	ctx, client, cleanup, err := g.dial()
	if err != nil {
		return err
	}
	defer cleanup()
	_, edits, err := readDifference(ctx, client, c.File)
	if err != nil {
		return err
	}
	lines := []string{}
	for _, e := range edits {
		lines = append(lines, describeEdit(e))
	}
	return g.print(lines, func(w *tabwriter.Writer) {
		for _, l := range lines {
			_, _ = fmt.Fprintln(w, l)
		}
	})
}

// describeEdit returns the line of the diff for an edit.
func describeEdit(e vetchtrail.Edit) string {
	if _, ok := e.(vetchtrail.Remove); ok {
		return "remove " + rules.ItemName(e)
	}
	return fmt.Sprintf("put    %s: %+v", rules.ItemName(e), e)
}

// configHistory shows accepted changes.
type configHistory struct {
	From uint64 `help:"First revision to show."`
	Most uint32 `default:"20" help:"Maximum number of changes to show; the newest are kept."`
}

// historyEntry is an accepted change in the JSON output.
type historyEntry struct {
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	ID       string    `json:"id"`
	Edits    []string  `json:"edits"`
}

// Run prints the accepted changes that the daemon still has, oldest first.
func (c *configHistory) Run(g *globals) error {
	ctx, client, cleanup, err := g.dial()
	if err != nil {
		return err
	}
	defer cleanup()
	reply, err := client.History(ctx, &schema.HistoryRequest{From: c.From, Most: c.Most})
	if err != nil {
		return err
	}
	entries := []historyEntry{}
	for _, m := range reply.GetChanges() {
		change, err := schema.ToChange(m)
		if err != nil {
			return err
		}
		e := historyEntry{Revision: change.Revision, At: change.At, Author: change.Author, Reason: change.Reason, ID: change.ID}
		for _, edit := range change.Edits {
			e.Edits = append(e.Edits, rules.ItemName(edit))
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

// configWait waits until a revision is in force everywhere.
type configWait struct {
	Revision uint64        `arg:"" help:"Revision to wait for."`
	Timeout  time.Duration `default:"10s" help:"Longest time to wait."`
}

// waitPollInterval is the time between two status calls while waiting for a revision.
const waitPollInterval = 200 * time.Millisecond

// Run polls the daemon's status until the revision is in force everywhere or the
// timeout is over, then prints where it is in force.
func (c *configWait) Run(g *globals) error {
	deadline := time.Now().Add(c.Timeout)
	for {
		s, err := g.status()
		if err != nil {
			return err
		}
		statuses, everywhere := revisionStatuses(s, c.Revision)
		if everywhere || time.Now().After(deadline) {
			return g.printRevisionStatuses(c.Revision, statuses, everywhere)
		}
		time.Sleep(waitPollInterval)
	}
}

// revisionStatus shows whether the awaited revision is in force on a host or in another
// data centre.
type revisionStatus struct {
	Name     string    `json:"name"` // of the host or data centre
	Region   string    `json:"region"`
	Revision uint64    `json:"revision"` // last reported revision; of a data centre, the lowest among its hosts
	InForce  bool      `json:"in_force"` // the awaited revision, or a newer one, is in force
	LastSeen time.Time `json:"heard"`    // when the newest report from there was received
	CutOff   bool      `json:"cut_off"`  // the host is suspected dead, or the data centre is unreachable
}

// revisionStatuses returns the state of a revision on each host of the daemon's data
// centre and in each other data centre, and whether it is in force in all of them. Dead
// and leaving hosts don't count.
func revisionStatuses(s *schema.StatusReply, revision uint64) ([]revisionStatus, bool) {
	var out []revisionStatus
	everywhere := true
	for _, h := range s.GetHosts() {
		if h.GetState() == "dead" || h.GetState() == "leaving" {
			continue
		}
		out = append(out, revisionStatus{
			Name: h.GetName(), Region: h.GetRegion(), Revision: h.GetRevision(), InForce: h.GetRevision() >= revision,
			LastSeen: time.Unix(0, h.GetHeard()), CutOff: h.GetState() == "suspect",
		})
	}
	for _, d := range s.GetDataCentres() {
		out = append(out, revisionStatus{
			Name: d.GetName(), Region: d.GetRegion(), Revision: d.GetRevision(), InForce: d.GetRevision() >= revision,
			LastSeen: time.Unix(0, d.GetHeard()), CutOff: !d.GetReachable(),
		})
	}
	for _, r := range out {
		everywhere = everywhere && r.InForce
	}
	return out, everywhere
}

// printRevisionStatuses prints where a revision is in force. If it is not in force
// everywhere, it returns an error with the exit code for that.
func (g *globals) printRevisionStatuses(revision uint64, statuses []revisionStatus, everywhere bool) error {
	err := g.print(statuses, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintln(w, "WHERE\tREGION\tREVISION\tIN FORCE\tHEARD")
		for _, r := range statuses {
			inForce := "yes"
			if !r.InForce {
				inForce = "not yet"
			}
			if r.CutOff {
				inForce += ", cut off since " + r.LastSeen.Format(time.RFC3339)
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", r.Name, r.Region, r.Revision, inForce, r.LastSeen.Format(time.RFC3339))
		}
	})
	if err != nil || everywhere {
		return err
	}
	return exitError{exitNotYet, errors.Errorf("revision %d is not in force everywhere yet", revision)}
}
