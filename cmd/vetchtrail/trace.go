package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail/process/journal"
)

// traceCommand merges the log lines of several hosts about one request. It calls no
// daemon.
type traceCommand struct {
	Request string   `arg:"" help:"Id of the request."`
	Log     []string `arg:"" help:"Log files of one or more hosts, in any order; - for standard input."`
}

// Run prints the history of the request.
func (c *traceCommand) Run(g *globals) error {
	logs, cleanup, err := openLogs(c.Log)
	if err != nil {
		return err
	}
	defer cleanup()
	h, err := journal.ReadHistory(c.Request, logs...)
	if err != nil {
		return err
	}
	if len(h.Lines) == 0 {
		return errors.Errorf("request %s is not in the %d log files: pass the logs of all hosts, from before the request arrived", c.Request, len(c.Log))
	}
	return g.print(h, func(w *tabwriter.Writer) { printHistory(w, h) })
}

// openLogs opens log files for reading; the name - means standard input. The returned
// function closes the files.
func openLogs(names []string) (logs []io.Reader, cleanup func(), err error) {
	var files []*os.File
	cleanup = func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	for _, name := range names {
		if name == "-" {
			logs = append(logs, os.Stdin)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			cleanup()
			return nil, nil, errors.Wrap(err, "log file")
		}
		files = append(files, f)
		logs = append(logs, f)
	}
	return logs, cleanup, nil
}

// printHistory prints the lines about a request, each with the time since the first
// line. Below them it prints the lines about the state of endpoints and data centres from
// that time, and a conclusion.
func printHistory(w io.Writer, h *journal.History) {
	start := h.Lines[0].Time
	sinceStart := func(l *journal.Line) string { return fmt.Sprintf("%+.3fs", l.Time.Sub(start).Seconds()) }
	_, _ = fmt.Fprintf(w, "request %s, of route %q, first seen %s\n", h.Request, h.Lines[0].Route, start.Format(time.RFC3339Nano))
	for i := range h.Lines {
		l := &h.Lines[i]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", sinceStart(l), l.Host, describeLine(l))
		for _, c := range l.Candidates {
			_, _ = fmt.Fprintf(w, "\t\t  not %s: %s, cost %.3f\n", c.Name, c.Reason, c.Cost)
		}
	}
	if len(h.Context) > 0 {
		_, _ = fmt.Fprintln(w, "what these hosts came to believe about then:")
	}
	for i := range h.Context {
		l := &h.Context[i]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s %s%s%s %s\n", sinceStart(l), l.Host, l.Msg, l.Endpoint, l.DataCentre, l.State, l.Error)
	}
	_, _ = fmt.Fprintln(w, h.Verdict())
	if h.Unread > 0 {
		_, _ = fmt.Fprintf(w, "%d lines could not be read\n", h.Unread)
	}
}

// describeLine returns the text for a log line that is a decision, an outcome or a lost
// attempt.
func describeLine(l *journal.Line) string {
	ms := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	switch {
	case l.Msg == journal.MsgOutcome:
		return fmt.Sprintf("%s at %s, step %s %s: status %d, first after %s, %d events, took %s %s",
			l.Outcome, l.Peer, l.Step, l.Reason, l.Status, ms(l.First), l.Events, ms(l.Took), l.Error)
	case l.Msg == journal.MsgLost:
		return fmt.Sprintf("attempt %d at %s lost, step %s %s, after %s, %d events; the request's digest is %s %s",
			l.Attempt, l.Peer, l.Step, l.Reason, ms(l.Took), l.Events, l.ContentHash, l.Error)
	case l.Decision == "run-here":
		return fmt.Sprintf("attempt %d: run at %s, first expected after %s, of it %s for prompts before; holds %d of %d tokens; said %s ago to run %d and hold back %d",
			l.Attempt, l.Target, ms(l.Wait), ms(l.Backlog), l.CachedTokens, l.PromptTokens, ms(l.ReportAge), l.Running, l.Queued)
	case l.Decision == "run-elsewhere":
		return fmt.Sprintf("attempt %d: forward to %s, first expected after %s", l.Attempt, l.Target, ms(l.Wait))
	}
	return fmt.Sprintf("attempt %d: %s %s, of %d places, by configuration %d", l.Attempt, l.Decision, l.Reason, l.Considered, l.Revision)
}
