package load

import (
	"slices"
	"time"

	"vetchtrail"
)

// mostHeard bounds the reports that are remembered in the order in which they were taken: those of some
// seconds at a thousand a second.
const mostHeard = 1 << 12

// heard is a report that was taken.
type heard struct {
	from   *state
	place  uint64 // how many reports were taken up to this one
	newest int64  // when the newest of those was true, in Unix nanoseconds
}

// noteHeard remembers that an endpoint's report was taken. The caller holds the lock.
func (t *Table) noteHeard(s *state) {
	t.taken++
	s.taken = t.taken
	h := heard{from: s, place: t.taken, newest: s.report.At.UnixNano()}
	if n := len(t.heard); n > 0 {
		h.newest = max(h.newest, t.heard[n-1].newest)
	}
	if len(t.heard) >= mostHeard {
		t.heard = slices.Delete(t.heard, 0, mostHeard/2)
	}
	t.heard = append(t.heard, h)
}

// Heard is an endpoint's newest report, for other hosts.
type Heard struct {
	Endpoint string
	Short    uint32 // form of its name
	Report   vetchtrail.LoadReport
	Fetched  bool // this host fetched it itself
	Said     bool // the endpoint once said in an answer that it leaves or wants nothing
}

// HeardAfter returns the reports that this host took after so many others and that were true after a moment, the
// newest first, and how many it has taken by now. With 0 those of endpoints that say that they leave are among
// them, however old.
func (t *Table) HeardAfter(place uint64, after time.Time) ([]Heard, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Heard
	oldest := after.UnixNano()
	for _, h := range slices.Backward(t.heard) {
		if h.place <= place || h.newest <= oldest {
			break
		}
		// One that was replaced meanwhile was of an earlier life, of which the later one must not be told.
		if s := h.from; s.taken == h.place && t.endpoints[s.Name] == s && (s.says || s.report.At.After(after)) {
			out = append(out, s.heardNow())
		}
	}
	if place > 0 {
		return out, t.taken
	}
	for _, s := range t.endpoints {
		if s.says && !s.report.At.After(after) {
			out = append(out, s.heardNow())
		}
	}
	return out, t.taken
}

func (s *state) heardNow() Heard {
	return Heard{Endpoint: s.Name, Short: uint32(s.hash), Report: s.report, Fetched: s.polled, Said: s.worded}
}
