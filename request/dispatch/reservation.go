package dispatch

import (
	"context"
	"time"

	"vetchtrail"
)

// reserve takes a reservation within the rate limit that an endpoint advertises,
// and stores it in the request. It returns false with the time to retry if the
// limit is used up. Every path to an endpoint calls reserve: first attempts and
// retries, forwarded and queued requests, and resumed streams. All hosts share the
// limit, so a count of this host's requests alone can't enforce it.
func (d *Dispatcher) reserve(ctx context.Context, r *vetchtrail.Request, e vetchtrail.Endpoint) (retryAt time.Time, ok bool) {
	r.Reservation = vetchtrail.Reservation{}
	if d.cfg.RateLimits == nil {
		return time.Time{}, true
	}
	r.Reservation, retryAt, ok = d.cfg.RateLimits.Reserve(ctx, e)
	return retryAt, ok
}

// returnReservation cancels the reservation of an attempt that did not reach the
// endpoint, and in any case removes it from the request. A request that the endpoint
// refused did reach it and counts towards the rate limit.
func (d *Dispatcher) returnReservation(r *vetchtrail.Request, o vetchtrail.Outcome) {
	if d.cfg.RateLimits != nil && !reached(o) {
		d.cfg.RateLimits.Cancel(r.Reservation)
	}
	r.Reservation = vetchtrail.Reservation{}
}
