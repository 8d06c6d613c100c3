package load

import "time"

// coldStartLimiter bounds the rate of requests that this host sends to an endpoint during its cold start. The
// rate is this host's share of what the endpoint accepts from all hosts together.
type coldStartLimiter struct {
	until    time.Time     // end of the cold start
	interval time.Duration // between two requests; 0: not bounded
	next     time.Time     // when the next request may be sent
}

// configure sets the end of the cold start and this host's share of the requests a second that the endpoint
// accepts until then. A rate of 0 means no bound. A negative rate means that this host has no share.
func (l *coldStartLimiter) configure(until time.Time, rate float64) {
	l.until = until
	switch {
	case rate > 0:
		l.interval = time.Duration(float64(time.Second) / rate)
	case rate < 0:
		l.interval = time.Hour
		l.next = until
	default:
		l.interval = 0
	}
}

// allows reports whether a request may be sent now.
func (l *coldStartLimiter) allows(now time.Time) bool {
	return l.interval == 0 || !now.Before(l.until) || !now.Before(l.next)
}

// acquire counts a request and returns true if it may be sent now.
func (l *coldStartLimiter) acquire(now time.Time) bool {
	if !l.allows(now) {
		return false
	}
	if now.Before(l.until) {
		l.next = now.Add(l.interval)
	}
	return true
}

// wait is the time until the next request may be sent.
func (l *coldStartLimiter) wait(now time.Time) time.Duration {
	if l.until.Before(l.next) {
		return l.until.Sub(now)
	}
	return l.next.Sub(now)
}
