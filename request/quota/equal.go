package quota

import (
	"time"

	"vetchtrail"
)

// Equal is a host's equal part of a workspace's quota: safe without a word to anyone, but
// it refuses where callers are while other hosts' parts lie idle.
type Equal struct {
	bucket bucket
	begun  bool
	part   float64 // the region's part of the quota over an equal one; 0: not known
}

// Take takes units if the part of one of so many hosts has any. A request may take more
// than is there: it is owed.
func (e *Equal) Take(units float64, q vetchtrail.Quota, t Tolerance, hosts int, now time.Time) (ok bool, back time.Time) {
	n := float64(max(1, hosts)) / e.share()
	capacity := t.capacity(q) / n
	if !e.begun {
		e.begun = true
		e.bucket = bucket{level: startPart * capacity, at: now}
	}
	e.bucket.fill(q.Rate/n, capacity, now)
	if e.bucket.level <= 0 {
		return false, now.Add(e.bucket.wait(1, q.Rate/n))
	}
	e.bucket.spend(units)
	return true, time.Time{}
}

// Learn takes which part of the quota the region may use, as its keeper last told, where so many
// regions share it. A host alone uses no more than its share of that: else hosts of regions that others ask
// more of would exceed the quota with an equal part of the whole.
func (e *Equal) Learn(part float64, regions int) { e.part = part * float64(regions) }

// share is how much of an equal part the host may use.
func (e *Equal) share() float64 {
	if e.part <= 0 {
		return 1
	}
	return min(1, e.part)
}

// Spend counts units that the host used by a keeper's grant: they are not there for it a
// second time when it reaches no keeper. What the host owes of its part stays owed: where every
// second question is lost a host uses grants and its part in turn, and would exceed the quota if each grant
// forgave what it owed.
func (e *Equal) Spend(units float64) {
	e.bucket.level = min(e.bucket.level, max(0, e.bucket.level-units))
}

// Return gives back units that were not used.
func (e *Equal) Return(units float64) { e.bucket.level += units }
