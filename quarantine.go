package vetchtrail

import (
	"context"
	"time"
)

// Hold says that a request is held back: so many endpoints ended under it that it runs
// nowhere until a moment.
type Hold struct {
	Digest Digest
	// Strike is how often the request was held back, this time with it: each time for longer.
	Strike uint32
	Ends   int       // endpoints that ended under it before this hold
	Since  time.Time // by the clock of suspensions, as Until
	Until  time.Time // when it may run again
	// Released says that an operator let it go.
	Released bool
}

// Quarantine holds back the requests under which endpoints end, over all hosts.
type Quarantine interface {
	// Held says whether a request is held back, and for what.
	Held(r *Request) (Hold, bool)
	// Lost tells of an attempt at an endpoint that has no whole answer: the endpoint may have
	// ended.
	Lost(e Endpoint, r *Request, o Outcome, t Timing)
	// Answered tells that an endpoint has answered a request: nothing ends under that one.
	Answered(r *Request)
}

// HoldKeeper keeps holds where they outlast all hosts.
type HoldKeeper interface {
	// Keep adds holds to those kept, in place of those of the same requests, and drops others.
	Keep(ctx context.Context, put []Hold, drop []Digest) error
}
