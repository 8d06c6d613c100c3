// Package journal keeps a host's recent decisions and writes a log line for
// each. Writing is a thread's duty of its own behind a bounded ring: a slow log
// never holds up a request, and what the ring could not take is counted.
package journal

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"vetchtrail"
)

const (
	kept     = 2048 // decisions kept for operators
	ringSize = 4096 // lines waiting to be written
)

// Config is what a Journal needs.
type Config struct {
	Log *slog.Logger
}

// Journal is safe for use by many.
type Journal struct {
	log     *slog.Logger
	dropped atomic.Uint64
	wake    chan struct{} // there are lines to write

	// What follows grows with use: most of a fleet's hosts take few requests.
	mu     sync.Mutex
	lines  []vetchtrail.Record // waiting to be written
	recent []vetchtrail.Record // a ring once there are kept of them
	count  int
}

// New returns an empty journal. Run writes its lines.
func New(c Config) *Journal {
	return &Journal{log: c.Log, wake: make(chan struct{}, 1)}
}

// Note takes a record without waiting. A line that finds the ring full is not
// written; it stays among the recent ones.
func (j *Journal) Note(r vetchtrail.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !r.Lost {
		j.remember(r)
	}
	if len(j.lines) >= ringSize {
		j.dropped.Add(1)
		return
	}
	j.lines = append(j.lines, r)
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// remember keeps a record for operators. The caller holds the lock.
func (j *Journal) remember(r vetchtrail.Record) {
	if len(j.recent) < kept {
		j.recent = append(j.recent, r)
	} else {
		j.recent[j.count%kept] = r
	}
	j.count++
}

// Dropped returns how many lines were not written.
func (j *Journal) Dropped() uint64 { return j.dropped.Load() }

// Recent returns up to most records that match, newest first.
func (j *Journal) Recent(most int, match func(*vetchtrail.Record) bool) []vetchtrail.Record {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []vetchtrail.Record
	for i := j.count - 1; i >= max(0, j.count-kept) && len(out) < most; i-- {
		if r := &j.recent[i%kept]; match(r) {
			out = append(out, *r)
		}
	}
	return out
}

// Run writes lines until ctx ends, and then those that wait.
func (j *Journal) Run(ctx context.Context) {
	for {
		select {
		case <-j.wake:
			j.writeAll()
		case <-ctx.Done():
			j.writeAll()
			return
		}
	}
}

// writeAll writes the lines that wait.
func (j *Journal) writeAll() {
	j.mu.Lock()
	lines := j.lines
	j.lines = nil
	j.mu.Unlock()
	for i := range lines {
		j.write(&lines[i])
	}
}

func (j *Journal) write(r *vetchtrail.Record) {
	if r.Lost {
		j.log.Info(MsgLost, "request", r.Request, "service", r.Service, "route", r.Route, "workspace", r.Workspace, "peer", r.Outcome.Peer,
			"step", string(r.Outcome.Step), "reason", string(r.Outcome.Reason), "attempt", r.Attempt, "hops", r.Hops, "prompt", r.Prompt,
			"events", r.Outcome.Events, "took", r.Took, "first", first(r), "digest", r.Digest.String(), "error", cause(r.Outcome.Err))
		return
	}
	if r.Ended {
		j.log.Info(MsgOutcome, "request", r.Request, "service", r.Service, "route", r.Route, "workspace", r.Workspace, "outcome", r.Outcome.Kind.String(),
			"step", string(r.Outcome.Step), "peer", r.Outcome.Peer, "reason", string(r.Outcome.Reason),
			"hops", r.Hops, "events", r.Outcome.Events, "took", r.Took, "first", first(r), "status", r.Outcome.Status, "begun", r.Outcome.Begun, "host_lost", r.Outcome.HostLost, "error", cause(r.Outcome.Err))
		return
	}
	j.log.Info(MsgDecision, "request", r.Request, "service", r.Service, "route", r.Route, "prompt", r.Prompt, "workspace", r.Workspace, "home", r.Home,
		"decision", r.Decision.Kind.String(), "target", r.Decision.Name, "reason", string(r.Decision.Reason),
		"cost", r.Decision.Cost, "wait", r.Decision.Wait,
		"backlog", r.Decision.Backlog, "holds", r.Decision.Holds, "gap", r.Decision.Gap, "report_age", r.Decision.Age,
		"running", r.Decision.Running, "queued", r.Decision.Queued, "own", r.Decision.Own, "limited", r.Decision.Limited, "rate", r.Decision.Rate, "rate_left", r.Decision.Left, "looked", r.Decision.Looked,
		"candidates", candidates(&r.Decision), "revision", r.Revision, "hops", r.Hops, "attempt", r.Attempt,
		"goal", until(r.Goal, r.At), "left", until(r.Deadline, r.At), "fresh", r.Fresh,
		"charge", r.Charge, "quota_here", r.Quota.Left, "quota_region", r.Quota.Region, "quota_age", r.Quota.Age)
}

// cause is the text of an error; empty for none.
func cause(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// until is the time to a moment; 0 where there is none.
func until(t, now time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(now)
}

// first is the time from a request's arrival to the first of its answer; 0 for
// one that ran elsewhere or has no answer.
func first(r *vetchtrail.Record) time.Duration {
	if r.Outcome.First.IsZero() {
		return 0
	}
	return r.Outcome.First.Sub(r.At)
}

// candidate is a losing candidate as a log line shows it.
type candidate struct {
	Name   string  `json:"name"`
	Cost   float64 `json:"cost"`
	Reason string  `json:"reason"`
}

func candidates(d *vetchtrail.Decision) []candidate {
	out := make([]candidate, 0, d.Kept)
	for _, c := range d.Candidates[:d.Kept] {
		out = append(out, candidate{Name: c.Name, Cost: c.Cost, Reason: string(c.Reason)})
	}
	return out
}
