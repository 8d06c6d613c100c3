// Package daemon assembles one host of the system from its parts and runs them: the listeners for
// callers, for peers and operators, for metrics and for the directory, and the background tasks that
// keep the host's configuration, membership and endpoint table up to date. It only connects and
// starts the parts; their logic is in their own packages.
package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"vetchtrail"
	"vetchtrail/connection/buffer"
	"vetchtrail/connection/caller"
	"vetchtrail/connection/descriptors"
	"vetchtrail/connection/dial"
	"vetchtrail/connection/endpoint"
	"vetchtrail/connection/listen"
	"vetchtrail/connection/peer"
	"vetchtrail/connection/store"
	"vetchtrail/process/availability"
	"vetchtrail/process/clock"
	"vetchtrail/process/demand"
	"vetchtrail/process/journal"
	"vetchtrail/process/lists"
	"vetchtrail/process/load"
	"vetchtrail/process/membership"
	"vetchtrail/process/memory"
	"vetchtrail/process/origins"
	"vetchtrail/process/poll"
	"vetchtrail/process/quarantines"
	"vetchtrail/process/quotas"
	"vetchtrail/process/ratelimits"
	"vetchtrail/process/reachability"
	"vetchtrail/process/returns"
	"vetchtrail/process/settings"
	"vetchtrail/process/stopping"
	"vetchtrail/request/budget"
	"vetchtrail/request/dispatch"
	"vetchtrail/request/idempotency"
	"vetchtrail/request/policy"
	"vetchtrail/request/quota"
	"vetchtrail/version/changelog"
)

const (
	// StoreWatchers is the number of hosts in a data centre that watch the store. The others
	// fetch configuration changes from their peers.
	StoreWatchers = 2
	// pullInterval is the pause between two checks for a peer with a newer configuration, and
	// between two attempts of a starting host to read the configuration from the store.
	pullInterval = 200 * time.Millisecond
	// catchUpTimeout bounds one attempt of a starting host to read the configuration from the
	// store, which may be slow.
	catchUpTimeout = 6 * time.Second
	// storeFallbackDelay is how long a starting host tries to read the store before it accepts
	// the configuration of its peers as the newest.
	storeFallbackDelay = 6 * time.Second
)

// Config holds the settings and dependencies of a Daemon.
type Config struct {
	Settings settings.Settings
	Log      *slog.Logger
	// Hosted connects the daemon to a hosted platform. If nil, the configuration comes from
	// the change log in the store and the endpoints from that configuration.
	Hosted *Hosted
}

// Hosted holds the adapters to a hosted platform, which persists the configuration and the
// list of endpoints itself.
type Hosted struct {
	// Feed returns the feed of the platform's configuration and listings. c decides which
	// calls to the platform this host makes.
	Feed       func(c vetchtrail.PollCoordinator) vetchtrail.Feed
	Registry   vetchtrail.HostRegistry    // registers this host with the platform
	Quarantine vetchtrail.QuarantineStore // persists quarantine entries on the platform
	Versions   vetchtrail.VersionStore    // persists the software versions of services on the platform; nil: they aren't persisted
	Dialect    vetchtrail.Dialect         // translates the platform's request and response headers
	Admission  bool                       // the platform's contracts call for admission by shares of the supply
	Buffers    bool                       // the platform's contracts call for a bound on what is buffered for slow readers
	// Directory returns the directory server. bestRegions returns the regions that may process
	// the most requests to a host name that callers use; known is false while the host has no
	// configuration.
	Directory func(m *membership.Membership, bestRegions func(name string) (regions []string, known bool)) Directory
}

// Directory returns to callers the hosts that they are to use, and responds to the platform's
// readiness probe.
type Directory interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
}

// Daemon is one host of the system. New assembles it, Run runs it.
type Daemon struct {
	cfg               settings.Settings
	log               *slog.Logger
	started           time.Time
	self              vetchtrail.Host
	changes           *changelog.Log // the configuration
	table             *load.Table    // state and load of the endpoints
	membership        *membership.Membership
	journal           *journal.Journal
	dispatcher        *dispatch.Dispatcher
	quotas            *quotas.Quotas
	rateLimits        *ratelimits.RateLimits
	demand            *demand.Table          // demand for services and admission
	returns           *returns.Returns       // plans when refused callers retry
	availability      *availability.Observer // availability that endpoints announce: leaving, paused
	quarantines       *quarantines.Quarantines
	quarantineKVStore *quarantines.KVStore // persists quarantine entries unless the platform is hosted
	lists             *lists.Lists         // the hosted platform's listing
	origins           *origins.Origins     // the software versions at which streams began
	peers             *peer.Client
	callers           *caller.Server
	poller            *poll.Poller                    // polls the endpoints' load reports unless the platform is hosted
	server            *peer.Server                    // serves peers and operators
	tls               *tls.Config                     // of the listener for peers; nil: no TLS
	buffers           *buffer.Budget                  // bounds what is buffered for all connections; nil: unbounded
	memory            *memory.Watch                   // refuses requests while memory is short
	descriptors       *descriptors.Budget             // of this process
	connector         *dial.Connector                 // to endpoints and other hosts
	hosted            *Hosted                         // nil unless the platform is hosted
	directory         Directory                       // nil unless the platform is hosted
	endpoints         *endpoint.Client                // sends requests to endpoints
	prober            *reachability.Prober            // finds out which endpoints this host reaches
	timing            atomic.Pointer[settings.Timing] // replaced by Reload; read when the host leaves
	appliedRevision   atomic.Uint64                   // of the configuration that all parts of this host use; reported to other hosts
	lastUpdate        lastUpdate

	stopPlan       stopping.Plan // set before leaveRequested is closed
	leaveRequested chan struct{} // closed by Leave
	leaveOnce      sync.Once
}

// New assembles a daemon. It opens no listeners; Run does.
func New(c Config) (*Daemon, error) {
	d := &Daemon{cfg: c.Settings, log: c.Log, started: time.Now(), table: load.New(), hosted: c.Hosted, leaveRequested: make(chan struct{})}
	d.table.SetSwitchedOff(vetchtrail.MechanismsOf(d.cfg.SwitchedOff...))
	d.table.SetPlacesBySpeed(d.cfg.Placement.BySpeed)
	d.timing.Store(&d.cfg.Timing)
	d.log = c.Log.With("host", c.Settings.Host)
	d.table.SetLog(d.log)
	d.self = vetchtrail.Host{
		Name: d.cfg.Host, Region: d.cfg.Region, DataCentre: d.cfg.DataCentre,
		CallerAddr: d.cfg.Listen.Callers, PeerAddr: d.cfg.Listen.Peers,
		// The start time serves as the incarnation, so that each restart has a higher one.
		Incarnation: uint64(d.started.UnixNano()),
		State:       vetchtrail.HostStarting,
		Capacity:    d.cfg.Limits.Capacity(),
	}
	storeClient := store.New(store.Config{Addr: d.cfg.Platform.Store})
	d.changes = changelog.New(changelog.Config{Store: storeClient, Log: d.log})
	d.quarantineKVStore = &quarantines.KVStore{KV: storeClient, Log: d.log}
	d.buffers = buffer.NewBudget(d.bufferBound())
	d.memory = memory.New(memory.Config{Log: d.log})
	d.memory.SetLimit(d.cfg.Limits.MemoryBytes())
	d.descriptors = descriptors.New(descriptors.Config{Limit: descriptors.ProcessLimit(), Log: d.log})
	d.connector = dial.NewConnector(dial.ConnectorConfig{Descriptors: d.descriptors})
	d.membership = membership.New(membership.Config{
		Self: d.self, Seeds: d.cfg.Seeds, Load: d.table, Revision: d.appliedRevision.Load, Regions: d.regions, Log: d.log, RandomSeed: d.randomSeed(),
		CallsWholeRegion: d.hosted != nil, RateLimits: rateReceiver{d}, LeavingEndpoints: leavingReceiver{d}, Demands: demandExchange{d},
		HeavyTasks: []string{lists.PollTask},
	})
	d.table.SetPeers(d.membership.RegionCount, d.randomSeed())
	d.journal = journal.New(journal.Config{Log: d.log})
	if err := d.newTLS(); err != nil {
		return nil, err
	}
	d.lists = lists.New(lists.Config{
		Self: d.self, Seeds: d.cfg.Seeds, KnownWithin: d.cfg.Platform.KnownWithin, LinkMbps: d.cfg.Limits.Link, Hosts: d.membership, Peers: d.peers,
		Configuration: configuration{d}, OnUpdate: d.onListsUpdate, Clock: clock.Boot, Log: d.log,
	})
	if err := d.newRequestPath(); err != nil {
		return nil, err
	}
	d.poller = poll.New(poll.Config{
		Table: d.table, Assignments: d.membership, Interval: d.cfg.Timing.Poll, EndpointListAddr: d.cfg.Platform.Hosts, Log: d.log,
	})
	var err error
	d.server, err = peer.NewServer(peer.ServerConfig{
		Membership: d.membership, Changes: d.changes, Listings: d.lists, Runner: d.dispatcher, Quotas: d.quotas, RateLimits: d.rateLimits,
		Quarantines: d.quarantines, Origins: d.origins, Operators: &operatorServer{d: d}, Buffers: d.buffers, Memory: d.memory,
	})
	return d, err
}

// newRequestPath creates the parts that requests pass through: quotas, rate limits, quarantine,
// the endpoint client, the dispatcher and the caller server.
func (d *Daemon) newRequestPath() error {
	p, ok := policy.ByName(d.cfg.Policy, vetchtrail.MechanismsOf(d.cfg.SwitchedOff...))
	if !ok {
		return errors.Errorf("daemon.New: unknown policy %q", d.cfg.Policy)
	}
	idempotencyKeys := idempotency.New(idempotency.Config{
		Host: d.self.Name, Incarnation: d.self.Incarnation, KeyTime: d.cfg.Timing.KeyTime, MaxBytes: d.cfg.Limits.Records,
	})
	var dialect vetchtrail.Dialect
	if d.hosted != nil {
		dialect = d.hosted.Dialect
		d.directory = d.hosted.Directory(d.membership, func(name string) ([]string, bool) {
			rules := d.changes.Rules()
			return rules.BestRegions(name, d.callers.RouteRequestCount), rules.Revision() > 0
		})
	}
	d.quotas = quotas.New(quotas.Config{
		Self: d.self, QuotaSource: func() quotas.QuotaSource { return d.changes.Rules() }, Hosts: d.membership, Peers: d.peers, Strategy: d.cfg.Quotas.Strategy, Clock: clock.Boot, Log: d.log,
		Tolerance: quota.Tolerance{Window: d.cfg.Quotas.Window, Overage: d.cfg.Quotas.Overage, Slack: d.cfg.Quotas.Slack},
	})
	switchedOff := vetchtrail.MechanismsOf(d.cfg.SwitchedOff...)
	d.newRateLimits(switchedOff)
	d.newDemand(switchedOff)
	d.newReturns(switchedOff)
	d.availability = availability.New(availability.Config{Observer: d.rateLimits, Table: d.table, Log: d.log})
	d.endpoints = endpoint.New(endpoint.Config{
		Dialect: dialect, Observer: d.availability, SocketBytes: d.socketBytes(), Connector: d.connector, Responses: buffer.NewResponseBudget(d.cfg.ResponseBound()),
		Guard: func(ctx context.Context, e vetchtrail.Endpoint, r *vetchtrail.Request) vetchtrail.Reason {
			d.lists.AwaitResumed(ctx)
			return d.dispatcher.CheckBeforeSend(e, r)
		},
		Connected: func(e vetchtrail.Endpoint) { d.table.RecordConnected(e, time.Now()) },
	})
	d.descriptors.SetMakeRoom(d.endpoints.CloseOldest)
	d.prober = reachability.New(reachability.Config{Table: d.table, Connect: d.endpoints.Connect, Refuses: d.endpoints.RefusesConnection})
	d.newQuarantines(switchedOff)
	d.origins = origins.New(origins.Config{
		Self: d.self, Regions: func() []string { return d.changes.Rules().RegionNames() }, Hosts: liveHosts{d.membership}, Peers: d.peers,
		Listing: d.lists.Listing, KnownWithin: d.cfg.Platform.KnownWithin, Store: d.versionStore(), Log: d.log,
	})
	d.dispatcher = dispatch.New(dispatch.Config{
		Self: d.self, Policy: p, Rules: d.changes.Rules, Endpoints: d.table, Membership: d.membership,
		EndpointCaller: d.endpoints, Peers: d.peers, IssuedKeys: idempotencyKeys, Journal: d.journal, Seed: d.randomSeed(),
		RetryBudget: d.budget(d.cfg.Retries), Quotas: d.quotas, Quarantine: d.quarantines, RateLimits: d.rateLimits, Admission: d.demand, SwitchedOff: switchedOff,
		ProcessEnded: d.prober.ProcessEnded, Returns: d.returns, ReturnsInForce: d.returns.InForce,
		Listing: d.lists.Listing, KnownWithin: d.cfg.Platform.KnownWithin, Origins: d.streamOrigins(),
	})
	d.callers = caller.New(caller.Config{
		Runner: d.dispatcher, Rules: d.changes.Rules, Membership: d.membership, IssuedKeys: idempotencyKeys,
		BodyLimit: d.cfg.Limits.Body, ExposeEndpoint: d.cfg.Explain, Region: d.cfg.Region,
		Dialect: dialect, RoutesOnly: d.hosted != nil, RefreshConfiguration: d.refreshConfiguration,
		Buffers: d.buffers, Descriptors: d.descriptors, Memory: d.memory, Log: d.log,
	})
	return nil
}

// Reload applies the settings that may change while the daemon runs: the timing of a stop, the
// retry budget and the memory from which requests are refused. It returns the names of changed settings that need a restart; it doesn't
// compare all of them.
func (d *Daemon) Reload(s settings.Settings) []string {
	d.timing.Store(&s.Timing)
	d.memory.SetLimit(s.Limits.MemoryBytes())
	d.dispatcher.SetRetryBudget(d.budget(s.Retries))
	var needRestart []string
	for name, unchanged := range map[string]bool{
		"host": s.Host == d.cfg.Host, "region": s.Region == d.cfg.Region, "data_centre": s.DataCentre == d.cfg.DataCentre,
		"listen": s.Listen == d.cfg.Listen, "policy": s.Policy == d.cfg.Policy,
		"admission": s.Admission == d.cfg.Admission, "placement": s.Placement == d.cfg.Placement, "platform.contracts": slices.Equal(s.Platform.Contracts, d.cfg.Platform.Contracts),
		"switched_off": slices.Equal(s.SwitchedOff, d.cfg.SwitchedOff), "tls": s.TLS == d.cfg.TLS,
		"platform.weights": s.Platform.Weights == d.cfg.Platform.Weights,
		"platform.store":   s.Platform.Store == d.cfg.Platform.Store, "explain": s.Explain == d.cfg.Explain,
		"limits.body": s.Limits.Body == d.cfg.Limits.Body, "limits.records": s.Limits.Records == d.cfg.Limits.Records,
		"limits.buffers": s.Limits.Buffers == d.cfg.Limits.Buffers,
	} {
		if !unchanged {
			needRestart = append(needRestart, name)
		}
	}
	slices.Sort(needRestart)
	return needRestart
}

// randomSeed returns the seed of this host's random number generators. It is derived from the
// host's name, so that hosts make different choices and a host makes the same ones after a restart.
func (d *Daemon) randomSeed() uint64 { return xxhash.Sum64String(d.cfg.Host) }

// Run listens and serves until a stop requested by Leave, which may have been called before, is complete or ctx ends. If ctx ends
// first, requests in flight are aborted. Background tasks that don't end within the grace time go
// on when it returns: the process is to exit then.
func (d *Daemon) Run(ctx context.Context) error {
	select {
	case <-d.leaveRequested:
		d.log.Info("stopped") // while it started
		return nil
	default:
	}
	peers, err := d.listen(ctx, "peers", d.cfg.Listen.Peers)
	if err != nil {
		return err
	}
	peers = &descriptors.Listener{Listener: peers, Budget: d.descriptors, Kind: descriptors.Hosts}
	if d.tls != nil {
		peers = tls.NewListener(peers, d.tls)
	} else {
		d.log.Warn("listening for peers and operators without TLS", "address", d.cfg.Listen.Peers, "private_network", d.cfg.TLS.PrivateNetwork)
	}
	callers, err := d.listen(ctx, "callers", d.cfg.Listen.Callers)
	if err != nil {
		_ = peers.Close()
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var tasks conc.WaitGroup
	tasks.Go(func() { d.journal.Run(ctx) })
	tasks.Go(func() { d.table.Run(ctx) })
	tasks.Go(func() { d.memory.Run(ctx) })
	tasks.Go(func() { d.prober.Run(ctx) })
	tasks.Go(func() { d.servePeers(ctx, peers) })
	tasks.Go(func() { d.membership.RunHeartbeats(ctx, d.peers) })
	tasks.Go(func() { d.membership.RunDigestExchanges(ctx, d.peers) })
	tasks.Go(func() { d.pullFromPeers(ctx) })
	tasks.Go(func() { d.quotas.Run(ctx) })
	tasks.Go(func() { d.rateLimits.Run(ctx) })
	tasks.Go(func() { d.quarantines.Run(ctx) })
	if d.cfg.Listen.Metrics.IsValid() {
		metricsListener, err := d.listen(ctx, "metrics", d.cfg.Listen.Metrics)
		if err != nil {
			return err
		}
		tasks.Go(func() { d.serveMetrics(ctx, metricsListener) })
	}
	if d.hosted != nil {
		if err := d.runHostedPlatform(ctx, &tasks); err != nil {
			return err
		}
	} else {
		d.runOwnPlatform(ctx, &tasks)
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- d.callers.Serve(callers) }()
	exitBy, err := d.waitUntilStopped(ctx, serveErr)
	stop()
	tasks.Go(d.peers.Close)
	d.endTasks(&tasks, exitBy)
	d.log.Info("stopped")
	return err
}

// runOwnPlatform starts the tasks of a host whose configuration is in the change log in the
// store.
func (d *Daemon) runOwnPlatform(ctx context.Context, tasks *conc.WaitGroup) {
	tasks.Go(func() { d.applyConfigurations(ctx) })
	tasks.Go(func() { d.becomeReady(ctx) })
	tasks.Go(func() { d.quarantines.Load(ctx, d.quarantineKVStore) })
	tasks.Go(func() { d.poller.Run(ctx) })
	tasks.Go(func() { d.poller.RunEndpointList(ctx) })
	go d.changes.Watch(ctx, func() bool { return d.membership.IsAssigned("watch the store", StoreWatchers, time.Now()) })
}

// regions returns the number of regions in the newest configuration.
func (d *Daemon) regions() int { return len(d.changes.Rules().RegionNames()) }

// budget returns the retry budget for the given settings. On a hosted platform the budget
// holds for all hosts together, and each host takes an equal part; otherwise it holds for
// each process.
func (d *Daemon) budget(b settings.Retries) budget.Config {
	c := budget.Config{Window: b.Window, Share: b.Share, Base: b.Base, Hosts: func() int { return 1 }}
	if d.hosted != nil {
		c.Hosts, c.Started = d.membership.LimitDivisor, d.started
	}
	return c
}

// servePeers serves other hosts and operators on l until ctx ends.
func (d *Daemon) servePeers(ctx context.Context, l net.Listener) {
	if err := d.server.Serve(ctx, l); err != nil {
		d.log.Error("peer server failed", "address", l.Addr(), "error", err)
	}
}

// listen opens a TCP listener on addr that accepts again after failures that pass. name is its name in metrics and logs.
func (d *Daemon) listen(ctx context.Context, name string, addr netip.AddrPort) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return nil, &vetchtrail.PeerError{Step: "listen", Peer: addr.String(), Err: err}
	}
	closeIdle := func() { d.endpoints.CloseIdleExcept(nil) }
	return listen.New(listen.Config{Listener: l, Name: name, Log: d.log, MakeRoom: closeIdle}), nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// becomeReady sets a starting host's state to ready once it has the newest configuration that it can
// obtain: the store's or, if the store doesn't respond, its peers'.
func (d *Daemon) becomeReady(ctx context.Context) {
	began := time.Now()
	for ctx.Err() == nil {
		if d.catchUp(ctx, began) {
			if d.membership.SetReady() {
				d.log.Info("ready", "revision", d.changes.Revision())
			}
			return
		}
		sleep(ctx, pullInterval)
	}
}

// catchUp reads the configuration from the store and reports whether the host then has the newest
// one. If the store still doesn't respond storeFallbackDelay after began, the host's configuration
// counts as the newest unless a peer reports a newer one.
func (d *Daemon) catchUp(ctx context.Context, began time.Time) bool {
	readCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := d.changes.CatchUp(readCtx); err == nil {
		return true
	}
	now := time.Now()
	_, ahead := d.membership.NewestAhead(now)
	return d.changes.Revision() > 0 && !ahead && now.Sub(began) > storeFallbackDelay
}

// pullFromPeers fetches configuration changes from peers that report a newer revision, until
// ctx ends.
func (d *Daemon) pullFromPeers(ctx context.Context) {
	for ctx.Err() == nil {
		if h, ok := d.membership.NewestAhead(time.Now()); ok {
			if err := d.pullFrom(ctx, h); err != nil {
				d.log.Debug("cannot fetch configuration changes from peer", "peer", h.Name, "error", err)
			}
		}
		sleep(ctx, pullInterval)
	}
}

// pullFrom fetches and applies the configuration changes that host h has and this host lacks.
func (d *Daemon) pullFrom(ctx context.Context, h vetchtrail.Host) error {
	reply, err := d.peers.Changes(ctx, h.PeerAddr, d.changes.Revision())
	if err != nil {
		return err
	}
	return d.applyChanges(reply)
}

// applyConfigurations updates the endpoint table on each new configuration until ctx ends. On a
// hosted platform updateTable does this.
func (d *Daemon) applyConfigurations(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.changes.Updated()
		rules := d.changes.Rules()
		var placed []load.EndpointInRegion
		for _, e := range rules.Endpoints(d.cfg.DataCentre) {
			region, _ := rules.Region(e.Region)
			placed = append(placed, load.EndpointInRegion{Endpoint: e, RegionID: region.ID})
		}
		d.table.Configure(placed)
		d.appliedRevision.Store(rules.Revision())
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// Revision returns the revision of the newest configuration that the host has.
func (d *Daemon) Revision() uint64 { return d.changes.Revision() }

// ReachableDataCentres returns the number of remote data centres that the host can reach.
func (d *Daemon) ReachableDataCentres() int {
	n := 0
	for _, c := range d.membership.DataCentres(time.Now()) {
		if c.Reachable {
			n++
		}
	}
	return n
}
