// Package lists holds the listing: the endpoints and hosts that a hosted platform's service
// discovery reports. Calls to the platform are rate-limited and billed, so the package decides
// which hosts poll it. All other hosts fetch the listing from those. The package also pulls newer
// configurations from peers.
//
// The package does not call the platform itself: the platform's feed polls it while ShouldPoll
// returns true, and passes each listing to Update. Listings are kept in memory only.
package lists

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
	"vetchtrail/schema"
)

// Hosts is the view of the other hosts that Lists needs. Hosts are ranked for a task by
// rendezvous hashing.
type Hosts interface {
	// Rank returns how many live hosts rank before this one for a task, in the region and
	// in the data centre.
	Rank(task string, now time.Time) (region, dataCentre int)
	// FirstOthers returns the first n of the region's other live hosts for a task.
	FirstOthers(task string, n int, now time.Time) []vetchtrail.Host
	// NewestAhead returns a host that reported a newer configuration than this host's.
	NewestAhead(now time.Time) (vetchtrail.Host, bool)
	// SetListedHosts receives the hosts of each new listing.
	SetListedHosts(hosts []vetchtrail.Host)
}

// Peers sends queries to other hosts.
type Peers interface {
	// List queries a host for its listing.
	List(ctx context.Context, addr netip.AddrPort, q *schema.ListRequest) (*schema.Listing, error)
	// Changes queries a host for the configuration changes after a revision.
	Changes(ctx context.Context, addr netip.AddrPort, from uint64) (*schema.ChangesReply, error)
}

// Configuration is this host's copy of the configuration.
type Configuration interface {
	// Revision returns the revision of the copy; 0: there is none yet.
	Revision() uint64
	// Apply applies the changes that another host sent.
	Apply(reply *schema.ChangesReply) error
}

// Config configures Lists.
type Config struct {
	Self vetchtrail.Host
	// Seeds are the peer addresses of some hosts, from which a starting host fetches its
	// first listing.
	Seeds []netip.AddrPort
	// KnownWithin is the time within which a change of the platform's listing, such as a leaving
	// endpoint, must reach all hosts.
	KnownWithin time.Duration
	// LinkMbps is the send capacity of the host's network link in Mbit/s; 0: not known.
	LinkMbps      float64
	Hosts         Hosts
	Peers         Peers
	Configuration Configuration
	// OnUpdate is called after a listing or a configuration may have changed. Calls may be
	// concurrent.
	OnUpdate func()
	// Clock returns the time of a clock that runs on while the host is suspended. The times of
	// quarantine entries are read from it. If nil, time.Now is used.
	Clock func() time.Time
	Log   *slog.Logger
}

// Lists holds this host's copy of the listing and decides whether this host polls the
// platform. It implements vetchtrail.PollCoordinator.
type Lists struct {
	cfg       Config
	startedAt time.Time
	current   atomic.Pointer[vetchtrail.Listing] // nil: no listing yet
	// takeoverAt is when this host last began to poll in place of a host that ranks before
	// it; nil: never.
	takeoverAt atomic.Pointer[time.Time]
	// lastPeerPoll is the latest time at which the platform was polled, according to the
	// replies of busy hosts; nil: there was no such reply.
	lastPeerPoll    atomic.Pointer[time.Time]
	platform        platformStatus
	configCheck     configCheck
	startupQueries  atomic.Int64 // startup queries in flight
	startupFetching atomic.Bool  // the first listing is being fetched from a peer
	rounds          rounds

	mu       sync.Mutex // guards replacing current, and all fields below
	history  history
	checksum uint64 // of the endpoints in current
	uplink   uplink
	rnd      *rand.Rand
	// rejectedUntil maps the name of a peer to the time until which this host assumes that the
	// platform rejects the peer.
	rejectedUntil map[string]time.Time
	// unreachableUntil maps the name of a peer that did not respond to the time until which
	// it is not queried again.
	unreachableUntil map[string]time.Time
	// settlingUntil maps the name of a peer that has just started to the time until which this host
	// takes it that the peer doesn't poll.
	settlingUntil map[string]time.Time
	// silentUntil maps the name of a peer that has not responded within hedgeDelay to the time until
	// which this is known.
	silentUntil map[string]time.Time
}

// New returns Lists without a listing.
func New(c Config) *Lists {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	return &Lists{
		cfg: c, startedAt: time.Now(), rejectedUntil: map[string]time.Time{}, unreachableUntil: map[string]time.Time{}, settlingUntil: map[string]time.Time{}, silentUntil: map[string]time.Time{},
		uplink: uplink{bytesPerSecond: servedLinkShare * c.LinkMbps * bytesPerMbit}, rnd: rand.New(rand.NewPCG(xxhash.Sum64String(c.Self.Name), 0)),
	}
}

// bytesPerMbit is the number of bytes in a megabit.
const bytesPerMbit = 1e6 / 8

// Listing returns the current listing; nil: there is none yet.
func (l *Lists) Listing() *vetchtrail.Listing { return l.current.Load() }

// Update makes next the current listing unless the current one is newer. It can be newer if it was
// fetched from a peer because the platform rejects this host, and if next is what the host's feed
// read before that.
func (l *Lists) Update(next vetchtrail.Listing) {
	l.mu.Lock()
	current := l.current.Load()
	if current == nil || next.ConfirmedRevision >= current.ConfirmedRevision {
		l.replace(current, &next)
	}
	l.mu.Unlock()
	l.cfg.OnUpdate()
}

// replace makes next the current listing and records how it differs from current. The
// revision must never decrease, because a peer is served the changes since the revision that it
// has. The caller holds the lock.
func (l *Lists) replace(current, next *vetchtrail.Listing) {
	if current == nil {
		l.history.reset(next.Revision)
		l.checksum = checksumOf(next.Endpoints)
	} else {
		next.Revision = max(next.Revision, current.Revision)
		d := diffEndpoints(current.Endpoints, next.Endpoints)
		if d.empty() {
			next.Endpoints = current.Endpoints
		}
		l.history.record(current.Revision, next.Revision, d, !slices.Equal(current.Hosts, next.Hosts))
		l.checksum += d.checksum
		l.logChange(current, next, &d)
	}
	l.current.Store(next)
	l.cfg.Hosts.SetListedHosts(next.Hosts)
}

// maxLoggedNames is how many endpoints a log line about a change of the listing names.
const maxLoggedNames = 16

// logChange logs which endpoints differ between two listings, and how long ago the platform was read for each.
func (l *Lists) logChange(current, next *vetchtrail.Listing, d *endpointDiff) {
	if d.empty() {
		return
	}
	var draining, changed []string
	for _, e := range d.changed {
		if e.Draining {
			draining = append(draining, e.Name)
		} else {
			changed = append(changed, e.Name)
		}
	}
	now := time.Now()
	l.cfg.Log.Info("listing changed", "listing", next.Revision, "store_revision", next.ConfirmedRevision, "age", now.Sub(next.ReadAt),
		"was", current.Revision, "was_age", now.Sub(current.ReadAt), "draining", firstNames(draining), "changed", firstNames(changed), "gone", firstNames(d.removed))
}

// firstNames returns at most maxLoggedNames of some names.
func firstNames(names []string) []string { return names[:min(len(names), maxLoggedNames)] }

// platformStatus tracks whether the platform responds to this host.
type platformStatus struct {
	callStarted    atomic.Pointer[time.Time] // start of the call in flight; nil: none
	lastCallFailed atomic.Bool
}

// slowCallThreshold is how long a call to the platform may take before this host counts as
// rejected. A watch call returns after a second if nothing changes. With a threshold below that,
// other hosts would also poll whenever nothing changes.
const slowCallThreshold = 1300 * time.Millisecond

// CallStarted implements vetchtrail.PollCoordinator: it records the start of a call to the
// platform.
func (l *Lists) CallStarted(now time.Time) { l.platform.callStarted.Store(&now) }

// CallEnded implements vetchtrail.PollCoordinator: it records the end of a call to the
// platform.
func (l *Lists) CallEnded(ok bool) {
	l.platform.callStarted.Store(nil)
	l.platform.lastCallFailed.Store(!ok)
}

// selfRejected reports whether the platform rejects this host: the last call failed, or the
// current one is slow.
func (l *Lists) selfRejected(now time.Time) bool {
	since := l.platform.callStarted.Load()
	return l.platform.lastCallFailed.Load() || (since != nil && now.Sub(*since) > l.scaled(slowCallThreshold))
}

// jitter returns a fraction from 0 to 1 that is derived from this host's name. It spreads actions
// that all hosts would otherwise take at once.
func (l *Lists) jitter() float64 {
	const steps = 1 << 16
	return float64(xxhash.Sum64String("spread "+l.cfg.Self.Name)%steps) / steps
}

// isSeed reports whether this host is one of the seeds. Without seeds in the settings every
// host is one.
func (l *Lists) isSeed() bool {
	for _, s := range l.cfg.Seeds {
		if s == l.cfg.Self.PeerAddr {
			return true
		}
	}
	return len(l.cfg.Seeds) == 0
}
