// Package quarantine detects poison requests, which crash the endpoints that run them, and keeps
// the list of those that are quarantined. A quarantined request is refused until its entry expires
// or an operator releases it. The package does no I/O and never reads a clock: times are arguments,
// by a clock that runs on while a host is suspended. Package process/quarantines connects it to the
// other hosts.
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
	// initialDuration is how long a request is quarantined the first time. Releasing a poison
	// request costs some endpoints, each with its streams and some seconds of a cold start. A
	// request that was quarantined by mistake is served again after this time.
	initialDuration = 10 * time.Minute
	// maxDuration bounds the duration, which doubles each time.
	maxDuration = 6 * time.Hour
	// entryRetention is how long an expired entry is remembered. Within this time, one crash is
	// enough to quarantine the request again, for twice as long.
	entryRetention = time.Hour
	// maxEntries bounds the entries to about 0.1 MB. Each of them takes several crashes to make.
	maxEntries = 1024
)

// HoldTime returns how long a request is quarantined if this is the count-th time.
func HoldTime(count uint32) time.Duration {
	shift := min(max(count, 1)-1, 16)
	return min(initialDuration<<shift, maxDuration)
}

// Entries is the requests that are quarantined, or were lately, as one host knows them. It is safe
// for concurrent use; Lookup takes no lock.
type Entries struct {
	mu     sync.Mutex
	byHash map[vetchtrail.Digest]vetchtrail.Hold
	active atomic.Pointer[map[vetchtrail.Digest]vetchtrail.Hold] // entries in force at the last refresh; read without the lock
}

// NewEntries returns an Entries without entries.
func NewEntries() *Entries { return &Entries{byHash: map[vetchtrail.Digest]vetchtrail.Hold{}} }

// AnyActive reports whether an entry may be in force. If not, callers needn't compute the content
// hash of each request.
func (e *Entries) AnyActive() bool {
	active := e.active.Load()
	return active != nil && len(*active) > 0
}

// Lookup returns the entry of a request and whether it is in force. It calls now only if there is
// an entry.
func (e *Entries) Lookup(hash vetchtrail.Digest, now func() time.Time) (vetchtrail.Hold, bool) {
	active := e.active.Load()
	if active == nil {
		return vetchtrail.Hold{}, false
	}
	entry, ok := (*active)[hash]
	return entry, ok && now().Before(entry.Until)
}

// known returns a copy of all remembered entries, in force or expired.
func (e *Entries) known() map[vetchtrail.Digest]vetchtrail.Hold {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.byHash)
}

// Add quarantines a request that was present at so many crashes.
func (e *Entries) Add(hash vetchtrail.Digest, crashes int, now time.Time) vetchtrail.Hold {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := vetchtrail.Hold{Digest: hash, Strike: e.byHash[hash].Strike + 1, Ends: crashes, Since: now}
	entry.Until = now.Add(HoldTime(entry.Strike))
	e.set(entry, now)
	return entry
}

// Release ends the quarantine of a request. It returns false if the request isn't quarantined.
func (e *Entries) Release(hash vetchtrail.Digest, now time.Time) (vetchtrail.Hold, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry, ok := e.byHash[hash]
	if !ok || entry.Released || !now.Before(entry.Until) {
		return entry, false
	}
	entry.Released = true
	e.set(entry, now)
	return entry, true
}

// Merge takes an entry from another host and reports whether it is new here or newly released. Of
// two entries of one request, the one with the higher count wins. If the counts are equal, a
// release wins, and the earlier expiry: a host that has read the entry from the platform doesn't
// know how old it is and may expect it to expire too late. The order of merges makes no difference.
func (e *Entries) Merge(in vetchtrail.Hold, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, ok := e.byHash[in.Digest]
	switch {
	case ok && in.Strike < old.Strike:
		return false
	case ok && in.Strike == old.Strike:
		merged := old
		merged.Released = old.Released || in.Released
		merged.Ends = max(old.Ends, in.Ends)
		merged.Until = vetchtrail.Earlier(old.Until, in.Until)
		released := merged.Released != old.Released
		e.set(merged, now)
		return released
	}
	e.set(in, now)
	return true
}

// set stores an entry. The caller holds the lock.
func (e *Entries) set(entry vetchtrail.Hold, now time.Time) {
	e.byHash[entry.Digest] = entry
	e.refresh(now)
}

// Refresh removes expired entries from the look-up. Otherwise the content hash of each request
// would still be computed when nothing is quarantined any more.
func (e *Entries) Refresh(now time.Time) {
	if !e.AnyActive() {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refresh(now)
}

// refresh rebuilds the look-up map and removes entries that are too old or too many. The caller
// holds the lock.
func (e *Entries) refresh(now time.Time) {
	active := make(map[vetchtrail.Digest]vetchtrail.Hold, len(e.byHash))
	for hash, entry := range e.byHash {
		switch {
		case now.Sub(entry.Until) > entryRetention:
			delete(e.byHash, hash)
		case !entry.Released && now.Before(entry.Until):
			active[hash] = entry
		}
	}
	for len(e.byHash) > maxEntries {
		hash := e.firstToExpire()
		delete(e.byHash, hash)
		delete(active, hash)
	}
	e.active.Store(&active)
}

// firstToExpire returns the request whose entry expires first. The caller holds the lock.
func (e *Entries) firstToExpire() vetchtrail.Digest {
	var first vetchtrail.Hold
	for _, entry := range e.byHash {
		if first.Until.IsZero() || entry.Until.Before(first.Until) {
			first = entry
		}
	}
	return first.Digest
}

// All returns the remembered entries, ordered by content hash.
func (e *Entries) All(now time.Time) []vetchtrail.Hold {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]vetchtrail.Hold, 0, len(e.byHash))
	for _, entry := range e.byHash {
		if now.Sub(entry.Until) <= entryRetention {
			out = append(out, entry)
		}
	}
	slices.SortFunc(out, func(a, b vetchtrail.Hold) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return out
}

// Version returns a hash that is equal on hosts with the same entries. It is 0 if there are none.
func (e *Entries) Version(now time.Time) uint64 {
	sum := uint64(0)
	for _, entry := range e.All(now) {
		var text [len(entry.Digest) + 5]byte
		n := copy(text[:], entry.Digest[:])
		binary.BigEndian.PutUint32(text[n:], entry.Strike)
		if entry.Released {
			text[n+4] = 1
		}
		sum ^= xxhash.Sum64(text[:])
	}
	return sum
}
