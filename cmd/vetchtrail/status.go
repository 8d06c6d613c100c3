package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"vetchtrail/schema"
)

// statusCommand shows the system as one daemon sees it.
type statusCommand struct{}

func (g *globals) status() (*schema.StatusReply, error) {
	ctx, client, done, err := g.dial()
	if err != nil {
		return nil, err
	}
	defer done()
	return client.Status(ctx, &schema.StatusRequest{})
}

// Run implements the subcommand.
func (c *statusCommand) Run(g *globals) error {
	s, err := g.status()
	if err != nil {
		return err
	}
	return g.print(s, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintf(w, "seen from %s, revision %d, the store last answered %s\n\n", s.GetHost(), s.GetRevision(), ago(s.GetStoreHeard()))
		printHosts(w, s)
		_, _ = fmt.Fprintln(w, "\nDATA CENTRE\tREGION\tREVISION\tREACHABLE\tHEARD")
		for _, d := range s.GetDataCentres() {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%s\n", d.GetName(), d.GetRegion(), d.GetRevision(), d.GetReachable(), ago(d.GetHeard()))
		}
		_, _ = fmt.Fprintln(w, "\nENDPOINT\tSERVICE\tSTATE\tRUNNING\tQUEUED\tOURS\tLIMIT\tREPORTED\tRATE\tSINCE\tSENT\tLEAVES BY\tSINCE\tWANTS NOTHING FOR")
		for _, e := range s.GetEndpoints() {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", e.GetName(), e.GetService(), e.GetState(),
				e.GetRunning(), e.GetQueued(), e.GetOwn(), e.GetLimit(), ago(e.GetReported()), rate(e), wants(e, time.Now()))
		}
	})
}

// rate words the rate that an endpoint names, since when, and how many requests the host that was
// asked sent it within that.
func rate(e *schema.EndpointStatus) string {
	if !e.GetLimited() {
		return "-\t-\t-"
	}
	return fmt.Sprintf("%g/s\t%s\t%d", e.GetRate(), ago(e.GetRateSince()), e.GetPermits())
}

// wants words whether an endpoint wants requests: whose word it is that it leaves, since when its answers say so, and
// for how long it wants nothing from the host that was asked.
func wants(e *schema.EndpointStatus, now time.Time) string {
	by, since, pause := e.GetLeavingBy(), "-", "-"
	if by == "" {
		by = "-"
	}
	if e.GetLeavingSince() != 0 {
		since = ago(e.GetLeavingSince())
	}
	if e.GetPausedUntil() != 0 {
		pause = time.Unix(0, e.GetPausedUntil()).Sub(now).Round(time.Millisecond).String()
	}
	return by + "\t" + since + "\t" + pause
}

func printHosts(w *tabwriter.Writer, s *schema.StatusReply) {
	_, _ = fmt.Fprintln(w, "HOST\tREGION\tDATA CENTRE\tSTATE\tREVISION\tCALLERS\tHEARD")
	for _, h := range s.GetHosts() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", h.GetName(), h.GetRegion(), h.GetDataCentre(),
			h.GetState(), h.GetRevision(), h.GetCallers(), ago(h.GetHeard()))
	}
}

// ago words a moment as the time since.
func ago(nanos int64) string {
	if nanos == 0 {
		return "never"
	}
	return time.Since(time.Unix(0, nanos)).Round(time.Millisecond).String() + " ago"
}
