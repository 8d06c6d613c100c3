// Package quarantine tells the requests under which endpoints end from those that only ran
// beside them, and holds them back. It is pure: moments are arguments, by a clock that goes
// on while a host is suspended.
package quarantine

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
)

const (
	// firstHold is how long a request is held back at first. Letting a deadly one go costs
	// some endpoints, each with its streams and some seconds of a cold start; one that was
	// taken for deadly wrongly is served again after this time.
	firstHold = 10 * time.Minute
	// mostHold bounds the time, which doubles with each hold.
	mostHold = 6 * time.Hour
	// rememberFor is for how long after its end a hold is remembered, so that the next one of
	// the same request begins after one endpoint and lasts longer.
	rememberFor = time.Hour
	// mostHolds bounds the holds remembered: 0.1 MB. Each takes some endpoints' ends.
	mostHolds = 1024
)

// HoldTime is for how long a request is held back the nth time.
func HoldTime(strike uint32) time.Duration {
	shift := min(max(strike, 1)-1, 16)
	return min(firstHold<<shift, mostHold)
}

// Holds are the requests that are held back, or were lately. They are safe for use by many;
// a look-up takes no lock.
type Holds struct {
	mu    sync.Mutex
	all   map[vetchtrail.Digest]vetchtrail.Hold
	looks atomic.Pointer[map[vetchtrail.Digest]vetchtrail.Hold] // those in force when it was made
}

// NewHolds returns none.
func NewHolds() *Holds { return &Holds{all: map[vetchtrail.Digest]vetchtrail.Hold{}} }

// Any says whether there may be one in force: else no request needs its digest taken.
func (h *Holds) Any() bool {
	looks := h.looks.Load()
	return looks != nil && len(*looks) > 0
}

// Held says whether a request is held back. The clock is only asked for one that was.
func (h *Holds) Held(d vetchtrail.Digest, clock func() time.Time) (vetchtrail.Hold, bool) {
	looks := h.looks.Load()
	if looks == nil {
		return vetchtrail.Hold{}, false
	}
	hold, ok := (*looks)[d]
	return hold, ok && clock().Before(hold.Until)
}

// known returns a copy of the holds that are remembered, in force or over.
func (h *Holds) known() map[vetchtrail.Digest]vetchtrail.Hold {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.all)
}

// Add holds a request back after so many endpoints ended under it.
func (h *Holds) Add(d vetchtrail.Digest, ends int, now time.Time) vetchtrail.Hold {
	h.mu.Lock()
	defer h.mu.Unlock()
	hold := vetchtrail.Hold{Digest: d, Strike: h.all[d].Strike + 1, Ends: ends, Since: now}
	hold.Until = now.Add(HoldTime(hold.Strike))
	h.put(hold, now)
	return hold
}

// Release lets a request go. It returns false if it is not held back.
func (h *Holds) Release(d vetchtrail.Digest, now time.Time) (vetchtrail.Hold, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hold, ok := h.all[d]
	if !ok || hold.Released || !now.Before(hold.Until) {
		return hold, false
	}
	hold.Released = true
	h.put(hold, now)
	return hold, true
}

// Take takes a hold that another host told, and says whether it tells anything new. Of two
// of one request the later strike counts. Of the same, a release counts, and else the one that
// ends sooner: a host that read it where it is kept can't know how long it has stood. The
// order in which holds are taken makes no difference.
func (h *Holds) Take(in vetchtrail.Hold, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.all[in.Digest]
	switch {
	case ok && in.Strike < held.Strike:
		return false
	case ok && in.Strike == held.Strike:
		merged := held
		merged.Released = held.Released || in.Released
		merged.Ends = max(held.Ends, in.Ends)
		merged.Until = vetchtrail.Earlier(held.Until, in.Until)
		news := merged.Released != held.Released
		h.put(merged, now)
		return news
	}
	h.put(in, now)
	return true
}

// put stores a hold. The caller holds the lock.
func (h *Holds) put(hold vetchtrail.Hold, now time.Time) {
	h.all[hold.Digest] = hold
	h.tidy(now)
}

// Tidy drops holds that are over from the look-up: else the digest of each request would go
// on being taken when nothing is held back any more.
func (h *Holds) Tidy(now time.Time) {
	if !h.Any() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tidy(now)
}

// tidy makes the look-up anew. The caller holds the lock.
func (h *Holds) tidy(now time.Time) {
	looks := make(map[vetchtrail.Digest]vetchtrail.Hold, len(h.all))
	for d, known := range h.all {
		switch {
		case now.Sub(known.Until) > rememberFor:
			delete(h.all, d)
		case !known.Released && now.Before(known.Until):
			looks[d] = known
		}
	}
	for len(h.all) > mostHolds {
		d := h.soonest()
		delete(h.all, d)
		delete(looks, d)
	}
	h.looks.Store(&looks)
}

// soonest is the request whose hold ends first. The caller holds the lock.
func (h *Holds) soonest() vetchtrail.Digest {
	var first vetchtrail.Hold
	for _, hold := range h.all {
		if first.Until.IsZero() || hold.Until.Before(first.Until) {
			first = hold
		}
	}
	return first.Digest
}

// All returns the holds that are remembered, in the order of their digests.
func (h *Holds) All(now time.Time) []vetchtrail.Hold {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]vetchtrail.Hold, 0, len(h.all))
	for _, hold := range h.all {
		if now.Sub(hold.Until) <= rememberFor {
			out = append(out, hold)
		}
	}
	slices.SortFunc(out, func(a, b vetchtrail.Hold) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return out
}

// Version is the same for hosts that know of the same holds; 0: none.
func (h *Holds) Version(now time.Time) uint64 {
	sum := uint64(0)
	for _, hold := range h.All(now) {
		var text [len(hold.Digest) + 5]byte
		n := copy(text[:], hold.Digest[:])
		binary.BigEndian.PutUint32(text[n:], hold.Strike)
		if hold.Released {
			text[n+4] = 1
		}
		sum ^= xxhash.Sum64(text[:])
	}
	return sum
}
