package load

import (
	"math"
	"time"

	"vetchtrail"
)

// HearLimit takes what an endpoint said of the requests that it takes, if that may stand, and
// returns what was believed before and is now. ok is false for one that isn't known, or of which
// this is another life.
func (t *Table) HearLimit(name string, born time.Time, news vetchtrail.RateLimit) (was, is vetchtrail.RateLimit, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.life(name, born)
	if !ok {
		return was, is, false
	}
	return s.hearLimit(t, news)
}

// NamedLimit is what an endpoint said of the requests that it takes, in one of its lives.
type NamedLimit struct {
	Endpoint string
	Born     time.Time
	Limit    vetchtrail.RateLimit
}

// Limits returns what is to be believed of the endpoints that ever named a rate in their lives.
func (t *Table) Limits() []NamedLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []NamedLimit
	for _, s := range t.endpoints {
		if !s.limited.IsZero() {
			out = append(out, NamedLimit{Endpoint: s.Name, Born: s.Born, Limit: s.rate})
		}
	}
	return out
}

func (s *state) hearLimit(t *Table, news vetchtrail.RateLimit) (was, is vetchtrail.RateLimit, ok bool) {
	was = s.rate
	s.rate = was.Update(news)
	if s.rate.Named && !was.Named {
		s.limited = news.Heard
	}
	if was.Named && !s.rate.Named {
		// It was in need just now: its part of the load grows with its answers, as after a return.
		s.shut, s.warmth = time.Time{}, math.Min(s.warmth, coldStart)
		t.wake(s.Service)
	}
	return was, s.rate, true
}

// takeOver takes the words that were heard of the life that begins here: a host may hear them from an
// endpoint that has started again before the lists tell so. Nothing of an earlier life stands in a
// later one, and lists that come back from an older copy tell of an earlier one.
func (s *state) takeOver(old *state, born time.Time) {
	if born.IsZero() || !old.Born.Before(born) {
		return
	}
	if old.rate.Asked.After(born) {
		s.rate, s.limited = old.rate, old.limited
	}
	if old.leaving.asked.After(born) {
		s.leaving.answers = s.leaving.join(old.leaving.answers)
	}
}

// Limited implements vetchtrail.Observer.
func (t *Table) Limited(e vetchtrail.Endpoint, news vetchtrail.RateLimit, err error) {
	if err == nil {
		t.HearLimit(e.Name, e.Born, news)
	}
}

// Limit returns what an endpoint last said of the requests that it takes, and the start of the life
// that said so.
func (t *Table) Limit(name string) (l vetchtrail.RateLimit, born time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.endpoints[name]; ok {
		return s.rate, s.Born
	}
	return vetchtrail.RateLimit{}, time.Time{}
}

// Rationed tells what was left of an endpoint's rate when its keeper was last asked, in requests that
// could be sent at once; nothing is left until a moment, in which it is out of use; zero: something is.
func (t *Table) Rationed(name string, left float64, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.endpoints[name]; ok && s.rate.Named {
		s.left, s.shut = left, until
	}
}

// places is how many requests an endpoint that names a rate has under way at once in the mean, which
// is all the room that others may count on there.
func (s *state) places(m *means) int {
	if !s.rate.Named {
		return s.Slots
	}
	return min(s.Slots, int(math.Ceil(s.rate.Rate*m.service.value)))
}
