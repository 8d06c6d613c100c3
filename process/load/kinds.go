package load

import (
	"math"
	"time"

	"vetchtrail"
)

// kindFades is how long after its last request a kind of stream is no longer looked
// for: longer than a caller's pause between two requests, shorter than a peak.
const kindFades = 5 * time.Second

// kind is what is known of the streams of one route.
type kind struct {
	events   average // of a whole answer
	priority int8
	within   float64   // seconds that a first try has
	seen     time.Time // when one was last asked for
}

// kindOf returns what is known of a route's streams.
func (m *means) kindOf(route string) *kind {
	k, ok := m.kinds[route]
	if !ok {
		k = &kind{}
		m.kinds[route] = k
	}
	return k
}

// asked notes a stream that is to be placed.
func (m *means) asked(r *vetchtrail.Request, now time.Time) {
	if !r.Stream || r.Route == "" {
		return
	}
	k := m.kindOf(r.Route)
	k.priority, k.seen = r.Priority, now
	if r.Fresh {
		k.within = r.Deadline.Sub(now).Seconds()
	}
}

// sawEvents learns how many events a route's streams have.
func (m *means) sawEvents(route string, n int) {
	if n == 0 {
		return
	}
	k := m.kindOf(route)
	if k.events.seen == 0 {
		k.events.value = float64(n) // else the mean would begin at none
	}
	k.events.observe(float64(n))
}

// usualEvents is how many events a route's streams have; 0: not known.
func (m *means) usualEvents(route string) float64 {
	k, ok := m.kinds[route]
	if !ok || k.events.seen < fewSeen {
		return 0
	}
	return k.events.value
}

// urgentPace is the least time between two events, in seconds, at which the streams
// of some kind that is more urgent than a request take all of their time; 0: no such
// kind is asked for.
func (m *means) urgentPace(r *vetchtrail.Request, now time.Time) float64 {
	least := math.Inf(1)
	for _, k := range m.kinds {
		if k.priority <= r.Priority || now.Sub(k.seen) > kindFades || k.events.seen < fewSeen || k.within == 0 {
			continue
		}
		least = math.Min(least, k.within/k.events.value)
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}
