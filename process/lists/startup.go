package lists

import (
	"context"
	"time"

	"vetchtrail"
)

const (
	// startupQueryInterval is the pause between the first two rounds of queries of a starting
	// host; each round queries all seeds at once. A seed that starts at the same time does not
	// respond until it listens.
	startupQueryInterval = 60 * time.Millisecond
	// maxStartupQueryInterval is the pause between two rounds after some seconds. It bounds the
	// queries to the seeds, which hundreds of hosts that start at once have in common.
	maxStartupQueryInterval = 500 * time.Millisecond
	// startupQueryTimeout bounds one startup query; it allows two round trips between regions.
	// If the first packet of a connection gets no response, TCP resends it only after a second; a
	// new connection is faster. Without this bound, hosts that start at once would wait that
	// second for each other's listeners.
	startupQueryTimeout = 400 * time.Millisecond
	// maxStartupQueries bounds the startup queries in flight.
	maxStartupQueries = 12
	// longQueryTimeout bounds a query for a long listing. A seed with a narrow link may have to
	// serve thousands of endpoints to a hundred hosts at once.
	longQueryTimeout = 2500 * time.Millisecond
)

// startupQueryPause returns the pause before the next round of startup queries of a host with
// this uptime. The pause grows with the uptime.
func startupQueryPause(uptime time.Duration) time.Duration {
	return min(startupQueryInterval+uptime/startupBackoffDivisor, maxStartupQueryInterval)
}

// startupBackoffDivisor is the ratio of the uptime to the growth of startupQueryPause.
const startupBackoffDivisor = 16

// queryStartupPeers starts one round of startup queries and does not wait for the replies. It
// queries the seeds and, among the hosts known by then, the one that ranks first for polling. The
// listing is fetched from the first peer that replies that it has one.
func (l *Lists) queryStartupPeers(ctx context.Context) {
	now := time.Now()
	peers := append(l.seeds(), l.cfg.Hosts.FirstOthers(PollTask, 1, now)...)
	for _, h := range peers {
		if l.startupQueries.Add(1) > maxStartupQueries {
			l.startupQueries.Add(-1)
			return
		}
		go func() {
			defer l.startupQueries.Add(-1)
			if l.canServe(ctx, h) {
				l.fetchFirst(ctx, h)
			}
		}()
	}
}

// canServe reports whether a host responds and has a listing.
func (l *Lists) canServe(ctx context.Context, h vetchtrail.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, startupQueryTimeout)
	defer cancel()
	reply, err := l.probe(ctx, h)
	if err != nil {
		l.cfg.Log.Debug("startup query failed", "peer", h.Name, "error", err)
		return false
	}
	return reply.GetSeen() > 0
}

// fetchFirst fetches this host's first listing and configuration from a host, unless it is
// already fetching them from another. When all hosts start at once, the links would be overloaded
// if each of a dozen startup queries of every host fetched a listing of thousands of endpoints.
func (l *Lists) fetchFirst(ctx context.Context, h vetchtrail.Host) {
	if l.current.Load() != nil || !l.startupFetching.CompareAndSwap(false, true) {
		return
	}
	defer l.startupFetching.Store(false)
	ctx, cancel := context.WithTimeout(ctx, longQueryTimeout)
	defer cancel()
	pulled := make(chan struct{})
	go func() {
		defer close(pulled)
		if l.cfg.Configuration.Revision() > 0 {
			return
		}
		if err := l.pullConfiguration(ctx, h); err != nil {
			l.cfg.Log.Info("configuration not pulled", "peer", h.Name, "error", err)
		}
	}()
	reply, err := l.query(ctx, h.PeerAddr, 0, noCallback)
	<-pulled
	if err == nil && reply.GetSeen() > 0 && l.current.Load() == nil {
		err = l.applyReply(ctx, reply, h, nil)
	}
	if err != nil {
		l.cfg.Log.Info("lists not borrowed", "peer", h.Name, "error", err)
	}
	l.cfg.OnUpdate()
}
