package quota

import (
	"time"

	"vetchtrail"
)

// worstExcess returns by which fraction the usage in the worst window exceeds its limit, and
// when that window ends. limit returns the limit of the window that begins at a given time.
func (s *sim) worstExcess(limit func(from time.Time) float64) (float64, time.Time) {
	worst, at := -1.0, simStart
	sum, first := 0.0, 0
	for _, u := range s.usages {
		sum += u.units
		for s.usages[first].at.Before(u.at.Add(-s.tolerance.Window)) {
			sum -= s.usages[first].units
			first++
		}
		if over := sum/limit(u.at.Add(-s.tolerance.Window)) - 1; over > worst {
			worst, at = over, u.at
		}
	}
	return worst, at
}

// windowLimit returns the most units that all hosts together may run in a window.
func (t Tolerance) windowLimit(q vetchtrail.Quota) float64 {
	return (q.Rate*t.Window.Seconds()+q.Burst)*(1+t.Overage) + t.Slack
}

// run generates requests for a number of seconds. demand returns the units per second that a
// region's callers request, at a time in seconds from the start. applyFaults sets the faults
// that are in effect at that time.
func (s *sim) run(seconds float64, demand func(at float64, region int) float64, applyFaults func(at float64)) {
	const step = 10 * time.Millisecond
	end := s.now.Add(time.Duration(seconds * float64(time.Second)))
	startedAt, nextExchange := s.now, s.now
	for s.now.Before(end) {
		at := s.now.Sub(startedAt).Seconds()
		applyFaults(at)
		if !s.now.Before(nextExchange) {
			nextExchange = s.now.Add(200 * time.Millisecond)
			for from := range 3 {
				for to := range 3 {
					if ownerHost, remoteOwnerHost := s.ownerOf(from), s.ownerOf(to); ownerHost != nil && remoteOwnerHost != nil && from != to {
						s.exchange(ownerHost, remoteOwnerHost)
					}
				}
			}
		}
		for region := range 3 {
			s.generateRequests(region, demand(at, region)*step.Seconds())
		}
		s.advance(s.now.Add(step))
	}
}

// generateRequests makes requests at random hosts of a region, whose expected total is the
// given number of units. One request in five costs about 13,000 units, the others about 2,500.
func (s *sim) generateRequests(region int, units float64) {
	const meanSize = 4600 // of the sizes below
	for left := units / meanSize; left > 0; left-- {
		if left < 1 && s.rng.Float64() >= left {
			return
		}
		size := 2500 * (0.5 + s.rng.Float64())
		if s.rng.IntN(5) == 0 {
			size = 13_000 * (0.5 + s.rng.Float64())
		}
		if h := s.hosts[s.rng.IntN(len(s.hosts))]; h.region == region && !h.down {
			s.request(h, size)
		} else if other := s.anyLiveHost(region); other != nil {
			s.request(other, size)
		}
	}
}

// anyLiveHost returns a random live host of a region, or nil.
func (s *sim) anyLiveHost(region int) *simHost {
	var live []*simHost
	for _, h := range s.hosts {
		if h.region == region && !h.down {
			live = append(live, h)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[s.rng.IntN(len(live))]
}
