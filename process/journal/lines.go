package journal

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"
)

const (
	// maxLineBytes bounds the length of a log line that is read. A decision's line has some
	// hundreds of bytes.
	maxLineBytes = 1 << 20
)

// Messages of the log lines about a request.
const (
	MsgDecision = "decision" // where a request is to run, or why it is refused
	MsgOutcome  = "outcome"  // how a request ended at a host
	// MsgLost is logged for each attempt that may have run but got no complete response.
	// The outcome line describes only the last attempt.
	MsgLost = "attempt lost"
	// MsgForwardNotRun is logged for each forwarded request that the other host did not run.
	MsgForwardNotRun = "forward not run"
	// MsgRetry is logged for each retry that the retry budget allowed or prevented.
	MsgRetry = "retry"
	// MsgHandover is logged for each decision between an attempt at a silent endpoint and its replacement.
	MsgHandover = "handover"
)

// Line is a line of a host's log, with the fields that help to explain a request.
type Line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Msg     string    `json:"msg"`
	Host    string    `json:"host"`
	Request string    `json:"request,omitempty"`
	Service string    `json:"service,omitempty"`
	Route   string    `json:"route,omitempty"`
	// Workspace is the caller's workspace.
	Workspace string `json:"workspace,omitempty"`
	Hops      int    `json:"hops"` // 0: at the host that the caller reached; 1: at a host that the request was forwarded to
	Reason    string `json:"reason,omitempty"`
	Revision  uint64 `json:"revision,omitempty"`

	// Fields of a decision.
	Decision        string            `json:"decision,omitempty"`
	Target          string            `json:"target,omitempty"` // endpoint, host or data centre that was chosen
	Home            string            `json:"home,omitempty"`   // the workspace's home region, or the region in which the request arrived
	Attempt         int               `json:"attempt,omitempty"`
	PromptTokens    int               `json:"prompt,omitempty"`      // tokens
	Wait            time.Duration     `json:"wait,omitempty"`        // predicted time to the first byte of the response; of wait-here: until there is capacity
	Backlog         time.Duration     `json:"backlog,omitempty"`     // until the target has read the prompts sent to it before
	CachedTokens    int               `json:"holds,omitempty"`       // prompt tokens that the target probably has cached
	EventInterval   time.Duration     `json:"gap,omitempty"`         // interval between events of the target's streams
	ReportAge       time.Duration     `json:"report_age,omitempty"`  // age of the target's load report; negative: it has sent none
	Running         int               `json:"running,omitempty"`     // requests running at the target, as reported
	Queued          int               `json:"queued,omitempty"`      // requests queued at the target, as reported
	ListingRevision uint64            `json:"listing,omitempty"`     // of the listing by which the decision was made
	ListingAge      time.Duration     `json:"listing_age,omitempty"` // time since that listing was read from the platform
	Considered      int               `json:"looked,omitempty"`      // candidates considered
	Candidates      []loggedCandidate `json:"candidates,omitempty"`  // some of those that were not chosen
	Goal            time.Duration     `json:"goal,omitempty"`        // from the decision to the request's latency goal
	Left            time.Duration     `json:"left,omitempty"`        // from the decision to the request's deadline
	SoftwareVersion string            `json:"version,omitempty"`     // of the target's software, or of that of a lost attempt
	LastEventID     string            `json:"last_event,omitempty"`  // after which a stream is resumed
	Resumes         string            `json:"resumes,omitempty"`     // the caller's attempt that brought the first event of that stream
	CallerCanRetry  bool              `json:"fresh,omitempty"`       // the caller has most of its time left, so it can retry after a refusal

	// Cost of the request and remaining quota at this host and in its region, in units of the
	// workspace's quota. QuotaAge is the age of the oldest quota report from another region;
	// negative: at least one region has never reported.
	Charge      float64       `json:"charge,omitempty"`
	QuotaHere   float64       `json:"quota_here,omitempty"`
	QuotaRegion float64       `json:"quota_region,omitempty"`
	QuotaAge    time.Duration `json:"quota_age,omitempty"`

	// Fields of an outcome or of a lost attempt.
	Outcome         string        `json:"outcome,omitempty"`
	Step            string        `json:"step,omitempty"`
	Peer            string        `json:"peer,omitempty"`           // endpoint or host where the request ended
	Took            time.Duration `json:"took,omitempty"`           // from the request's arrival at this host, or the attempt's start
	First           time.Duration `json:"first,omitempty"`          // from then to the first byte of the response
	Status          int           `json:"status,omitempty"`         // HTTP status
	RetryPlan       string        `json:"retry_plan,omitempty"`     // whether the time to retry is a slot for which capacity is reserved; empty: it was not planned
	RetryIn         time.Duration `json:"retry_in,omitempty"`       // with RetryPlan: from the end of the request
	Events          int           `json:"events,omitempty"`         // of a streamed response
	ResponseStarted bool          `json:"begun,omitempty"`          // part of the response was sent to the caller
	Silent          bool          `json:"silent,omitempty"`         // the endpoint was silent when the attempt ended
	NotContinued    string        `json:"not_continued,omitempty"`  // why no other attempt continued a response that had begun
	RevisionTaken   uint64        `json:"revision_taken,omitempty"` // of the configuration when the request was taken; Revision is that at its end
	// HostLost reports that the host to which the request was forwarded was lost.
	HostLost bool   `json:"host_lost,omitempty"`
	Error    string `json:"error,omitempty"`

	// ContentHash is the content hash of the request of a lost attempt. Requests with the same hash
	// are repeats of each other.
	ContentHash string `json:"digest,omitempty"`
	// SharedParts are the ids of the parts of its prompt that other requests may share.
	SharedParts []string `json:"parts,omitempty"`

	// Fields of a line about an endpoint, a data centre or the platform.
	Endpoint      string `json:"endpoint,omitempty"`
	DataCentre    string `json:"data_centre,omitempty"`
	State         string `json:"state,omitempty"`
	StoreRevision uint64 `json:"store_revision,omitempty"`
}

// readLines decodes the lines of a log that relevant accepts and passes them to add. It returns
// the number of lines that were not valid JSON, such as one cut off at the end of the log.
func readLines(log io.Reader, relevant func(text []byte) bool, add func(Line)) (unread int, err error) {
	in := bufio.NewScanner(log)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		text := in.Bytes()
		at := bytes.IndexByte(text, '{') // a log collector may have added a prefix
		if at < 0 || !relevant(text) {
			continue
		}
		var l Line
		if json.Unmarshal(text[at:], &l) != nil {
			unread++
			continue
		}
		add(l)
	}
	return unread, in.Err()
}
