package load

import "math"

const (
	// fitDecay multiplies the weight of earlier observations on each new one.
	fitDecay = 0.98
	// minFitObservations is how many observations a fit needs before it is used.
	minFitObservations = 3
	// maxFitBaseSeconds bounds the line's value at x = 0.
	maxFitBaseSeconds = 1.0
	// initialGuessWeight is the weight of each of the two points that the initial guess consists of, in
	// observations.
	initialGuessWeight = 2.0
)

// linearFit is a least-squares line through observations of seconds (y) by a count (x). Older observations
// weigh less.
type linearFit struct {
	minSlope, maxSlope float64
	n, x, y, xx, xy    float64 // weighted sums of 1, x, y, x² and xy
	count              int     // observations
}

func (f *linearFit) add(x, y, weight float64) {
	f.n += weight
	f.x += weight * x
	f.y += weight * y
	f.xx += weight * x * x
	f.xy += weight * x * y
}

func (f *linearFit) observe(x, seconds float64) {
	f.n, f.x, f.y, f.xx, f.xy = f.n*fitDecay, f.x*fitDecay, f.y*fitDecay, f.xx*fitDecay, f.xy*fitDecay
	f.add(x, seconds, 1)
	f.count++
}

// known reports whether there are enough observations to use the line.
func (f *linearFit) known() bool { return f.count >= minFitObservations }

// line returns the seconds at x = 0 and the seconds for each unit of x.
func (f *linearFit) line() (base, slope float64) {
	if f.n == 0 {
		return 0, f.minSlope
	}
	spread := f.n*f.xx - f.x*f.x
	if spread > 0 {
		slope = (f.n*f.xy - f.x*f.y) / spread
	}
	slope = math.Min(math.Max(slope, f.minSlope), f.maxSlope)
	base = math.Min(math.Max((f.y-slope*f.x)/f.n, 0), maxFitBaseSeconds)
	return base, slope
}
