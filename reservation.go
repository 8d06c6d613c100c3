package vetchtrail

import (
	"context"
	"time"
)

// Reservation reserves one request within the rate limit that an endpoint advertises.
type Reservation struct {
	Endpoint   string    // empty: no reservation was needed
	StartedAt  time.Time // start time of the endpoint's process instance
	Rate       float64   // rate limit at the time of the reservation, in requests per second
	Initial    bool      // made before the host knew whether there is a rate limit; under one it isn't valid
	ValidUntil time.Time // when it expires, by the boot clock (process/clock)
}

// RateLimiter keeps the requests that all hosts together send to an endpoint within the rate
// limit that it advertises.
type RateLimiter interface {
	// Reserve reserves a request to an endpoint. For an endpoint without a rate limit the
	// reservation is empty, and one of the few initial ones if a starting host doesn't know
	// yet whether there is a limit. Reserve waits at most some milliseconds for other hosts. It
	// returns ok false if the rate limit allows no request now; retryAt is when it may allow
	// one.
	Reserve(ctx context.Context, e Endpoint) (r Reservation, retryAt time.Time, ok bool)
	// Cancel gives back a reservation whose request did not reach the endpoint.
	Cancel(r Reservation)
	// Allows returns whether a request with a reservation may be sent to an endpoint now. The
	// endpoint may have started to advertise a rate limit, or a lower one, since the
	// reservation was made.
	Allows(r Reservation, e Endpoint) bool
}
