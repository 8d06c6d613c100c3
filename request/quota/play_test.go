package quota

import (
	"time"

	"vetchtrail"
)

// excess is by how much the units used in the worst window exceed the bound.
func (s *sim) excess(bound func(from time.Time) float64) (float64, time.Time) {
	worst, at := -1.0, simStart
	sum, first := 0.0, 0
	for _, u := range s.used {
		sum += u.units
		for s.used[first].at.Before(u.at.Add(-s.tolerance.Window)) {
			sum -= s.used[first].units
			first++
		}
		if over := sum/bound(u.at.Add(-s.tolerance.Window)) - 1; over > worst {
			worst, at = over, u.at
		}
	}
	return worst, at
}

// bound is what all hosts together may run in a window.
func (t Tolerance) bound(q vetchtrail.Quota) float64 {
	return (q.Rate*t.Window.Seconds()+q.Burst)*(1+t.Overage) + t.Slack
}

// play makes demand for some seconds: units a second by region at a moment, in requests of
// the sizes that quotes and questions have.
func (s *sim) play(seconds float64, demand func(at float64, region int) float64, trouble func(at float64)) {
	const step = 10 * time.Millisecond
	end := s.now.Add(time.Duration(seconds * float64(time.Second)))
	begun, next := s.now, s.now
	for s.now.Before(end) {
		at := s.now.Sub(begun).Seconds()
		trouble(at)
		if !s.now.Before(next) {
			next = s.now.Add(200 * time.Millisecond)
			for from := range 3 {
				for to := range 3 {
					if k, other := s.keeperOf(from), s.keeperOf(to); k != nil && other != nil && from != to {
						s.swap(k, other)
					}
				}
			}
		}
		for region := range 3 {
			s.arrive(region, demand(at, region)*step.Seconds())
		}
		s.advance(s.now.Add(step))
	}
}

// arrive makes requests of so many units in the mean at hosts of a region.
func (s *sim) arrive(region int, units float64) {
	const meanSize = 4600 // of one quote in five and questions
	for left := units / meanSize; left > 0; left-- {
		if left < 1 && s.rnd.Float64() >= left {
			return
		}
		size := 2500 * (0.5 + s.rnd.Float64())
		if s.rnd.IntN(5) == 0 {
			size = 13_000 * (0.5 + s.rnd.Float64())
		}
		if h := s.hosts[s.rnd.IntN(len(s.hosts))]; h.region == region && !h.down {
			s.request(h, size)
		} else if k := s.anyOf(region); k != nil {
			s.request(k, size)
		}
	}
}

func (s *sim) anyOf(region int) *simHost {
	var live []*simHost
	for _, h := range s.hosts {
		if h.region == region && !h.down {
			live = append(live, h)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[s.rnd.IntN(len(live))]
}
