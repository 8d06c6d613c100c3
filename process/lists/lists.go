// Package lists holds what a hosted platform lists, endpoints and hosts, and decides which
// hosts ask the platform for it. The others ask those. It lives for the process.
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

// Hosts is what the lists need to know of the other hosts.
type Hosts interface {
	// Rank returns how many live hosts of the region, and of the data centre, go before
	// this one for a duty.
	Rank(duty string, now time.Time) (region, dataCentre int)
	// Ranked returns the first n of the other live hosts of the region for a duty.
	Ranked(duty string, n int, now time.Time) []vetchtrail.Host
	// Ahead returns a host that said to hold a newer configuration.
	Ahead(now time.Time) (vetchtrail.Host, bool)
	SetListed(hosts []vetchtrail.Host)
}

// Peers is how other hosts are asked.
type Peers interface {
	List(ctx context.Context, addr netip.AddrPort, q *schema.ListRequest) (*schema.Listing, error)
	Changes(ctx context.Context, addr netip.AddrPort, from uint64) (*schema.ChangesReply, error)
}

// Configuration is what is held of the configuration.
type Configuration interface {
	Revision() uint64
	// Learned takes what another host told.
	Learned(reply *schema.ChangesReply) error
}

// Config is what Lists need.
type Config struct {
	Self  vetchtrail.Host
	Seeds []netip.AddrPort // peers of some hosts
	// KnownWithin is the time in which all hosts must know of an endpoint that leaves.
	KnownWithin time.Duration
	// Link is how much the host can send, in Mbit/s; 0: not known.
	Link          float64
	Hosts         Hosts
	Peers         Peers
	Configuration Configuration
	Taken         func()           // lists or a configuration were taken; it may be called by many
	Clock         func() time.Time // that goes on while the host is suspended
	Log           *slog.Logger
}

// Lists is what the platform lists, as this host holds it. It is a vetchtrail.Following.
type Lists struct {
	cfg      Config
	born     time.Time
	held     atomic.Pointer[vetchtrail.Listing]
	tookOver atomic.Pointer[time.Time] // when this host began to read for another; nil: never
	heard    atomic.Pointer[time.Time] // when the newest lists that another host told of were read; nil: none did
	platform contact
	newest   newest
	asking   atomic.Int64 // questions of a starting host that are under way
	fetching atomic.Bool  // a starting host is being lent the lists

	mu      sync.Mutex // guards steps of held and what follows
	history history
	sum     uint64 // of the endpoints held
	sending sending
	rnd     *rand.Rand
	cut     map[string]time.Time // until when a host is taken to be turned away by the platform, by name
	unmet   map[string]time.Time // until when a host that did not answer is not asked
}

// New returns lists that hold nothing.
func New(c Config) *Lists {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	return &Lists{
		cfg: c, born: time.Now(), cut: map[string]time.Time{}, unmet: map[string]time.Time{},
		sending: sending{rate: lendPart * c.Link * bytesPerMbit}, rnd: rand.New(rand.NewPCG(xxhash.Sum64String(c.Self.Name), 0)),
	}
}

// bytesPerMbit is how many bytes a megabit is.
const bytesPerMbit = 1e6 / 8

// Listing returns the lists held; nil: none.
func (l *Lists) Listing() *vetchtrail.Listing { return l.held.Load() }

// Take takes lists unless newer ones are held: those of a peer may be newer than what this
// host's feed read before the platform turned it away.
func (l *Lists) Take(in vetchtrail.Listing) {
	l.mu.Lock()
	held := l.held.Load()
	if held == nil || in.Seen >= held.Seen {
		l.replace(held, &in)
	}
	l.mu.Unlock()
	l.cfg.Taken()
}

// replace holds other lists and remembers how they differ. The revision never falls: hosts that ask are
// lent what differs by it. The caller holds the lock.
func (l *Lists) replace(held, in *vetchtrail.Listing) {
	if held == nil {
		l.history.begin(in.Revision)
		l.sum = sumOf(in.Endpoints)
	} else {
		in.Revision = max(in.Revision, held.Revision)
		d := differ(held.Endpoints, in.Endpoints)
		if d.empty() {
			in.Endpoints = held.Endpoints
		}
		l.history.note(held.Revision, in.Revision, d, !slices.Equal(held.Hosts, in.Hosts))
		l.sum += d.sum
	}
	l.held.Store(in)
	l.cfg.Hosts.SetListed(in.Hosts)
}

// contact is whether the platform answers this host.
type contact struct {
	asking atomic.Pointer[time.Time] // since when a call waits; nil: none does
	failed atomic.Bool               // the last call was not answered
}

// lateAnswer is how long a call of the platform may wait before this host is taken to be
// turned away by it: a watch that hears of nothing takes a second, and with less the other hosts would
// read as well whenever nothing changes for so long.
const lateAnswer = 1300 * time.Millisecond

// Asking implements vetchtrail.Following.
func (l *Lists) Asking(now time.Time) { l.platform.asking.Store(&now) }

// Answered implements vetchtrail.Following.
func (l *Lists) Answered(ok bool) {
	l.platform.asking.Store(nil)
	l.platform.failed.Store(!ok)
}

// Cut says whether the platform does not answer this host.
func (l *Lists) Cut(now time.Time) bool {
	since := l.platform.asking.Load()
	return l.platform.failed.Load() || (since != nil && now.Sub(*since) > lateAnswer)
}

// spread is this host's own part of a time over which hosts are spread, 0 to 1.
func (l *Lists) spread() float64 {
	const steps = 1 << 16
	return float64(xxhash.Sum64String("spread "+l.cfg.Self.Name)%steps) / steps
}

// isSeed says whether this host is one that settings of hosts name as a seed.
func (l *Lists) isSeed() bool {
	for _, s := range l.cfg.Seeds {
		if s == l.cfg.Self.Peers {
			return true
		}
	}
	return len(l.cfg.Seeds) == 0
}
