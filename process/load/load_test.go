package load

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/standin/meter"
)

var now = time.Unix(1_800_000_000, 0)

func table(n int) *Table {
	t := New()
	var placed []Placed
	for i := range n {
		placed = append(placed, Placed{Endpoint: vetchtrail.Endpoint{Name: fmt.Sprintf("e%03d", i), Service: "s", Slots: 4}})
	}
	t.Configure(placed)
	return t
}

func viewOf(t *Table, at time.Time) vetchtrail.EndpointView {
	var v vetchtrail.View
	t.Fill(&v, &vetchtrail.Request{Service: "s"}, at)
	for _, e := range v.Endpoints {
		if e.Name == "e000" {
			return e
		}
	}
	return vetchtrail.EndpointView{}
}

func fail(kind vetchtrail.OutcomeKind, step vetchtrail.Step, why vetchtrail.Reason) vetchtrail.Observation {
	return vetchtrail.Observation{Outcome: vetchtrail.Outcome{Kind: kind, Step: step, Reason: why, RetryAt: now.Add(time.Second)}}
}

func answered(at time.Time) vetchtrail.Observation {
	return vetchtrail.Observation{
		Outcome: vetchtrail.Outcome{Kind: vetchtrail.Answered},
		Timing:  vetchtrail.Timing{Sent: at, First: at.Add(10 * time.Millisecond), Done: at.Add(100 * time.Millisecond)}, Tokens: 10,
	}
}

// TestLimit: what lowers the requests that an endpoint may have from this host.
func TestLimit(t *testing.T) {
	cases := map[string]struct {
		seen  vetchtrail.Observation
		lower bool
	}{
		"an answer":                   {answered(now), false},
		"a lost answer":               {fail(vetchtrail.Unknown, vetchtrail.StepAnswer, vetchtrail.ReasonLost), false},
		"a broken answer":             {fail(vetchtrail.Unknown, vetchtrail.StepAnswer, vetchtrail.ReasonBroken), false},
		"no answer in its time":       {fail(vetchtrail.Unknown, vetchtrail.StepAnswer, vetchtrail.ReasonDeadline), true},
		"a refusal for its load":      {fail(vetchtrail.NotRun, vetchtrail.StepAnswer, vetchtrail.ReasonRefused), true},
		"no connection was to be had": {fail(vetchtrail.NotRun, vetchtrail.StepConnect, vetchtrail.ReasonUnreachable), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := table(1)
			before := tab.endpoints["e000"].limit
			release(tab, c.seen, 1)
			assert.Equal(t, tab.endpoints["e000"].limit < before, c.lower)
		})
	}
}

// TestOutOfUse: which failures take an endpoint out, and what brings it back.
func TestOutOfUse(t *testing.T) {
	lost := fail(vetchtrail.Unknown, vetchtrail.StepAnswer, vetchtrail.ReasonLost)
	cases := map[string]struct {
		do   func(t *Table)
		at   time.Duration
		away bool
		why  vetchtrail.Reason
	}{
		"fresh":                   {func(*Table) {}, 0, false, ""},
		"two failures are chance": {func(t *Table) { release(t, lost, 2) }, 0, false, ""},
		"three in a row":          {func(t *Table) { release(t, lost, 3) }, 0, true, vetchtrail.ReasonEjected},
		"tried again later":       {func(t *Table) { release(t, lost, 3) }, ejectFirst, false, ""},
		"an answer between":       {func(t *Table) { release(t, lost, 2); release(t, answered(now), 1); release(t, lost, 2) }, 0, false, ""},
		"its own refusal": {func(t *Table) {
			release(t, fail(vetchtrail.NotRun, vetchtrail.StepAnswer, vetchtrail.ReasonRefused), 1)
		}, 0, true, vetchtrail.ReasonRefused},
		"until the time it named": {func(t *Table) {
			release(t, fail(vetchtrail.NotRun, vetchtrail.StepAnswer, vetchtrail.ReasonRefused), 1)
		}, time.Second, false, ""},
		"refuses connections": {func(t *Table) {
			release(t, fail(vetchtrail.NotRun, vetchtrail.StepConnect, vetchtrail.ReasonUnreachable), 1)
		}, 0, true, vetchtrail.ReasonUnreachable},
		"a report brings it back": {func(t *Table) { t.Down("e000", now); report(t, false) }, 0, false, ""},
		"says that it leaves":     {func(t *Table) { report(t, true) }, 0, true, vetchtrail.ReasonDraining},
		"says that it stays":      {func(t *Table) { report(t, true); reportAt(t, now.Add(2), false) }, 0, false, ""},
		"the list says it leaves": {func(t *Table) { t.Leave("e000", now.Add(time.Minute)); report(t, false) }, 0, true, vetchtrail.ReasonDraining},
		"kept back here is no sign": {func(t *Table) {
			release(t, fail(vetchtrail.NotRun, vetchtrail.StepResidency, vetchtrail.ReasonResidency), 5)
		}, 0, false, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := table(12)
			c.do(tab)
			v := viewOf(tab, now.Add(c.at))
			assert.Equal(t, v.Away, c.away)
			assert.Equal(t, v.Why, c.why)
			assert.Equal(t, tab.Acquire("e000", &vetchtrail.Request{}, now.Add(c.at)), !c.away)
		})
	}
}

func release(t *Table, o vetchtrail.Observation, times int) {
	for range times {
		t.Acquire("e000", &vetchtrail.Request{}, now)
		t.Release("e000", o, now)
	}
}

func report(t *Table, leaving bool) { reportAt(t, now.Add(1), leaving) }

func reportAt(t *Table, at time.Time, leaving bool) {
	t.Report("e000", vetchtrail.LoadReport{At: at, Leaving: leaving}, now.Add(time.Hour))
}

// TestEjectionIsBounded: a fault that all share ejects no more than a share.
func TestEjectionIsBounded(t *testing.T) {
	tab := table(12)
	lost := fail(vetchtrail.Unknown, vetchtrail.StepAnswer, vetchtrail.ReasonLost)
	for i := range 12 {
		for range failuresTo {
			tab.Release(fmt.Sprintf("e%03d", i), lost, now)
		}
	}
	var v vetchtrail.View
	tab.Fill(&v, &vetchtrail.Request{Service: "s"}, now)
	out := 0
	for _, e := range v.Endpoints {
		if e.Away {
			out++
		}
	}
	assert.Equal(t, out, 4)
}

// TestReturnRamps: an endpoint that comes back takes more with each answer.
func TestReturnRamps(t *testing.T) {
	tab := table(1)
	tab.Down("e000", now)
	later := now.Add(time.Minute)
	last := 0
	for range 10 {
		limit := viewOf(tab, later).Limit
		assert.Assert(t, limit >= last, "%d after %d", limit, last)
		last = limit
		assert.Assert(t, tab.Acquire("e000", &vetchtrail.Request{}, later))
		tab.Release("e000", answered(later), later)
	}
	assert.Equal(t, viewOf(tab, later).Warmth, 1.0)
	assert.Assert(t, last >= 4)
}

// TestReportsAreCorrected: a late report is corrected by what was started and
// ended since.
func TestReportsAreCorrected(t *testing.T) {
	tab := table(1)
	for i := range 3 {
		tab.Acquire("e000", &vetchtrail.Request{}, now.Add(time.Duration(i)*time.Second))
	}
	tab.Report("e000", vetchtrail.LoadReport{At: now.Add(1500 * time.Millisecond), Running: 5}, now)
	v := viewOf(tab, now.Add(3*time.Second))
	assert.Equal(t, v.Own, 3)
	assert.Equal(t, v.OwnSince, 1)
	assert.Assert(t, !tab.Report("e000", vetchtrail.LoadReport{At: now.Add(time.Second), Running: 9}, now), "an older report")
}

// BenchmarkFill: a view for one decision, by the endpoints; and their memory.
func BenchmarkFill(b *testing.B) {
	for _, n := range []int{12, 67, 267} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			before := meter.Heap()
			t := table(n)
			held := meter.Heap() - before
			var v vetchtrail.View
			for b.Loop() {
				v.Endpoints = v.Endpoints[:0]
				t.Fill(&v, &vetchtrail.Request{Service: "s"}, now)
			}
			b.ReportMetric(float64(held), "heap-bytes")
		})
	}
}

// TestLimitStands: answers that are read whole, and so begin when they end,
// don't close an endpoint's limit by taking a little longer than usual.
func TestLimitStands(t *testing.T) {
	tab := table(1)
	for i := range 300 {
		sent := now.Add(time.Duration(i) * 100 * time.Millisecond)
		done := sent.Add(time.Duration(15+i%20) * time.Millisecond)
		assert.Assert(t, tab.Acquire("e000", &vetchtrail.Request{}, sent))
		tab.Release("e000", vetchtrail.Observation{
			Outcome: vetchtrail.Outcome{Kind: vetchtrail.Answered}, Timing: vetchtrail.Timing{Sent: sent, First: done, Done: done},
		}, done)
	}
	assert.Assert(t, viewOf(tab, now.Add(time.Minute)).Limit >= 4)
}

// TestFailsInRow: an endpoint whose own failures come in a row that chance does not
// explain is out of use; one of a service that fails now and then is not.
func TestFailsInRow(t *testing.T) {
	failure := vetchtrail.Observation{Outcome: vetchtrail.Outcome{Kind: vetchtrail.Answered, Status: 500}}
	answer := vetchtrail.Observation{Outcome: vetchtrail.Outcome{Kind: vetchtrail.Answered, Status: 200}}
	cases := map[string]struct {
		usual  float64 // share of failures of the others
		row    int
		before []vetchtrail.Observation // between the row and the last failure
		out    bool
	}{
		"five where none fail":       {0, 5, nil, false},
		"six where none fail":        {0, 6, nil, true},
		"six where many fail":        {0.4, 6, nil, false},
		"eight where many fail":      {0.4, 8, nil, true},
		"nine where all fail":        {1, 9, nil, false},
		"six with an answer between": {0, 6, []vetchtrail.Observation{answer}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := models(0)
			for _, other := range []string{"b", "c"} {
				tab.endpoints[other].fails.value = c.usual
			}
			end := func(o vetchtrail.Observation) {
				assert.Assert(t, tab.Acquire("a", asking("x", 1, 0), now))
				o.Request, o.Timing = "x", vetchtrail.Timing{Sent: now, First: now, Done: now.Add(time.Second)}
				tab.Release("a", o, now)
			}
			for i := range c.row {
				if i == c.row-1 {
					for _, o := range c.before {
						end(o)
					}
				}
				end(failure)
			}
			assert.Equal(t, views(tab, asking("y", 1, 0))["a"].Away, c.out)
		})
	}
}
