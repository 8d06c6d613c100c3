package journal

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"
)

const (
	// longestLine bounds a line of a log that is read, in bytes: a decision's is some
	// hundreds.
	longestLine = 1 << 20
)

// Messages of the lines that tell of a request.
const (
	MsgDecision = "decision"
	MsgOutcome  = "outcome"
	// MsgLost is of each attempt that may have run and has no whole answer: an outcome tells
	// of the last only.
	MsgLost = "attempt lost"
)

// Line is a line of a host's log, as far as it serves to explain a request.
type Line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Msg     string    `json:"msg"`
	Host    string    `json:"host"`
	Request string    `json:"request,omitempty"`
	Service string    `json:"service,omitempty"`
	Route   string    `json:"route,omitempty"`
	// Workspace is whose caller it was.
	Workspace string `json:"workspace,omitempty"`
	Hops      int    `json:"hops"`
	Reason    string `json:"reason,omitempty"`
	Revision  uint64 `json:"revision,omitempty"`

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

	// What one run takes of its workspace's quota, and what was left of it at this host
	// and in its region, as it knew then.
	Charge      float64       `json:"charge,omitempty"`
	QuotaHere   float64       `json:"quota_here,omitempty"`
	QuotaRegion float64       `json:"quota_region,omitempty"`
	QuotaAge    time.Duration `json:"quota_age,omitempty"`

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

	// Of a lost attempt. Digest tells whether requests are one that came again.
	Digest string `json:"digest,omitempty"`

	// Of what a host came to believe.
	Endpoint      string `json:"endpoint,omitempty"`
	DataCentre    string `json:"data_centre,omitempty"`
	State         string `json:"state,omitempty"`
	StoreRevision uint64 `json:"store_revision,omitempty"`
}

// readLines gives each line of a log that may bear on what is asked to take. It returns
// how many were no JSON, such as one cut off at the log's end.
func readLines(log io.Reader, bears func(text []byte) bool, take func(Line)) (unread int, err error) {
	in := bufio.NewScanner(log)
	in.Buffer(nil, longestLine)
	for in.Scan() {
		text := in.Bytes()
		at := bytes.IndexByte(text, '{') // a collector may have put its own words before
		if at < 0 || !bears(text) {
			continue
		}
		var l Line
		if json.Unmarshal(text[at:], &l) != nil {
			unread++
			continue
		}
		take(l)
	}
	return unread, in.Err()
}
