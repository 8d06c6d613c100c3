package vetchtrail

import (
	"fmt"
	"time"
)

// OutcomeKind says what is known of a request's execution.
type OutcomeKind uint8

// Kinds of outcome. They are never blurred: NotRun is only said when no byte
// of the request reached an endpoint, or the endpoint refused it before
// starting.
const (
	Unknown OutcomeKind = iota
	NotRun
	Answered
)

var outcomeNames = [...]string{"unknown", "not-run", "answered"}

// String returns the kind as it stands in problem documents and logs.
func (k OutcomeKind) String() string { return nameOf(outcomeNames[:], int(k)) }

// Outcome is the end of a request, or of one attempt at it.
type Outcome struct {
	Kind    OutcomeKind
	Status  int // HTTP status for the caller
	Step    Step
	Peer    string // host or endpoint where it ended
	Reason  Reason
	RetryAt time.Time // when asking again may help; zero: it won't
	Err     error
	Begun   bool // part of an answer went to the caller
	// HostLost says that the host which the request was passed to could not be reached
	// or broke off: Peer is its name.
	HostLost bool
	Events   int       // of a stream, passed on whole
	First    time.Time // when the first of an answer arrived here; zero: none did
	// Failure is an endpoint's own answer of a failure that was kept back, as
	// another attempt may do better.
	Failure *KeptAnswer
	Cold    time.Duration // how much longer the endpoint said to be cold; 0: not
}

// KeptAnswer is a whole answer.
type KeptAnswer struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// Replay gives the answer to a.
func (k *KeptAnswer) Replay(a Answer) error {
	if err := a.Begin(k.Status, k.Header); err != nil {
		return err
	}
	return a.Write(k.Body)
}

// Error describes an outcome that is no answer.
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

// Step is a part of a request's way, for errors and logs.
type Step string

// Steps of a request.
const (
	StepParse     Step = "parse"
	StepOnce      Step = "once"
	StepDecide    Step = "decide"
	StepQueue     Step = "queue"
	StepResidency Step = "residency"
	StepConnect   Step = "connect"
	StepSend      Step = "send"
	StepAnswer    Step = "answer"
	StepForward   Step = "forward"
	StepHold      Step = "hold"
)

// Reason says why a candidate lost or a request was refused.
type Reason string

// Reasons.
const (
	ReasonChosen       Reason = "chosen"
	ReasonCost         Reason = "cost"
	ReasonResidency    Reason = "residency"
	ReasonDraining     Reason = "draining"
	ReasonEjected      Reason = "ejected"
	ReasonExcluded     Reason = "tried-before"
	ReasonFull         Reason = "full"
	ReasonDeadline     Reason = "deadline"
	ReasonHops         Reason = "hops"
	ReasonNoEndpoint   Reason = "no-endpoint"
	ReasonQueueFull    Reason = "queue-full"
	ReasonBudget       Reason = "retry-budget"
	ReasonUnreachable  Reason = "unreachable"
	ReasonRefused      Reason = "endpoint-refused"
	ReasonBroken       Reason = "answer-broken"
	ReasonLost         Reason = "answer-lost"
	ReasonCallerGone   Reason = "caller-gone"
	ReasonBadRequest   Reason = "bad-request"
	ReasonNoService    Reason = "unknown-service"
	ReasonKey          Reason = "key"
	ReasonKeyExpired   Reason = "key-expired"
	ReasonIssuerGone   Reason = "issuer-gone"
	ReasonNotKept      Reason = "answer-not-kept"
	ReasonStarting     Reason = "starting"
	ReasonLeaving      Reason = "leaving"
	ReasonStale        Reason = "report-stale"
	ReasonStreamEnded  Reason = "stream-ended"
	ReasonUnsupported  Reason = "unsupported"
	ReasonTooLarge     Reason = "too-large"
	ReasonOverCapacity Reason = "over-capacity"
	ReasonFailed       Reason = "endpoint-failed"
	ReasonMisled       Reason = "other-process"
	ReasonCold         Reason = "cold"
	ReasonLimited      Reason = "endpoint-limited" // it names a rate, of which nothing is left now
	ReasonPaused       Reason = "endpoint-paused"  // it wants nothing from this host for a time
	ReasonSilent       Reason = "endpoint-silent"
	ReasonNoRoute      Reason = "no-route"
	ReasonSlow         Reason = "slow"
	ReasonNoWorkspace  Reason = "unknown-workspace"
	ReasonNoKey        Reason = "no-key"         // the route asks for one
	ReasonBadKey       Reason = "bad-key"        // its text can't be a key
	ReasonUnknownKey   Reason = "unknown-key"    // no workspace has it, or no longer
	ReasonNoHome       Reason = "no-common-home" // route and workspace have homes, but no region is both's
	ReasonQuota        Reason = "over-quota"
	ReasonHeldBack     Reason = "held-back" // endpoints ended under it
)
