package lists

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/schema"
)

// Errors of borrowed lists.
var (
	// ErrBasis is a difference of lists that doesn't fit those that it is to be applied to.
	ErrBasis = errors.New("lists: the difference is of other lists")
	// ErrBusy is said of a host that lends nothing now, nor do those that it named.
	ErrBusy = errors.New("lists: the links of those that could lend are taken")
)

const (
	// soonMost is how many endpoints an answer within listTime may have; longer ones get fetchTime.
	soonMost = 1000
	// referredMost bounds the hosts that are asked one after the other as busy ones named them.
	referredMost = 10
)

// get asks a host for lists that are newer than a revision, or those that it names as its link is taken. An answer
// without lists says that the host's are no newer.
func (l *Lists) get(ctx context.Context, to netip.AddrPort, revision uint64) (*schema.Listing, error) {
	first, err := l.question(ctx, to, revision)
	if err != nil || !first.GetBusy() {
		return first, err
	}
	l.hearAge(first, time.Now())
	asked := map[netip.AddrPort]bool{to: true, l.cfg.Self.Peers: true}
	next := l.referred(first)
	for len(next) > 0 && len(asked) < referredMost {
		at := next[0]
		next = next[1:]
		if asked[at] {
			continue
		}
		asked[at] = true
		reply, err := l.question(ctx, at, revision)
		switch {
		case err != nil:
			l.cfg.Log.Debug("lists not borrowed from a host that was named", "peer", at, "error", err)
		case reply.GetBusy():
			next = append(l.referred(reply), next...)
		case reply.GetRevision() > 0:
			return reply, nil
		}
	}
	return first, errors.Wrapf(ErrBusy, "%d hosts were asked", len(asked)-1)
}

// referred returns the hosts that a busy one named.
func (l *Lists) referred(reply *schema.Listing) []netip.AddrPort {
	var out []netip.AddrPort
	for _, text := range reply.GetRefer() {
		addr, err := netip.ParseAddrPort(text)
		if err != nil || len(out) >= mostReferred {
			l.cfg.Log.Error("host that was named for lists not taken", "address", text, "named", len(reply.GetRefer()), "error", err)
			continue
		}
		out = append(out, addr)
	}
	return out
}

// question asks one host, and gives it more time where what it lends is long.
func (l *Lists) question(ctx context.Context, to netip.AddrPort, revision uint64) (*schema.Listing, error) {
	q := &schema.ListRequest{Revision: revision, From: l.cfg.Self.Peers.String(), Most: soonMost}
	soon, cancel := context.WithTimeout(ctx, listTime)
	defer cancel()
	reply, err := l.cfg.Peers.List(soon, to, q)
	if err != nil || reply.GetLarge() == 0 {
		return reply, err
	}
	q.Most = 0
	long, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	return l.cfg.Peers.List(long, to, q)
}

// hearAge notes how old the lists of another host are: while they are new there is somebody who reads the platform,
// though this host waits for a link.
func (l *Lists) hearAge(reply *schema.Listing, now time.Time) {
	if reply.GetCut() || reply.GetSeen() == 0 {
		return
	}
	at := now.Add(-time.Duration(reply.GetAge()))
	if was := l.heard.Load(); was == nil || at.After(*was) {
		l.heard.Store(&at)
	}
}

// lent returns the lists that another host's answer tells of, with those held as their basis.
func (l *Lists) lent(reply *schema.Listing, held *vetchtrail.Listing) (vetchtrail.Listing, error) {
	in, err := schema.ToListing(reply, time.Now(), l.cfg.Clock())
	if err != nil {
		return in, err
	}
	vetchtrail.SortEndpoints(in.Endpoints)
	if reply.GetSince() == 0 {
		return in, nil
	}
	if held == nil || held.Revision != reply.GetSince() {
		return in, errors.Wrapf(ErrBasis, "of revision %d", reply.GetSince())
	}
	if reply.GetHostsKept() {
		in.Hosts = held.Hosts
	}
	d := difference{changed: in.Endpoints, gone: reply.GetGone()}
	in.Endpoints = d.apply(held.Endpoints)
	if sum, ok := l.sumAfter(held, in.Endpoints); !ok || sum != reply.GetSum() {
		return in, errors.Wrapf(ErrBasis, "revision %d becomes %d with sum %x, not %x", held.Revision, in.Revision, sum, reply.GetSum())
	}
	return in, nil
}

// sumAfter returns the sum of endpoints, from that of those held; false: others are held now.
func (l *Lists) sumAfter(held *vetchtrail.Listing, endpoints []*vetchtrail.Endpoint) (uint64, bool) {
	l.mu.Lock()
	sum, ok := l.sum, l.held.Load() == held
	l.mu.Unlock()
	return sum + differ(held.Endpoints, endpoints).sum, ok
}
