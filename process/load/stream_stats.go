package load

import (
	"math"
	"time"

	"vetchtrail"
)

// streamStatsExpiry is how long after a request for a stream its route counts as requested: longer than a
// caller's pause between two requests, shorter than a peak.
const streamStatsExpiry = 5 * time.Second

// streamStats is what is known of the streams of one route.
type streamStats struct {
	events              average // number of events in a whole response
	priority            int8
	firstAttemptSeconds float64   // seconds until the deadline, at the last request with CallerCanRetry (mostly a first attempt)
	lastRequested       time.Time // when a stream of the route was last requested
}

// streamsOf returns the statistics of a route's streams.
func (svc *serviceStats) streamsOf(route string) *streamStats {
	st, ok := svc.streamsByRoute[route]
	if !ok {
		st = &streamStats{}
		svc.streamsByRoute[route] = st
	}
	return st
}

// recordStreamRequest updates the statistics of a route with a request for a stream whose endpoint is about to be
// chosen.
func (svc *serviceStats) recordStreamRequest(r *vetchtrail.Request, now time.Time) {
	if !r.Stream || r.Route == "" {
		return
	}
	st := svc.streamsOf(r.Route)
	st.priority, st.lastRequested = r.Priority, now
	if r.CallerCanRetry {
		st.firstAttemptSeconds = r.Deadline.Sub(now).Seconds()
	}
}

// observeEvents records the number of events in a response of a route. A response without events is not counted.
func (svc *serviceStats) observeEvents(route string, n int) {
	if n == 0 {
		return
	}
	st := svc.streamsOf(route)
	if st.events.count == 0 {
		st.events.value = float64(n) // the mean starts at the first observation, not at 0
	}
	st.events.observe(float64(n))
}

// expectedEvents is the mean number of events of a route's streams; 0: not known.
func (svc *serviceStats) expectedEvents(route string) float64 {
	st, ok := svc.streamsByRoute[route]
	if !ok || st.events.count < minObservations {
		return 0
	}
	return st.events.value
}

// urgentEventInterval is the interval between two events, in seconds, at which the streams of more urgent
// routes than the request's would use up all of their time. Of several routes the shortest interval is returned;
// 0: no such stream is requested.
func (svc *serviceStats) urgentEventInterval(r *vetchtrail.Request, now time.Time) float64 {
	least := math.Inf(1)
	for _, st := range svc.streamsByRoute {
		if st.priority <= r.Priority || now.Sub(st.lastRequested) > streamStatsExpiry || st.events.count < minObservations || st.firstAttemptSeconds == 0 {
			continue
		}
		least = math.Min(least, st.firstAttemptSeconds/st.events.value)
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// moreUrgentRequested reports whether streams of a higher priority are currently requested.
func (svc *serviceStats) moreUrgentRequested(priority int8, now time.Time) bool {
	for _, st := range svc.streamsByRoute {
		if st.priority > priority && now.Sub(st.lastRequested) <= streamStatsExpiry {
			return true
		}
	}
	return false
}
