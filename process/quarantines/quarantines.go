// Package quarantines finds the requests under which endpoints end and holds them back on all
// hosts, by the rules of request/quarantine: it makes sure that an endpoint has ended, tells
// the hosts that count what was there, and spreads what they hold back. It lives for the
// process.
package quarantines

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"time"

	"vetchtrail"
	"vetchtrail/request/quarantine"
	"vetchtrail/schema"
)

const (
	// counterDuty names the duty to count ends.
	counterDuty = "count ends"
	// counters is how many hosts of a region count, so that the loss of one loses no count.
	counters = 2
	// suspectsTold bounds the suspects in a message.
	suspectsTold = 32
	// suspectAt is from how many ends on all hosts are told of a suspect, so that whoever
	// serves it says so.
	suspectAt = 2
	// suspectsFor is for how long a host that doesn't count believes in the suspects that it was
	// told: longer than the pause between two questions, also with 300 hosts in its region.
	suspectsFor = time.Minute
)

// Hosts is what quarantines know of the other hosts.
type Hosts interface {
	// RankedIn returns the first n hosts of a region for a duty that live now, this one too if it
	// is in the region. Which live is told by another clock than Config.Clock: a moment of that
	// one would have hosts live for ever that are gone.
	RankedIn(region, duty string, n int) []vetchtrail.Host
}

// Peers is how quarantines reach other hosts.
type Peers interface {
	Ended(ctx context.Context, addr netip.AddrPort, m *schema.Ends) (*schema.Holds, error)
	Hold(ctx context.Context, addr netip.AddrPort, m *schema.Holds) (*schema.Holds, error)
}

// Config is what Quarantines need.
type Config struct {
	Self    vetchtrail.Host
	Regions func() []string
	Hosts   Hosts
	Peers   Peers
	// Refuses says whether an endpoint refuses connections.
	Refuses func(ctx context.Context, e vetchtrail.Endpoint) bool
	// Leaving says whether an endpoint is known to leave: that it ends then is no fault.
	Leaving func(name string) bool
	Keeper  vetchtrail.HoldKeeper // nil: holds last as long as hosts that know them
	Clock   func() time.Time      // that goes on while the host is suspended
	Off     bool                  // nothing is held back
	Log     *slog.Logger
}

// Quarantines is a host's part in holding requests back. It is a vetchtrail.Quarantine, and
// safe for use by many.
type Quarantines struct {
	cfg   Config
	holds *quarantine.Entries
	watch watch
	wake  chan struct{} // for the duties of Run

	mu       sync.Mutex // guards what follows
	evidence *quarantine.CrashHistory
	judge    time.Time // when there is something to judge; zero: there is not
	suspects []quarantine.Suspect
	// suspectsUntil is until when those stand that a counter told; a counter's own stand.
	suspectsUntil time.Time
	suspected     suspected
	served        []served                              // not told of yet
	ends          []quarantine.Crash                    // of this host's endpoints, not told of yet
	recent        []quarantine.Crash                    // the last of them, told of or not
	met           map[process]bool                      // counters that were told of those
	kept          map[vetchtrail.Digest]vetchtrail.Hold // as the platform keeps them
}

type served struct {
	digest vetchtrail.Digest
	at     time.Time
}

// New returns quarantines that hold nothing back.
func New(c Config) *Quarantines {
	return &Quarantines{
		cfg: c, holds: quarantine.NewEntries(), wake: make(chan struct{}, 1), watch: newWatch(),
		evidence: quarantine.NewCrashHistory(), kept: map[vetchtrail.Digest]vetchtrail.Hold{},
	}
}

// Held implements vetchtrail.Quarantine. Where nothing is held back it costs a load of a
// pointer; else the request's digest, once, and a look-up.
func (q *Quarantines) Held(r *vetchtrail.Request) (vetchtrail.Hold, bool) {
	if q.cfg.Off || !q.holds.AnyActive() {
		return vetchtrail.Hold{}, false
	}
	return q.holds.Lookup(r.Digest(), q.cfg.Clock)
}

// Answered implements vetchtrail.Quarantine.
func (q *Quarantines) Answered(r *vetchtrail.Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.suspected.none() {
		return
	}
	now := q.cfg.Clock()
	q.suspected.forget(now)
	if d := r.Digest(); q.suspected.remove(d) {
		q.served = append(q.served, served{digest: d, at: now})
		q.stir()
	}
}

// Holds returns the requests that are held back or were lately, and those that may be soon.
func (q *Quarantines) Holds() ([]vetchtrail.Hold, []quarantine.Suspect) {
	now := q.cfg.Clock()
	counts := q.counts()
	q.mu.Lock()
	defer q.mu.Unlock()
	if !counts && !now.Before(q.suspectsUntil) {
		q.suspects = nil
	}
	return q.holds.All(now), slices.Clone(q.suspects)
}

// Release lets a request go and tells all hosts. It returns false if it is not held back.
func (q *Quarantines) Release(d vetchtrail.Digest) (vetchtrail.Hold, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Clock()
	hold, ok := q.holds.Release(d, now)
	if ok {
		q.cfg.Log.Info("request let go", "digest", d.String(), "strike", hold.Strike)
		q.evidence.RecordServed(d, now)
		q.spread([]vetchtrail.Hold{hold}, now)
	}
	return hold, ok
}

// stir makes Run look at once. The caller holds the lock.
func (q *Quarantines) stir() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// counts says whether this host is one of its region that count.
func (q *Quarantines) counts() bool {
	return slices.ContainsFunc(q.countersOf(q.cfg.Self.Region), func(h vetchtrail.Host) bool { return h.Name == q.cfg.Self.Name })
}

func (q *Quarantines) countersOf(region string) []vetchtrail.Host {
	return q.cfg.Hosts.RankedIn(region, counterDuty, counters)
}

// take takes holds that were told, and returns those that were news. The caller holds the
// lock.
func (q *Quarantines) take(in []vetchtrail.Hold, now time.Time) []vetchtrail.Hold {
	var news []vetchtrail.Hold
	for _, h := range in {
		h.Until = vetchtrail.Earlier(h.Until, now.Add(quarantine.HoldTime(h.Strike)))
		if !q.holds.Merge(h, now) {
			continue
		}
		news = append(news, h)
		if h.Released {
			q.evidence.RecordServed(h.Digest, now)
		}
	}
	return news
}

// suspected are the digests of requests that were lost with an endpoint, here or elsewhere:
// whoever serves one says so. Only the newest are remembered.
type suspected struct {
	all   map[vetchtrail.Digest]time.Time // until when
	order []vetchtrail.Digest
}

const (
	// mostSuspected bounds the digests remembered: those of some dozen endpoints' requests.
	mostSuspected = 2048
	// suspectedFor is for how long one is remembered. Its caller has asked again by then, and
	// while some are, the digest of each request that is answered is taken.
	suspectedFor = 2 * time.Minute
)

func (s *suspected) none() bool { return len(s.all) == 0 }

func (s *suspected) add(d vetchtrail.Digest, now time.Time) {
	if s.all == nil {
		s.all = map[vetchtrail.Digest]time.Time{}
	}
	if _, known := s.all[d]; !known {
		s.order = append(s.order, d)
	}
	s.all[d] = now.Add(suspectedFor)
	for len(s.order) > mostSuspected {
		s.drop()
	}
}

// drop forgets the one that was added first.
func (s *suspected) drop() {
	delete(s.all, s.order[0])
	s.order = s.order[1:]
}

// forget drops those that were added first and are too old.
func (s *suspected) forget(now time.Time) {
	for len(s.order) > 0 && !now.Before(s.all[s.order[0]]) {
		s.drop()
	}
}

func (s *suspected) remove(d vetchtrail.Digest) bool {
	if _, known := s.all[d]; !known {
		return false
	}
	delete(s.all, d)
	s.order = slices.DeleteFunc(s.order, func(other vetchtrail.Digest) bool { return other == d })
	return true
}
