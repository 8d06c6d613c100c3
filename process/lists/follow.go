package lists

import "time"

// followDuty names the duty to follow the platform: the calls of all hosts together are
// limited and priced, so one host of a region reads the lists, and the others ask it.
const followDuty = "follow the platform"

const (
	// takeoverSlack is by how much the lists that a host holds may be older than the
	// pace of the one that reads them before another takes over: the time between two
	// questions, and slow answers.
	takeoverSlack = 1300 * time.Millisecond
	// takeoverStep is what a host waits longer than the one before it in its data
	// centre: by then that one has read the lists, unless it is turned away too.
	takeoverStep = time.Second
	// takeoverHeld is how long a host that took over goes on reading.
	takeoverHeld = 5 * time.Second
	// cutFan is how many hosts read for each one before them that is known to be turned
	// away: where a third of the hosts is, all of these seldom are.
	cutFan = 6
	// pacePart is the part of the time within which an endpoint that leaves has to be
	// known everywhere that passes between two readings; the rest is for the way to the
	// other hosts and for a takeover. A smaller part costs calls and serves little more.
	pacePart = 0.4
	// settleTime is for how long after its start a host knows too few others to take
	// itself for the first of its region: heartbeats reach some hundred hosts in four
	// rounds, of which those that are introduced take two more.
	settleTime = 4 * time.Second
	// youngSteps is over how many steps hosts in their first seconds are spread that take
	// over: they can't rank themselves.
	youngSteps = 3
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
	cut        int           // of those of its region, that are known to be turned away by the platform
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
		return f.seed || f.overdue(1+f.spread*youngSteps)
	case f.region <= f.cut*cutFan:
		return true // the first, or one of the next after those that are turned away
	}
	return f.overdue(float64(f.dataCentre))
}

// overdue says whether the lists are so old that a host with so many before it takes over.
func (f following) overdue(before float64) bool {
	return f.age > f.pace+takeoverSlack+time.Duration(before*float64(takeoverStep))
}

// following returns what decides on this host's part now.
func (l *Lists) following(now time.Time) following {
	f := following{
		seed: l.isSeed(), since: now.Sub(l.born), spread: l.spread(), pace: l.Pace(), took: -1,
	}
	if held := l.held.Load(); held != nil {
		f.held, f.age = true, now.Sub(held.At)
		if heard := l.heard.Load(); heard != nil {
			f.age = min(f.age, now.Sub(*heard))
		}
	}
	f.region, f.dataCentre = l.cfg.Hosts.Rank(followDuty, now)
	f.cut = l.cutBefore(f.region, now)
	if at := l.tookOver.Load(); at != nil {
		f.took = now.Sub(*at)
	}
	return f
}

// cutBefore returns how many of the first hosts of the region, as many as go before this
// one, are known to be turned away by the platform.
func (l *Lists) cutBefore(before int, now time.Time) int {
	n := 0
	for _, h := range l.cfg.Hosts.Ranked(followDuty, min(before, lenders), now) {
		if l.isCut(h.Name, now) {
			n++
		}
	}
	return n
}

func (l *Lists) isCut(host string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.cut[host])
}

// Reads implements vetchtrail.Following. A host that is not first in its region and begins
// to read takes over for a while, which it notes.
func (l *Lists) Reads() bool {
	now := time.Now()
	f := l.following(now)
	if !f.reads() {
		return false
	}
	if f.region > 0 && f.since >= settleTime && (f.took < 0 || f.took >= takeoverHeld) {
		l.tookOver.Store(&now)
		l.cfg.Log.Info("reading the platform's lists for another host", "age", f.age, "before_in_region", f.region, "before_in_data_centre", f.dataCentre, "turned_away", f.cut)
	}
	return true
}

// WatchesConfiguration implements vetchtrail.Following: a second host of the region waits
// for configurations, so that the loss of the one that reads all delays none.
func (l *Lists) WatchesConfiguration() bool {
	now := time.Now()
	before, _ := l.cfg.Hosts.Rank(followDuty, now)
	return before == 1 && now.Sub(l.born) >= settleTime
}

// Pace implements vetchtrail.Following: a part of the time within which an endpoint that
// leaves has to be known everywhere.
func (l *Lists) Pace() time.Duration {
	return time.Duration(pacePart * float64(l.cfg.KnownWithin))
}
