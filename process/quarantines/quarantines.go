// Package quarantines detects poison requests, which crash the endpoints that run them, and poison
// parts, which crash those that run any request with them in its prompt. It quarantines both on all
// hosts. Each host finds out which endpoints have crashed with its requests and reports these crashes
// to the crash aggregators of all regions. The aggregators decide which requests and parts to
// quarantine and send the entries to all hosts, which refuse these requests. The rules
// of the decision are in package request/quarantine; nothing here is kept across a restart, except
// through the vetchtrail.QuarantineStore.
package quarantines

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"vetchtrail"
	"vetchtrail/process/recent"
	"vetchtrail/request/quarantine"
	"vetchtrail/schema"
)

const (
	// aggregatorTask is the task for which the crash aggregators are ranked. All hosts hash this
	// text to agree on the ranking, so it has to stay the same.
	aggregatorTask = "count ends"
	// aggregatorsPerRegion is more than one, so that the loss of one host loses no reported
	// crashes.
	aggregatorsPerRegion = 2
	// maxSuspectsPerMessage bounds the suspects in a message.
	maxSuspectsPerMessage = 32
	// suspectThreshold is the number of crashes from which aggregators report a request to all
	// hosts as a suspect. A host that serves a suspect reports that, which clears the request.
	suspectThreshold = 2
	// suspectsTTL is how long a host that isn't an aggregator shows the suspects that it received.
	// It is longer than the interval between two exchanges, also with 300 hosts in a region.
	suspectsTTL = time.Minute
)

// Hosts provides the other hosts.
type Hosts interface {
	// FirstInRegion returns the n live hosts of a region that rank first for a task, including this
	// host if it is in the region. It has no time as an argument: the implementation decides by its
	// own clock which hosts are alive. By the times of Config.Clock, lost hosts would count as alive
	// for ever.
	FirstInRegion(region, task string, n int) []vetchtrail.Host
}

// Peers sends messages to other hosts and returns their replies.
type Peers interface {
	ReportCrashes(ctx context.Context, addr netip.AddrPort, m *schema.Ends) (*schema.Holds, error)
	ExchangeEntries(ctx context.Context, addr netip.AddrPort, m *schema.Holds) (*schema.Holds, error)
}

// Config holds the dependencies and settings of Quarantines.
type Config struct {
	Self    vetchtrail.Host
	Regions func() []string
	Hosts   Hosts
	Peers   Peers
	// ProcessEnded reports whether the process of an endpoint seems to have ended: the endpoint refuses connections,
	// and this host reaches others.
	ProcessEnded func(ctx context.Context, e vetchtrail.Endpoint) bool
	// IsLeaving reports whether an endpoint is known to be leaving. If it stops then, that isn't a
	// crash.
	IsLeaving   func(name string) bool
	Store       vetchtrail.QuarantineStore // nil: entries last only as long as a host has them
	Clock       func() time.Time           // continues while the host is suspended
	SwitchedOff bool                       // nothing is detected or quarantined
	Log         *slog.Logger
}

// Quarantines detects and refuses poison requests on one host, together with the other hosts. It
// implements vetchtrail.Quarantine and is safe for concurrent use.
type Quarantines struct {
	cfg         Config
	entries     *quarantine.Entries
	lossTracker lossTracker
	wake        chan struct{} // makes Run report and detect at once

	mu       sync.Mutex // guards the fields below
	history  *quarantine.CrashHistory
	detectAt time.Time            // when to run the next detection; zero: not needed
	suspects []quarantine.Suspect // those with most crashes first
	// suspectsUntil is when suspects received from an aggregator expire. Those that an aggregator
	// found itself don't expire.
	suspectsUntil time.Time
	watched       watchedRequests
	soundParts    recent.Map[vetchtrail.ContentHash, time.Time] // when requests with a part, which were answered here, last began to be
	// suspectedSince is since when the parts among the suspects have been suspected.
	suspectedSince map[vetchtrail.ContentHash]time.Time
	soundReported  map[vetchtrail.ContentHash]time.Time                  // when this host last reported that a suspected part is sound
	served         []servedRequest                                       // not reported yet
	crashes        []quarantine.Crash                                    // detected by this host, not reported yet
	recentCrashes  []quarantine.Crash                                    // detected by this host within recentCrashTTL
	informed       map[hostInstance]bool                                 // aggregators that were sent recentCrashes
	persisted      map[vetchtrail.ContentHash]vetchtrail.QuarantineEntry // entries as the platform has them
}

// servedRequest is a watched request that an endpoint has served.
type servedRequest struct {
	contentHash vetchtrail.ContentHash
	at          time.Time
}

// New returns Quarantines with no entries.
func New(c Config) *Quarantines {
	return &Quarantines{
		cfg: c, entries: quarantine.NewEntries(), wake: make(chan struct{}, 1), lossTracker: newLossTracker(),
		history: quarantine.NewCrashHistory(), persisted: map[vetchtrail.ContentHash]vetchtrail.QuarantineEntry{},
		soundParts:    recent.Map[vetchtrail.ContentHash, time.Time]{TTL: soundPartTTL, Limit: maxSoundParts},
		soundReported: map[vetchtrail.ContentHash]time.Time{},
	}
}

// Quarantined implements vetchtrail.Quarantine. While nothing is quarantined it costs one atomic
// load. Otherwise it computes the request's content hash, once per request, and looks it up, as well as the parts of its
// prompt that others may share.
func (q *Quarantines) Quarantined(r *vetchtrail.Request) (vetchtrail.QuarantineEntry, bool) {
	if q.cfg.SwitchedOff || !q.entries.AnyActive() {
		return vetchtrail.QuarantineEntry{}, false
	}
	if entry, ok := q.entries.Lookup(r.ContentHash(), q.cfg.Clock); ok {
		return entry, true
	}
	for _, part := range r.SharedParts() {
		if entry, ok := q.entries.Lookup(vetchtrail.PartHash(r.Service, part.ID), q.cfg.Clock); ok {
			entry.Part = true
			return entry, true
		}
	}
	return vetchtrail.QuarantineEntry{}, false
}

// Answered implements vetchtrail.Quarantine.
func (q *Quarantines) Answered(r *vetchtrail.Request, t vetchtrail.Timing) {
	if q.cfg.SwitchedOff {
		return
	}
	now := q.cfg.Clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	began := now
	if !t.FirstByte.IsZero() {
		began = now.Add(-time.Since(t.FirstByte))
	}
	parts := r.SharedParts()
	for i, part := range parts {
		q.recordSound(vetchtrail.PartHash(r.Service, part.ID), soundTime(parts, i, began, now), now)
	}
	if q.watched.empty() {
		return
	}
	q.watched.removeExpired(now)
	q.reportServed(r.ContentHash(), now)
	for i, part := range parts {
		q.reportServed(vetchtrail.PartHash(r.Service, part.ID), soundTime(parts, i, began, now))
	}
}

// reportServed reports a request, or a part of one, that was served, if it is watched. The caller holds the lock.
func (q *Quarantines) reportServed(hash vetchtrail.ContentHash, at time.Time) {
	if q.watched.remove(hash) {
		q.served = append(q.served, servedRequest{contentHash: hash, at: at})
		q.wakeRun()
	}
}

// Entries returns the requests that are quarantined or were lately, and the suspects.
func (q *Quarantines) Entries() ([]vetchtrail.QuarantineEntry, []quarantine.Suspect) {
	now := q.cfg.Clock()
	isAggregator := q.isAggregator()
	q.mu.Lock()
	defer q.mu.Unlock()
	if !isAggregator && !now.Before(q.suspectsUntil) {
		q.suspects = nil
	}
	return q.entries.All(now), slices.Clone(q.suspects)
}

// Release ends the quarantine of a request on all hosts. It returns false if the request isn't
// quarantined.
func (q *Quarantines) Release(hash vetchtrail.ContentHash) (vetchtrail.QuarantineEntry, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Clock()
	entry, ok := q.entries.Release(hash, now)
	if ok {
		q.cfg.Log.Info("request released from quarantine", "digest", hash.String(), "strike", entry.Count)
		q.history.RecordServed(hash, now)
		q.broadcast([]vetchtrail.QuarantineEntry{entry}, now)
	}
	return entry, ok
}

// wakeRun makes Run report and detect at once. The caller holds the lock.
func (q *Quarantines) wakeRun() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// isAggregator reports whether this host is a crash aggregator of its region.
func (q *Quarantines) isAggregator() bool {
	return slices.ContainsFunc(q.aggregatorsIn(q.cfg.Self.Region), func(h vetchtrail.Host) bool { return h.Name == q.cfg.Self.Name })
}

// aggregatorsIn returns the crash aggregators of a region: the hosts ranked first for
// aggregatorTask.
func (q *Quarantines) aggregatorsIn(region string) []vetchtrail.Host {
	return q.cfg.Hosts.FirstInRegion(region, aggregatorTask, aggregatorsPerRegion)
}

// merge merges entries from another host or from the platform, and returns those that changed
// something. The caller holds the lock.
func (q *Quarantines) merge(in []vetchtrail.QuarantineEntry, now time.Time) []vetchtrail.QuarantineEntry {
	var changed []vetchtrail.QuarantineEntry
	for _, entry := range in {
		entry.Until = vetchtrail.Earlier(entry.Until, now.Add(quarantine.EntryDuration(entry.Count)))
		if !q.entries.Merge(entry, now) {
			continue
		}
		changed = append(changed, entry)
		if entry.Released {
			q.history.RecordServed(entry.ContentHash, now)
		}
	}
	return changed
}

// watchedRequests is the content hashes of requests whose response was lost on this host, and of the
// suspects that it received. A host that serves one of them reports it, which clears the request.
// Only the latest are remembered.
type watchedRequests struct {
	expiresAt map[vetchtrail.ContentHash]time.Time // expiry by content hash
	order     []vetchtrail.ContentHash
}

const (
	// maxWatched bounds the hashes. It is enough for the requests of some dozen crashed endpoints.
	maxWatched = 2048
	// watchedTTL is how long a hash is remembered. The caller has retried by then. While any are
	// remembered, the content hash of every answered request is computed.
	watchedTTL = 2 * time.Minute
)

func (w *watchedRequests) empty() bool { return len(w.expiresAt) == 0 }

func (w *watchedRequests) add(hash vetchtrail.ContentHash, now time.Time) {
	if w.expiresAt == nil {
		w.expiresAt = map[vetchtrail.ContentHash]time.Time{}
	}
	if _, known := w.expiresAt[hash]; !known {
		w.order = append(w.order, hash)
	}
	w.expiresAt[hash] = now.Add(watchedTTL)
	for len(w.order) > maxWatched {
		w.removeOldest()
	}
}

// removeOldest removes the hash that was added first.
func (w *watchedRequests) removeOldest() {
	delete(w.expiresAt, w.order[0])
	w.order = w.order[1:]
}

// removeExpired removes expired hashes, in the order in which they were added.
func (w *watchedRequests) removeExpired(now time.Time) {
	for len(w.order) > 0 && !now.Before(w.expiresAt[w.order[0]]) {
		w.removeOldest()
	}
}

func (w *watchedRequests) remove(hash vetchtrail.ContentHash) bool {
	if _, known := w.expiresAt[hash]; !known {
		return false
	}
	delete(w.expiresAt, hash)
	w.order = slices.DeleteFunc(w.order, func(other vetchtrail.ContentHash) bool { return other == hash })
	return true
}
