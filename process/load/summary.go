package load

import (
	"math"
	"time"

	"vetchtrail"
)

// Row is an endpoint's state for operators.
type Row struct {
	vetchtrail.Endpoint
	View   vetchtrail.EndpointView
	Report vetchtrail.LoadReport
	// LimitedSince is since when it names a rate; zero: it does not.
	LimitedSince time.Time
	LeavingBy    LeavingBy
	LeavingSince time.Time // when its answers said so first; zero: they did not
	PausedUntil  time.Time // until when it wants nothing from this host; zero: it does
}

// Rows returns the state of all endpoints.
func (t *Table) Rows(now time.Time) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Row, 0, len(t.endpoints))
	for _, s := range t.endpoints {
		row := Row{Endpoint: s.Endpoint, View: s.view(t, now), Report: s.report, LeavingBy: s.leavingBy(now)}
		if row.LeavingBy == ByAnswers {
			row.LeavingSince = s.leaving.said
		}
		if now.Before(s.leaving.pause) {
			row.PausedUntil = s.leaving.pause
		}
		if s.rate.Named {
			row.LimitedSince = s.limited
		}
		out = append(out, row)
	}
	return out
}

// Summary is what other data centres are told of a service here.
type Summary struct {
	Service string
	Free    int
	Slots   int
	Wait    time.Duration
	Gap     time.Duration // least between two events of a stream; 0: not known
}

// Summaries returns one for each service, in no order.
func (t *Table) Summaries(now time.Time) []Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Summary, 0, len(t.services))
	for name, states := range t.services {
		out = append(out, t.summarize(name, states, now))
	}
	return out
}

func (t *Table) summarize(name string, states []*state, now time.Time) Summary {
	m := t.means[name]
	sum := Summary{Service: name}
	best, unread, used := math.Inf(1), 0.0, 0
	m.waiting = meanWaiting(states, now)
	for _, s := range states {
		v := s.view(t, now)
		if v.Away {
			continue
		}
		held := max(v.Own, v.Running+v.Queued+v.OwnSince)
		sum.Slots += s.places(m)
		sum.Free += max(0, s.places(m)-held)
		used++
		unread += s.backlog(leastUrgent, m, now)
		wait := v.Service * 0.1
		if held >= v.Slots {
			wait += float64(held-v.Slots+1) * v.Service / float64(v.Slots)
		}
		best = math.Min(best, wait)
		if g := time.Duration(v.Gap * float64(time.Second)); sum.Gap == 0 || g < sum.Gap {
			sum.Gap = g
		}
	}
	if used == 0 {
		return sum
	}
	if m.prefill.known() {
		// Many read this, and the one with the least would soon have the most.
		base, token := m.prefill.line()
		best = base + token*unread/float64(used)
	}
	sum.Wait = time.Duration(best * float64(time.Second))
	return sum
}

// leastUrgent is a priority before which all others go.
const leastUrgent = math.MinInt8
