package journal

import (
	"bytes"
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// The context of a request has lines from contextBefore before its first line to
	// contextAfter after its last one. Both allow for listings that are some seconds late.
	contextBefore = 10 * time.Second
	contextAfter  = 5 * time.Second
)

// History holds the log lines of one request from several hosts, sorted by time.
type History struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	// Context holds lines that may explain those of the request: lines of the same hosts from
	// about the same time on the request's endpoints, the platform or the configuration.
	Context []Line `json:"beliefs"`
	// Unread is the number of lines that were not valid JSON, such as one cut off at the end
	// of a log.
	Unread int `json:"unread"`
}

// ReadHistory reads the history of a request, given by its id, from the logs of several hosts.
func ReadHistory(request string, logs ...io.Reader) (*History, error) {
	h := &History{Request: request}
	var hostLines []Line
	for _, log := range logs {
		if err := h.read(log, &hostLines); err != nil {
			return nil, err
		}
	}
	byTime := func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Hops, b.Hops)) }
	slices.SortStableFunc(h.Lines, byTime)
	h.addContext(hostLines)
	slices.SortStableFunc(h.Context, byTime)
	return h, nil
}

// read reads one log. It adds the lines of the request to h, and the lines that belong to no request
// to hostLines.
func (h *History) read(log io.Reader, hostLines *[]Line) error {
	thisRequest, anyRequest := []byte(`"`+h.Request+`"`), []byte(`"request":"`)
	relevant := func(text []byte) bool { return !bytes.Contains(text, anyRequest) || bytes.Contains(text, thisRequest) }
	unread, err := readLines(log, relevant, func(l Line) {
		switch l.Request {
		case h.Request:
			h.Lines = append(h.Lines, l)
		case "":
			*hostLines = append(*hostLines, l)
		}
	})
	h.Unread += unread
	if err != nil {
		return errors.Wrap(err, "journal.ReadHistory")
	}
	return nil
}

// addContext selects the request's context from lines that belong to no request: lines of the
// request's hosts, from about the time of the request, on one of its targets or on no endpoint.
func (h *History) addContext(lines []Line) {
	if len(h.Lines) == 0 {
		return
	}
	hosts, targets := map[string]bool{}, map[string]bool{}
	for _, l := range h.Lines {
		hosts[l.Host] = true
		for _, name := range []string{l.Target, l.Peer} {
			targets[name] = name != ""
		}
	}
	from := h.Lines[0].Time.Add(-contextBefore)
	until := h.Lines[len(h.Lines)-1].Time.Add(contextAfter)
	for _, l := range lines {
		if !hosts[l.Host] || l.Time.Before(from) || l.Time.After(until) {
			continue
		}
		if (l.Endpoint == "" && l.Msg != msgDirectory) || targets[l.Endpoint] {
			h.Context = append(h.Context, l)
		}
	}
}

// msgDirectory is the message of a directory server's answer to a caller. It explains no request.
const msgDirectory = "directory answer"

// Verdict returns one line that says how the request ended and where to look for the cause.
func (h *History) Verdict() string {
	finalOutcome, ok := h.finalOutcome()
	if !ok {
		return "its outcome is in none of these logs: it may have been handled by another host, or a line was dropped"
	}
	endpointOutcome := h.endpointOutcome()
	switch {
	case finalOutcome.Outcome == "not-run":
		return "refused without being run: " + finalOutcome.Reason + " at " + finalOutcome.Step + h.refusedByAdmission() + DescribeRetry(finalOutcome.RetryPlan, finalOutcome.RetryIn)
	case finalOutcome.Outcome == "unknown":
		return "it may have run: " + finalOutcome.Reason + " at " + finalOutcome.Step + ", at " + cmp.Or(finalOutcome.Peer, "no endpoint") + " after " + finalOutcome.Took.Round(time.Millisecond).String()
	case endpointOutcome.First > 0 && endpointOutcome.First > 2*h.predicted():
		return "answered; it began after " + endpointOutcome.First.Round(time.Millisecond).String() + " where " +
			h.predicted().Round(time.Millisecond).String() + " were predicted: the prediction for " + endpointOutcome.Peer + " was wrong"
	}
	return "answered as predicted"
}

// refusedByAdmission returns a text if admission refused the request.
func (h *History) refusedByAdmission() string {
	for i := range h.Lines {
		if h.Lines[i].refusedByAdmission() {
			return ", by admission"
		}
	}
	return ""
}

// finalOutcome returns the outcome at the host that received the request from its caller.
func (h *History) finalOutcome() (Line, bool) {
	for _, l := range slices.Backward(h.Lines) {
		if l.Msg == MsgOutcome && l.Hops == 0 {
			return l, true
		}
	}
	return Line{}, false
}

// endpointOutcome returns the outcome at the host that called the endpoint: the last outcome with a
// time of the response's first byte or, if there is none, the first outcome.
func (h *History) endpointOutcome() Line {
	var out Line
	for _, l := range h.Lines {
		if l.Msg == MsgOutcome && (l.First > 0 || out.Msg == "") {
			out = l
		}
	}
	return out
}

// predicted returns the time to the first byte of the response, as predicted by the last decision
// to run the request at an endpoint.
func (h *History) predicted() time.Duration {
	var out time.Duration
	for _, l := range h.Lines {
		if l.Msg == MsgDecision && l.Decision == "run-here" {
			out = l.Wait
		}
	}
	return out
}
