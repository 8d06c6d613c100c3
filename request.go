package vetchtrail

import (
	"net/netip"
	"time"
)

// MaxHops is how many times a request may be forwarded from host to host.
const MaxHops = 1

// Request is a caller's request while the system handles it.
type Request struct {
	ID        string
	Service   string
	Kind      ServiceKind
	Workspace string // workspace of the caller
	// CallerKeyHash is the hash of the workspace key that the caller sent, on the host that
	// received the request from the caller; zero: the caller sent none. It is not forwarded:
	// other hosts rely on that host for the workspace.
	CallerKeyHash  KeyHash
	HomeRegion     RegionID  // region of the workspace, or else EntryRegion
	EntryRegion    RegionID  // region where the request was received from the caller
	AllowedRegions RegionSet // regions that may process it by the configurations of all hosts that have checked it
	Priority       int8      // higher is more urgent
	Deadline       time.Time // no work on the request is started after it
	Hops           int       // number of times it was forwarded from host to host
	Revision       uint64    // newest configuration that a host has checked it against

	Method          string
	Path            string // with the query
	Header          []HeaderField
	Body            []byte
	Stream          bool   // the response is a stream of events
	EstimatedTokens int    // estimated or stated tokens of the prompt
	IdempotencyKey  string // idempotency key; empty: none
	Repeatable      bool   // it may run more than once without harm
	ResumeAt        StreamPosition

	// Cost is the cost of one attempt in units of the workspace's quota, if it has one, and
	// Quota the newest result of taking it.
	Cost  float64
	Quota QuotaVerdict
	// Reservation is the reservation at the endpoint that it will be sent to next.
	Reservation Reservation

	// The remaining fields are set for requests that belong to a route.
	Route          string
	MaxAttempts    int          // maximum number of endpoints that it may be sent to
	Goal           time.Time    // latency objective
	Prompt         []PromptPart // in the order of the prompt
	ExpectedTokens int          // the caller's estimate of the tokens in the response; 0: none
	MaxTokens      int          // maximum tokens of the response; 0: not stated
	Resumable      bool         // its stream may be resumed at another endpoint
	LastEventID    string       // id of the last event that the caller received
	Resumes        string       // id of the caller's attempt that brought the first event of the stream that it resumes; empty: not stated
	// StreamVersion is the software version that began the stream that it continues. The rest may come
	// only from endpoints of that version, which the endpoints don't check. Not known for a new stream.
	StreamVersion StreamVersion
	// ResponseVersion is the software version of the endpoint whose response is being received. It is
	// set before the response begins.
	ResponseVersion StreamVersion
	CallerCanRetry  bool // the caller still has most of its time, so it can retry after a refusal
	ResponseStarted bool // part of a response was sent to the caller: only the rest of that stream may follow
	// Final reports that no other attempt could replace the current one if its endpoint is silent.
	// The host that received the request from its caller sets it.
	Final bool
	// Avoid is the endpoint that must not run it, because another attempt is there; empty: none.
	Avoid string
	// RetryUnsent reports that a retry was taken from the retry budget and has not been sent yet. The host that
	// received the request from its caller sets it, and gives the retry back at the end of the request.
	RetryUnsent bool
	// TransferFrom is the address from which the endpoint that runs it may transfer the cached
	// parts of its prompt; not valid: none.
	TransferFrom netip.AddrPort
	// FirstEventBy is when the caller stops waiting for the first event of a stream; zero: not
	// known.
	FirstEventBy time.Time
	// QueueUntil is until when it may wait for capacity here; zero: until its deadline. A
	// caller that is refused some time before its deadline can still be served elsewhere.
	QueueUntil time.Time

	// Buffers counts what this host holds in memory for the request; nil: not counted.
	Buffers BufferAccount

	contentHash ContentHash // see the method ContentHash; zero: not computed yet
}

// QueueDeadline returns until when the request may wait for capacity. The rest of a stream that
// has begun may wait until the deadline, because its caller can't retry elsewhere, unless another
// attempt is in progress.
func (r *Request) QueueDeadline() time.Time {
	if r.QueueUntil.IsZero() || r.ResponseStarted && r.Avoid == "" || r.Deadline.Before(r.QueueUntil) {
		return r.Deadline
	}
	return r.QueueUntil
}

// PromptTokens returns the number of tokens in the prompt.
func (r *Request) PromptTokens() int {
	if len(r.Prompt) == 0 {
		return r.EstimatedTokens
	}
	sum := 0
	for _, p := range r.Prompt {
		sum += p.Tokens
	}
	return sum
}

// SharedParts returns the parts of the prompt that other requests may share: all but the last.
func (r *Request) SharedParts() []PromptPart { return r.Prompt[:max(0, len(r.Prompt)-1)] }

// Session returns the part of the prompt that identifies the session: the last but one. All
// requests of a session share it, while the last part belongs to one request.
func (r *Request) Session() (PromptPart, bool) {
	if len(r.Prompt) < 2 {
		return PromptPart{}, false
	}
	return r.Prompt[len(r.Prompt)-2], true
}

// HeaderField is one field of an HTTP header.
type HeaderField struct {
	Name  string
	Value string
}

// StreamPosition is the position at which a caller resumes a stream of events.
type StreamPosition struct {
	Endpoint string // that holds the stream; empty: a new stream
	Stream   string // the endpoint's name for the stream
	Offset   int    // number of events that the caller has received
}
