package ratelimits

import (
	"fmt"
	"time"
)

// In any window, the endpoint may receive windowFactor times the requests of its rate, and
// windowAllowance requests.
const (
	window          = 4 * time.Second
	windowFactor    = 1.5
	windowAllowance = 5
)

// worstWindow returns the highest ratio of the requests in a window to its limit, with a
// description.
func (f *fleet) worstWindow() (ratio float64, description string) {
	for i, a := range f.advertised {
		until := time.Now()
		if i+1 < len(f.advertised) {
			until = f.advertised[i+1].at
		}
		if a.rate < 0 {
			continue
		}
		limit := windowFactor*a.rate*window.Seconds() + windowAllowance
		if got := f.maxInWindow(a.at, until); float64(got)/limit > ratio {
			ratio, description = float64(got)/limit, fmt.Sprintf("%d requests in 4 s at a rate of %g, limit %g", got, a.rate, limit)
		}
	}
	return ratio, description
}

// maxInWindow returns the most requests in any window between two times, of those to which the
// limit applies.
func (f *fleet) maxInWindow(from, until time.Time) int {
	var counted []time.Time
	for _, a := range f.arrivals {
		if a.counted && !a.at.Before(from) && a.at.Before(until) {
			counted = append(counted, a.at)
		}
	}
	most, first := 0, 0
	for last, at := range counted {
		for !at.Before(counted[first].Add(window)) {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
