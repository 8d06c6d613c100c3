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

// worstSeconds is how many of the seconds that lost most are told.
const worstSeconds = 10

// lossesCommand tells what became of the requests in logs. It asks no daemon.
type lossesCommand struct {
	Log  []string `arg:"" help:"Logs of all hosts, in any order; - for standard input."`
	Plot string   `help:"Also draw how the requests of each second ended: a file that ends in .svg, .png or .pdf."`
	CSV  bool     `help:"One line for each second, route, region, workspace and cause, with a count."`
}

// Run implements the subcommand.
func (c *lossesCommand) Run(g *globals) error {
	logs, done, err := openLogs(c.Log)
	if err != nil {
		return err
	}
	defer done()
	l, err := journal.ReadLosses(logs...)
	if err != nil {
		return err
	}
	if len(l.Rows) == 0 {
		return errors.Errorf("losses: no request is in the %d logs: give those of the hosts that callers ask", len(c.Log))
	}
	if c.Plot != "" {
		if err := plotLosses(l, c.Plot); err != nil {
			return err
		}
	}
	if c.CSV {
		return writeLosses(os.Stdout, l)
	}
	return g.print(l, func(w *tabwriter.Writer) { printLosses(w, l) })
}

func writeLosses(to io.Writer, l *journal.Losses) error {
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

// printLosses writes causes by route, and the seconds that lost most.
func printLosses(w io.Writer, l *journal.Losses) {
	causes, routes := map[journal.Cause]map[string]int{}, map[string]int{}
	for _, r := range l.Rows {
		if causes[r.Cause] == nil {
			causes[r.Cause] = map[string]int{}
		}
		causes[r.Cause][r.Route] += r.Count
		routes[r.Route] += r.Count
	}
	names := slices.SortedFunc(maps.Keys(routes), func(a, b string) int { return cmp.Or(routes[b]-routes[a], strings.Compare(a, b)) })
	_, _ = fmt.Fprintf(w, "CAUSE\tALL\t%s\n", strings.Join(names, "\t"))
	order := slices.SortedFunc(maps.Keys(causes), func(a, b journal.Cause) int {
		return cmp.Or(sum(causes[b])-sum(causes[a]), cmp.Compare(a, b))
	})
	for _, cause := range order {
		_, _ = fmt.Fprintf(w, "%s\t%d", cause, sum(causes[cause]))
		for _, n := range names {
			_, _ = fmt.Fprintf(w, "\t%d", causes[cause][n])
		}
		_, _ = fmt.Fprintln(w)
	}
	_, _ = fmt.Fprintf(w, "\nSECOND\tREQUESTS\tIN TIME\tREGION THAT LOST MOST\tMOST OFTEN\n")
	for _, s := range worst(l) {
		_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%s\t%s\n", s.second, s.all, s.all-s.lost, most(s.regions), most(s.causes))
	}
	printWorkspaces(w, l)
	if l.Unread > 0 {
		_, _ = fmt.Fprintf(w, "%d lines could not be read\n", l.Unread)
	}
}

// worstWorkspaces is how many of the workspaces that lost most are told.
const worstWorkspaces = 16

// printWorkspaces writes the workspaces that lost the largest part of their requests.
func printWorkspaces(w io.Writer, l *journal.Losses) {
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
		return // nobody shows whose callers they are
	}
	part := func(name string) float64 { return float64(lost[name]) / float64(all[name]) }
	names := slices.SortedFunc(maps.Keys(all), func(a, b string) int {
		return cmp.Or(cmp.Compare(part(b), part(a)), strings.Compare(a, b))
	})
	_, _ = fmt.Fprintf(w, "\nWORKSPACE\tREQUESTS\tIN TIME\tMOST OFTEN\n")
	for _, name := range names[:min(len(names), worstWorkspaces)] {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", cmp.Or(name, "(none)"), all[name], all[name]-lost[name], most(causes[name]))
	}
}

// second is what became of the requests of one second.
type second struct {
	second, all, lost int
	regions, causes   map[string]int // of the lost ones
}

// worst returns the seconds that lost most, in the order of time.
func worst(l *journal.Losses) []second {
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
	out = out[:min(len(out), worstSeconds)]
	slices.SortFunc(out, func(a, b second) int { return cmp.Compare(a.second, b.second) })
	return out
}

// most is the name with the highest count, with the count.
func most(counts map[string]int) string {
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

func sum(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
