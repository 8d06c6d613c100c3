package load

import (
	"math"
	"time"

	"vetchtrail"
)

const (
	// gapSmoothing is the weight of a new gap between events in their mean: an
	// endpoint's streams bring some tens of events a second.
	gapSmoothing = 0.05
	// gapForget is the time in which a mean that is not renewed falls to 1/e: the
	// streams that made it have ended since.
	gapForget = time.Second
	// gapReportAge is how old an endpoint's word of the requests that it runs may
	// be: streams take some seconds.
	gapReportAge = 2 * time.Second
	// gapSlopeMost bounds what one more request adds to the gap, in seconds.
	gapSlopeMost = 0.05
)

// gap is the mean time between two events of an endpoint's streams. It grows
// with the streams that run there.
type gap struct {
	mean float64 // seconds
	seen time.Time
}

func (g *gap) observe(d time.Duration, now time.Time) {
	g.mean = g.at(now)
	if g.mean == 0 {
		g.mean = d.Seconds()
	}
	g.mean += gapSmoothing * (d.Seconds() - g.mean)
	g.seen = now
}

// at is the mean as it is likely to be now; 0: nothing is known.
func (g *gap) at(now time.Time) float64 {
	if g.seen.IsZero() {
		return 0
	}
	return g.mean * math.Exp(-max(0, now.Sub(g.seen).Seconds())/gapForget.Seconds())
}

const (
	// silentGaps is how many times the usual gap an endpoint may say nothing on
	// all its streams before it is taken as silent, and silentLeast the least such
	// time: a long prompt holds its streams up for some hundred milliseconds.
	silentGaps  = 10
	silentLeast = 700 * time.Millisecond
)

// silent says whether the endpoint runs streams of this host and has said
// nothing on any of them for long. A new request would wait as they do.
func (t *Table) silent(s *state, now time.Time) bool {
	if len(s.streams) == 0 || t.off.Has(vetchtrail.Silence) {
		return false
	}
	patience := max(silentLeast, time.Duration(silentGaps*s.gap.mean*float64(time.Second)))
	return now.Sub(s.heard) > patience
}

// Silent implements vetchtrail.Observer.
func (t *Table) Silent(e vetchtrail.Endpoint, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.life(e.Name, e.Born)
	return ok && t.silent(s, now)
}

// gapNow is the time between two events that a new stream is likely to see: as
// streams of this host show it, and, the longer they don't, as endpoints of the
// service show it with as many requests as this one said to run.
func (s *state) gapNow(m *means, now time.Time) float64 {
	if !m.gaps.known() || !s.reported || now.Sub(s.report.At) > gapReportAge {
		return s.gap.at(now)
	}
	base, slope := m.gaps.line()
	usual := base + slope*float64(s.report.Running)
	if s.gap.seen.IsZero() {
		return usual
	}
	trust := math.Exp(-max(0, now.Sub(s.gap.seen).Seconds()) / gapForget.Seconds())
	return trust*s.gap.mean + (1-trust)*usual
}

// Paced implements vetchtrail.Observer.
func (t *Table) Paced(e vetchtrail.Endpoint, d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.life(e.Name, e.Born); ok {
		s.gap.observe(d, now)
		s.heard = now
		if s.reported && now.Sub(s.report.At) < gapReportAge {
			t.means[s.Service].gaps.observe(float64(s.report.Running), d.Seconds())
		}
	}
}
