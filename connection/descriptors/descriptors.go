// Package descriptors bounds the connections of the process by its limit on open descriptors, so that callers'
// connections and those to endpoints and hosts leave some for everything else.
package descriptors

import (
	"fmt"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Kind is what a connection is for.
type Kind int

// Kinds.
const (
	Callers  Kind = iota // accepted from callers
	Outgoing             // to endpoints and other hosts, also those being opened
	Hosts                // accepted from other hosts and operators
	kinds
)

func (k Kind) String() string { return [kinds]string{"callers", "outgoing", "hosts"}[k] }

const (
	// DefaultLimit stands for a limit that is unknown or higher.
	DefaultLimit = 1 << 20
	// kindShare is the share of the limit that each kind may take. A request takes a connection of both.
	kindShare = 0.5
	// allShare is the share that both may take. The rest is for files, the store, and connections from other hosts.
	allShare = 0.75
	// hostsShare is the share for connections from other hosts, which are never refused: a forward that they bring may
	// run already for all that its sender knows. What they take beyond it is taken from allShare.
	hostsShare = 0.1
	// spareShare is the share beyond these for callers' connections that are accepted to be refused.
	spareShare  = 0.05
	logInterval = time.Second // shortest time between two log lines about refused connections
)

// ProcessLimit returns the limit on open descriptors of this process.
func ProcessLimit() int {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil || r.Cur > DefaultLimit {
		return DefaultLimit
	}
	return int(r.Cur)
}

// Config configures a Budget.
type Config struct {
	Limit int          // on open descriptors
	Log   *slog.Logger // nil: none
}

// Budget counts connections by kind and bounds them. It is safe for concurrent use, and nil bounds nothing.
type Budget struct {
	cfg                    Config
	kindMax, allMax, spare int
	hostsReserve           int // for connections from other hosts

	mu       sync.Mutex
	makeRoom func() bool // closes an idle outgoing connection, if there is one; nil: none can be closed
	inUse    [kinds]int
	released chan struct{} // closed at the next release; nil: nobody waits for one
	refused  [kinds]int    // since the last log line
	logAt    time.Time
}

// New returns a Budget.
func New(c Config) *Budget {
	share := func(s float64) int { return max(1, int(s*float64(c.Limit))) }
	return &Budget{cfg: c, kindMax: share(kindShare), allMax: share(allShare), spare: share(spareShare), hostsReserve: share(hostsShare)}
}

// SetMakeRoom sets the function that closes an idle outgoing connection. It reports whether there was one.
func (b *Budget) SetMakeRoom(f func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.makeRoom = f
}

// Acquire counts a connection if it is within the bounds, if need be after closing an idle one.
func (b *Budget) Acquire(k Kind) bool {
	if b == nil {
		return true
	}
	ok, makeRoom := b.tryAcquire(k)
	if !ok && makeRoom != nil && makeRoom() {
		ok, _ = b.tryAcquire(k)
	}
	if !ok {
		b.refuse(k, time.Now())
	}
	return ok
}

// tryAcquire counts a connection if it is within the bounds. Otherwise it returns the function by which it may be, or
// nil if that can't help.
func (b *Budget) tryAcquire(k Kind) (ok bool, makeRoom func() bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case k == Callers && b.inUse[k] >= b.kindMax:
		return false, nil
	case b.inUse[k] >= b.kindMax, b.all() >= b.allMax:
		return false, b.makeRoom
	}
	b.add(k, 1)
	return true, nil
}

// Force counts a connection whatever the bounds.
func (b *Budget) Force(k Kind) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(k, 1)
}

// Release ends a connection.
func (b *Budget) Release(k Kind) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(k, -1)
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// Full returns nil if a connection may be accepted, if only to be refused. Otherwise it returns a channel that is
// closed at the next release.
func (b *Budget) Full() <-chan struct{} {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inUse[Callers] < b.kindMax+b.spare && b.all() < b.allMax+b.spare {
		return nil
	}
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

// all returns the connections that count against allMax. The caller holds the lock.
func (b *Budget) all() int {
	return b.inUse[Callers] + b.inUse[Outgoing] + max(0, b.inUse[Hosts]-b.hostsReserve)
}

// add changes the count of a kind. The caller holds the lock.
func (b *Budget) add(k Kind, n int) {
	b.inUse[k] += n
	gauges[k].Add(float64(n))
}

// refuse counts a refused connection, and logs refused ones once each logInterval.
func (b *Budget) refuse(k Kind, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	metrics.GetOrCreateCounter(fmt.Sprintf("vetchtrail_connections_refused_total{kind=%q}", k)).Inc()
	b.refused[k]++
	if b.cfg.Log == nil || now.Before(b.logAt) {
		return
	}
	b.cfg.Log.Warn("bound on connections reached", "limit", b.cfg.Limit, "callers", b.inUse[Callers], "outgoing", b.inUse[Outgoing], "hosts", b.inUse[Hosts],
		"callers_refused", b.refused[Callers], "outgoing_refused", b.refused[Outgoing])
	b.refused, b.logAt = [kinds]int{}, now.Add(logInterval)
}

var gauges = [kinds]*metrics.Gauge{newGauge(Callers), newGauge(Outgoing), newGauge(Hosts)}

func newGauge(k Kind) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf("vetchtrail_connections{kind=%q}", k), nil)
}
