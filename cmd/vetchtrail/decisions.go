package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/process/journal"
	"vetchtrail/schema"
)

// decisionsCommand shows the recent decisions of the daemon's host on where requests run,
// and the outcomes of the requests.
type decisionsCommand struct {
	Service string `help:"Show only requests for this service."`
	Outcome string `enum:",answered,not-run,unknown" default:"" help:"Show only requests with this outcome."`
	Most    uint32 `default:"50" help:"Maximum number of records to show; the newest are kept."`
}

// Run prints a table of the records, newest first.
func (c *decisionsCommand) Run(g *globals) error {
	records, err := g.decisions(&schema.DecisionsRequest{Service: c.Service, Outcome: c.Outcome, Most: c.Most})
	if err != nil {
		return err
	}
	return g.print(records, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintln(w, "AT\tREQUEST\tSERVICE\tWHAT\tTARGET\tREASON\tREVISION\tHOPS")
		for _, r := range records {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", formatTime(r), r.GetRequest(), r.GetService(), outcomeOrDecision(r),
				r.GetTarget(), r.GetReason(), r.GetRevision(), r.GetHops())
		}
	})
}

// decisions returns the decision records of the daemon's host that match the filter.
func (g *globals) decisions(filter *schema.DecisionsRequest) ([]*schema.DecisionRecord, error) {
	ctx, client, cleanup, err := g.dial()
	if err != nil {
		return nil, err
	}
	defer cleanup()
	reply, err := client.Decisions(ctx, filter)
	return reply.GetRecords(), err
}

// formatTime formats the time of a record.
func formatTime(r *schema.DecisionRecord) string {
	return time.Unix(0, r.GetAt()).Format("15:04:05.000")
}

// outcomeOrDecision returns the outcome of a record that has one, and otherwise its
// decision.
func outcomeOrDecision(r *schema.DecisionRecord) string {
	if r.GetOutcome() != "" {
		return r.GetOutcome()
	}
	return r.GetDecision()
}

// explainCommand shows the decisions on one request and the reasons for them.
type explainCommand struct {
	Request string `arg:"" help:"Id of the request, from the header X-Request-Id."`
}

// Run prints the host's records of the request, oldest first. The daemon returns them
// newest first.
func (c *explainCommand) Run(g *globals) error {
	records, err := g.decisions(&schema.DecisionsRequest{Request: c.Request})
	if err != nil {
		return err
	}
	if len(records) == 0 {
		return errors.Errorf("host at %s has no record of request %s: only the hosts that handled a request have records of it, and only of recent requests", g.Daemon, c.Request)
	}
	return g.print(records, func(w *tabwriter.Writer) {
		for i := len(records) - 1; i >= 0; i-- {
			printRecord(w, records[i])
		}
	})
}

// printRecord prints how a request ended, or a decision on it with the candidates that
// were not chosen.
func printRecord(w io.Writer, r *schema.DecisionRecord) {
	if r.GetOutcome() != "" {
		_, _ = fmt.Fprintf(w, "%s  ended: %s at %s (step %s, reason %s)%s\n", formatTime(r), r.GetOutcome(), r.GetTarget(), r.GetStep(), r.GetReason(),
			journal.DescribeRetry(r.GetRetryPlan(), time.Duration(r.GetRetryIn())))
		return
	}
	_, _ = fmt.Fprintf(w, "%s  attempt %d on revision %d, home %s: %s %s (%s), cost %.4f, of %d candidates\n", formatTime(r), r.GetAttempt(),
		r.GetRevision(), r.GetHome(), r.GetDecision(), r.GetTarget(), r.GetReason(), r.GetCost(), r.GetLooked())
	for _, c := range r.GetCandidates() {
		if c.GetReason() == string(vetchtrail.ReasonAdmission) {
			_, _ = fmt.Fprintf(w, "\tnot admitted to %s\t%.1f%% of its class are admitted\t%s\n", c.GetName(), 100*c.GetCost(), c.GetReason())
			continue
		}
		_, _ = fmt.Fprintf(w, "\tnot %s\tcost %.4f\t%s\n", c.GetName(), c.GetCost(), c.GetReason())
	}
}
