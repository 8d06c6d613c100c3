package daemon

import (
	"context"
	"net/netip"
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
	duties.Go(func() { d.hosted.Feed(d).Run(ctx, hostedSink{d}) })
	duties.Go(func() { d.hosted.Registry.Register(ctx, d.membership.Self(), d.registers) })
	duties.Go(func() { d.placeOn(ctx) })
	duties.Go(func() { d.borrow(ctx) })
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
func (s hostedSink) Listed(l vetchtrail.Listing) { s.d.take(l) }

// take takes lists of the platform unless newer ones are held: those of a peer
// may be newer than what this host's feed read before the platform turned it
// away.
func (d *Daemon) take(l vetchtrail.Listing) {
	d.listed.Lock()
	held := d.listing.Load()
	newer := held == nil || l.Seen >= held.Seen
	if newer {
		d.listing.Store(&l)
		d.membership.SetListed(l.Hosts)
	}
	d.listed.Unlock()
	if newer {
		d.place(time.Now())
	}
	d.readyWhenHeld()
}

// Listing implements peer.Lister and vetchtrail.Following.
func (d *Daemon) Listing() *vetchtrail.Listing { return d.listing.Load() }

// placeOn places the endpoints again now and then.
func (d *Daemon) placeOn(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, placeEvery)
		d.place(time.Now())
		d.readyWhenHeld()
	}
}

// place gives the endpoints that this host may call to the table: those of its
// region.
func (d *Daemon) place(now time.Time) {
	l := d.listing.Load()
	if l == nil {
		d.inForce.Store(d.changes.Revision())
		return
	}
	held := d.changes.Rules()
	defer d.inForce.Store(held.Revision())
	var placed, far []load.Placed
	known := make(map[vetchtrail.Endpoint]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		known[vetchtrail.Endpoint{Addr: e.Addr, Instance: e.Instance}] = true
		g, _ := held.Region(e.Region)
		if e.Region != d.set.Region {
			far = append(far, load.Placed{Endpoint: e, RegionID: g.ID})
			continue
		}
		e.ColdRate = d.coldPart(e, now)
		placed = append(placed, load.Placed{Endpoint: e, RegionID: g.ID})
	}
	d.table.Configure(placed)
	d.table.SetFar(far)
	d.endpoints.Forget(func(e vetchtrail.Endpoint) bool { return known[e] })
}

// coldPart is this host's part of the requests a second that a cold endpoint
// bears; negative: it has none.
func (d *Daemon) coldPart(e vetchtrail.Endpoint, now time.Time) float64 {
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
	if d.membership.Self().State != vetchtrail.HostStarting || d.changes.Revision() == 0 || d.listing.Load() == nil {
		return
	}
	d.membership.SetState(vetchtrail.HostReady)
	d.log.Info("ready", "revision", d.changes.Revision(), "listing", d.listing.Load().Revision)
}
