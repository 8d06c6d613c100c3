package load

import (
	"time"

	"vetchtrail"
)

// inFlightChange is the number of this host's requests in flight at an endpoint from a time on.
type inFlightChange struct {
	at       time.Time
	inFlight int
}

// currentLimit is how many requests this host may have in flight at the endpoint now: its limit, reduced to its
// warm-up share, and to what is free if the endpoint is brittle.
func (t *Table) currentLimit(s *endpointState, now time.Time) int {
	limit := s.limit
	if !t.switchedOff.Has(vetchtrail.MechanismWarmUp) {
		limit *= s.warmUp
	}
	if t.serviceStats[s.Service].isBrittle(now) {
		return min(max(1, int(limit)), t.brittleLimit(s, now))
	}
	return max(1, int(limit))
}

// inFlightAt returns the number of requests in flight at a time. For a time before the history it returns the
// oldest number that is still stored.
func (s *endpointState) inFlightAt(at time.Time) int {
	oldest := max(0, s.inFlightChanges-maxInFlightHistory)
	for i := s.inFlightChanges - 1; i >= oldest; i-- {
		if c := s.inFlightHistory[i%maxInFlightHistory]; !c.at.After(at) {
			return c.inFlight
		}
	}
	if oldest > 0 {
		return s.inFlightHistory[oldest%maxInFlightHistory].inFlight
	}
	return 0
}

// changeInFlight changes the number of requests in flight and records the new number.
func (s *endpointState) changeInFlight(now time.Time, by int) {
	s.inFlight += by
	c := inFlightChange{at: now, inFlight: s.inFlight}
	if len(s.inFlightHistory) < maxInFlightHistory {
		s.inFlightHistory = append(s.inFlightHistory, c)
	} else {
		s.inFlightHistory[s.inFlightChanges%maxInFlightHistory] = c
	}
	s.inFlightChanges++
}

// Acquire counts a request as in flight at an endpoint. It returns false when the endpoint is leaving, paused,
// ejected, backed off, at its limit, or in its cold start with this host's share used up. Silence and the rate
// limit are not checked here, only when a view is built. Release ends the request.
func (t *Table) Acquire(name string, r *vetchtrail.Request, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.endpoints[name]
	if !ok || s.isLeaving(now) || now.Before(s.availability.pausedUntil) || now.Before(s.ejectedUntil) || s.backedOff(now) || t.serviceStats[s.Service].path.lost(now) || s.inFlight >= t.currentLimit(s, now) {
		return false
	}
	if !s.coldStart.acquire(now) {
		return false
	}
	s.full.sent()
	s.changeInFlight(now, 1)
	t.recordPrompt(s, r, now)
	return true
}

// CapacityFreed returns a channel that is closed when a service may have capacity again.
func (t *Table) CapacityFreed(service string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.freed[service]
	if !ok {
		c = make(chan struct{})
		t.freed[service] = c
	}
	return c
}

// wake closes the channel that CapacityFreed returned for a service. The caller holds the lock.
func (t *Table) wake(service string) {
	if c, ok := t.freed[service]; ok {
		close(c)
		delete(t.freed, service)
	}
}
