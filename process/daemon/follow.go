package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
	"vetchtrail/schema"
)

// followDuty names the duty to follow the platform: the calls of all hosts together are
// limited and priced, so one host of a region reads the lists, and the others ask it.
const followDuty = "follow the platform"

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
	// takeoverSlack is by how much the lists that a host holds may be older than the
	// pace of the one that reads them before another takes over: the time between two
	// questions, and slow answers.
	takeoverSlack = 1300 * time.Millisecond
	// takeoverStep is what a host waits longer than the one before it in its data
	// centre: by then that one has read the lists, unless it is turned away too.
	takeoverStep = time.Second
	// takeoverHeld is how long a host that took over goes on reading.
	takeoverHeld = 5 * time.Second
	// lenderSlack is the same as takeoverSlack for the lists of a host that is asked:
	// older ones mean that it is cut off from the platform.
	lenderSlack = 800 * time.Millisecond
	// lenders is how many hosts are asked in turn while one does not answer or is cut
	// off itself; after lenderTurns questions the first is asked again.
	lenders     = 3
	lenderTurns = 10
	// pacePart is the part of the time within which an endpoint that leaves has to be
	// known everywhere that passes between two readings; the rest is for the way to the
	// other hosts and for a takeover. With 0.24, which is 1.2 s instead of 2 s, 0.2 in 100
	// more was served on 18 hosts, for a third more calls (15 pairs).
	pacePart = 0.4
	// settleTime is for how long after its start a host knows too few others to take
	// itself for the first of its region: heartbeats reach some hundred hosts in four
	// rounds, of which those that are introduced take two more.
	settleTime = 4 * time.Second
	// unlentAfter is how long a starting host asks its seeds for lists before it reads the
	// platform's itself, and unlentSpread the time over which such hosts are spread, so
	// that the first can lend to the others.
	unlentAfter  = 700 * time.Millisecond
	unlentSpread = 1500 * time.Millisecond
)

// following is what decides whether a host reads the platform's lists.
type following struct {
	held       bool          // it holds lists
	age        time.Duration // of them
	seed       bool          // other hosts' settings name it, as it may be
	since      time.Duration // its start
	spread     float64       // its own part of a time that is spread over hosts, 0 to 1
	pace       time.Duration // between two readings of one host
	region     int           // hosts of its region that go before it
	dataCentre int           // and of its data centre
	took       time.Duration // since it took over; negative: it has not
}

// reads says whether the host reads the platform's lists now.
func (f following) reads() bool {
	switch {
	case !f.held:
		return f.seed || f.since > unlentAfter+time.Duration(f.spread*float64(unlentSpread))
	case f.took >= 0 && f.took < takeoverHeld:
		return true
	case f.since < settleTime:
		return f.seed || f.overdue(1+f.spread*lenders)
	case f.region == 0:
		return true
	}
	return f.overdue(float64(f.dataCentre))
}

// overdue says whether the lists are so old that a host with so many before it takes over.
func (f following) overdue(before float64) bool {
	return f.age > f.pace+takeoverSlack+time.Duration(before*float64(takeoverStep))
}

// following returns what decides on this host's part now.
func (d *Daemon) following(now time.Time) following {
	f := following{
		seed: d.isSeed(), since: now.Sub(d.born), spread: d.spread(), pace: d.pace(), took: -1,
	}
	if held := d.listing.Load(); held != nil {
		f.held, f.age = true, now.Sub(held.At)
	}
	f.region, f.dataCentre = d.membership.Rank(followDuty, now)
	if at := d.tookOver.Load(); at != nil {
		f.took = now.Sub(*at)
	}
	return f
}

// reads says whether the feed is to read the platform's lists. A host that is not first
// in its region and begins to takes over for a while.
func (d *Daemon) reads() bool {
	now := time.Now()
	f := d.following(now)
	if !f.reads() {
		return false
	}
	if f.region > 0 && f.since >= settleTime && (f.took < 0 || f.took >= takeoverHeld) {
		d.tookOver.Store(&now)
		d.log.Info("reading the platform's lists for another host", "age", f.age, "before_in_region", f.region, "before_in_data_centre", f.dataCentre)
	}
	return true
}

// watchesConfiguration says whether the feed is to wait for configurations beside the one
// that reads all: a second host of the region, so that the loss of the first delays none.
func (d *Daemon) watchesConfiguration() bool {
	now := time.Now()
	before, _ := d.membership.Rank(followDuty, now)
	return before == 1 && now.Sub(d.born) >= settleTime
}

// isSeed says whether this host is one that settings of hosts name as a seed.
func (d *Daemon) isSeed() bool {
	for _, s := range d.set.Seeds {
		if s == d.set.Listen.Peers {
			return true
		}
	}
	return len(d.set.Seeds) == 0
}

// spread is this host's own part of a time over which hosts are spread, 0 to 1.
func (d *Daemon) spread() float64 {
	const steps = 1 << 16
	return float64(xxhash.Sum64String("spread "+d.set.Host)%steps) / steps
}

// pace is the time between two readings of the lists: a part of the time within which an
// endpoint that leaves has to be known everywhere.
func (d *Daemon) pace() time.Duration {
	return time.Duration(pacePart * float64(d.set.Platform.KnownWithin))
}

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
		if held != nil && now.Sub(held.At) < d.pace() && d.reads() {
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
		l.asked(err == nil && age < d.pace()+lenderSlack)
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

const (
	// registerDuty names the duty to stand in the platform's list of hosts.
	registerDuty = "registered"
	// registered is how many hosts of a data centre are listed: a starting host finds
	// the others through one of them, and cold endpoints are given to four of a region.
	registered = 3
)

// registers says whether this host is to be listed by the platform.
func (d *Daemon) registers() bool {
	now := time.Now()
	if now.Sub(d.born) < settleTime {
		return false
	}
	_, before := d.membership.Rank(registerDuty, now)
	return before < registered
}
