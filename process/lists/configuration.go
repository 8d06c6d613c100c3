package lists

import (
	"context"
	"sync"
	"time"

	"vetchtrail"
)

const (
	// configCheckInterval is the minimum time between two configuration checks. It bounds their
	// rate however many callers present keys that no workspace has.
	configCheckInterval = 250 * time.Millisecond
	// configCheckTimeout bounds a check. It can be short, as the queried hosts are of the same
	// region.
	configCheckTimeout = 300 * time.Millisecond
	// configCheckPeers is how many hosts a check queries: the host that polls the platform and
	// the host that watches for configurations.
	configCheckPeers = 2
)

// configCheck is the last check for a newer configuration and its result.
type configCheck struct {
	mu        sync.Mutex // held during a check, so that concurrent callers share it
	checkedAt time.Time
	upToDate  bool
}

// RefreshConfiguration checks for a newer configuration and pulls it. It reports whether this
// host's configuration is then the newest, as far as the host can determine. Concurrent calls share
// one check.
func (l *Lists) RefreshConfiguration(ctx context.Context) bool {
	l.configCheck.mu.Lock()
	defer l.configCheck.mu.Unlock()
	if time.Since(l.configCheck.checkedAt) < configCheckInterval {
		return l.configCheck.upToDate
	}
	l.configCheck.upToDate = l.checkConfiguration(ctx)
	l.configCheck.checkedAt = time.Now()
	return l.configCheck.upToDate
}

// checkConfiguration pulls the configuration from a host that reported a newer one. If there is no
// such host, it queries the region's hosts that receive new configurations from the platform. If
// none of these has a recent listing, this host's configuration counts as the newest only if this
// host polls the platform itself.
func (l *Lists) checkConfiguration(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, configCheckTimeout)
	defer cancel()
	now := time.Now()
	if h, ok := l.cfg.Hosts.NewestAhead(now); ok {
		if err := l.pullConfiguration(ctx, h); err != nil {
			l.cfg.Log.Info("newer configuration not pulled", "peer", h.Name, "revision", h.Revision, "error", err)
			return false
		}
		return true
	}
	confirmed := l.pollsPlatform(now)
	for _, h := range l.cfg.Hosts.FirstOthers(PollTask, configCheckPeers, now) {
		ok, err := l.checkPeer(ctx, h)
		if err != nil {
			l.cfg.Log.Info("newest configuration not asked", "peer", h.Name, "error", err)
		}
		confirmed = confirmed || ok
	}
	return confirmed
}

// pollsPlatform reports whether this host is to poll the platform and has a recent listing.
func (l *Lists) pollsPlatform(now time.Time) bool {
	current := l.current.Load()
	return current != nil && now.Sub(current.ReadAt) < l.takeoverAge() && l.ShouldPoll()
}

// checkPeer queries a host for the revision of its configuration and pulls that if it is newer. It
// reports whether the host's listing is recent: then the host is not cut off, and its configuration
// counts as the newest.
func (l *Lists) checkPeer(ctx context.Context, h vetchtrail.Host) (bool, error) {
	reply, err := l.probe(ctx, h)
	if err != nil {
		return false, err
	}
	if reply.GetConfiguration() > l.cfg.Configuration.Revision() {
		if err := l.pullConfiguration(ctx, h); err != nil {
			return false, err
		}
	}
	return reply.GetSeen() > 0 && time.Duration(reply.GetAge()) < l.takeoverAge(), nil
}
