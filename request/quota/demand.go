package quota

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the average. It is long enough to average over
// several requests, and short compared with the one or two seconds in which a region's traffic
// grows to its peak.
const demandTimeConstant = 500 * time.Millisecond

// Demand is an exponentially decaying average of the units requested per second.
type Demand struct {
	rate      float64
	updatedAt time.Time // when rate was last updated
}

// Add counts units that were requested.
func (d *Demand) Add(units float64, now time.Time) {
	d.rate = d.Rate(now) + units/demandTimeConstant.Seconds()
	d.updatedAt = now
}

// Rate returns the average in units per second.
func (d *Demand) Rate(now time.Time) float64 {
	if d.updatedAt.IsZero() || d.rate == 0 {
		return 0
	}
	return d.rate * math.Exp(-max(0, now.Sub(d.updatedAt).Seconds())/demandTimeConstant.Seconds())
}
