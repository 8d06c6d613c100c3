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
	// believedBefore and believedAfter are how long before a request's first line and
	// after its last what its hosts came to believe is told with it: lists are some
	// seconds late.
	believedBefore = 10 * time.Second
	believedAfter  = 5 * time.Second
)

// History is what the logs of some hosts tell of one request, in the order of time.
type History struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	// Beliefs are the lines by which its hosts came to believe something of its
	// endpoints, the platform or the configuration about that time.
	Beliefs []Line `json:"beliefs"`
	// Unread is how many lines were no JSON, such as one cut off at a log's end.
	Unread int `json:"unread"`
}

// ReadHistory reads a request's history from logs.
func ReadHistory(request string, logs ...io.Reader) (*History, error) {
	h := &History{Request: request}
	var others []Line
	for _, log := range logs {
		if err := h.read(log, &others); err != nil {
			return nil, err
		}
	}
	byTime := func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Hops, b.Hops)) }
	slices.SortStableFunc(h.Lines, byTime)
	h.believe(others)
	slices.SortStableFunc(h.Beliefs, byTime)
	return h, nil
}

// read takes the lines of one log: those of the request, and those of none.
func (h *History) read(log io.Reader, others *[]Line) error {
	mine, any := []byte(`"`+h.Request+`"`), []byte(`"request":"`)
	bears := func(text []byte) bool { return !bytes.Contains(text, any) || bytes.Contains(text, mine) }
	unread, err := readLines(log, bears, func(l Line) {
		switch l.Request {
		case h.Request:
			h.Lines = append(h.Lines, l)
		case "":
			*others = append(*others, l)
		}
	})
	h.Unread += unread
	if err != nil {
		return errors.Wrap(err, "journal.ReadHistory")
	}
	return nil
}

// believe picks the lines that bear on the request.
func (h *History) believe(lines []Line) {
	if len(h.Lines) == 0 {
		return
	}
	hosts, places := map[string]bool{}, map[string]bool{}
	for _, l := range h.Lines {
		hosts[l.Host] = true
		for _, name := range []string{l.Target, l.Peer} {
			places[name] = name != ""
		}
	}
	from := h.Lines[0].Time.Add(-believedBefore)
	until := h.Lines[len(h.Lines)-1].Time.Add(believedAfter)
	for _, l := range lines {
		if !hosts[l.Host] || l.Time.Before(from) || l.Time.After(until) {
			continue
		}
		if (l.Endpoint == "" && l.Msg != msgDirectory) || places[l.Endpoint] {
			h.Beliefs = append(h.Beliefs, l)
		}
	}
}

// msgDirectory is the message of a directory's answer, which bears on no request.
const msgDirectory = "directory answer"

// Verdict says in a line how the request ended and where to look for the cause.
func (h *History) Verdict() string {
	end, ok := h.end()
	if !ok {
		return "its end is in none of these logs: it may have passed through another host, or a line was dropped"
	}
	run := h.run()
	switch {
	case end.Outcome == "not-run":
		return "refused: it ran nowhere, for " + end.Reason + " at " + end.Step
	case end.Outcome == "unknown":
		return "it may have run: " + end.Reason + " at " + end.Step + ", at " + cmp.Or(end.Peer, "no endpoint") + " after " + end.Took.Round(time.Millisecond).String()
	case run.First > 0 && run.First > 2*h.predicted():
		return "answered; it began after " + run.First.Round(time.Millisecond).String() + " where " +
			h.predicted().Round(time.Millisecond).String() + " were predicted: what was believed of " + run.Peer + " was wrong"
	}
	return "answered as predicted"
}

// end is the outcome at the host that the caller asked.
func (h *History) end() (Line, bool) {
	for _, l := range slices.Backward(h.Lines) {
		if l.Msg == MsgOutcome && l.Hops == 0 {
			return l, true
		}
	}
	return Line{}, false
}

// run is the outcome at the host that called the endpoint.
func (h *History) run() Line {
	var out Line
	for _, l := range h.Lines {
		if l.Msg == MsgOutcome && (l.First > 0 || out.Msg == "") {
			out = l
		}
	}
	return out
}

// predicted is the time to the first of the answer that the last decision to run
// here expected.
func (h *History) predicted() time.Duration {
	var out time.Duration
	for _, l := range h.Lines {
		if l.Msg == MsgDecision && l.Decision == "run-here" {
			out = l.Wait
		}
	}
	return out
}
