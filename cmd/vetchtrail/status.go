package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"vetchtrail/schema"
)

// statusCommand shows hosts, data centres and endpoints with the state that one daemon
// has recorded for them.
type statusCommand struct{}

// status returns the state of hosts, data centres and endpoints that the daemon has
// recorded.
func (g *globals) status() (*schema.StatusReply, error) {
	ctx, client, cleanup, err := g.dial()
	if err != nil {
		return nil, err
	}
	defer cleanup()
	return client.Status(ctx, &schema.StatusRequest{})
}

// Run prints tables of the hosts of the daemon's data centre, the other data centres and
// the endpoints.
func (c *statusCommand) Run(g *globals) error {
	s, err := g.status()
	if err != nil {
		return err
	}
	return g.print(s, func(w *tabwriter.Writer) {
		_, _ = fmt.Fprintf(w, "seen from %s, revision %d, the store last answered %s\n\n", s.GetHost(), s.GetRevision(), formatAge(s.GetStoreHeard()))
		printHosts(w, s)
		_, _ = fmt.Fprintln(w, "\nDATA CENTRE\tREGION\tREVISION\tREACHABLE\tHEARD")
		for _, d := range s.GetDataCentres() {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%s\n", d.GetName(), d.GetRegion(), d.GetRevision(), d.GetReachable(), formatAge(d.GetHeard()))
		}
		_, _ = fmt.Fprintln(w, "\nENDPOINT\tSERVICE\tSTATE\tRUNNING\tQUEUED\tOURS\tLIMIT\tREPORTED\tRATE\tSINCE\tSENT\tLEAVES BY\tSINCE\tWANTS NOTHING FOR")
		for _, e := range s.GetEndpoints() {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", e.GetName(), e.GetService(), e.GetState(),
				e.GetRunning(), e.GetQueued(), e.GetOwn(), e.GetLimit(), formatAge(e.GetReported()), formatRate(e), formatAvailability(e, time.Now()))
		}
	})
}

// formatRate returns three columns: the rate limit that an endpoint advertises, since
// when, and how many requests the daemon's host has sent it within that limit.
func formatRate(e *schema.EndpointStatus) string {
	if !e.GetLimited() {
		return "-\t-\t-"
	}
	return fmt.Sprintf("%g/s\t%s\t%d", e.GetRate(), formatAge(e.GetRateSince()), e.GetPermits())
}

// formatAvailability returns three columns: the source of the information that an
// endpoint is leaving, the time since its responses first announced that, and the
// remaining time of a pause that the endpoint requested from the daemon's host.
func formatAvailability(e *schema.EndpointStatus, now time.Time) string {
	by, since, pause := e.GetLeavingBy(), "-", "-"
	if by == "" {
		by = "-"
	}
	if e.GetLeavingSince() != 0 {
		since = formatAge(e.GetLeavingSince())
	}
	if e.GetPausedUntil() != 0 {
		pause = time.Unix(0, e.GetPausedUntil()).Sub(now).Round(time.Millisecond).String()
	}
	return by + "\t" + since + "\t" + pause
}

// printHosts prints a table of the hosts of the daemon's data centre.
func printHosts(w *tabwriter.Writer, s *schema.StatusReply) {
	_, _ = fmt.Fprintln(w, "HOST\tREGION\tDATA CENTRE\tSTATE\tREVISION\tCALLERS\tHEARD")
	for _, h := range s.GetHosts() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", h.GetName(), h.GetRegion(), h.GetDataCentre(),
			h.GetState(), h.GetRevision(), h.GetCallers(), formatAge(h.GetHeard()))
	}
}

// formatAge formats a Unix time in nanoseconds as the time that has passed since. 0
// means never.
func formatAge(nanos int64) string {
	if nanos == 0 {
		return "never"
	}
	return time.Since(time.Unix(0, nanos)).Round(time.Millisecond).String() + " ago"
}
