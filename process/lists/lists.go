// Package lists holds the listing: the endpoints and hosts that a hosted platform's service
// discovery reports. Calls to the platform are limited and priced, so the package decides which
// hosts poll it. All other hosts fetch the listing from those. The package also pulls newer
// configurations from peers.
//
// The package does not call the platform itself: the platform's feed does so when Lists
// allows it, and passes in what it read. Nothing is stored; a listing lasts as long as the
// process.
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
	// SetListedHosts passes on the hosts of a new listing.
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
	// KnownWithin is the time within which all hosts must know that an endpoint is leaving.
	KnownWithin time.Duration
	// LinkMbps is the send capacity of the host's network link in Mbit/s; 0: not known.
	LinkMbps      float64
	Hosts         Hosts
	Peers         Peers
	Configuration Configuration
	// OnUpdate is called after a listing or a configuration may have changed. Calls may be
	// concurrent.
	OnUpdate func()
	// Clock returns the time of a clock that runs on while the host is suspended; quarantine
	// entries are timed by it.
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
	// lastPeerPoll is the latest time, among the replies of busy hosts, at which the
	// platform was polled; nil: there was no such reply.
	lastPeerPoll    atomic.Pointer[time.Time]
	platform        platformStatus
	configCheck     configCheck
	startupQueries  atomic.Int64 // startup queries in flight
	startupFetching atomic.Bool  // the first listing is being fetched from a peer

	mu       sync.Mutex // guards replacing current, and all fields below
	history  history
	checksum uint64 // of the endpoints in current
	uplink   uplink
	rnd      *rand.Rand
	// rejectedUntil has, by host name, until when this host assumes that the platform
	// rejects that host.
	rejectedUntil map[string]time.Time
	// unreachableUntil has, by host name, until when a host that did not answer is not
	// queried.
	unreachableUntil map[string]time.Time
}

// New returns Lists without a listing.
func New(c Config) *Lists {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	return &Lists{
		cfg: c, startedAt: time.Now(), rejectedUntil: map[string]time.Time{}, unreachableUntil: map[string]time.Time{},
		uplink: uplink{bytesPerSecond: servedLinkShare * c.LinkMbps * bytesPerMbit}, rnd: rand.New(rand.NewPCG(xxhash.Sum64String(c.Self.Name), 0)),
	}
}

// bytesPerMbit is the number of bytes in a megabit.
const bytesPerMbit = 1e6 / 8

// Listing returns the current listing; nil: there is none yet.
func (l *Lists) Listing() *vetchtrail.Listing { return l.current.Load() }

// Update makes next the current listing unless the current one is newer. That happens when the
// current one was fetched from a peer, and next is the last that this host's feed read before
// the platform rejected it.
func (l *Lists) Update(next vetchtrail.Listing) {
	l.mu.Lock()
	current := l.current.Load()
	if current == nil || next.ConfirmedRevision >= current.ConfirmedRevision {
		l.replace(current, &next)
	}
	l.mu.Unlock()
	l.cfg.OnUpdate()
}

// replace makes next the current listing and records how it differs from the last one. The
// revision never falls, because peers are served the changes since a revision. The caller
// holds the lock.
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
	}
	l.current.Store(next)
	l.cfg.Hosts.SetListedHosts(next.Hosts)
}

// platformStatus tracks whether the platform answers this host.
type platformStatus struct {
	callStarted    atomic.Pointer[time.Time] // start of the call in flight; nil: none
	lastCallFailed atomic.Bool
}

// slowCallThreshold is how long a call to the platform may take before this host counts as
// rejected. A watch of the platform returns after a second if nothing changes; with a
// threshold below that, other hosts would poll too whenever nothing changes.
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

// Rejected reports whether the platform rejects this host: the last call failed, or the
// current one is slow.
func (l *Lists) Rejected(now time.Time) bool {
	since := l.platform.callStarted.Load()
	return l.platform.lastCallFailed.Load() || (since != nil && now.Sub(*since) > slowCallThreshold)
}

// jitter returns a fraction from 0 to 1 that is fixed for this host's name. It spreads over
// time what all hosts would otherwise do at once.
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
