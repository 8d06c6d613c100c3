package journal

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	// longestLine bounds a line of a log that is read, in bytes: a decision's is some
	// hundreds.
	longestLine = 1 << 20
	// believedBefore and believedAfter are how long before a request's first line and
	// after its last what its hosts came to believe is told with it: lists are some
	// seconds late.
	believedBefore = 10 * time.Second
	believedAfter  = 5 * time.Second
)

// Messages of the lines that tell of a request.
const (
	MsgDecision = "decision"
	MsgOutcome  = "outcome"
)

// Line is a line of a host's log, as far as it serves to explain a request.
type Line struct {
	Time     time.Time `json:"time"`
	Level    string    `json:"level"`
	Msg      string    `json:"msg"`
	Host     string    `json:"host"`
	Request  string    `json:"request,omitempty"`
	Service  string    `json:"service,omitempty"`
	Route    string    `json:"route,omitempty"`
	Hops     int       `json:"hops"`
	Reason   string    `json:"reason,omitempty"`
	Revision uint64    `json:"revision,omitempty"`

	// Of a decision.
	Decision   string        `json:"decision,omitempty"`
	Target     string        `json:"target,omitempty"`
	Home       string        `json:"home,omitempty"`
	Attempt    int           `json:"attempt,omitempty"`
	Prompt     int           `json:"prompt,omitempty"`
	Wait       time.Duration `json:"wait,omitempty"`
	Backlog    time.Duration `json:"backlog,omitempty"`
	Holds      int           `json:"holds,omitempty"`
	Gap        time.Duration `json:"gap,omitempty"`
	ReportAge  time.Duration `json:"report_age,omitempty"`
	Running    int           `json:"running,omitempty"`
	Queued     int           `json:"queued,omitempty"`
	Looked     int           `json:"looked,omitempty"`
	Candidates []candidate   `json:"candidates,omitempty"`
	Goal       time.Duration `json:"goal,omitempty"`  // from the line to the request's goal
	Left       time.Duration `json:"left,omitempty"`  // from the line to its deadline
	Fresh      bool          `json:"fresh,omitempty"` // its caller's first try

	// Of an outcome.
	Outcome string        `json:"outcome,omitempty"`
	Step    string        `json:"step,omitempty"`
	Peer    string        `json:"peer,omitempty"`
	Took    time.Duration `json:"took,omitempty"`
	First   time.Duration `json:"first,omitempty"`
	Status  int           `json:"status,omitempty"`
	Events  int           `json:"events,omitempty"`
	Begun   bool          `json:"begun,omitempty"`
	// HostLost says that the host which it was passed to was lost.
	HostLost bool   `json:"host_lost,omitempty"`
	Error    string `json:"error,omitempty"`

	// Of what a host came to believe.
	Endpoint      string `json:"endpoint,omitempty"`
	DataCentre    string `json:"data_centre,omitempty"`
	State         string `json:"state,omitempty"`
	StoreRevision uint64 `json:"store_revision,omitempty"`
}

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
	in := bufio.NewScanner(log)
	in.Buffer(nil, longestLine)
	mine, any := []byte(`"`+h.Request+`"`), []byte(`"request":"`)
	for in.Scan() {
		text := in.Bytes()
		// A collector may have put its own words before the line.
		at := bytes.IndexByte(text, '{')
		if at < 0 || (bytes.Contains(text, any) && !bytes.Contains(text, mine)) {
			continue
		}
		var l Line
		if json.Unmarshal(text[at:], &l) != nil {
			h.Unread++
			continue
		}
		switch l.Request {
		case h.Request:
			h.Lines = append(h.Lines, l)
		case "":
			*others = append(*others, l)
		}
	}
	if err := in.Err(); err != nil {
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
