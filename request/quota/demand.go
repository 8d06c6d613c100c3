// Package quota is the pure core of what keeps the requests of a workspace within its
// quota over all hosts: time comes in as an argument, and messages are values.
//
// A host of each region, the keeper, holds the region's part of a quota as a bucket and
// grants pieces of it to the hosts that ask (Keeper). Regions swap what they are asked
// for, so that their parts follow demand, and never add up to more than the quota (Book).
// A host spends what it was granted (Holder), or, while it reaches no keeper, an equal part
// (Equal).
package quota

import (
	"math"
	"time"
)

// demandTime is the time over which demand is observed: long enough for a mean of some
// requests, short beside the second or two in which a region's traffic grows to its peak.
const demandTime = 500 * time.Millisecond

// Demand is an observed rate, in units a second. Old units count ever less.
type Demand struct {
	rate float64
	at   time.Time
}

// Add counts units that were asked for.
func (d *Demand) Add(units float64, now time.Time) {
	d.rate = d.Rate(now) + units/demandTime.Seconds()
	d.at = now
}

// Rate returns the units a second.
func (d *Demand) Rate(now time.Time) float64 {
	if d.at.IsZero() || d.rate == 0 {
		return 0
	}
	return d.rate * math.Exp(-max(0, now.Sub(d.at).Seconds())/demandTime.Seconds())
}
