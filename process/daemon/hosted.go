package daemon

import (
	"context"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/schema"
)

// coldStartHosts is the number of hosts in a region that share the request rate of an endpoint
// in its cold start. It is fixed rather than the number of live hosts, because after a power cut
// of all hosts none of them knows of the others for a while. It is small because the rate is only
// a few requests a second: among many hosts each share would be far below one request a second,
// and yet all of them could send a request in the same second.
const coldStartHosts = 4

// updateInterval is the interval at which the endpoint table is updated even without a new listing,
// because the shares of an endpoint's rate in its cold start depend on the listed and known hosts.
const updateInterval = time.Second

// runHostedPlatform starts the tasks of a host on a hosted platform: the directory's listeners,
// the platform's feed, the host's registration and the fetching of listings from other hosts.
func (d *Daemon) runHostedPlatform(ctx context.Context, tasks *conc.WaitGroup) error {
	for name, addr := range map[string]netip.AddrPort{"ready": d.cfg.Listen.Ready, "directory": d.cfg.Listen.Directory} {
		if !addr.IsValid() {
			continue
		}
		l, err := d.listen(ctx, name, addr)
		if err != nil {
			return err
		}
		go func() {
			if err := d.directory.Serve(l); err != nil {
				d.log.Error("directory server failed", "address", addr, "error", err)
			}
		}()
	}
	tasks.Go(func() { d.hosted.Feed(d.lists).Run(ctx, feedSink{d}) })
	tasks.Go(func() { d.hosted.Registry.Register(ctx, d.membership.Self(), d.lists.ShouldRegister) })
	tasks.Go(func() { d.updateTablePeriodically(ctx) })
	tasks.Go(func() { d.lists.Run(ctx) })
	tasks.Go(func() { d.origins.Run(ctx) })
	return nil
}

// shutdownDirectory stops the directory server, if there is one. It waits until the given time at most.
func (d *Daemon) shutdownDirectory(by time.Time) {
	if d.directory == nil {
		return
	}
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	if err := d.directory.Shutdown(ctx); err != nil {
		d.log.Info("directory server not shut down", "error", err)
	}
}

// streamOrigins returns the origins of streams. Without a hosted platform, endpoints state no
// software version; it then returns nil.
func (d *Daemon) streamOrigins() vetchtrail.StreamOrigins {
	if d.hosted == nil {
		return nil
	}
	return d.origins
}

// versionStore returns the store in which the software versions of services are persisted; nil: there is none.
func (d *Daemon) versionStore() vetchtrail.VersionStore {
	if d.hosted == nil {
		return nil
	}
	return d.hosted.Versions
}

// feedSink receives the configurations and listings of the platform's feed.
type feedSink struct{ d *Daemon }

// OfferConfiguration implements vetchtrail.Sink.
func (s feedSink) OfferConfiguration(c vetchtrail.Snapshot) error {
	return s.d.changes.ApplySnapshot(&schema.Snapshot{Revision: c.Revision, Edits: schema.FromEdits(c.Edits)})
}

// ReplaceListing implements vetchtrail.Sink.
func (s feedSink) ReplaceListing(l vetchtrail.Listing) { s.d.lists.Update(l) }

// configuration gives package lists access to the host's configuration: lists compares its
// revision with those of other hosts and applies newer changes that it fetches from them.
type configuration struct{ d *Daemon }

// Revision implements lists.Configuration.
func (c configuration) Revision() uint64 { return c.d.changes.Revision() }

// Apply implements lists.Configuration.
func (c configuration) Apply(reply *schema.ChangesReply) error { return c.d.applyChanges(reply) }

// onListsUpdate updates the host after the listing, from the platform or from a peer, or the
// configuration may have changed.
func (d *Daemon) onListsUpdate() {
	if l := d.lists.Listing(); l != nil {
		// Before updateTable: an endpoint that is no longer listed has crashed unless it was
		// leaving, and updateTable removes that information from the table.
		d.quarantines.Listed(l)
		d.origins.Listed(l)
	}
	d.updateTable(time.Now())
	d.setReadyIfComplete()
}

// refreshConfiguration fetches and applies the configuration of another host if that is newer. It
// reports whether the host then has the newest one that it can obtain.
func (d *Daemon) refreshConfiguration(ctx context.Context) bool {
	if d.hosted != nil {
		return d.lists.RefreshConfiguration(ctx)
	}
	h, ahead := d.membership.NewestAhead(time.Now())
	if !ahead {
		return true
	}
	if err := d.pullFrom(ctx, h); err != nil {
		d.log.Info("cannot fetch newer configuration from peer", "peer", h.Name, "error", err)
		return false
	}
	return true
}

// updateTablePeriodically updates the endpoint table each updateInterval until ctx ends.
func (d *Daemon) updateTablePeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, updateInterval)
		d.updateTable(time.Now())
		d.setReadyIfComplete()
	}
}

// lastUpdate describes the last update of the endpoint table from a listing.
type lastUpdate struct {
	mu           sync.Mutex
	listed       []*vetchtrail.Endpoint
	revision     uint64                 // of the configuration
	coldStarting []*vetchtrail.Endpoint // of this region, in their cold start
	baseCount    int                    // number of listed endpoints from which the growth is measured
	releaseAt    time.Time              // of the last scheduled return of memory
}

// updateTable puts the listed endpoints into the endpoint table: those of this region as
// endpoints that the host may call, the others as remote. It goes through all of them only if
// the listing or the configuration has changed; otherwise it updates the shares of the endpoints
// in their cold start.
func (d *Daemon) updateTable(now time.Time) {
	d.lastUpdate.mu.Lock()
	defer d.lastUpdate.mu.Unlock()
	l := d.lists.Listing()
	if l == nil {
		d.appliedRevision.Store(d.changes.Revision())
		return
	}
	rules := d.changes.Rules()
	defer d.appliedRevision.Store(rules.Revision())
	last := &d.lastUpdate
	if last.revision == rules.Revision() && sameSlice(last.listed, l.Endpoints) {
		last.coldStarting = slices.DeleteFunc(last.coldStarting, func(e *vetchtrail.Endpoint) bool { return !now.Before(e.ColdUntil) })
		for _, e := range last.coldStarting {
			d.table.SetColdStartRate(e.Name, d.coldStartShare(e, now))
		}
		return
	}
	last.listed, last.revision, last.coldStarting = l.Endpoints, rules.Revision(), nil
	localRegion, _ := rules.Region(d.cfg.Region)
	localCount := 0
	for _, e := range l.Endpoints {
		if e.Region == d.cfg.Region {
			localCount++
		}
	}
	placed := make([]load.EndpointInRegion, 0, localCount)
	for _, e := range l.Endpoints {
		if e.Region != d.cfg.Region {
			continue
		}
		if now.Before(e.ColdUntil) {
			last.coldStarting = append(last.coldStarting, e)
		}
		placed = append(placed, load.EndpointInRegion{Endpoint: *e, RegionID: localRegion.ID, TotalColdRate: e.ColdRate})
		placed[len(placed)-1].ColdRate = d.coldStartShare(e, now)
	}
	d.table.Configure(placed)
	d.table.SetRemote(func(yield func(load.EndpointInRegion) bool) {
		for _, e := range l.Endpoints {
			if e.Region == d.cfg.Region {
				continue
			}
			if region, _ := rules.Region(e.Region); !yield(load.EndpointInRegion{Endpoint: *e, RegionID: region.ID}) {
				return
			}
		}
	})
	d.endpoints.CloseIdleExcept(l.Endpoints)
	last.releaseMemoryAfterGrowth(len(l.Endpoints), now)
}

const (
	// releaseMinGrowth is the growth of the listing, in endpoints, from which unused memory is
	// returned to the operating system: decoding so many endpoints takes much more memory than
	// storing them.
	releaseMinGrowth = 1000
	// releaseDelay is the time from such a growth until the memory is returned, as a listing may
	// grow in several steps.
	releaseDelay = 3 * time.Second
)

// releaseMemoryAfterGrowth schedules the return of unused memory to the operating system if the
// listing has grown much. Otherwise the runtime of every host of a starting fleet would keep for
// minutes the memory that decoding a full listing took.
func (u *lastUpdate) releaseMemoryAfterGrowth(listedCount int, now time.Time) {
	if listedCount-u.baseCount < releaseMinGrowth {
		u.baseCount = min(u.baseCount, listedCount)
		return
	}
	u.baseCount = listedCount
	if now.Before(u.releaseAt) {
		return
	}
	u.releaseAt = now.Add(releaseDelay)
	time.AfterFunc(releaseDelay, debug.FreeOSMemory)
}

// sameSlice reports whether a and b are the same slice in memory. Listings with the same endpoints
// share one slice, so no endpoints need be compared to find that nothing has changed.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// coldStartShare returns this host's share, in requests a second, of the rate that an endpoint
// accepts in its cold start. It is negative if the host may send the endpoint no requests.
func (d *Daemon) coldStartShare(e *vetchtrail.Endpoint, now time.Time) float64 {
	if e.ColdRate == 0 || !now.Before(e.ColdUntil) {
		return e.ColdRate
	}
	if d.membership.ListedRank("cold "+e.Name, now) >= coldStartHosts {
		return -1
	}
	return e.ColdRate / coldStartHosts
}

// setReadyIfComplete sets a starting host's state to ready once it has a configuration and a
// listing.
func (d *Daemon) setReadyIfComplete() {
	if d.changes.Revision() > 0 && d.lists.Listing() != nil && d.membership.SetReady() {
		d.log.Info("ready", "revision", d.changes.Revision(), "listing", d.lists.Listing().Revision)
	}
}
