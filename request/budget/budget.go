// Package budget bounds the attempts beyond the first that the hosts together
// make for a service within any span of time, so that an outage never
// multiplies the load. Each host keeps to its part, which follows from its own
// requests and the number of live hosts, without a call to anyone.
package budget

import (
	"sync"
	"time"
)

const (
	// buckets is how many parts the window is counted in.
	buckets = 10
	// caution is the share of the bound that is used: hosts count at slightly
	// different moments, and membership lags.
	caution = 0.8
)

// Config is what a Budget needs.
type Config struct {
	Window time.Duration
	Share  float64 // further attempts for each request
	Base   float64 // further attempts of all hosts together beside the share
	Hosts  func() int
}

// Budget is the further attempts left to one service on this host. It is safe
// for use by many.
type Budget struct {
	cfg Config

	mu       sync.Mutex
	began    time.Time // of the first part; differences of times know no steps of the clock
	requests ring
	further  ring
}

// Set replaces the bounds. A window of another length begins anew.
func (b *Budget) Set(c Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.Window != b.cfg.Window {
		b.requests, b.further, b.began = ring{}, ring{}, time.Time{}
	}
	b.cfg = c
}

// ring counts by parts of the window; the part under way comes on top of them,
// so that what is counted is never less than the window.
type ring struct {
	counts [buckets + 1]int
	newest int64 // number of the newest part
}

// New returns a budget with nothing spent.
func New(c Config) *Budget { return &Budget{cfg: c} }

// part is the number of the part of the window that now is in. The caller holds
// the lock.
func (b *Budget) part(now time.Time) int64 {
	if b.began.IsZero() {
		b.began = now
	}
	return int64(now.Sub(b.began) / (b.cfg.Window / buckets))
}

// turn forgets the parts that have left the window.
func (r *ring) turn(part int64) {
	if part-r.newest > buckets {
		*r = ring{newest: part}
		return
	}
	for r.newest < part {
		r.newest++
		r.counts[r.newest%(buckets+1)] = 0
	}
}

func (r *ring) add(part int64) {
	r.turn(part)
	r.counts[r.newest%(buckets+1)]++
}

func (r *ring) sum(part int64) int {
	r.turn(part)
	sum := 0
	for _, n := range r.counts {
		sum += n
	}
	return sum
}

// Earn counts a request that a caller made.
func (b *Budget) Earn(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests.add(b.part(now))
}

// Take takes a further attempt; false: none is left.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := b.part(now)
	if float64(b.further.sum(part)+1) > b.allowed(part) {
		return false
	}
	b.further.add(part)
	return true
}

func (b *Budget) allowed(part int64) float64 {
	base := b.cfg.Base / float64(max(1, b.cfg.Hosts()))
	return caution * (b.cfg.Share*float64(b.requests.sum(part)) + base)
}
