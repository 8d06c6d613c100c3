package lists

import "time"

// PollTask is the task of polling the platform for the listing. The calls of all hosts together
// are rate-limited and billed, so one host of a region polls and the others query it. All hosts
// hash this text to rank themselves for the task, so it must not change.
const PollTask = "follow the platform"

// referenceBound is the KnownWithin for which this package's waits are given. Within a shorter one
// they are shorter in proportion, so that their sum stays below it. From an endpoint's leaving until
// the last host has a listing without it, the waits are:
//
//   - 1.5 s until the next poll is due (pollFraction);
//   - 0.8 s until it counts as missing (peerAgeSlack), if the first host is silent by then
//     (fetchInterval, hedgeDelay) or says that the platform rejects it, else 1.3 s (takeoverSlack);
//   - 0.2 s until the next host finds that it is to poll (roleCheckInterval), and its calls: one to read
//     on from its listing, and one for each few hundred changes since;
//   - 0.7 s until a round of queries that began before the call ended is over (queryTimeout,
//     maxOutdated);
//   - 0.2 s until the next round (RoleCheckInterval), and its query.
//
// These are 3.4 s or 3.9 s, the calls and a query. What remains is for those, and for requests that are
// on their way to the endpoint.
const referenceBound = 5 * time.Second

// scaled returns a wait that is given for referenceBound.
func (l *Lists) scaled(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * min(1, float64(l.cfg.KnownWithin)/float64(referenceBound)))
}

const (
	// takeoverSlack is how much older than the poll interval a host's listing may be before
	// the host takes over: it polls in place of the assigned host. The slack covers the time
	// between two queries to peers, and slow replies.
	takeoverSlack = 1300 * time.Millisecond
	// takeoverStep is how much longer a host waits to take over than the host that ranks just
	// before it in its data centre. By then that host has polled, unless the platform rejects
	// it too.
	takeoverStep = time.Second
	// takeoverDuration is how long a host that took over continues to poll.
	takeoverDuration = 5 * time.Second
	// pollersPerRejected is how many hosts poll for each earlier-ranked host that is known to
	// be rejected. If the platform rejects a third of all hosts, it rarely rejects all of
	// these.
	pollersPerRejected = 6
	// pollFraction is the poll interval as a fraction of the time within which all hosts must
	// know that an endpoint is leaving. The rest is for failed calls, a takeover, and for the other
	// hosts to fetch the listing.
	pollFraction = 0.3
	// settleTime is the time after a host's start in which it may know too few other hosts to
	// rely on its rank. Heartbeats reach some hundred hosts in four rounds; hosts that become
	// known through an introduction take two rounds more.
	settleTime = 4 * time.Second
	// startupTakeoverSteps is the number of takeover steps over which hosts that have not
	// settled spread their takeovers by jitter, because they can't rank themselves yet.
	startupTakeoverSteps = 3
	// watchTimeout is how long a poll waits for a change. Endpoints write about every second.
	watchTimeout = time.Second
	// roleCheckInterval is the interval between two checks of whether a host is to poll.
	roleCheckInterval = 200 * time.Millisecond
	// startupPollDelay is how long a starting host queries its seeds for a listing before it
	// polls the platform itself.
	startupPollDelay = 700 * time.Millisecond
	// startupPollJitter is the time over which these polls are spread, so that the first
	// hosts to poll can serve the others.
	startupPollJitter = 1500 * time.Millisecond
)

// pollState holds the conditions that determine whether a host polls the platform.
type pollState struct {
	hasListing       bool
	listingAge       time.Duration // since the platform was last polled, as far as this host knows
	seed             bool          // the host is a seed; without seeds in the settings every host is one
	uptime           time.Duration
	jitter           float64       // fraction from 0 to 1 that is fixed for this host
	takeoverAge      time.Duration // age of the listing at which the first host takes over
	takeoverStep     time.Duration // how much longer the next one waits
	rankInRegion     int           // hosts of its region that rank before it
	rankInDataCentre int           // hosts of its data centre that rank before it
	rejectedBefore   int           // how many of the rankInRegion hosts the platform is known to reject
	settlingBefore   int           // how many others of them have just started and don't poll yet
	silentBefore     int           // how many others of them have not responded to a query for some time
	outdated         bool          // the platform has not been polled when it was due
	sinceTakeover    time.Duration // time since this host took over; negative: it never did
}

// shouldPoll reports whether the host is to poll the platform now.
func (s pollState) shouldPoll() bool {
	switch {
	case !s.hasListing:
		return s.seed || s.uptime > startupPollDelay+time.Duration(s.jitter*float64(startupPollJitter))
	case s.sinceTakeover >= 0 && s.sinceTakeover < takeoverDuration:
		return true
	case s.uptime < settleTime:
		return s.seed || s.overdue(1+s.jitter*startupTakeoverSteps)
	case s.rankInRegion <= s.rejectedBefore*pollersPerRejected+s.settlingBefore:
		return true // first in the region, or close enough behind rejected hosts
	case s.outdated && s.rankInRegion <= s.rejectedBefore*pollersPerRejected+s.settlingBefore+s.silentBefore:
		return true // next behind hosts that may have crashed; it is one host for each, as they may also be busy
	}
	return s.overdue(float64(s.rankInDataCentre))
}

// overdue reports whether the listing is old enough for a takeover by a host that waits rank
// takeover steps longer than the first.
func (s pollState) overdue(rank float64) bool {
	return s.listingAge > s.takeoverAge+time.Duration(rank*float64(s.takeoverStep))
}

// pollState returns this host's poll state.
func (l *Lists) pollState(now time.Time) pollState {
	s := pollState{
		seed: l.isSeed(), uptime: now.Sub(l.startedAt), jitter: l.jitter(), takeoverAge: l.takeoverAge(), takeoverStep: l.scaled(takeoverStep), sinceTakeover: -1,
	}
	if current := l.current.Load(); current != nil {
		s.hasListing, s.listingAge = true, now.Sub(current.LastPoll())
		if polled := l.lastPeerPoll.Load(); polled != nil {
			s.listingAge = min(s.listingAge, now.Sub(*polled))
		}
	}
	s.rankInRegion, s.rankInDataCentre = l.cfg.Hosts.Rank(PollTask, now)
	s.rejectedBefore, s.settlingBefore, s.silentBefore = l.countIdle(s.rankInRegion, now)
	s.outdated = s.listingAge >= l.outdatedAge()
	if at := l.takeoverAt.Load(); at != nil {
		s.sinceTakeover = now.Sub(*at)
	}
	return s
}

// countIdle returns how many of the region's hosts that rank before this one the platform is known to
// reject, how many others have just started, and how many others are silent. It checks at most the
// first maxPeers of them.
func (l *Lists) countIdle(rank int, now time.Time) (rejected, settling, silent int) {
	for _, h := range l.cfg.Hosts.FirstOthers(PollTask, min(rank, maxPeers), now) {
		switch {
		case l.peerRejected(h.Name, now):
			rejected++
		case l.peerSettling(h.Name, now):
			settling++
		case l.peerSilent(h.Name, now):
			silent++
		}
	}
	return rejected, settling, silent
}

// peerRejected reports whether the platform is assumed to reject a peer.
func (l *Lists) peerRejected(host string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.rejectedUntil[host])
}

// peerSettling reports whether a peer has just started and doesn't poll yet.
func (l *Lists) peerSettling(host string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.settlingUntil[host])
}

// peerSilent reports whether a peer has not responded to a query for some time.
func (l *Lists) peerSilent(host string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.silentUntil[host])
}

// ShouldPoll implements vetchtrail.PollCoordinator: it reports whether this host is to poll the
// platform now. If it is to, and it has settled but does not rank first in its region, ShouldPoll
// starts a takeover unless one is in progress.
func (l *Lists) ShouldPoll() bool {
	now := time.Now()
	s := l.pollState(now)
	if !s.shouldPoll() {
		return false
	}
	if s.rankInRegion > 0 && s.uptime >= settleTime && (s.sinceTakeover < 0 || s.sinceTakeover >= takeoverDuration) {
		l.takeoverAt.Store(&now)
		l.cfg.Log.Info("reading the platform's lists for another host", "age", s.listingAge, "before_in_region", s.rankInRegion, "before_in_data_centre", s.rankInDataCentre, "turned_away", s.rejectedBefore)
	}
	return true
}

// ShouldWatchConfiguration implements vetchtrail.PollCoordinator: it reports whether this host
// ranks second in its region. That host watches for new configurations too, so that none is late
// if the host that polls is lost.
func (l *Lists) ShouldWatchConfiguration() bool {
	now := time.Now()
	rank, _ := l.cfg.Hosts.Rank(PollTask, now)
	return rank == 1 && now.Sub(l.startedAt) >= settleTime
}

// PollInterval implements vetchtrail.PollCoordinator: it returns the interval between two polls.
func (l *Lists) PollInterval() time.Duration {
	return time.Duration(pollFraction * float64(l.cfg.KnownWithin))
}

// takeoverAge returns the age of the listing at which the first host takes over.
func (l *Lists) takeoverAge() time.Duration { return l.PollInterval() + l.scaled(takeoverSlack) }

// WatchTimeout implements vetchtrail.PollCoordinator: it returns how long a poll waits for a change.
func (l *Lists) WatchTimeout() time.Duration { return l.scaled(watchTimeout) }

// RoleCheckInterval implements vetchtrail.PollCoordinator: it returns the interval between two calls of ShouldPoll on a
// host that is not to poll.
func (l *Lists) RoleCheckInterval() time.Duration { return l.scaled(roleCheckInterval) }
