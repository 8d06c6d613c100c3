package vetchtrail

import "time"

// JournalRecord is an entry of the journal. It describes one decision on a request; with
// Ended set, the outcome of a request; with Lost set, an attempt whose outcome is unknown; with Retry set, a decision on a retry;
// with Handover set, a decision between two attempts.
type JournalRecord struct {
	At           time.Time
	Request      string // id
	Service      string
	Route        string
	PromptTokens int
	Workspace    string
	Home         string // region
	Decision     Decision
	Attempt      int // counted from 1
	// SoftwareVersion is that of the endpoint that was chosen, or at which the attempt was lost; empty:
	// not known.
	SoftwareVersion string
	LastEventID     string // see Request, as is Resumes
	Resumes         string
	Hops            int
	Goal            time.Time // latency objective; zero: none
	Deadline        time.Time
	CallerCanRetry  bool    // see Request.CallerCanRetry
	Cost            float64 // in units of the workspace's quota; 0: none
	Quota           QuotaVerdict
	Revision        uint64
	RevisionTaken   uint64 // with Ended: of the configuration when the request was taken
	// ListingRevision and ListingAge are those of the listing by which the decision was made; 0: there was none.
	ListingRevision uint64
	ListingAge      time.Duration
	Ended           bool // the record is the outcome of the request
	// ForwardedTo is the data centre of the host, Outcome.Peer, that did not run a forwarded request; empty: the
	// record is not of a forward.
	ForwardedTo string
	Lost        bool // the record is an attempt whose outcome is unknown
	ContentHash ContentHash
	SharedParts []PromptPart // of a lost attempt: the parts of its prompt that other requests may share
	// Retry is set for a decision on a retry.
	Retry *RetryDecision
	// Handover is set for a decision between an attempt at a silent endpoint and its replacement.
	Handover *HandoverDecision
	Outcome  Outcome
	Took     time.Duration // with Ended: duration of the request; with Lost: time since the attempt was sent
}

// RetryDecision is whether a request is retried, by the retry budget of its service on this host.
type RetryDecision struct {
	Made     bool
	Requests int     // of callers, in the budget's window
	Retries  int     // in that window, before this one
	Left     float64 // retries that the budget allowed before this one
	Hosts    int     // among which the base of the budget is divided
}

// HandoverDecision is which of two attempts goes on: the original, whose endpoint was silent, or its replacement.
type HandoverDecision struct {
	Kept  HandoverBranch
	Cause HandoverCause
	Peer  string // endpoint or data centre of the replacement
	Sent  bool   // the replacement had been sent to an endpoint
	// ResponseStarted, Connected and Standstill describe the original, see Request and Silence.
	ResponseStarted, Connected, Standstill bool
	Reason                                 Reason // with HandoverEnded: why the replacement was not answered
	Overlap                                time.Duration
}

// HandoverBranch is one of the two attempts of a handover.
type HandoverBranch string

// Branches of a handover.
const (
	HandoverOriginal    HandoverBranch = "original"
	HandoverReplacement HandoverBranch = "replacement"
)

// HandoverCause is why an attempt was kept.
type HandoverCause string

// Causes of a handover's decision.
const (
	HandoverEvent HandoverCause = "event" // it brought the next part of the response, or the whole one
	HandoverLimit HandoverCause = "limit" // neither brought anything in the time for which both may run
	HandoverEnded HandoverCause = "ended" // the replacement ended without a response
	HandoverLeft  HandoverCause = "left"  // the caller left, or the deadline passed
)

// Recorder stores journal records. Record doesn't block.
type Recorder interface {
	Record(r JournalRecord)
}
