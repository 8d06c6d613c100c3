package lists

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

// Refresh looks for a configuration that is newer than the one held, and says whether the
// one held then is the newest as far as the host can know. Many may ask at once: one look
// serves all.
func (l *Lists) Refresh(ctx context.Context) bool {
	l.newest.mu.Lock()
	defer l.newest.mu.Unlock()
	if time.Since(l.newest.looked) < newestEvery {
		return l.newest.current
	}
	l.newest.current = l.lookForNewest(ctx)
	l.newest.looked = time.Now()
	return l.newest.current
}

// lookForNewest asks the hosts that hear of configurations first. Without an answer, a
// host knows whether it is behind only if it is such a host itself and hears the platform.
func (l *Lists) lookForNewest(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, newestTime)
	defer cancel()
	now := time.Now()
	if h, ok := l.cfg.Hosts.Ahead(now); ok {
		if err := l.pull(ctx, h); err != nil {
			l.cfg.Log.Info("newer configuration not pulled", "peer", h.Name, "revision", h.Revision, "error", err)
			return false
		}
		return true
	}
	answered := l.hearsPlatform(now)
	for _, h := range l.cfg.Hosts.Ranked(followDuty, newestAsked, now) {
		ok, err := l.askNewest(ctx, h)
		if err != nil {
			l.cfg.Log.Info("newest configuration not asked", "peer", h.Name, "error", err)
		}
		answered = answered || ok
	}
	return answered
}

// hearsPlatform says whether this host itself reads the platform's lists, and lately did.
func (l *Lists) hearsPlatform(now time.Time) bool {
	held := l.held.Load()
	return held != nil && now.Sub(held.At) < l.Pace()+takeoverSlack && l.Reads()
}

// askNewest asks a host for its configuration's revision and takes a newer one. It returns
// whether that host hears the platform.
func (l *Lists) askNewest(ctx context.Context, h vetchtrail.Host) (bool, error) {
	reply, err := l.probe(ctx, h)
	if err != nil {
		return false, err
	}
	if reply.GetConfiguration() > l.cfg.Configuration.Revision() {
		if err := l.pull(ctx, h); err != nil {
			return false, err
		}
	}
	return reply.GetSeen() > 0 && time.Duration(reply.GetAge()) < l.Pace()+takeoverSlack, nil
}
