// Package quarantine detects poison requests, which crash the endpoints that run them, and poison
// parts of prompts, and keeps the list of those that are quarantined. A quarantined request is refused until its entry expires
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
	// initialDuration is how long a request is quarantined the first time. When the quarantine of
	// a poison request ends, it can crash some endpoints again, which costs the streams of each and
	// some seconds of cold start. A request that was quarantined by mistake is served again after
	// this time.
	initialDuration = 10 * time.Minute
	// maxDuration bounds the duration, which doubles each time.
	maxDuration = 6 * time.Hour
	// entryRetention is how long an entry is stored after it expired. Within this time, one crash is
	// enough to quarantine the request again, for twice as long.
	entryRetention = time.Hour
	// maxEntries bounds the memory of the entries to about 0.1 MB. That many are not expected, as
	// each entry is made only after several crashes.
	maxEntries = 1024
)

// EntryDuration returns how long a request is quarantined if this is the count-th time.
func EntryDuration(count uint32) time.Duration {
	shift := min(max(count, 1)-1, 16)
	return min(initialDuration<<shift, maxDuration)
}

// Entries is one host's copy of the quarantine entries, both those in force and those that ended
// lately. It is safe for concurrent use; Lookup takes no lock.
type Entries struct {
	mu     sync.Mutex
	byHash map[vetchtrail.ContentHash]vetchtrail.QuarantineEntry
	active atomic.Pointer[map[vetchtrail.ContentHash]vetchtrail.QuarantineEntry] // entries in force at the last refresh; read without the lock
}

// NewEntries returns an Entries without entries.
func NewEntries() *Entries {
	return &Entries{byHash: map[vetchtrail.ContentHash]vetchtrail.QuarantineEntry{}}
}

// AnyActive reports whether an entry may be in force. If not, callers needn't compute the content
// hash of each request.
func (e *Entries) AnyActive() bool {
	active := e.active.Load()
	return active != nil && len(*active) > 0
}

// Lookup returns the entry of a request and whether it is in force. It calls now only if there is
// an entry.
func (e *Entries) Lookup(hash vetchtrail.ContentHash, now func() time.Time) (vetchtrail.QuarantineEntry, bool) {
	active := e.active.Load()
	if active == nil {
		return vetchtrail.QuarantineEntry{}, false
	}
	entry, ok := (*active)[hash]
	return entry, ok && now().Before(entry.Until)
}

// known returns a copy of all entries, in force, expired or released.
func (e *Entries) known() map[vetchtrail.ContentHash]vetchtrail.QuarantineEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.byHash)
}

// Add quarantines a request. crashes is the number of crashes that count against it.
func (e *Entries) Add(hash vetchtrail.ContentHash, crashes int, now time.Time) vetchtrail.QuarantineEntry {
	return e.AddSuspect(Suspect{ContentHash: hash, Crashes: crashes}, now)
}

// AddSuspect quarantines a request or a part of prompts.
func (e *Entries) AddSuspect(s Suspect, now time.Time) vetchtrail.QuarantineEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := vetchtrail.QuarantineEntry{ContentHash: s.ContentHash, Part: s.Part, Count: e.byHash[s.ContentHash].Count + 1, Crashes: s.Crashes, Since: now}
	entry.Until = now.Add(EntryDuration(entry.Count))
	e.set(entry, now)
	return entry
}

// Release ends the quarantine of a request. It returns false if the request isn't quarantined.
func (e *Entries) Release(hash vetchtrail.ContentHash, now time.Time) (vetchtrail.QuarantineEntry, bool) {
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

// Merge adds an entry from another host and reports whether that entry is new here, has a higher
// count than the one here, or newly releases it. Of two entries of one request, the one with the
// higher count wins. If the counts are equal, a release wins, and so does the earlier Until: a host
// that read the entry from the platform doesn't have its age, so its Until may be too late. Except
// for Since, which stays that of the entry received first, the order of merges makes no difference.
func (e *Entries) Merge(in vetchtrail.QuarantineEntry, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	old, ok := e.byHash[in.ContentHash]
	switch {
	case ok && in.Count < old.Count:
		return false
	case ok && in.Count == old.Count:
		merged := old
		merged.Released = old.Released || in.Released
		merged.Crashes = max(old.Crashes, in.Crashes)
		merged.Until = vetchtrail.Earlier(old.Until, in.Until)
		released := merged.Released != old.Released
		e.set(merged, now)
		return released
	}
	e.set(in, now)
	return true
}

// set stores an entry. The caller holds the lock.
func (e *Entries) set(entry vetchtrail.QuarantineEntry, now time.Time) {
	e.byHash[entry.ContentHash] = entry
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
	active := make(map[vetchtrail.ContentHash]vetchtrail.QuarantineEntry, len(e.byHash))
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
func (e *Entries) firstToExpire() vetchtrail.ContentHash {
	var first vetchtrail.QuarantineEntry
	for _, entry := range e.byHash {
		if first.Until.IsZero() || entry.Until.Before(first.Until) {
			first = entry
		}
	}
	return first.ContentHash
}

// All returns the entries, in force, expired or released, ordered by content hash.
func (e *Entries) All(now time.Time) []vetchtrail.QuarantineEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]vetchtrail.QuarantineEntry, 0, len(e.byHash))
	for _, entry := range e.byHash {
		if now.Sub(entry.Until) <= entryRetention {
			out = append(out, entry)
		}
	}
	slices.SortFunc(out, func(a, b vetchtrail.QuarantineEntry) int { return slices.Compare(a.ContentHash[:], b.ContentHash[:]) })
	return out
}

// Version returns a hash of the content hashes, counts and releases of all entries. Hosts compare
// it to find out whether they have the same entries. It is 0 if there are none.
func (e *Entries) Version(now time.Time) uint64 {
	sum := uint64(0)
	for _, entry := range e.All(now) {
		var text [len(entry.ContentHash) + 5]byte
		n := copy(text[:], entry.ContentHash[:])
		binary.BigEndian.PutUint32(text[n:], entry.Count)
		if entry.Released {
			text[n+4] = 1
		}
		sum ^= xxhash.Sum64(text[:])
	}
	return sum
}
