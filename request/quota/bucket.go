package quota

import (
	"time"

	"vetchtrail"
)

// Tolerance is how far usage may exceed a quota. In any window, all hosts together may run
// (rate x window + burst) x (1 + Overage) + Slack units.
type Tolerance struct {
	Window  time.Duration
	Overage float64 // fraction of the quota
	Slack   float64 // units
}

const (
	// burstSlackShare and burstOverageShare are the fractions of the tolerance that a workspace
	// may use in a burst, so that requests which coincide are not refused. The rest covers delays:
	// leases that are used after the window began, regions whose shares have just moved, and an
	// owner that was replaced.
	burstSlackShare   = 0.75
	burstOverageShare = 0.25
	// initialFill is the fraction of a full bucket with which a new bucket starts. It is low
	// because a previous owner may have emptied its bucket just before.
	initialFill = 0.25
)

// capacity returns the most units that a workspace may use at once.
func (t Tolerance) capacity(q vetchtrail.Quota) float64 {
	return q.Burst + burstSlackShare*t.Slack + burstOverageShare*t.Overage*q.Rate*t.Window.Seconds()
}

// bucket is a token bucket. Its level is negative while it owes units.
type bucket struct {
	level       float64
	updatedAt   time.Time // when level was last updated
	largestCost float64   // largest cost spent since the level was last zero or more
}

// spend deducts the cost of a request, which may exceed the level.
func (b *bucket) spend(units float64) {
	b.level -= units
	b.largestCost = max(b.largestCost, units)
}

// fill adds the units that have accrued at a rate since the last update, up to the capacity.
func (b *bucket) fill(rate, capacity float64, now time.Time) {
	if now.After(b.updatedAt) {
		b.level += rate * now.Sub(b.updatedAt).Seconds()
		b.updatedAt = now
	}
	// The debt is bounded: after a quota is lowered, requests must not be refused for long because
	// of debt from the higher quota. But the bound is never less than the cost of one request:
	// without that, a share whose capacity is less than one request was used at ten times its
	// rate.
	b.level = max(-max(capacity, b.largestCost), min(b.level, capacity))
	if b.level >= 0 {
		b.largestCost = 0
	}
}

// wait returns the time until the bucket has a number of units at a given rate, but at most
// maxRetryDelay.
func (b *bucket) wait(units, rate float64) time.Duration {
	if units <= b.level {
		return 0
	}
	if rate <= 0 {
		return maxRetryDelay
	}
	return min(maxRetryDelay, time.Duration((units-b.level)/rate*float64(time.Second)))
}

// maxRetryDelay is the longest retry delay that a refused caller receives.
const maxRetryDelay = 10 * time.Second
