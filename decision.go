package vetchtrail

import (
	"math/rand/v2"
	"time"
)

// DecisionKind is the action that a Policy chose for a request.
type DecisionKind uint8

// Kinds of decision.
const (
	Refuse       DecisionKind = iota
	RunHere                   // at an endpoint that this host calls itself
	RunElsewhere              // forward to a remote data centre
	WaitHere                  // queue until an endpoint that this host calls has capacity
)

var decisionNames = [...]string{"refuse", "run-here", "run-elsewhere", "wait-here"}

// String returns the name of the kind in logs.
func (k DecisionKind) String() string { return nameAt(decisionNames[:], int(k)) }

// MaxCandidates is how many candidates a Decision records for its log line.
const MaxCandidates = 6

// Candidate is an endpoint or a data centre that a policy considered for a request.
type Candidate struct {
	Name string
	// Cost is in weighted seconds. With ReasonSlow it is the interval between events, and with
	// ReasonFull the predicted wait of an endpoint, both in seconds; with ReasonAdmission it is
	// the admitted fraction of the request's class. For other candidates that can't be used it
	// is 0.
	Cost   float64
	Reason Reason
}

// Decision is the result of a Policy for one request. The fields from Backlog to RateLeft
// describe the chosen endpoint; they are set only with RunHere.
type Decision struct {
	Kind          DecisionKind
	Target        int // index in View.Endpoints or View.Remotes
	Name          string
	Reason        Reason
	Cost          float64       // of the choice, in weighted seconds
	Wait          time.Duration // predicted time to the first token; with WaitHere: predicted wait for capacity
	Backlog       time.Duration // time until the endpoint has processed the prompts that it received before
	EventInterval time.Duration // interval between two events of its streams
	CachedTokens  int           // tokens of the prompt that it has probably cached
	ReportAge     time.Duration // age of its newest load report; negative: it has sent none
	Running       int           // requests that it runs, by that report
	Queued        int           // requests in its queue, by that report
	InFlight      int           // requests in flight there from this host
	RateLimited   bool          // it advertises a rate limit
	Rate          float64       // its rate limit for all hosts together, in requests per second
	RateLeft      float64       // requests that the rate limit still allowed at once, as last reported
	RetryAt       time.Time     // with Refuse: when a retry may succeed
	Considered    int           // number of candidates considered
	Candidates    [MaxCandidates]Candidate
	Recorded      int // number of candidates recorded in Candidates
}

// AddCandidate counts a candidate, and records it for the log line while Candidates has space.
func (d *Decision) AddCandidate(name string, cost float64, reason Reason) {
	d.Considered++
	if d.Recorded < MaxCandidates {
		d.Candidates[d.Recorded] = Candidate{Name: name, Cost: cost, Reason: reason}
		d.Recorded++
	}
}

// Policy decides where a request runs. It does no I/O and reads no clock: time, randomness
// and the view are arguments. It must not modify the view.
type Policy interface {
	Decide(now time.Time, r *Request, v *View, rnd *rand.Rand) Decision
}

// View is a snapshot, made for one decision, of a host's data about the candidates for a
// request.
type View struct {
	Region         RegionID // of this host
	Weights        Weights
	Endpoints      []EndpointView // those that this host calls itself
	ViaPeers       int            // number of Endpoints with EndpointView.ViaPeers
	Remotes        []RemoteView   // remote data centres
	Excluded       []string       // endpoints and data centres that were tried before
	ExpectedEvents float64        // expected number of events in the response; 0: not known, or not a stream
	IdlePrefill    float64        // observed seconds that an idle endpoint takes to process a prompt token
	CachedShare    float64        // observed fraction of the shared prompt tokens that endpoints had cached
	// UrgentInterval is the interval between two events, in seconds, at which streams that are
	// more urgent than this request would use up all of their time; 0: there are no such
	// streams.
	UrgentInterval float64
	// PredictionRatio is the observed ratio of the actual to the predicted time to the first
	// event of a stream; 0: not known.
	PredictionRatio  float64
	AdmissionInForce bool    // more urgent requests are preferred by Admission, where they arrive
	MoreUrgent       bool    // streams of a higher priority than the request's are currently requested
	QueueWait        float64 // estimated seconds that a request waits in this host's queue
	RefusedHere      bool    // an endpoint in Endpoints refused the request because of its load
	WaitExhausted    bool    // the request may not wait for capacity any longer
	// PlannedReturns reports that a ReturnPlanner decides when refused callers retry, and that no
	// attempt at the request has reached an endpoint yet.
	PlannedReturns bool
	// Uncertainty is the difference in seconds up to which the predicted times to the first token
	// of two endpoints count as equal; 0: not known. It is set where endpoints differ in speed.
	Uncertainty float64
}

// EndpointView is a host's data about one endpoint.
type EndpointView struct {
	Name              string
	Region            RegionID
	Slots             int
	InFlightLimit     int           // requests that this host may have in flight there now
	Running           int           // requests that it runs, as last reported
	Queued            int           // requests in its queue, as last reported
	InFlight          int           // requests in flight from this host
	InFlightChange    int           // change of InFlight since the report; may be negative
	ReportAge         time.Duration // age of the report; negative: there is none
	Prefill           float64       // observed seconds to process a prompt token that is not cached
	ServiceTime       float64       // observed seconds that a request occupies a slot
	WarmUpShare       float64       // the fraction of its full load that it may get, 0 to 1
	Unavailable       bool          // it can't be used now
	UnavailableReason Reason        // with Unavailable: the reason
	AvailableIn       float64       // with Unavailable: seconds until it can be used again; 0: not known
	Connected         bool          // with ReasonSilent: it still accepts connections
	ViaPeers          bool          // with Unavailable: this host doesn't reach it, but other hosts that call it probably do
	ExcessFailureRate float64       // how far its failure rate exceeds that of its service, 0 to 1
	EventInterval     float64       // observed seconds between two events of its streams; 0: not known
	Backlog           float64       // predicted seconds until it has processed the prompts that it received before
	BaseLatency       float64       // seconds to the first byte of a response, in addition to prompt processing
	CachedTokens      int           // tokens of the request's prompt that it has probably cached
	RateLimited       bool          // it advertises a rate limit
	Rate              float64       // its rate limit for all hosts together, in requests per second
	RateLeft          float64       // requests that the rate limit still allowed at once, as last reported
}

// RemoteView is a host's data about a data centre that it may forward requests to.
type RemoteView struct {
	DataCentre string
	// SharesEndpoints is set for a data centre whose hosts call the same endpoints as this host, which may be its own.
	// Such a data centre is for requests that this host can't send itself. Only DataCentre, Region, Delay and
	// Reachable are set with it.
	SharesEndpoints  bool
	OtherVersion     bool // its endpoints are of other software versions than the one that began the stream
	Region           RegionID
	Delay            time.Duration // one way
	TimeToFirstToken float64       // predicted seconds to the first token there
	FreeSlots        int           // free slots of the service's endpoints
	Slots            int           // all slots of the service's endpoints
	InFlight         int           // requests in flight there from this host
	DigestAge        time.Duration // age of the data centre's digest
	Reachable        bool
	WarmUpShare      float64 // the fraction of FreeSlots that may be used, 0 to 1
	EventInterval    float64 // shortest interval between two events of a stream there, in seconds; 0: not known
}
