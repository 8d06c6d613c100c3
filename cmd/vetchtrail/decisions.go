package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail/schema"
)

// decisionsCommand shows recent decisions.
type decisionsCommand struct {
	Service string `help:"Only of this service."`
	Outcome string `enum:",answered,not-run,unknown" default:"" help:"Only requests that ended so."`
	Most    uint32 `default:"50" help:"How many, the newest."`
}

// Run implements the subcommand.
func (c *decisionsCommand) Run(g *globals) error {
	records, err := g.decisions(&schema.DecisionsRequest{Service: c.Service, Outcome: c.Outcome, Most: c.Most})
	if err != nil {
		return err
	}
	return g.print(records, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintln(w, "AT\tREQUEST\tSERVICE\tWHAT\tTARGET\tREASON\tREVISION\tHOPS")
		for _, r := range records {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\n", at(r), r.GetRequest(), r.GetService(), what(r),
				r.GetTarget(), r.GetReason(), r.GetRevision(), r.GetHops())
		}
	})
}

func (g *globals) decisions(q *schema.DecisionsRequest) ([]*schema.DecisionRecord, error) {
	ctx, client, done, err := g.dial()
	if err != nil {
		return nil, err
	}
	defer done()
	reply, err := client.Decisions(ctx, q)
	return reply.GetRecords(), err
}

func at(r *schema.DecisionRecord) string {
	return time.Unix(0, r.GetAt()).Format("15:04:05.000")
}

func what(r *schema.DecisionRecord) string {
	if r.GetOutcome() != "" {
		return r.GetOutcome()
	}
	return r.GetDecision()
}

// explainCommand tells a request's way.
type explainCommand struct {
	Request string `arg:"" help:"The request's id, as in X-Request-Id."`
}

// Run implements the subcommand.
func (c *explainCommand) Run(g *globals) error {
	records, err := g.decisions(&schema.DecisionsRequest{Request: c.Request})
	if err != nil {
		return err
	}
	if len(records) == 0 {
		return errors.Errorf("host at %s knows no request %s: only recent ones are kept, by the hosts they passed through", g.Daemon, c.Request)
	}
	return g.print(records, func(w *tabwriter.Writer) {
		for i := len(records) - 1; i >= 0; i-- {
			explain(w, records[i])
		}
	})
}

func explain(w *tabwriter.Writer, r *schema.DecisionRecord) {
	if r.GetOutcome() != "" {
		_, _ = fmt.Fprintf(w, "%s  ended: %s at %s (step %s, reason %s)\n", at(r), r.GetOutcome(), r.GetTarget(), r.GetStep(), r.GetReason())
		return
	}
	_, _ = fmt.Fprintf(w, "%s  attempt %d on revision %d, home %s: %s %s (%s), cost %.4f, of %d candidates\n", at(r), r.GetAttempt(),
		r.GetRevision(), r.GetHome(), r.GetDecision(), r.GetTarget(), r.GetReason(), r.GetCost(), r.GetLooked())
	for _, l := range r.GetCandidates() {
		_, _ = fmt.Fprintf(w, "\tnot %s\tcost %.4f\t%s\n", l.GetName(), l.GetCost(), l.GetReason())
	}
}
