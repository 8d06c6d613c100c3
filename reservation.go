package vetchtrail

import (
	"context"
	"time"
)

// Permit reserves one request within the rate limit that an endpoint advertises.
type Permit struct {
	Endpoint string    // empty: no reservation was needed
	Born     time.Time // start time of the endpoint's process instance
	Rate     float64   // rate limit at the time of the reservation, in requests per second
	Until    time.Time // when it expires, by the boot-time clock (process/clock)
}

// Permits keeps the requests that all hosts together send to an endpoint within the rate
// limit that it advertises.
type Permits interface {
	// Take reserves a request to an endpoint. For an endpoint without a rate limit the
	// reservation is empty. Take waits at most some milliseconds for other hosts. It returns
	// ok false if the rate limit allows no request now; retryAt is when it may allow one.
	Take(ctx context.Context, e Endpoint) (p Permit, retryAt time.Time, ok bool)
	// Return gives back a reservation whose request did not reach the endpoint.
	Return(p Permit)
	// Covers returns whether a request with a reservation may be sent to an endpoint now. The
	// endpoint may have started to advertise a rate limit, or a lower one, since the
	// reservation was made.
	Covers(p Permit, e Endpoint) bool
}
