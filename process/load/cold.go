package load

import "time"

// coldGate bounds the requests that this host sends to a cold endpoint: they
// are a part of what it bears from all hosts together.
type coldGate struct {
	until time.Time
	every time.Duration // between two requests; 0: it is not bounded
	next  time.Time
}

// configure takes until when the endpoint is cold, and this host's part of the
// requests a second that it bears meanwhile; negative: none is this host's.
func (g *coldGate) configure(until time.Time, rate float64) {
	g.until = until
	switch {
	case rate > 0:
		g.every = time.Duration(float64(time.Second) / rate)
	case rate < 0:
		g.every = time.Hour
		g.next = until
	default:
		g.every = 0
	}
}

// open says whether a request may be sent now.
func (g *coldGate) open(now time.Time) bool {
	return g.every == 0 || !now.Before(g.until) || !now.Before(g.next)
}

// take counts a request if one may be sent.
func (g *coldGate) take(now time.Time) bool {
	if !g.open(now) {
		return false
	}
	if now.Before(g.until) {
		g.next = now.Add(g.every)
	}
	return true
}

// wait is how long it is until a request may be sent.
func (g *coldGate) wait(now time.Time) time.Duration {
	if g.until.Before(g.next) {
		return g.until.Sub(now)
	}
	return g.next.Sub(now)
}
