// Package budget limits the retries that all hosts together make for a service within a
// time window, so that an outage doesn't multiply the load. Each host keeps to its part
// of the limit, which it calculates from its own requests and the number of hosts.
// It exchanges no messages with other hosts. The package only counts: whether a request
// may safely be retried is for the caller to decide.
//
// The limit of all hosts together is, in any window, Share times the greatest number of
// requests in that window, in the one half a window earlier and in the one before it, plus
// Base. The parts of the hosts add up to no more than that because each host weighs the
// requests of these three windows alike, whatever its load does: a sum of weighted means is
// the weighted mean of the sums, which is at most the greatest of these. Windows that each
// host chooses, such as the one in which it had most requests, would not add up when load
// moves between hosts.
package budget

import (
	"math"
	"sync"
	"time"
)

const (
	// buckets is the number of equal parts into which the window is divided for counting.
	buckets = 50
	// safetyFactor is the share of the limit that a host uses. The rest allows for requests and
	// retries that hosts count at slightly other moments than callers and endpoints see them.
	safetyFactor = 0.95
	// kept is the number of buckets kept: the current one, and those of two windows before it.
	kept = 2*buckets + 1
)

// Weights of the requests in a window, in the one half a window earlier and in the one before
// it. They add up to 1. A host whose load has just begun may retry by the first, and the
// retries of a sudden failure rest on the others.
const (
	currentWeight = 0.5
	earlierWeight = 0.25
	beforeWeight  = 0.25
)

// Config sets the limit of a Budget.
type Config struct {
	Window time.Duration // time window in which requests and retries are counted
	Share  float64       // retries allowed per request
	Base   float64       // additional retries allowed to all hosts together, however few their requests
	Hosts  func() int    // number of hosts among which Base is divided; 0: not known, and Base isn't used
	// Started is when this process started. Its part of Base is withheld for a window from then on:
	// an earlier process of this host may have used it. Zero: it isn't withheld.
	Started time.Time
}

// Budget limits the retries of one service on this host. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu     sync.Mutex
	start  time.Time // of the first bucket; the monotonic clock makes differences immune to clock changes
	ring   [kept]bucket
	newest int64     // number of the current bucket
	since  time.Time // from then on everything was counted; zero: always
	unsent int       // retries that were taken and not sent yet
}

// bucket counts the events of a part of the window.
type bucket struct {
	requests, retries int
	hosts             int // as the host knew them at the first event
}

// New returns a budget in which no request and no retry was counted.
func New(c Config) *Budget { return &Budget{cfg: c, since: c.Started} }

// Set replaces the limit at the time now. If the window has another length, counting starts again
// from zero, as in a process that has just started.
func (b *Budget) Set(c Config, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.Window != b.cfg.Window {
		b.ring, b.start, b.newest = [kept]bucket{}, time.Time{}, 0
		b.since = now
	}
	b.cfg = c
}

// at returns a bucket that is kept, by its number.
func (b *Budget) at(number int64) *bucket { return &b.ring[(number+kept)%kept] }

// advance makes the bucket that contains now the current one and returns it. The caller holds the
// lock.
func (b *Budget) advance(now time.Time) *bucket {
	if b.start.IsZero() {
		b.start = now
	}
	current := int64(now.Sub(b.start) / (b.cfg.Window / buckets))
	b.newest = max(b.newest, current-kept) // older buckets are cleared anyway
	for b.newest < current {
		b.newest++
		*b.at(b.newest) = bucket{}
	}
	newest := b.at(b.newest)
	if newest.hosts == 0 {
		newest.hosts = b.cfg.Hosts()
	}
	return newest
}

// CountRequest counts a request of a caller, which raises the number of allowed retries.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now).requests++
}

// State describes a budget at a moment.
type State struct {
	Requests int     // in the window
	Retries  int     // in the window, with those not sent yet
	Left     float64 // retries that are allowed now
	Hosts    int     // among which Base is divided
}

// State returns the state of the budget now.
func (b *Budget) State(now time.Time) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	s := State{Retries: b.unsent, Left: b.left(now), Hosts: b.hosts()}
	for i := b.newest; i >= b.newest-buckets; i-- {
		s.Requests += b.at(i).requests
		s.Retries += b.at(i).retries
	}
	return s
}

// HasRetry reports whether the budget allows a retry now. It counts nothing.
func (b *Budget) HasRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.left(now) >= 1
}

// TakeRetry takes a retry and returns true if the budget allows it. Otherwise it returns
// false and counts nothing. A retry that was taken ends with either RetrySent or ReturnRetry.
func (b *Budget) TakeRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.left(now) < 1 {
		return false
	}
	b.unsent++
	return true
}

// RetrySent counts a retry that was taken at the time at which it was sent. Until then it counts
// in every window, because it may wait for capacity and arrive later than retries that are taken
// after it.
func (b *Budget) RetrySent(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unsent--
	b.advance(now).retries++
}

// ReturnRetry gives back a retry that was taken and isn't sent.
func (b *Budget) ReturnRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unsent--
}

// left returns how many retries this host may make now: the fewest that any window that
// contains now leaves. Of a window that ends later, the requests up to now count. The caller
// holds the lock.
func (b *Budget) left(now time.Time) float64 {
	oldest := b.newest - 2*buckets
	var before [kept + 1]int // requests before each kept bucket, the oldest first
	for i := range kept {
		before[i+1] = before[i] + b.at(oldest+int64(i)).requests
	}
	// requests returns the number of requests in the kept buckets from first to last.
	requests := func(first, last int64) float64 {
		first, last = max(first, oldest), min(last, b.newest)
		return float64(before[max(last+1-oldest, first-oldest)] - before[first-oldest])
	}
	left, retries, base := math.Inf(1), b.unsent, b.base(now)
	for first := b.newest; first >= b.newest-buckets; first-- {
		// The window begins within this bucket. Retries in both buckets at its ends may be
		// within it, and requests only count if they certainly are.
		retries += b.at(first).retries
		weighted := currentWeight*requests(first+1, first+buckets-1) +
			earlierWeight*requests(first-buckets/2+1, first+buckets/2-1) +
			beforeWeight*requests(first-buckets+1, first-1)
		left = min(left, safetyFactor*(b.cfg.Share*weighted+base)-float64(retries))
	}
	return left
}

// base returns this host's part of Base. The caller holds the lock.
func (b *Budget) base(now time.Time) float64 {
	if !b.since.IsZero() && now.Sub(b.since) <= b.cfg.Window {
		return 0
	}
	if hosts := b.hosts(); hosts > 0 {
		return b.cfg.Base / float64(hosts)
	}
	return 0
}

// hosts returns the greatest number of hosts in the last window. Of hosts that were lost
// meanwhile, the retries still count. The caller holds the lock.
func (b *Budget) hosts() int {
	hosts := 0
	for i := b.newest; i >= b.newest-buckets; i-- {
		hosts = max(hosts, b.at(i).hosts)
	}
	return hosts
}
