package lists

import (
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/schema"
)

const (
	// borrowEvery is the pause between two questions for newer lists to the host that
	// follows the platform: half a second of age, and two small calls a second and host.
	borrowEvery = 500 * time.Millisecond
	// listTime bounds such a question: the host is of the same region, some
	// milliseconds away.
	listTime = 700 * time.Millisecond
	// lenderSlack is the same as takeoverSlack for the lists of a host that is asked:
	// older ones mean that it is cut off from the platform.
	lenderSlack = 800 * time.Millisecond
	// lenders is how many hosts are asked in turn while one does not answer, or is turned
	// away by the platform itself.
	lenders = 12
	// cutTime is for how long a host that said to be turned away is not asked again: the
	// question costs a way within the region.
	cutTime = 3 * time.Second
	// unmetTime is the same for one that did not answer, which costs listTime.
	unmetTime = 5 * time.Second
)

// Run asks other hosts for newer lists and configurations until ctx ends.
func (l *Lists) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if l.held.Load() == nil {
			l.ask(ctx)
			wait(ctx, askPause(time.Since(l.born)))
			continue
		}
		wait(ctx, borrowEvery)
		now := time.Now()
		if now.Sub(l.held.Load().At) < l.Pace() && l.Reads() {
			continue
		}
		l.borrow(ctx)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// borrow asks hosts in turn until one lends lists that are as new as they can be. Who is
// turned away by the platform says so, and the next is asked at once.
func (l *Lists) borrow(ctx context.Context) {
	now := time.Now()
	for _, h := range l.lenders(now) {
		if ctx.Err() != nil || l.spared(h.Name, now) {
			continue
		}
		age, cut, err := l.borrowFrom(ctx, h)
		if err != nil {
			l.cfg.Log.Info("lists not borrowed", "peer", h.Name, "error", err)
		}
		if errors.Is(err, ErrBusy) {
			return // the others get the same lists from it
		}
		l.note(h.Name, cut, err != nil, time.Now())
		if err == nil && !cut && age < l.Pace()+lenderSlack {
			return
		}
	}
}

// spared says whether a host is not worth a question now.
func (l *Lists) spared(host string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.cut[host]) || now.Before(l.unmet[host])
}

// note notes whether the platform answers a host, and whether the host answered.
func (l *Lists) note(host string, cut, unmet bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case unmet: // it may have ended, or be cut off: others read for it as well
		l.unmet[host] = now.Add(unmetTime)
		l.cut[host] = now.Add(unmetTime)
	case cut:
		l.cut[host] = now.Add(cutTime)
	default:
		delete(l.cut, host)
		delete(l.unmet, host)
	}
}

// lenders returns the hosts to ask for lists: the first of the region for that duty, and
// in a host's first seconds the seeds before them, as nobody takes itself for the first
// then.
func (l *Lists) lenders(now time.Time) []vetchtrail.Host {
	out := l.cfg.Hosts.Ranked(followDuty, lenders, now)
	if now.Sub(l.born) >= settleTime {
		return out
	}
	return append(l.seeds(), out...)
}

// seeds returns the hosts that the settings name, the first of them by chance.
func (l *Lists) seeds() []vetchtrail.Host {
	var out []vetchtrail.Host
	for _, s := range l.cfg.Seeds {
		if s != l.cfg.Self.Peers {
			out = append(out, seed(s))
		}
	}
	if len(out) == 0 {
		return nil
	}
	first := int(l.spread() * float64(len(out)))
	return append(out[first:len(out):len(out)], out[:first]...)
}

// seed is a host of which only the address is known.
func seed(addr netip.AddrPort) vetchtrail.Host {
	return vetchtrail.Host{Name: addr.String(), Peers: addr}
}

// borrowFrom asks a host for lists and for its configuration, and returns how old its
// lists are and whether the platform turns it away.
func (l *Lists) borrowFrom(ctx context.Context, h vetchtrail.Host) (age time.Duration, cut bool, err error) {
	held := l.held.Load()
	reply, err := l.get(ctx, h.Peers, held.Revision)
	if err != nil {
		return 0, false, err
	}
	if reply.GetConfiguration() > l.cfg.Configuration.Revision() {
		if err := l.pull(ctx, h); err != nil {
			l.cfg.Log.Info("configuration not pulled", "peer", h.Name, "revision", reply.GetConfiguration(), "error", err)
		}
	}
	if reply.GetSeen() == 0 { // it has none
		return listTime, true, nil
	}
	return time.Duration(reply.GetAge()), reply.GetCut(), l.takeLent(ctx, reply, h, held)
}

// probe asks a host how new its lists and its configuration are. The answer is some bytes, as
// no lists are newer than what the question says to hold.
func (l *Lists) probe(ctx context.Context, h vetchtrail.Host) (*schema.Listing, error) {
	return l.cfg.Peers.List(ctx, h.Peers, &schema.ListRequest{Revision: math.MaxUint64})
}

// pull takes the configuration of another host.
func (l *Lists) pull(ctx context.Context, h vetchtrail.Host) error {
	reply, err := l.cfg.Peers.Changes(ctx, h.Peers, l.cfg.Configuration.Revision())
	if err != nil {
		return err
	}
	return l.cfg.Configuration.Learned(reply)
}

// takeLent takes the lists of another host.
func (l *Lists) takeLent(ctx context.Context, reply *schema.Listing, h vetchtrail.Host, held *vetchtrail.Listing) error {
	if reply.GetRevision() == 0 { // the same lists, seen later
		if held == nil || l.held.Load() != held {
			return nil // others were taken meanwhile
		}
		same := *held
		same.Seen, same.At = reply.GetSeen(), time.Now().Add(-time.Duration(reply.GetAge()))
		l.Take(same)
		return nil
	}
	in, err := l.lent(reply, held)
	if errors.Is(err, ErrBasis) { // two hosts read the platform, and differ in what they still take to be listed
		l.cfg.Log.Warn("difference of lists not taken, asking for them whole", "peer", h.Name, "error", err)
		if reply, err = l.get(ctx, h.Peers, 0); err != nil {
			return err
		}
		in, err = l.lent(reply, nil)
	}
	if err != nil {
		return err
	}
	l.cfg.Log.Info("lists borrowed", "peer", h.Name, "store_revision", in.Seen, "age", time.Since(in.At), "since", reply.GetSince(),
		"endpoints", len(reply.GetEndpoints()), "gone", len(reply.GetGone()))
	l.Take(in)
	return nil
}
