package main

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"

	"vetchtrail/process/journal"
)

// maxWorstSeconds is the number of rows in the table of the seconds with the most losses.
const maxWorstSeconds = 10

// lossesCommand summarises from the logs of all hosts how requests ended. It calls no
// daemon.
type lossesCommand struct {
	Log  []string `arg:"" help:"Log files of all hosts, in any order; - for standard input."`
	Plot string   `help:"Also plot the outcomes of the requests by second to a file; its name ends in .svg, .png or .pdf."`
	CSV  bool     `help:"Print CSV: one line with a count for each second, service, route, region, workspace and cause."`
}

// Run joins the log lines by request, and prints and plots the result.
func (c *lossesCommand) Run(g *globals) error {
	logs, cleanup, err := openLogs(c.Log)
	if err != nil {
		return err
	}
	defer cleanup()
	l, err := journal.ReadLosses(logs...)
	if err != nil {
		return err
	}
	if len(l.Rows) == 0 {
		return errors.Errorf("losses: no requests in the %d log files: pass the logs of the hosts that received requests from callers", len(c.Log))
	}
	if c.Plot != "" {
		if err := plotLosses(l, c.Plot); err != nil {
			return err
		}
	}
	if c.CSV {
		return writeLossesCSV(os.Stdout, l)
	}
	return g.print(l, func(w *tabwriter.Writer) { printLosses(w, l) })
}

// writeLossesCSV writes the losses as CSV, after a header line.
func writeLossesCSV(to io.Writer, l *journal.Losses) error {
	w := csv.NewWriter(to)
	rows := [][]string{{"second", "service", "route", "region", "workspace", "cause", "count"}}
	for _, r := range l.Rows {
		rows = append(rows, []string{strconv.Itoa(r.Second), r.Service, r.Route, r.Home, r.Workspace, string(r.Cause), strconv.Itoa(r.Count)})
	}
	if err := w.WriteAll(rows); err != nil {
		return errors.Wrap(err, "losses")
	}
	return nil
}

// printLosses prints three tables: the causes by route, the seconds with the most
// losses, and the workspaces with the highest share of losses.
func printLosses(w io.Writer, l *journal.Losses) {
	causes, routes := map[journal.Cause]map[string]int{}, map[string]int{}
	for _, r := range l.Rows {
		if causes[r.Cause] == nil {
			causes[r.Cause] = map[string]int{}
		}
		causes[r.Cause][r.Route] += r.Count
		routes[r.Route] += r.Count
	}
	routeNames := slices.SortedFunc(maps.Keys(routes), func(a, b string) int { return cmp.Or(routes[b]-routes[a], strings.Compare(a, b)) })
	_, _ = fmt.Fprintf(w, "CAUSE\tALL\t%s\n", strings.Join(routeNames, "\t"))
	sortedCauses := slices.SortedFunc(maps.Keys(causes), func(a, b journal.Cause) int {
		return cmp.Or(total(causes[b])-total(causes[a]), cmp.Compare(a, b))
	})
	for _, cause := range sortedCauses {
		_, _ = fmt.Fprintf(w, "%s\t%d", cause, total(causes[cause]))
		for _, route := range routeNames {
			_, _ = fmt.Fprintf(w, "\t%d", causes[cause][route])
		}
		_, _ = fmt.Fprintln(w)
	}
	_, _ = fmt.Fprintf(w, "\nSECOND\tREQUESTS\tIN TIME\tREGION THAT LOST MOST\tMOST OFTEN\n")
	for _, s := range secondsWithMostLosses(l) {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%s\n", s.second, s.all, s.all-s.lost, mostFrequent(s.regions), mostFrequent(s.causes))
	}
	printWorkspaceLosses(w, l)
	if l.Unread > 0 {
		_, _ = fmt.Fprintf(w, "%d lines could not be read\n", l.Unread)
	}
}

// maxWorstWorkspaces is the number of rows in the table of workspaces.
const maxWorstWorkspaces = 16

// printWorkspaceLosses prints the workspaces with the highest share of lost or late
// requests. If no request belongs to a workspace, it prints nothing.
func printWorkspaceLosses(w io.Writer, l *journal.Losses) {
	all, lost, causes := map[string]int{}, map[string]int{}, map[string]map[string]int{}
	for _, r := range l.Rows {
		all[r.Workspace] += r.Count
		if r.Cause == journal.CauseNone {
			continue
		}
		lost[r.Workspace] += r.Count
		if causes[r.Workspace] == nil {
			causes[r.Workspace] = map[string]int{}
		}
		causes[r.Workspace][string(r.Cause)] += r.Count
	}
	if len(all) == 1 && all[""] > 0 {
		return
	}
	lossShare := func(name string) float64 { return float64(lost[name]) / float64(all[name]) }
	names := slices.SortedFunc(maps.Keys(all), func(a, b string) int {
		return cmp.Or(cmp.Compare(lossShare(b), lossShare(a)), strings.Compare(a, b))
	})
	_, _ = fmt.Fprintf(w, "\nWORKSPACE\tREQUESTS\tIN TIME\tMOST OFTEN\n")
	for _, name := range names[:min(len(names), maxWorstWorkspaces)] {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", cmp.Or(name, "(none)"), all[name], all[name]-lost[name], mostFrequent(causes[name]))
	}
}

// second counts the requests of one second. The field second is the number of seconds
// since the first line of the logs. A request counts as lost if its cause is not
// journal.CauseNone, so a request with a late response counts too.
type second struct {
	second, all, lost int
	regions, causes   map[string]int // lost requests by home region and by cause
}

// secondsWithMostLosses returns the seconds with the most lost requests, in
// chronological order.
func secondsWithMostLosses(l *journal.Losses) []second {
	var out []second
	for _, r := range l.Rows {
		if len(out) == 0 || out[len(out)-1].second != r.Second {
			out = append(out, second{second: r.Second, regions: map[string]int{}, causes: map[string]int{}})
		}
		s := &out[len(out)-1]
		s.all += r.Count
		if r.Cause == journal.CauseNone {
			continue
		}
		s.lost += r.Count
		s.regions[r.Home] += r.Count
		s.causes[string(r.Cause)] += r.Count
	}
	slices.SortStableFunc(out, func(a, b second) int { return cmp.Compare(b.lost, a.lost) })
	out = out[:min(len(out), maxWorstSeconds)]
	slices.SortFunc(out, func(a, b second) int { return cmp.Compare(a.second, b.second) })
	return out
}

// mostFrequent returns the name with the highest count, followed by the count. If counts
// is empty, it returns an empty string.
func mostFrequent(counts map[string]int) string {
	best := ""
	for name, n := range counts {
		if best == "" || n > counts[best] || (n == counts[best] && name < best) {
			best = name
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("%s (%d)", best, counts[best])
}

// total returns the sum of the counts.
func total(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
