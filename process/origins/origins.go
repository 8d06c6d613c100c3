// Package origins remembers at which software version streams began, so that callers can resume them at any host,
// also after the loss of the host that passed them on. At the first event of a stream, a host sends a record of its
// origin to a few other hosts, chosen by rendezvous hashing of the caller's attempt. The host at which the stream is
// resumed queries them. While a service has had a single version for as long as a stream lasts, nothing is sent.
//
// The records are held in memory only and end with the process. After the loss of all hosts, only the streams of services
// that have had a single version can be resumed: since when they have had it is persisted in the platform's store, where
// two hosts of each region write when a listing shows other versions.
//
// The package doesn't decide where a stream goes on.
package origins

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
	"vetchtrail/process/recent"
	"vetchtrail/schema"
)

const (
	// maxStreamAge is the age up to which a stream can be resumed: some times the deadline of the longest requests.
	maxStreamAge = time.Minute
	// maxRecords bounds the memory of the records to about 6 MB.
	maxRecords = 1 << 16
)

// Hosts provides the other hosts.
type Hosts interface {
	// FirstInRegion returns the n live hosts of a region that rank first for a task, including this host if it is in
	// the region.
	FirstInRegion(region, task string, n int) []vetchtrail.Host
}

// Peers sends messages to other hosts.
type Peers interface {
	StoreOrigins(ctx context.Context, addr netip.AddrPort, m *schema.StreamOrigins) error
	FindOrigin(ctx context.Context, addr netip.AddrPort, m *schema.StreamOriginQuery) (*schema.StreamOriginReply, error)
}

// Config holds the dependencies and settings of Origins.
type Config struct {
	Self    vetchtrail.Host
	Regions func() []string
	Hosts   Hosts
	Peers   Peers
	// Listing returns the newest listing; nil: there is none yet.
	Listing func() *vetchtrail.Listing
	// KnownWithin is the age from which a listing may lack endpoints that other hosts know.
	KnownWithin time.Duration
	Store       vetchtrail.VersionStore // nil: nothing is persisted
	Log         *slog.Logger
}

// Origins holds the origins of streams that this host passed on, and of those that it received from other hosts. It implements
// vetchtrail.StreamOrigins and is safe for concurrent use.
type Origins struct {
	cfg Config

	mu       sync.Mutex
	records  recent.Map[uint64, record]
	services map[string]*versionHistory
	listed   []*vetchtrail.Endpoint // that the histories were updated by
	outboxes map[netip.AddrPort]*outbox

	persistence persistence
}

// record is the origin of a stream.
type record struct {
	service string // empty: received from another host
	version string
	began   time.Time
}

// New returns Origins without records.
func New(c Config) *Origins {
	return &Origins{
		cfg: c, records: recent.Map[uint64, record]{TTL: maxStreamAge, Limit: maxRecords}, services: map[string]*versionHistory{}, outboxes: map[netip.AddrPort]*outbox{},
		persistence: persistence{changed: make(chan struct{}, 1)},
	}
}

// keyOf returns the key of a stream's record.
func keyOf(service, attempt string) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(service)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(attempt)
	return h.Sum64()
}

// Began implements vetchtrail.StreamOrigins.
func (o *Origins) Began(service, attempt string, v vetchtrail.StreamVersion) {
	if !v.Known {
		return
	}
	now, key := time.Now(), keyOf(service, attempt)
	r := record{service: service, version: v.Version, began: now}
	o.mu.Lock()
	o.records.Put(key, r, now)
	_, only := o.onlyVersion(service, now)
	o.mu.Unlock()
	if !only {
		o.replicate(key, r, now)
	}
}

// find returns the record of a stream, and false if there is none or it is too old. The caller holds the lock.
func (o *Origins) find(key uint64, now time.Time) (record, bool) {
	r, ok := o.records.Get(key)
	return r, ok && now.Sub(r.began) <= maxStreamAge
}

// HandleOrigins stores the origins of another host.
func (o *Origins) HandleOrigins(m *schema.StreamOrigins) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, origin := range m.GetOrigins() {
		r := record{version: origin.GetSoftwareVersion(), began: now.Add(-time.Duration(max(0, origin.GetAge())))}
		if _, known := o.find(origin.GetStream(), now); !known {
			o.records.Put(origin.GetStream(), r, now)
		}
	}
}

// HandleQuery answers another host's query for the origin of a stream.
func (o *Origins) HandleQuery(m *schema.StreamOriginQuery) *schema.StreamOriginReply {
	now := time.Now()
	v, only := o.known(m.GetService(), m.GetStream(), now)
	return &schema.StreamOriginReply{SoftwareVersion: schema.FromStreamVersion(v), Only: only, Several: !v.Known && o.listedSeveral(m.GetService(), now)}
}

// known returns what this host knows of a stream's origin: its record or, without one, the version that is the
// service's only one.
func (o *Origins) known(service string, key uint64, now time.Time) (v vetchtrail.StreamVersion, only bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r, ok := o.find(key, now); ok {
		return vetchtrail.StreamVersion{Known: true, Version: r.version}, false
	}
	if version, only := o.onlyVersion(service, now); only {
		return vetchtrail.StreamVersion{Known: true, Version: version}, true
	}
	return vetchtrail.StreamVersion{}, false
}
