package lists

import (
	"context"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/schema"
)

const (
	// fetchInterval is the pause between two queries for a newer listing to the host that
	// polls the platform. It adds up to half a second to the listing's age and costs each host
	// two small calls a second.
	fetchInterval = 500 * time.Millisecond
	// queryTimeout bounds such a query: the queried host is of the same region, some
	// milliseconds away.
	queryTimeout = 700 * time.Millisecond
	// hedgeDelay is how long a host may take to respond before the next one is queried too.
	hedgeDelay = 250 * time.Millisecond
	// maxConcurrentQueries bounds the queries of one round that wait for a response.
	maxConcurrentQueries = 3
	// peerAgeSlack is how much older than the poll interval a queried host's listing may be.
	// If it is older, the host is taken to be cut off from the platform and the next one is
	// queried too. takeoverSlack is the corresponding bound for this host's own listing.
	peerAgeSlack = 800 * time.Millisecond
	// maxOutdated is how many hosts may respond with an older listing until a round of queries ends. Then hardly any host has
	// a recent one yet, and the first ones, which are to poll next, are queried again after RoleCheckInterval.
	maxOutdated = 3
	// maxPeers is how many hosts are queried until one of them has a recent listing.
	maxPeers = 12
	// rejectedRetryDelay is how long a host that reported being rejected by the platform is
	// not queried again. Such a query costs a round trip within the region.
	rejectedRetryDelay = 3 * time.Second
	// unreachableRetryDelay is how long a host that did not respond is not queried again. Such
	// a query costs a queryTimeout.
	unreachableRetryDelay = 5 * time.Second
)

// Run keeps the listing and the configuration up to date from other hosts until ctx ends.
// While this host polls the platform itself and its listing is new, it queries no other host.
func (l *Lists) Run(ctx context.Context) {
	interval := l.scaled(fetchInterval)
	for ctx.Err() == nil {
		if l.current.Load() == nil {
			l.queryStartupPeers(ctx)
			wait(ctx, startupQueryPause(time.Since(l.startedAt)))
			continue
		}
		l.pause(ctx, interval)
		interval = l.scaled(fetchInterval)
		now := time.Now()
		if now.Sub(l.current.Load().LastPoll()) < l.PollInterval() && l.ShouldPoll() {
			continue
		}
		if !l.fetchFromPeers(ctx) {
			interval = l.RoleCheckInterval()
		}
	}
}

// wait returns after d or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// fetchFromPeers queries hosts until one has a recent listing, and reports whether one had. If the
// platform rejects a host, the host's reply says so and the next host is queried at once. If a host
// does not respond within hedgeDelay, the next one is queried too.
func (l *Lists) fetchFromPeers(ctx context.Context) bool {
	now := time.Now()
	peers := l.peersToQuery(now)
	if others := slices.DeleteFunc(slices.Clone(peers), func(h vetchtrail.Host) bool { return l.inBackoff(h.Name, now) }); len(others) > 0 {
		peers = others
	}
	ended, responded := make(chan fetchResult, len(peers)), make(chan struct{}, len(peers))
	outdated := 0
	for pending := 0; ctx.Err() == nil && len(peers)+pending > 0; {
		var hedge <-chan time.Time
		var h vetchtrail.Host
		if len(peers) > 0 && pending < maxConcurrentQueries {
			h, peers = peers[0], peers[1:]
			pending++
			go func() { ended <- l.fetchRecent(ctx, h, func() { responded <- struct{}{} }) }()
			hedge = time.After(l.scaled(hedgeDelay))
		}
		for next := false; !next; {
			select {
			case result := <-ended:
				switch result {
				case fetchedRecent:
					return true
				case fetchedOutdated:
					outdated++
				}
				if outdated >= maxOutdated {
					peers = nil
				}
				pending--
				next = true
			case <-responded: // a long listing may take longer
				hedge = nil
			case <-hedge:
				l.recordSilent(h.Name, time.Now())
				next = true
			}
		}
	}
	return false
}

// fetchResult is the result of fetching the listing of a host.
type fetchResult uint8

const (
	fetchFailed     fetchResult = iota // no response, or the platform rejects the host
	fetchedOutdated                    // the host's listing is old
	fetchedRecent                      // no further host needs to be queried
)

// fetchRecent fetches the listing of a host. It calls responded once the host has responded.
func (l *Lists) fetchRecent(ctx context.Context, h vetchtrail.Host, responded func()) fetchResult {
	age, rejected, err := l.fetchFrom(ctx, h, responded)
	if err != nil {
		l.cfg.Log.Info("lists not borrowed", "peer", h.Name, "error", err)
	}
	if errors.Is(err, ErrBusy) {
		return fetchedRecent // the remaining hosts fetch the same listing from the busy ones
	}
	l.recordPeer(h.Name, rejected, err != nil, time.Now())
	switch {
	case err != nil || rejected:
		return fetchFailed
	case age >= l.outdatedAge():
		return fetchedOutdated
	}
	return fetchedRecent
}

// outdatedAge returns the age from which a listing is not recent: the platform has not been polled when it was due.
func (l *Lists) outdatedAge() time.Duration { return l.PollInterval() + l.scaled(peerAgeSlack) }

// inBackoff reports whether a host is not to be queried now, because it did not respond or
// reported being rejected by the platform.
func (l *Lists) inBackoff(host string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.rejectedUntil[host]) || now.Before(l.unreachableUntil[host])
}

// recordPeer records whether the platform rejects a host, and whether the host responded. A
// host that did not respond counts as rejected too: it may have crashed or be cut off, so
// others must poll in its place.
func (l *Lists) recordPeer(host string, rejected, unreachable bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.silentUntil, host)
	switch {
	case unreachable:
		l.unreachableUntil[host] = now.Add(l.scaled(unreachableRetryDelay))
		l.rejectedUntil[host] = now.Add(l.scaled(unreachableRetryDelay))
	case rejected:
		l.rejectedUntil[host] = now.Add(l.scaled(rejectedRetryDelay))
	default:
		delete(l.rejectedUntil, host)
		delete(l.unreachableUntil, host)
	}
}

// recordSettling records whether a host has just started and doesn't poll yet.
func (l *Lists) recordSettling(host string, settling bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.settlingUntil, host)
	if settling {
		l.settlingUntil[host] = now.Add(settleTime)
	}
}

// recordSilent records that a host has not responded within hedgeDelay. It is silent until it responds or its query has
// timed out.
func (l *Lists) recordSilent(host string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silentUntil[host] = now.Add(l.scaled(queryTimeout))
}

// peersToQuery returns the hosts to query for a listing: those that rank first for polling. Until
// this host has settled, the seeds precede them: if all hosts start at once, the seeds poll the
// platform, since no host relies on its rank yet.
func (l *Lists) peersToQuery(now time.Time) []vetchtrail.Host {
	out := l.cfg.Hosts.FirstOthers(PollTask, maxPeers, now)
	if now.Sub(l.startedAt) >= settleTime {
		return out
	}
	return append(l.seeds(), out...)
}

// seeds returns the seeds except this host. The jitter determines which one is first, so that not
// all hosts query the same seed.
func (l *Lists) seeds() []vetchtrail.Host {
	var out []vetchtrail.Host
	for _, s := range l.cfg.Seeds {
		if s != l.cfg.Self.PeerAddr {
			out = append(out, seedHost(s))
		}
	}
	if len(out) == 0 {
		return nil
	}
	first := int(l.jitter() * float64(len(out)))
	return append(out[first:len(out):len(out)], out[:first]...)
}

// seedHost returns a host of which only the address is known; the address serves as its name.
func seedHost(addr netip.AddrPort) vetchtrail.Host {
	return vetchtrail.Host{Name: addr.String(), PeerAddr: addr}
}

// fetchFrom fetches a newer listing and configuration from a host. It returns how long ago the
// platform was polled for that host's listing and whether the platform rejects the host. A host without a listing counts
// as rejected.
func (l *Lists) fetchFrom(ctx context.Context, h vetchtrail.Host, responded func()) (age time.Duration, rejected bool, err error) {
	current, began := l.current.Load(), time.Now()
	reply, err := l.query(ctx, h.PeerAddr, current.Revision, responded)
	countQuery(reply, err, time.Since(began))
	if err != nil {
		return 0, false, err
	}
	if reply.GetConfiguration() > l.cfg.Configuration.Revision() {
		if err := l.pullConfiguration(ctx, h); err != nil {
			l.cfg.Log.Info("configuration not pulled", "peer", h.Name, "revision", reply.GetConfiguration(), "error", err)
		}
	}
	l.recordSettling(h.Name, reply.GetSettling(), time.Now())
	if reply.GetSeen() == 0 {
		return l.scaled(queryTimeout), true, nil
	}
	return pollAge(reply), reply.GetCut(), l.applyReply(ctx, reply, h, current)
}

// confirm makes this host's listing as new as that of a peer that has no newer revision. If the
// peer's listing is newer and has other endpoints, confirm returns ErrBaseMismatch.
func (l *Lists) confirm(reply *schema.Listing, current *vetchtrail.Listing) error {
	l.mu.Lock()
	sum, same := l.checksum, current != nil && l.current.Load() == current
	l.mu.Unlock()
	if !same || reply.GetSeen() < current.ConfirmedRevision {
		return nil // replaced while the query was in flight, or newer than the peer's
	}
	if reply.GetSum() != 0 && reply.GetSum() != sum {
		return errors.Wrapf(ErrBaseMismatch, "no change since revision %d, but checksum %x, not %x", current.Revision, reply.GetSum(), sum)
	}
	unchanged := *current
	now := time.Now()
	unchanged.ConfirmedRevision, unchanged.ReadAt, unchanged.PolledAt = reply.GetSeen(), now.Add(-time.Duration(reply.GetAge())), now.Add(-pollAge(reply))
	l.Update(unchanged)
	return nil
}

// probe queries how new a host's listing and configuration are. The query gives the highest
// possible revision as its own, so that the reply has no listing and is a few bytes long.
func (l *Lists) probe(ctx context.Context, h vetchtrail.Host) (*schema.Listing, error) {
	return l.list(ctx, h.PeerAddr, &schema.ListRequest{Revision: math.MaxUint64})
}

// pullConfiguration fetches and applies the configuration changes that another host has and this
// one lacks.
func (l *Lists) pullConfiguration(ctx context.Context, h vetchtrail.Host) error {
	reply, err := l.cfg.Peers.Changes(ctx, h.PeerAddr, l.cfg.Configuration.Revision())
	if err != nil {
		return err
	}
	return l.cfg.Configuration.Apply(reply)
}

// applyReply updates this host's listing from the reply of host h. current was this host's listing
// when it sent the query. applyReply queries for the full listing if the reply is a diff that does
// not fit current, or reports no change although the peer has other endpoints: while two hosts poll
// the platform, they may disagree on which endpoints are still listed at a revision.
func (l *Lists) applyReply(ctx context.Context, reply *schema.Listing, h vetchtrail.Host, current *vetchtrail.Listing) error {
	var fetched vetchtrail.Listing
	var err error
	if reply.GetRevision() == 0 {
		err = l.confirm(reply, current)
		if err == nil {
			return nil
		}
	} else {
		fetched, err = l.decodeReply(reply, current)
	}
	if errors.Is(err, ErrBaseMismatch) {
		l.cfg.Log.Warn("difference of lists not taken, asking for them whole", "peer", h.Name, "error", err)
		if reply, err = l.query(ctx, h.PeerAddr, 0, noCallback); err != nil {
			return err
		}
		fetched, err = l.decodeReply(reply, nil)
	}
	if err != nil {
		return err
	}
	l.cfg.Log.Info("lists borrowed", "peer", h.Name, "store_revision", fetched.ConfirmedRevision, "age", time.Since(fetched.ReadAt), "since", reply.GetSince(),
		"endpoints", len(reply.GetEndpoints()), "gone", len(reply.GetGone()))
	l.Update(fetched)
	return nil
}
