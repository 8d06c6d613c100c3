package load

import "math"

const (
	// fitFades is the weight that each observation leaves to those before it.
	fitFades = 0.98
	// fitFew is how many observations are needed before a fit is used.
	fitFew = 3
	// baseMost bounds what a fit may say at 0, in seconds.
	baseMost = 1.0
	// priorWeight is how many observations the first guess counts as.
	priorWeight = 2.0
)

// fit is a line through observations, the older the lighter: seconds by
// something that is counted.
type fit struct {
	least, most     float64 // bounds of the slope
	n, x, y, xx, xy float64
	seen            int
}

func (f *fit) add(x, y, weight float64) {
	f.n += weight
	f.x += weight * x
	f.y += weight * y
	f.xx += weight * x * x
	f.xy += weight * x * y
}

func (f *fit) observe(x, seconds float64) {
	f.n, f.x, f.y, f.xx, f.xy = f.n*fitFades, f.x*fitFades, f.y*fitFades, f.xx*fitFades, f.xy*fitFades
	f.add(x, seconds, 1)
	f.seen++
}

func (f *fit) known() bool { return f.seen >= fitFew }

// line returns the seconds at 0 and those for each of what is counted.
func (f *fit) line() (base, slope float64) {
	if f.n == 0 {
		return 0, f.least
	}
	spread := f.n*f.xx - f.x*f.x
	if spread > 0 {
		slope = (f.n*f.xy - f.x*f.y) / spread
	}
	slope = math.Min(math.Max(slope, f.least), f.most)
	base = math.Min(math.Max((f.y-slope*f.x)/f.n, 0), baseMost)
	return base, slope
}
