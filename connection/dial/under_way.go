package dial

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	maxUnderWay       = 1024 // dials for requests
	maxTargetUnderWay = 256  // dials to one address
	// hostFailingAfter is how many dials in a row, to any address, have to time out for this host to count as the cause.
	hostFailingAfter = 16
	// maxHostFailing is how many dials for requests may be under way then.
	maxHostFailing = 128
	// failingFor is how long an address whose last dial timed out gets one dial at a time.
	failingFor = 10 * time.Second
)

// boundSilent is the bound on dials to an address whose last dial timed out.
const boundSilent = "dials to a silent address"

// underWay bounds the dials under way. An address that doesn't answer, or a host that can't connect, would otherwise
// gather a dial for each request, and each of them holds its request until it times out.
type underWay struct {
	mu            sync.Mutex
	forRequests   int // without those that are never refused, which may all go to hosts that are cut off
	timeoutsInRow int
	targets       map[netip.AddrPort]target // with dials under way, or failing
	sweepAt       time.Time
}

// target is the state of one address.
type target struct {
	dials        int
	failingUntil time.Time
}

// bound returns the name of the bound that forbids another dial to an address, or nothing. The caller holds the lock.
func (u *underWay) bound(to netip.AddrPort, now time.Time) string {
	t := u.targets[to]
	switch {
	case t.dials > 0 && now.Before(t.failingUntil):
		return boundSilent
	case t.dials >= maxTargetUnderWay:
		return "dials to an address"
	case u.forRequests >= maxUnderWay, u.timeoutsInRow >= hostFailingAfter && u.forRequests >= maxHostFailing:
		return "dials of the host"
	}
	return ""
}

// begin counts a dial. It returns a *BoundError if that may not begin.
func (u *underWay) begin(to netip.AddrPort, now time.Time) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if bound := u.bound(to, now); bound != "" {
		metrics.GetOrCreateCounter(fmt.Sprintf("vetchtrail_dials_refused_total{bound=%q}", bound)).Inc()
		return &BoundError{To: to, Bound: bound}
	}
	u.forRequests++
	u.add(to, 1)
	return nil
}

// force counts a dial whatever the bounds.
func (u *underWay) force(to netip.AddrPort) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.add(to, 1)
}

// end ends a dial for a request.
func (u *underWay) end(to netip.AddrPort, r result, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.forRequests--
	u.ended(to, r, now)
}

// endForced ends a dial that force counted.
func (u *underWay) endForced(to netip.AddrPort, r result, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended(to, r, now)
}

// add changes the number of dials to an address. The caller holds the lock.
func (u *underWay) add(to netip.AddrPort, n int) {
	t := u.targets[to]
	t.dials += n
	u.targets[to] = t
}

// result is how a dial ended.
type result int

const (
	connected result = iota
	timedOut
	failed // otherwise; this shows nothing about the next dial
)

// ended records the end of a dial. The caller holds the lock.
func (u *underWay) ended(to netip.AddrPort, r result, now time.Time) {
	u.add(to, -1)
	t := u.targets[to]
	switch r {
	case connected:
		t.failingUntil, u.timeoutsInRow = time.Time{}, 0
	case timedOut:
		t.failingUntil = now.Add(failingFor)
		u.timeoutsInRow++
	}
	u.targets[to] = t
	if t.dials == 0 && t.failingUntil.IsZero() {
		delete(u.targets, to)
	}
	u.sweep(now)
}

// sweep forgets the addresses that no longer count as failing. The caller holds the lock.
func (u *underWay) sweep(now time.Time) {
	if now.Before(u.sweepAt) {
		return
	}
	u.sweepAt = now.Add(failingFor)
	for to, t := range u.targets {
		if t.dials == 0 && !now.Before(t.failingUntil) {
			delete(u.targets, to)
		}
	}
}
