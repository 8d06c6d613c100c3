package lists

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/schema"
)

// Errors of fetching a listing from a peer.
var (
	// ErrBaseMismatch means that a diff can't be applied to this host's listing.
	ErrBaseMismatch = errors.New("lists: the diff does not fit this host's listing")
	// ErrBusy means that a peer's link is busy, and that no peer that it referred to served a
	// listing.
	ErrBusy = errors.New("lists: the peer's link is busy and no host that it referred to served a listing")
)

const (
	// maxShortReply is how many endpoints a reply within queryTimeout may have. A longer one
	// gets longQueryTimeout.
	maxShortReply = 1000
	// maxHostsPerQuery bounds the hosts that one query is sent to when busy hosts refer to
	// others. This host counts as one of them.
	maxHostsPerQuery = 10
	// maxReferralTime is how long referrals are followed. Then the next round of queries begins, as one of the hosts may
	// have become free meanwhile.
	maxReferralTime = 700 * time.Millisecond
)

// query queries a host for a listing newer than a revision. If the host's link is busy, query goes
// on with the hosts that it refers to. A reply without a listing means that the host has no newer
// one. query calls responded once the host has responded, before a listing that takes longer.
func (l *Lists) query(ctx context.Context, to netip.AddrPort, revision uint64, responded func()) (*schema.Listing, error) {
	first, err := l.queryOne(ctx, to, revision, responded)
	if err != nil || !first.GetBusy() {
		return first, err
	}
	l.recordPeerPoll(first, time.Now())
	queried := map[netip.AddrPort]bool{to: true, l.cfg.Self.PeerAddr: true}
	next := l.parseReferrals(first)
	until := time.Now().Add(l.scaled(maxReferralTime))
	for len(next) > 0 && len(queried) < maxHostsPerQuery && time.Now().Before(until) {
		addr := next[0]
		next = next[1:]
		if queried[addr] {
			continue
		}
		queried[addr] = true
		reply, err := l.queryOne(ctx, addr, revision, noCallback)
		switch {
		case err != nil:
			l.cfg.Log.Debug("query to a referred host failed", "peer", addr, "error", err)
		case reply.GetBusy():
			next = append(l.parseReferrals(reply), next...)
		case reply.GetRevision() > 0 && isAsNew(reply, first):
			return reply, nil
		}
	}
	return first, errors.Wrapf(ErrBusy, "queried %d hosts", len(queried)-1)
}

// isAsNew reports whether a listing is the one of the busy host that referred to it, or a newer one. A host that could not use
// the diff that it was served still has an older one.
func isAsNew(reply, busy *schema.Listing) bool {
	return busy.GetSum() == 0 || reply.GetSum() == busy.GetSum() || reply.GetSeen() >= busy.GetSeen()
}

func noCallback() {}

// parseReferrals returns the addresses of the hosts that a busy host refers to. It skips malformed
// ones and those beyond maxReferrals.
func (l *Lists) parseReferrals(reply *schema.Listing) []netip.AddrPort {
	var out []netip.AddrPort
	for _, text := range reply.GetRefer() {
		addr, err := netip.ParseAddrPort(text)
		if err != nil || len(out) >= maxReferrals {
			l.cfg.Log.Error("referral to a host skipped", "address", text, "named", len(reply.GetRefer()), "error", err)
			continue
		}
		out = append(out, addr)
	}
	return out
}

// queryOne queries one host. If the reply would have more than maxShortReply endpoints, it queries
// again with a longer timeout.
func (l *Lists) queryOne(ctx context.Context, to netip.AddrPort, revision uint64, responded func()) (*schema.Listing, error) {
	q := &schema.ListRequest{Revision: revision, From: l.cfg.Self.PeerAddr.String(), Most: maxShortReply}
	short, cancel := context.WithTimeout(ctx, l.scaled(queryTimeout))
	defer cancel()
	reply, err := l.list(short, to, q)
	responded()
	if err != nil || reply.GetLarge() == 0 {
		return reply, err
	}
	q.Most = 0
	long, cancel := context.WithTimeout(ctx, longQueryTimeout)
	defer cancel()
	return l.list(long, to, q)
}

// list sends one query. The age in the reply includes the time that the query took, because the
// message may have been in transit for long.
func (l *Lists) list(ctx context.Context, to netip.AddrPort, q *schema.ListRequest) (*schema.Listing, error) {
	began := time.Now()
	reply, err := l.cfg.Peers.List(ctx, to, q)
	if err != nil {
		return nil, err
	}
	took := int64(time.Since(began))
	reply.Age += took
	if reply.GetPolled() > 0 {
		reply.Polled += took
	}
	return reply, nil
}

// pollAge returns how long ago the platform was polled for the listing of a reply. A host whose listing is old because it
// still reads a backlog of changes polls the platform, so that no other one has to.
func pollAge(reply *schema.Listing) time.Duration {
	if reply.GetPolled() > 0 {
		return time.Duration(reply.GetPolled())
	}
	return time.Duration(reply.GetAge())
}

// recordPeerPoll records when the platform was last polled according to the reply of a busy host.
// While that is recent, some host polls the platform, and this host need not take over although
// its own listing grows old.
func (l *Lists) recordPeerPoll(reply *schema.Listing, now time.Time) {
	if reply.GetCut() || reply.GetSeen() == 0 {
		return
	}
	at := now.Add(-pollAge(reply))
	if last := l.lastPeerPoll.Load(); last == nil || at.After(*last) {
		l.lastPeerPoll.Store(&at)
	}
}

// decodeReply returns the listing in a peer's reply. If the reply is a diff, decodeReply applies it
// to current; unless the result has the checksum in the reply, the error is ErrBaseMismatch.
func (l *Lists) decodeReply(reply *schema.Listing, current *vetchtrail.Listing) (vetchtrail.Listing, error) {
	fetched, err := schema.ToListing(reply, time.Now(), l.cfg.Clock())
	if err != nil {
		return fetched, err
	}
	vetchtrail.SortEndpoints(fetched.Endpoints)
	if reply.GetSince() == 0 {
		return fetched, nil
	}
	if current == nil || current.Revision != reply.GetSince() {
		return fetched, errors.Wrapf(ErrBaseMismatch, "diff since revision %d", reply.GetSince())
	}
	if reply.GetHostsKept() {
		fetched.Hosts = current.Hosts
	}
	d := endpointDiff{changed: fetched.Endpoints, removed: reply.GetGone()}
	fetched.Endpoints = d.apply(current.Endpoints)
	if sum, ok := l.checksumAfter(current, fetched.Endpoints); !ok || sum != reply.GetSum() {
		return fetched, errors.Wrapf(ErrBaseMismatch, "diff from revision %d to %d has checksum %x, not %x", current.Revision, fetched.Revision, sum, reply.GetSum())
	}
	return fetched, nil
}

// checksumAfter returns the checksum of endpoints, computed from that of the current listing;
// false: current is no longer this host's listing.
func (l *Lists) checksumAfter(current *vetchtrail.Listing, endpoints []*vetchtrail.Endpoint) (uint64, bool) {
	l.mu.Lock()
	checksum, ok := l.checksum, l.current.Load() == current
	l.mu.Unlock()
	return checksum + diffEndpoints(current.Endpoints, endpoints).checksum, ok
}
