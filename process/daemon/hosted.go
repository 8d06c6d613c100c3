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

// coldHosts is how many hosts of a region share what a cold endpoint bears,
// whoever lives: after a power cut of all, each believes for a while that it is
// the only one. With a few requests a second to share, more hosts would each have
// so little that all could still send one in the same second.
const coldHosts = 4

// placeEvery is how often the endpoints are placed again though nothing was
// listed: the parts of cold ones follow from live membership.
const placeEvery = time.Second

// runHosted starts the duties of a host on a platform that keeps the
// configuration and the list of endpoints.
func (d *Daemon) runHosted(ctx context.Context, duties *conc.WaitGroup) error {
	for _, addr := range []netip.AddrPort{d.set.Listen.Ready, d.set.Listen.Directory} {
		if !addr.IsValid() {
			continue
		}
		l, err := listen(ctx, addr)
		if err != nil {
			return err
		}
		go func() {
			if err := d.directory.Serve(l); err != nil {
				d.log.Error("directory ended", "address", addr, "error", err)
			}
		}()
	}
	duties.Go(func() { d.hosted.Feed(d.lists).Run(ctx, hostedSink{d}) })
	duties.Go(func() { d.hosted.Registry.Register(ctx, d.membership.Self(), d.lists.Registers) })
	duties.Go(func() { d.placeOn(ctx) })
	duties.Go(func() { d.lists.Run(ctx) })
	return nil
}

// directoryShutdown ends the directory's listeners, if there are any.
func (d *Daemon) directoryShutdown() {
	if d.directory == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := d.directory.Shutdown(ctx); err != nil {
		d.log.Info("directory not shut down in time", "error", err)
	}
}

// hostedSink takes what the platform's feed tells.
type hostedSink struct{ d *Daemon }

// Configured implements vetchtrail.Sink.
func (s hostedSink) Configured(c vetchtrail.Snapshot) error {
	return s.d.changes.LearnSnapshot(&schema.Snapshot{Revision: c.Revision, Edits: schema.FromEdits(c.Edits)})
}

// Listed implements vetchtrail.Sink.
func (s hostedSink) Listed(l vetchtrail.Listing) { s.d.lists.Take(l) }

// configuration is the configuration held, as the lists take newer ones from other hosts.
type configuration struct{ d *Daemon }

// Revision implements lists.Configuration.
func (c configuration) Revision() uint64 { return c.d.changes.Revision() }

// Learned implements lists.Configuration.
func (c configuration) Learned(reply *schema.ChangesReply) error { return c.d.learn(reply) }

// taken places the endpoints of lists that were taken.
func (d *Daemon) taken() {
	if l := d.lists.Listing(); l != nil {
		d.quarantines.Listed(l) // before the table forgets which endpoints were leaving
	}
	d.place(time.Now())
	d.readyWhenHeld()
}

// refresh looks for a newer configuration, and says whether the one held is the newest as
// far as this host can know.
func (d *Daemon) refresh(ctx context.Context) bool {
	if d.hosted != nil {
		return d.lists.Refresh(ctx)
	}
	h, ahead := d.membership.Ahead(time.Now())
	if !ahead {
		return true
	}
	if err := d.pullFrom(ctx, h); err != nil {
		d.log.Info("newer configuration not pulled", "peer", h.Name, "error", err)
		return false
	}
	return true
}

// placeOn places the endpoints again now and then.
func (d *Daemon) placeOn(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, placeEvery)
		d.place(time.Now())
		d.readyWhenHeld()
	}
}

// placing is what was placed last.
type placing struct {
	mu     sync.Mutex
	listed []*vetchtrail.Endpoint
	rules  uint64                 // revision of the configuration
	cold   []*vetchtrail.Endpoint // of those in use, that were cold then
	// endpoints are how many were listed when memory was last given back, and givesBack is when it will be.
	endpoints int
	givesBack time.Time
}

// place gives the endpoints that this host may call to the table: those of its
// region. A look at each of them is taken only when the lists or the configuration are others.
func (d *Daemon) place(now time.Time) {
	d.placing.mu.Lock()
	defer d.placing.mu.Unlock()
	l := d.lists.Listing()
	if l == nil {
		d.inForce.Store(d.changes.Revision())
		return
	}
	held := d.changes.Rules()
	defer d.inForce.Store(held.Revision())
	p := &d.placing
	if p.rules == held.Revision() && sameSlice(p.listed, l.Endpoints) {
		p.cold = slices.DeleteFunc(p.cold, func(e *vetchtrail.Endpoint) bool { return !now.Before(e.ColdUntil) })
		for _, e := range p.cold {
			d.table.SetColdRate(e.Name, d.coldPart(e, now))
		}
		return
	}
	p.listed, p.rules, p.cold = l.Endpoints, held.Revision(), nil
	here, _ := held.Region(d.set.Region)
	near := 0
	for _, e := range l.Endpoints {
		if e.Region == d.set.Region {
			near++
		}
	}
	placed := make([]load.Placed, 0, near)
	for _, e := range l.Endpoints {
		if e.Region != d.set.Region {
			continue
		}
		if now.Before(e.ColdUntil) {
			p.cold = append(p.cold, e)
		}
		placed = append(placed, load.Placed{Endpoint: *e, RegionID: here.ID})
		placed[len(placed)-1].ColdRate = d.coldPart(e, now)
	}
	d.table.Configure(placed)
	d.table.SetFar(func(yield func(load.Placed) bool) {
		for _, e := range l.Endpoints {
			if e.Region == d.set.Region {
				continue
			}
			if g, _ := held.Region(e.Region); !yield(load.Placed{Endpoint: *e, RegionID: g.ID}) {
				return
			}
		}
	})
	d.endpoints.Keep(l.Endpoints)
	p.grown(len(l.Endpoints), now)
}

const (
	// muchGrown is how many more endpoints are listed than before when reading them has taken much more memory than
	// keeping them does.
	muchGrown = 1000
	// giveBackAfter is how long after that the memory is given back: lists may come in several steps.
	giveBackAfter = 3 * time.Second
)

// grown has memory given back that whole lists took once to be read: the runtime would keep it for minutes, on each
// host of a fleet that starts.
func (p *placing) grown(endpoints int, now time.Time) {
	if endpoints-p.endpoints < muchGrown {
		p.endpoints = min(p.endpoints, endpoints)
		return
	}
	p.endpoints = endpoints
	if now.Before(p.givesBack) {
		return
	}
	p.givesBack = now.Add(giveBackAfter)
	time.AfterFunc(giveBackAfter, debug.FreeOSMemory)
}

// sameSlice says whether two slices are of the same elements in the same place. Lists that did not change
// share theirs.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// coldPart is this host's part of the requests a second that a cold endpoint
// bears; negative: it has none.
func (d *Daemon) coldPart(e *vetchtrail.Endpoint, now time.Time) float64 {
	if e.ColdRate == 0 || !now.Before(e.ColdUntil) {
		return e.ColdRate
	}
	if d.membership.Before("cold "+e.Name, now) >= coldHosts {
		return -1
	}
	return e.ColdRate / coldHosts
}

// readyWhenHeld makes a starting host ready once it holds a configuration and
// knows endpoints.
func (d *Daemon) readyWhenHeld() {
	if d.membership.Self().State != vetchtrail.HostStarting || d.changes.Revision() == 0 || d.lists.Listing() == nil {
		return
	}
	d.membership.SetState(vetchtrail.HostReady)
	d.log.Info("ready", "revision", d.changes.Revision(), "listing", d.lists.Listing().Revision)
}
