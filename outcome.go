package vetchtrail

import (
	"fmt"
	"time"
)

// OutcomeKind is what is known about the execution of a request.
type OutcomeKind uint8

// Kinds of outcome. OutcomeNotRun is a guarantee: no byte of the request reached an endpoint,
// or the endpoint refused it before starting. Whenever that is not certain, the outcome is
// OutcomeUnknown.
const (
	OutcomeUnknown  OutcomeKind = iota // it may or may not have run
	OutcomeNotRun                      // it has not run
	OutcomeAnswered                    // it has run, and its response was sent to the caller
)

var outcomeNames = [...]string{"unknown", "not-run", "answered"}

// String returns the name of the kind in problem documents and logs.
func (k OutcomeKind) String() string { return nameAt(outcomeNames[:], int(k)) }

// Outcome is the result of a request, or of one attempt at it.
type Outcome struct {
	Kind            OutcomeKind
	Status          int    // HTTP status for the caller
	Step            Step   // step at which it ended
	Peer            string // host or endpoint where it ended
	Reason          Reason
	RetryAt         time.Time // when a retry may succeed; zero: no retry is suggested
	RetryStated     bool      // the endpoint stated RetryAt
	RetryPlan       RetryPlan // with RetryAt: how it was planned
	Err             error
	ResponseStarted bool // part of a response was sent to the caller
	// HostLost reports that the host to which the request was forwarded could not be reached or
	// broke the connection. Peer is the name of that host.
	HostLost bool
	// EndUnmarked reports that the response had neither a length nor chunks, so that its end is that of
	// the connection: a crash at the end of an event looks the same.
	EndUnmarked bool
	// EndpointSilent reports that the endpoint was silent when the attempt ended.
	EndpointSilent bool
	// NotContinued is why no other attempt followed one that ended after the response had begun; empty: it
	// had not begun, or was continued.
	NotContinued Reason
	Events       int       // number of whole events of a stream that were forwarded
	FirstByte    time.Time // when the first byte of the response arrived here; zero: none did
	// DeferredFailure is an endpoint's error response that was not forwarded, because another
	// attempt may succeed. If none does, it is sent to the caller.
	DeferredFailure *BufferedResponse
	ColdStart       time.Duration // remaining cold start that the endpoint stated; 0: none
}

// RetryPlan is what a ReturnPlanner decided on the retry of a refused request.
type RetryPlan string

// Plans of a retry. RetryAt was not planned if there is none.
const (
	RetryInSlot  RetryPlan = "slot"     // capacity is reserved for it
	RetryTooLate RetryPlan = "too-late" // the request can't be served before its deadline
)

// BufferedResponse is a whole response that is held in memory.
type BufferedResponse struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// Replay writes the response to w.
func (b *BufferedResponse) Replay(w ResponseWriter) error {
	if err := w.Begin(b.Status, b.Header); err != nil {
		return err
	}
	return w.Write(b.Body)
}

// Error describes an outcome without a response.
func (o Outcome) Error() string {
	text := fmt.Sprintf("%s: %s: %s", o.Step, o.Kind, o.Reason)
	if o.Peer != "" {
		text += " at " + o.Peer
	}
	if o.Err != nil {
		text += ": " + o.Err.Error()
	}
	return text
}

// Step is the step at which a request ended or an error occurred.
type Step string

// Steps of a request.
const (
	StepParse       Step = "parse"     // reading the caller's request
	StepIdempotency Step = "once"      // handling its idempotency key
	StepDecide      Step = "decide"    // deciding where it runs
	StepQueue       Step = "queue"     // waiting for capacity
	StepResidency   Step = "residency" // checking which regions may process it
	StepConnect     Step = "connect"   // connecting to an endpoint or a host
	StepSend        Step = "send"      // sending the request to an endpoint
	StepResponse    Step = "answer"    // receiving the response
	StepForward     Step = "forward"   // forwarding to another host
	StepQuarantine  Step = "hold"      // checking the quarantine
)

// Reason is why a candidate was not chosen, or why a request was refused or failed.
type Reason string

// Reasons.
const (
	ReasonChosen                Reason = "chosen"           // not refused: the candidate was chosen
	ReasonCost                  Reason = "cost"             // another candidate has a lower cost
	ReasonResidency             Reason = "residency"        // the request may not run in the region
	ReasonDraining              Reason = "draining"         // the endpoint is draining, leaving or not listed any more
	ReasonEjected               Reason = "ejected"          // the endpoint failed repeatedly
	ReasonTriedBefore           Reason = "tried-before"     // an earlier attempt went there
	ReasonFull                  Reason = "full"             // there is no capacity now
	ReasonDeadline              Reason = "deadline"         // the deadline has passed, or would pass
	ReasonHops                  Reason = "hops"             // the request was already forwarded once
	ReasonNoEndpoint            Reason = "no-endpoint"      // no endpoint of the service is known
	ReasonQueueFull             Reason = "queue-full"       // the service's queue is full
	ReasonRetryBudget           Reason = "retry-budget"     // the retry budget allows no further attempt
	ReasonAttempts              Reason = "attempts"         // the route allows no further attempt
	ReasonNotRepeatable         Reason = "not-repeatable"   // the request may have run and may not run twice
	ReasonNotResumable          Reason = "not-resumable"    // the route's streams may not be resumed at another endpoint
	ReasonUnreachable           Reason = "unreachable"      // the endpoint, host or data centre can't be reached
	ReasonEndpointRefused       Reason = "endpoint-refused" // the endpoint refused the request, or recent ones, before starting
	ReasonResponseBroken        Reason = "answer-broken"    // the response broke off or can't be verified
	ReasonResponseLost          Reason = "answer-lost"      // no complete response arrived
	ReasonCallerGone            Reason = "caller-gone"      // the caller disconnected
	ReasonCallerSlow            Reason = "caller-slow"      // the caller read nothing while the bound on buffered bytes was reached
	ReasonSuperseded            Reason = "superseded"       // another attempt of the request was kept
	ReasonBadRequest            Reason = "bad-request"
	ReasonUnknownService        Reason = "unknown-service"
	ReasonIdempotencyKey        Reason = "key"              // the idempotency key is malformed or was used for another request
	ReasonIdempotencyKeyExpired Reason = "key-expired"      // the idempotency key has expired
	ReasonIssuerGone            Reason = "issuer-gone"      // the process that issued the idempotency key can't be found
	ReasonResponseNotStored     Reason = "answer-not-kept"  // the request ran, but its response was not stored for a repeat
	ReasonStarting              Reason = "starting"         // the host holds no configuration yet
	ReasonLeaving               Reason = "leaving"          // the host is stopping
	ReasonDigestStale           Reason = "report-stale"     // the digest of the data centre is too old
	ReasonStreamEnded           Reason = "stream-ended"     // unused
	ReasonUnsupported           Reason = "unsupported"      // unused
	ReasonTooLarge              Reason = "too-large"        // the request body is too large
	ReasonOverCapacity          Reason = "over-capacity"    // there is too little capacity to serve it in time
	ReasonEndpointFailed        Reason = "endpoint-failed"  // the endpoint sent an error response
	ReasonOtherProcess          Reason = "other-process"    // another process has the endpoint's address
	ReasonColdStart             Reason = "cold"             // the endpoint's cold start allows no further request now
	ReasonRateLimited           Reason = "endpoint-limited" // the endpoint's rate limit allows no further request now
	ReasonPaused                Reason = "endpoint-paused"  // the endpoint announced a pause to this host
	ReasonSilent                Reason = "endpoint-silent"  // the streams of the endpoint have all stalled
	ReasonNoRoute               Reason = "no-route"         // no route matches the request
	ReasonSlow                  Reason = "slow"             // a stream there would end too late
	ReasonUnknownWorkspace      Reason = "unknown-workspace"
	ReasonNoKey                 Reason = "no-key"         // the request has no workspace key but needs one
	ReasonBadKey                Reason = "bad-key"        // the text can't be a workspace key
	ReasonUnknownKey            Reason = "unknown-key"    // no workspace has the key, or not any more
	ReasonNoCommonHome          Reason = "no-common-home" // no region is allowed by both the route and the workspace
	ReasonOverQuota             Reason = "over-quota"     // the workspace has used up its quota
	ReasonQuarantined           Reason = "held-back"      // the request is quarantined
	ReasonOtherVersion          Reason = "other-version"  // the stream began at another software version
	ReasonUnknownOrigin         Reason = "unknown-origin" // no reachable host knows at which software version the stream began
	ReasonAdmission             Reason = "admission"      // the service is short of capacity and the request was not admitted
)
