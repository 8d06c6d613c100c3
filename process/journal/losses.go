package journal

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Cause is why a request was answered late or not at all. Its text is shown to operators.
type Cause string

// Causes. CauseNone is that of a request that was answered in time.
const (
	CauseNone                  Cause = "in time"
	CauseRefusedFirstAttempt   Cause = "refused at its first try"
	CauseRefusedRetry          Cause = "refused when its caller came back"
	CauseOverQuota             Cause = "over its workspace's quota"
	CauseQuarantined           Cause = "held back, as endpoints ended under it"
	CauseRateLimited           Cause = "refused, as endpoints named a rate"
	CauseLatePredicted         Cause = "late as foreseen"
	CauseLateUnpredicted       Cause = "late at the endpoint, foreseen in time"
	CauseLateAfterRetry        Cause = "late after another attempt"
	CauseStreamBroken          Cause = "cut with its endpoint"
	CauseLostBeforeResponse    Cause = "lost with its endpoint before its answer"
	CauseHostLost              Cause = "lost with the host it was passed to"
	CauseTimeoutInResponse     Cause = "out of time while it streamed"
	CauseTimeoutBeforeResponse Cause = "out of time before its answer"
	CauseEndpointFailed        Cause = "failed at its endpoint"
	CauseCallerGone            Cause = "left by its caller"
	CauseCallerSlow            Cause = "ended, as its caller read too slowly"
	CauseHostStopped           Cause = "ended, as its host stopped"
	CauseNoOutcome             Cause = "no end in the logs: its host ended, or lines were dropped"

	// minServerErrorStatus is the lowest HTTP status of a server error.
	minServerErrorStatus = 500
)

// reasonQuarantined is the reason for refusing a quarantined request.
const reasonQuarantined = "held-back"

// reasonRateLimited is the reason for refusing a request because the endpoints' rate limits are
// used up.
const reasonRateLimited = "endpoint-limited"

// CauseCount is the number of requests that ended with one cause in one second, by service,
// route, home and workspace. The second is that of the request's first decision or, if it was
// refused before any decision, of its outcome.
type CauseCount struct {
	Second  int    `json:"second"` // since Losses.From
	Service string `json:"service"`
	Route   string `json:"route"`
	Home    string `json:"home"` // the workspace's home region or, if it has none, the region in which the requests arrived
	// Workspace is the callers' workspace; empty for callers without one.
	Workspace string `json:"workspace"`
	Cause     Cause  `json:"cause"`
	Count     int    `json:"count"`
}

// Losses counts the requests in the logs of several hosts by how they ended.
type Losses struct {
	From   time.Time    `json:"from"` // time of the first decision or outcome
	Rows   []CauseCount `json:"rows"` // sorted by time
	Unread int          `json:"unread"`
}

// requestLog collects the log lines about one request.
type requestLog struct {
	firstDecision Line // first decision at the host that the caller reached
	lastRun       Line // last decision to run the request at an endpoint
	outcome       Line // outcome at the host that the caller reached
	responseBegan time.Time
	attempts      int // decisions to run the request at an endpoint
}

// ReadLosses reads the logs of all hosts and counts the requests by how they ended. The cause
// follows from a request's outcome and the decisions before it. Requests without a decision at the
// host that the caller reached are left out, except quarantined ones.
func ReadLosses(logs ...io.Reader) (*Losses, error) {
	requests, out := map[string]*requestLog{}, &Losses{}
	for _, log := range logs {
		if err := out.read(log, requests); err != nil {
			return nil, err
		}
	}
	counts := map[CauseCount]int{}
	for _, r := range requests {
		if r.firstDecision.Msg == "" && r.outcome.Reason == reasonQuarantined {
			r.firstDecision = r.outcome // quarantined requests are refused before any decision
		}
		if r.firstDecision.Msg == "" {
			continue // refused before a decision, or the log of the host that the caller reached is missing
		}
		counts[CauseCount{
			Second: int(r.firstDecision.Time.Sub(out.From).Seconds()), Service: r.firstDecision.Service, Route: r.firstDecision.Route,
			Home: r.firstDecision.Home, Workspace: r.firstDecision.Workspace, Cause: r.cause(),
		}]++
	}
	for row, n := range counts {
		row.Count = n
		out.Rows = append(out.Rows, row)
	}
	slices.SortFunc(out.Rows, func(a, b CauseCount) int {
		return cmp.Or(cmp.Compare(a.Second, b.Second), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Home, b.Home),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Cause, b.Cause))
	})
	return out, nil
}

// read adds the decisions and outcomes of one log to requests.
func (l *Losses) read(log io.Reader, requests map[string]*requestLog) error {
	all := func([]byte) bool { return true }
	unread, err := readLines(log, all, func(line Line) {
		if line.Msg != MsgDecision && line.Msg != MsgOutcome {
			return
		}
		if l.From.IsZero() || line.Time.Before(l.From) {
			l.From = line.Time
		}
		r, ok := requests[line.Request]
		if !ok {
			r = &requestLog{}
			requests[line.Request] = r
		}
		r.add(line)
	})
	l.Unread += unread
	if err != nil {
		return errors.Wrap(err, "journal.ReadLosses")
	}
	return nil
}

// add adds a line. Lines may come in any order.
func (r *requestLog) add(l Line) {
	switch {
	case l.Msg == MsgOutcome:
		r.addOutcome(l)
	case l.Hops == 0 && (r.firstDecision.Msg == "" || l.Time.Before(r.firstDecision.Time)):
		r.firstDecision = l
	}
	if l.Msg == MsgDecision && l.Decision == "run-here" {
		r.attempts++
		if l.Time.After(r.lastRun.Time) {
			r.lastRun = l
		}
	}
}

// addOutcome adds an outcome. Its line is written when the request ends; First and Took are measured
// from the request's arrival at that host, so that the response began at Time + First - Took.
func (r *requestLog) addOutcome(l Line) {
	if l.First > 0 {
		if at := l.Time.Add(l.First - l.Took); r.responseBegan.IsZero() || at.Before(r.responseBegan) {
			r.responseBegan = at
		}
	}
	if l.Hops == 0 {
		r.outcome = l
	}
}

// cause returns why the request ended as it did.
func (r *requestLog) cause() Cause {
	switch e := &r.outcome; {
	case e.Msg == "":
		return CauseNoOutcome
	case e.Outcome == "answered" && (e.Status >= minServerErrorStatus || e.Reason == "endpoint-failed"):
		return CauseEndpointFailed
	case e.Outcome == "answered":
		return r.lateCause()
	case e.Reason == "caller-gone":
		return CauseCallerGone
	case e.Reason == "caller-slow":
		return CauseCallerSlow
	case e.Outcome == "not-run" && e.Reason == "over-quota":
		return CauseOverQuota
	case e.Reason == reasonQuarantined:
		return CauseQuarantined
	case e.Outcome == "not-run" && e.Reason == reasonRateLimited:
		return CauseRateLimited
	case e.Outcome == "not-run":
		return r.refusalCause()
	case e.Reason == "leaving":
		return CauseHostStopped
	case e.HostLost:
		return CauseHostLost
	case e.Reason == "deadline" && e.ResponseStarted:
		return CauseTimeoutInResponse
	case e.Reason == "deadline":
		return CauseTimeoutBeforeResponse
	case e.ResponseStarted:
		return CauseStreamBroken
	}
	return CauseLostBeforeResponse
}

// lateCause returns why the response began after the goal; CauseNone if it began in time.
func (r *requestLog) lateCause() Cause {
	goal := r.firstDecision.Time.Add(r.firstDecision.Goal)
	switch {
	case r.firstDecision.Goal == 0 || r.responseBegan.IsZero() || !r.responseBegan.After(goal):
		return CauseNone
	case r.attempts > 1:
		return CauseLateAfterRetry
	case r.lastRun.Time.Add(r.lastRun.Wait).After(goal):
		return CauseLatePredicted
	}
	return CauseLateUnpredicted
}
