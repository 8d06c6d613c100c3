package admission

import (
	"math"
	"time"

	"vetchtrail"
)

const (
	// compositionTime is the time in which the weight of a measurement falls to 1/e: a window of
	// the hosts that a host hears from contains a few requests of a class, too few to tell a
	// workspace's share.
	compositionTime = 2 * time.Second
	// forgetShare is the share of its priority's demand below which a class is forgotten.
	forgetShare = 1e-4
)

// composition smooths how the demand of each priority is divided over classes. The sum for a
// priority follows the newest measurement, so that the beginning of a peak counts at once.
type composition struct {
	smoothed map[Class]vetchtrail.ClassDemand
	newest   map[Class]float64 // sums over workspaces
	sums     map[Class]float64 // the same of what is smoothed
	at       time.Time
}

// apply adds a measurement and returns the smoothed one in the same memory if that suffices.
func (c *composition) apply(classes []vetchtrail.ClassDemand, now time.Time) []vetchtrail.ClassDemand {
	if c.smoothed == nil {
		c.smoothed, c.newest, c.sums = map[Class]vetchtrail.ClassDemand{}, map[Class]float64{}, map[Class]float64{}
	}
	clear(c.newest)
	clear(c.sums)
	kept := math.Exp(-max(0, now.Sub(c.at).Seconds()) / compositionTime.Seconds())
	c.at = now
	for key, d := range c.smoothed {
		d.Asked *= kept
		d.Admitted *= kept
		c.smoothed[key] = d
	}
	for _, d := range classes {
		c.newest[sumKey(d)] += d.Asked
		key := classOfDemand(d)
		old := c.smoothed[key]
		d.Asked = old.Asked + (1-kept)*d.Asked
		d.Admitted = old.Admitted + (1-kept)*d.Admitted
		c.smoothed[key] = d
	}
	for _, d := range c.smoothed {
		c.sums[sumKey(d)] += d.Asked
	}
	return c.scaled(classes[:0])
}

// scaled appends the smoothed classes, with the newest sums, to out.
func (c *composition) scaled(out []vetchtrail.ClassDemand) []vetchtrail.ClassDemand {
	for key, d := range c.smoothed {
		newest, sum := c.newest[sumKey(d)], c.sums[sumKey(d)]
		if newest == 0 || d.Asked < forgetShare*sum {
			delete(c.smoothed, key)
			continue
		}
		d.Asked *= newest / sum
		d.Admitted *= newest / sum
		out = append(out, d)
	}
	return out
}

// sumKey returns the key of the sum that a class belongs to.
func sumKey(d vetchtrail.ClassDemand) Class { return Class{Priority: d.Priority, Return: d.Return} }
