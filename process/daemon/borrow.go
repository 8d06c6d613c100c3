package daemon

import (
	"context"
	"time"

	"vetchtrail"
	"vetchtrail/schema"
)

const (
	// borrowEvery is the pause between two questions for newer lists to the host that
	// follows the platform: half a second of age, and two small calls a second and host.
	borrowEvery = 500 * time.Millisecond
	// borrowFirst is the same while a starting host has no lists: the first of it, twice
	// as long each time up to borrowFirstMost. Its seeds may start at the same moment and
	// take some tens of milliseconds to read them.
	borrowFirst     = 40 * time.Millisecond
	borrowFirstMost = 200 * time.Millisecond
	// listTime bounds such a question: the host is of the same region, some
	// milliseconds away. A starting host takes the whole lists, some 20 KB with 200
	// endpoints, from one that many ask.
	listTime  = 700 * time.Millisecond
	listsTime = 2 * time.Second
	// lenderSlack is the same as takeoverSlack for the lists of a host that is asked:
	// older ones mean that it is cut off from the platform.
	lenderSlack = 800 * time.Millisecond
	// lenders is how many hosts are asked in turn while one does not answer or is cut
	// off itself; after lenderTurns questions the first is asked again.
	lenders     = 3
	lenderTurns = 10
)

// borrow asks other hosts for newer lists and configurations until ctx ends.
func (d *Daemon) borrow(ctx context.Context) {
	var l lending
	first := borrowFirst
	for ctx.Err() == nil {
		held := d.listing.Load()
		if held == nil {
			wait(ctx, first)
			first = min(2*first, borrowFirstMost)
			held = d.listing.Load()
		} else {
			wait(ctx, borrowEvery)
		}
		now := time.Now()
		if held != nil && now.Sub(held.At) < d.Pace() && d.Reads() {
			continue
		}
		h, ok := l.host(d.lenders(now, held == nil || now.Sub(d.born) < settleTime))
		if !ok {
			continue
		}
		age, err := d.borrowFrom(ctx, h, held)
		if err != nil {
			d.log.Info("lists not borrowed", "peer", h.Name, "error", err)
		}
		l.asked(err == nil && age < d.Pace()+lenderSlack)
	}
}

// lending is which of the hosts that may lend lists is asked.
type lending struct {
	at    int
	turns int
}

func (l *lending) host(all []vetchtrail.Host) (vetchtrail.Host, bool) {
	if len(all) == 0 {
		return vetchtrail.Host{}, false
	}
	return all[l.at%len(all)], true
}

// asked goes on to the next host after one that was of no use, and now and then back to
// the first.
func (l *lending) asked(useful bool) {
	l.turns++
	if !useful {
		l.at++
	}
	if l.turns%lenderTurns == 0 {
		l.at = 0
	}
}

// lenders returns the hosts to ask for lists: the first of the region for that duty, and
// in a host's first seconds the seeds before them, as nobody takes itself for the first
// then.
func (d *Daemon) lenders(now time.Time, starting bool) []vetchtrail.Host {
	out := d.membership.Ranked(followDuty, lenders, now)
	if !starting {
		return out
	}
	var seeds []vetchtrail.Host
	for _, s := range d.set.Seeds {
		if s != d.set.Listen.Peers {
			seeds = append(seeds, vetchtrail.Host{Name: s.String(), Peers: s})
		}
	}
	if len(seeds) == 0 {
		return out
	}
	first := int(d.spread() * float64(len(seeds)))
	return append(append(seeds[first:len(seeds):len(seeds)], seeds[:first]...), out...)
}

// borrowFrom asks a host for lists and for its configuration, and returns how old its
// lists are.
func (d *Daemon) borrowFrom(ctx context.Context, h vetchtrail.Host, held *vetchtrail.Listing) (age time.Duration, err error) {
	var revision uint64
	within := listsTime
	if held != nil {
		revision, within = held.Revision, listTime
	}
	call, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	reply, err := d.peers.List(call, h.Peers, revision)
	if err != nil {
		return 0, err
	}
	if reply.GetConfiguration() > d.changes.Revision() {
		if err := d.pullFrom(ctx, h); err != nil {
			d.log.Info("configuration not pulled", "peer", h.Name, "revision", reply.GetConfiguration(), "error", err)
		}
	}
	if reply.GetSeen() == 0 {
		return listsTime, nil // it has none
	}
	return time.Duration(reply.GetAge()), d.takeLent(reply, h, held)
}

// takeLent takes the lists of another host.
func (d *Daemon) takeLent(reply *schema.Listing, h vetchtrail.Host, held *vetchtrail.Listing) error {
	if reply.GetRevision() == 0 { // the same lists, seen later
		if held == nil || d.listing.Load() != held {
			return nil // others were taken meanwhile
		}
		l := *held
		l.Seen, l.At = reply.GetSeen(), time.Now().Add(-time.Duration(reply.GetAge()))
		d.take(l)
		return nil
	}
	l, err := schema.ToListing(reply, time.Now())
	if err != nil {
		return err
	}
	d.log.Info("lists borrowed", "peer", h.Name, "store_revision", l.Seen, "age", time.Since(l.At))
	d.take(l)
	return nil
}
