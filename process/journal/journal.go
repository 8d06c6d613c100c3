// Package journal records what a host decides about requests and how they end: it writes a log
// line for each decision, outcome and lost attempt, and keeps the newest decisions and outcomes in
// memory for operators. A goroutine writes the lines from a bounded queue, so that a slow log never
// delays a request; lines that don't fit into the queue are dropped and counted.
//
// The package also reads such logs back: ReadHistory collects the lines of one request from the
// logs of several hosts, and ReadLosses counts how requests ended and why.
package journal

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"vetchtrail"
)

const (
	maxRecent = 2048 // maximum number of records kept for operators
	maxQueued = 4096 // maximum number of records waiting to be written to the log
)

// Config holds the dependencies of a Journal.
type Config struct {
	Log *slog.Logger
}

// Journal is a vetchtrail.Recorder that writes records to the log and keeps the newest. It is
// safe for concurrent use.
type Journal struct {
	log     *slog.Logger
	dropped atomic.Uint64
	wake    chan struct{} // signals Run that records are queued

	// The slices grow on demand, as most hosts of a fleet receive few requests.
	mu     sync.Mutex
	queued []vetchtrail.JournalRecord // waiting to be written
	recent []vetchtrail.JournalRecord // a ring buffer once it has maxRecent records
	count  int                        // number of records ever added to recent
}

// New returns an empty journal. Run writes its records to the log.
func New(c Config) *Journal {
	return &Journal{log: c.Log, wake: make(chan struct{}, 1)}
}

// Record implements vetchtrail.Recorder: it queues a record for the log and, unless the record
// describes a lost attempt, a forward, a retry or a handover, keeps it for operators. It doesn't block: if the queue is full, the
// record is not logged.
func (j *Journal) Record(r vetchtrail.JournalRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !r.Lost && r.ForwardedTo == "" && r.Retry == nil && r.Handover == nil {
		j.addRecent(r)
	}
	if len(j.queued) >= maxQueued {
		j.dropped.Add(1)
		return
	}
	j.queued = append(j.queued, r)
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// addRecent keeps a record for operators. The caller must hold mu.
func (j *Journal) addRecent(r vetchtrail.JournalRecord) {
	if len(j.recent) < maxRecent {
		j.recent = append(j.recent, r)
	} else {
		j.recent[j.count%maxRecent] = r
	}
	j.count++
}

// Dropped returns the number of records that were not logged because the queue was full.
func (j *Journal) Dropped() uint64 { return j.dropped.Load() }

// Recent returns the recent records for which match is true, newest first, at most limit of them.
func (j *Journal) Recent(limit int, match func(*vetchtrail.JournalRecord) bool) []vetchtrail.JournalRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []vetchtrail.JournalRecord
	for i := j.count - 1; i >= max(0, j.count-maxRecent) && len(out) < limit; i-- {
		if r := &j.recent[i%maxRecent]; match(r) {
			out = append(out, *r)
		}
	}
	return out
}

// Run writes queued records to the log until ctx ends, and then the remaining ones.
func (j *Journal) Run(ctx context.Context) {
	for {
		select {
		case <-j.wake:
			j.writeQueued()
		case <-ctx.Done():
			j.writeQueued()
			return
		}
	}
}

// writeQueued writes all queued records to the log.
func (j *Journal) writeQueued() {
	j.mu.Lock()
	queued := j.queued
	j.queued = nil
	j.mu.Unlock()
	for i := range queued {
		j.write(&queued[i])
	}
}

// write writes a record to the log. Its message depends on whether the record describes a forward
// that did not run, a retry, a handover, a lost attempt, an outcome or a decision.
func (j *Journal) write(r *vetchtrail.JournalRecord) {
	if r.ForwardedTo != "" {
		j.log.Info(MsgForwardNotRun, "request", r.Request, "service", r.Service, "route", r.Route, "workspace", r.Workspace, "peer", r.Outcome.Peer,
			"data_centre", r.ForwardedTo, "step", string(r.Outcome.Step), "reason", string(r.Outcome.Reason), "attempt", r.Attempt,
			"took", r.Took, "host_lost", r.Outcome.HostLost, "error", errorText(r.Outcome.Err))
		return
	}
	if r.Retry != nil {
		j.log.Info(MsgRetry, "request", r.Request, "service", r.Service, "route", r.Route, "attempt", r.Attempt, "made", r.Retry.Made,
			"requests", r.Retry.Requests, "retries", r.Retry.Retries, "retries_left", r.Retry.Left, "hosts", r.Retry.Hosts)
		return
	}
	if h := r.Handover; h != nil {
		j.log.Info(MsgHandover, "request", r.Request, "service", r.Service, "route", r.Route, "attempt", r.Attempt, "kept", string(h.Kept), "cause", string(h.Cause),
			"peer", h.Peer, "sent", h.Sent, "reason", string(h.Reason), "begun", h.ResponseStarted, "connected", h.Connected, "standstill", h.Standstill, "took", h.Overlap)
		return
	}
	if r.Lost {
		j.log.Info(MsgLost, "request", r.Request, "service", r.Service, "route", r.Route, "workspace", r.Workspace, "peer", r.Outcome.Peer,
			"step", string(r.Outcome.Step), "reason", string(r.Outcome.Reason), "attempt", r.Attempt, "hops", r.Hops, "prompt", r.PromptTokens,
			"version", r.SoftwareVersion, "last_event", r.LastEventID, "resumes", r.Resumes, "events", r.Outcome.Events, "silent", r.Outcome.EndpointSilent, "took", r.Took, "first", timeToFirst(r), "digest", r.ContentHash.String(), "parts", partIDs(r.SharedParts), "error", errorText(r.Outcome.Err))
		return
	}
	if r.Ended {
		j.log.Info(MsgOutcome, append([]any{"request", r.Request, "service", r.Service, "route", r.Route, "workspace", r.Workspace, "outcome", r.Outcome.Kind.String(),
			"step", string(r.Outcome.Step), "peer", r.Outcome.Peer, "reason", string(r.Outcome.Reason),
			"hops", r.Hops, "events", r.Outcome.Events, "took", r.Took, "first", timeToFirst(r), "status", r.Outcome.Status, "begun", r.Outcome.ResponseStarted, "host_lost", r.Outcome.HostLost, "error", errorText(r.Outcome.Err)},
			append(cutResponse(r), plannedRetry(r)...)...)...)
		return
	}
	j.log.Info(MsgDecision, "request", r.Request, "service", r.Service, "route", r.Route, "prompt", r.PromptTokens, "workspace", r.Workspace, "home", r.Home,
		"decision", r.Decision.Kind.String(), "target", r.Decision.Name, "reason", string(r.Decision.Reason),
		"cost", r.Decision.Cost, "wait", r.Decision.Wait,
		"backlog", r.Decision.Backlog, "holds", r.Decision.CachedTokens, "gap", r.Decision.EventInterval, "report_age", r.Decision.ReportAge,
		"running", r.Decision.Running, "queued", r.Decision.Queued, "own", r.Decision.InFlight, "limited", r.Decision.RateLimited, "rate", r.Decision.Rate, "rate_left", r.Decision.RateLeft, "looked", r.Decision.Considered,
		"candidates", loggedCandidates(&r.Decision), "revision", r.Revision, "listing", r.ListingRevision, "listing_age", r.ListingAge, "hops", r.Hops, "attempt", r.Attempt,
		"goal", timeUntil(r.Goal, r.At), "left", timeUntil(r.Deadline, r.At), "fresh", r.CallerCanRetry,
		"version", r.SoftwareVersion, "last_event", r.LastEventID, "resumes", r.Resumes,
		"charge", r.Cost, "quota_here", r.Quota.HostLeft, "quota_region", r.Quota.RegionLeft, "quota_age", r.Quota.ReportAge)
}

// cutResponse returns the log fields of a response that ended after it had begun: whether the endpoint of its last
// attempt was silent, why no other attempt continued it, and the revisions of the configuration when the request
// was taken and when it ended. It returns none for any other outcome.
func cutResponse(r *vetchtrail.JournalRecord) []any {
	if !r.Outcome.ResponseStarted || r.Outcome.Kind == vetchtrail.OutcomeAnswered {
		return nil
	}
	return []any{"silent", r.Outcome.EndpointSilent, "not_continued", string(r.Outcome.NotContinued), "revision_taken", r.RevisionTaken, "revision", r.Revision}
}

// plannedRetry returns the log fields of the outcome's planned retry: how it was planned, and the
// time until then from the end of the request. It returns none if the retry was not planned.
func plannedRetry(r *vetchtrail.JournalRecord) []any {
	if r.Outcome.RetryPlan == "" {
		return nil
	}
	return []any{"retry_plan", string(r.Outcome.RetryPlan), "retry_in", r.Outcome.RetryAt.Sub(r.At.Add(r.Took))}
}

// maxLoggedParts bounds the parts of a prompt in a line.
const maxLoggedParts = 64

// partIDs returns the ids of parts of a prompt in the format of the platform's header.
func partIDs(parts []vetchtrail.PromptPart) []string {
	out := make([]string, 0, min(maxLoggedParts, len(parts)))
	for _, p := range parts[:min(maxLoggedParts, len(parts))] {
		out = append(out, strconv.FormatUint(p.ID, 16))
	}
	return out
}

// errorText returns the text of an error; empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// timeUntil returns the time from now to t; 0 for the zero time.
func timeUntil(t, now time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(now)
}

// timeToFirst returns the time from r.At, a request's arrival or an attempt's start, to the first
// byte of the response. It is 0 if there was no response or another host called the endpoint.
func timeToFirst(r *vetchtrail.JournalRecord) time.Duration {
	if r.Outcome.FirstByte.IsZero() {
		return 0
	}
	return r.Outcome.FirstByte.Sub(r.At)
}

// loggedCandidate is a candidate that was not chosen, in its log format.
type loggedCandidate struct {
	Name   string  `json:"name"`
	Cost   float64 `json:"cost"`
	Reason string  `json:"reason"`
}

// loggedCandidates returns the candidates that a decision recorded, in their log format.
func loggedCandidates(d *vetchtrail.Decision) []loggedCandidate {
	out := make([]loggedCandidate, 0, d.Recorded)
	for _, c := range d.Candidates[:d.Recorded] {
		out = append(out, loggedCandidate{Name: c.Name, Cost: c.Cost, Reason: string(c.Reason)})
	}
	return out
}
