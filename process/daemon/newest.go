package daemon

import (
	"context"
	"sync"
	"time"

	"vetchtrail"
)

const (
	// newestEvery is the pause between two looks for a newer configuration, whatever many
	// callers show keys that nobody has.
	newestEvery = 250 * time.Millisecond
	// newestTime bounds a look: the hosts that are asked are of the same region.
	newestTime = 300 * time.Millisecond
	// newestAsked is how many hosts are asked: the one that reads the platform's lists and
	// the one that waits for configurations.
	newestAsked = 2
)

// newest is when the host last looked for a newer configuration, and what came of it.
type newest struct {
	mu      sync.Mutex
	looked  time.Time
	current bool
}

// refresh looks for a configuration that is newer than the one held, and says whether the
// one held then is the newest as far as the host can know. Many may ask at once: one look
// serves all.
func (d *Daemon) refresh(ctx context.Context) bool {
	d.newest.mu.Lock()
	defer d.newest.mu.Unlock()
	if time.Since(d.newest.looked) < newestEvery {
		return d.newest.current
	}
	d.newest.current = d.lookForNewest(ctx)
	d.newest.looked = time.Now()
	return d.newest.current
}

// lookForNewest asks the hosts that hear of configurations first. Without an answer, a
// host knows whether it is behind only if it is such a host itself and hears the platform.
func (d *Daemon) lookForNewest(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, newestTime)
	defer cancel()
	now := time.Now()
	if h, ok := d.membership.Ahead(now); ok {
		return d.pullFrom(ctx, h) == nil
	}
	if d.hosted == nil {
		return true
	}
	answered := d.hearsPlatform(now)
	for _, h := range d.membership.Ranked(followDuty, newestAsked, now) {
		ok, err := d.askNewest(ctx, h)
		if err != nil {
			d.log.Info("newest configuration not asked", "peer", h.Name, "error", err)
		}
		answered = answered || ok
	}
	return answered
}

// hearsPlatform says whether this host itself reads the platform's lists, and lately did.
func (d *Daemon) hearsPlatform(now time.Time) bool {
	l := d.listing.Load()
	return l != nil && now.Sub(l.At) < d.Pace()+takeoverSlack && d.Reads()
}

// askNewest asks a host for its configuration's revision and takes a newer one. It returns
// whether that host hears the platform.
func (d *Daemon) askNewest(ctx context.Context, h vetchtrail.Host) (bool, error) {
	var revision uint64
	if held := d.listing.Load(); held != nil {
		revision = held.Revision
	}
	reply, err := d.peers.List(ctx, h.Peers, revision)
	if err != nil {
		return false, err
	}
	if reply.GetConfiguration() > d.changes.Revision() {
		if err := d.pullFrom(ctx, h); err != nil {
			return false, err
		}
	}
	return reply.GetSeen() > 0 && time.Duration(reply.GetAge()) < d.Pace()+takeoverSlack, nil
}
