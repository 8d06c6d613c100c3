package load

import (
	"time"

	"vetchtrail"
)

// ownMark is the number of requests in flight from a moment on.
type ownMark struct {
	at  time.Time
	own int
}

// allowedNow is the limit, less while the endpoint is cold.
func (t *Table) allowedNow(s *state) int {
	if t.off.Has(vetchtrail.WarmUp) {
		return max(1, int(s.limit))
	}
	return max(1, int(s.limit*s.warmth))
}

// ownAt returns the requests in flight at a moment, as far back as is kept.
func (s *state) ownAt(at time.Time) int {
	oldest := max(0, s.marks-ownHistory)
	for i := s.marks - 1; i >= oldest; i-- {
		if m := s.history[i%ownHistory]; !m.at.After(at) {
			return m.own
		}
	}
	if oldest > 0 {
		return s.history[oldest%ownHistory].own
	}
	return 0
}

func (s *state) mark(now time.Time, by int) {
	s.own += by
	m := ownMark{at: now, own: s.own}
	if len(s.history) < ownHistory {
		s.history = append(s.history, m)
	} else {
		s.history[s.marks%ownHistory] = m
	}
	s.marks++
}

// Acquire takes room for a request at an endpoint. It returns false when the
// endpoint is out of use, at its limit, or cold and given enough.
func (t *Table) Acquire(name string, r *vetchtrail.Request, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.endpoints[name]
	if !ok || s.leaves(now) || now.Before(s.leaving.pause) || now.Before(s.ejected) || now.Before(s.backOff) || s.own >= t.allowedNow(s) {
		return false
	}
	if !s.cold.take(now) {
		return false
	}
	s.mark(now, 1)
	t.expect(s, r, now)
	return true
}

// Freed returns a channel that is closed when a service may have room.
func (t *Table) Freed(service string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.freed[service]
	if !ok {
		c = make(chan struct{})
		t.freed[service] = c
	}
	return c
}

func (t *Table) wake(service string) {
	if c, ok := t.freed[service]; ok {
		close(c)
		delete(t.freed, service)
	}
}
