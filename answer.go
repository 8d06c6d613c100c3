package vetchtrail

import (
	"context"
	"time"
)

// Answer takes an answer on its way to the caller. Begin is called once,
// before any Write. An error of either means that the caller is gone.
type Answer interface {
	Begin(status int, header []HeaderField) error
	Write(part []byte) error
}

// EndpointCaller runs a request on an endpoint of this data centre.
type EndpointCaller interface {
	Call(ctx context.Context, e Endpoint, r *Request, a Answer) (Outcome, Timing)
}

// Forwarder passes a request to a host of another data centre, or to the host
// that issued its key.
type Forwarder interface {
	Forward(ctx context.Context, h Host, r *Request, a Answer) Outcome
}

// Observer hears of an endpoint's load while requests run there.
type Observer interface {
	// Started tells that an endpoint began to answer a request.
	Started(e Endpoint, r *Request, now time.Time)
	// Paced tells the time between two events of a stream from an endpoint.
	Paced(e Endpoint, gap time.Duration, now time.Time)
	// Silent says whether an endpoint has stopped talking though it runs streams.
	Silent(e Endpoint, now time.Time) bool
	// Told tells what an endpoint said of its load in an answer.
	Told(e Endpoint, l LoadReport)
	// Limited tells what an endpoint said in an answer of the requests that it takes; err: it
	// said what can't be read.
	Limited(e Endpoint, l RateLimit, err error)
	// Noticed tells what an endpoint said in an answer of whether it wants requests; err: it said
	// what can't be read.
	Noticed(e Endpoint, n Notice, err error)
	// Unknown tells of a field of an answer that nobody reads.
	Unknown(e Endpoint, field string)
}

// Timing is when things happened to a request at an endpoint.
type Timing struct {
	Sent  time.Time // the first byte was written
	First time.Time // the first byte of the answer's body arrived
	Done  time.Time
}
