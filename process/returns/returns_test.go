package returns

import (
	"math"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/schema"
)

var start = time.Unix(1_800_000_000, 0)

// fixedDemand is a DemandTable with the same demand for all services.
type fixedDemand vetchtrail.ServiceDemand

func (d fixedDemand) Demand(string, time.Time) vetchtrail.ServiceDemand {
	return vetchtrail.ServiceDemand(d)
}
func (fixedDemand) Work(*vetchtrail.Request) float64 { return 1000 }

var shortage = fixedDemand{Supply: 1e6, Hosts: 10, Classes: []vetchtrail.ClassDemand{{Asked: 3e6, Admitted: 9e5}}}

// request returns a request whose caller has 4 s.
func request(service string, now time.Time) *vetchtrail.Request {
	return &vetchtrail.Request{Service: service, Route: "r", Goal: now.Add(time.Second), Deadline: now.Add(4 * time.Second), CallerCanRetry: true}
}

// TestPlanInForce guards against refusals whose time changes where returns are not planned, and
// against slots for callers whose response would not end in time.
func TestPlanInForce(t *testing.T) {
	answered := vetchtrail.Outcome{Kind: vetchtrail.OutcomeAnswered, FirstByte: start.Add(-5 * time.Second)}
	cases := map[string]struct {
		config  Config
		before  []vetchtrail.Outcome // of first attempts
		planned bool
		ok      bool
	}{
		"in force":                       {Config{Table: shortage}, nil, true, true},
		"switched off":                   {Config{Table: shortage, SwitchedOff: true}, nil, false, false},
		"admission not in force":         {Config{Table: shortage, InForce: func(string, time.Time) bool { return false }}, nil, false, false},
		"nothing known":                  {Config{Table: fixedDemand{}}, nil, false, false},
		"responses take longer than 4 s": {Config{Table: shortage}, []vetchtrail.Outcome{answered}, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := New(c.config)
			for _, o := range c.before {
				p.Ended(request("s", start), o, start)
			}
			r, oks := request("s", start), 0
			for range 10 {
				at, ok := p.Plan(r, start)
				assert.Equal(t, at.IsZero(), !c.planned)
				assert.Assert(t, !c.planned || ok == at.Before(r.Deadline))
				if ok {
					oks++
				}
			}
			assert.Equal(t, oks > 0, c.ok)
		})
	}
}

// TestPlanAllocates guards against allocations for each refusal while a host refuses most requests.
func TestPlanAllocates(t *testing.T) {
	p, r, now := New(Config{Table: shortage}), request("s", start), start
	assert.Equal(t, testing.AllocsPerRun(1000, func() {
		now = now.Add(5 * time.Millisecond)
		r.Goal, r.Deadline = now.Add(time.Second), now.Add(4*time.Second)
		_, _ = p.Plan(r, now)
	}), 0.0)
}

// TestMetrics guards against first attempts that count as returns, and returns that don't count.
func TestMetrics(t *testing.T) {
	p := New(Config{Table: shortage})
	for _, kind := range []vetchtrail.OutcomeKind{vetchtrail.OutcomeAnswered, vetchtrail.OutcomeNotRun, vetchtrail.OutcomeUnknown} {
		r := request("counted", start)
		p.Ended(r, vetchtrail.Outcome{Kind: kind}, start)
		r.CallerCanRetry = false
		p.Ended(r, vetchtrail.Outcome{Kind: kind}, start)
	}
	for event, want := range map[string]uint64{eventArrived: 3, eventServed: 1, eventRefused: 1, eventPlanned: 0} {
		assert.Equal(t, metrics.GetOrCreateCounter(MetricName("counted", 0, event)).Get(), want, event)
	}
}

// TestExchange guards against planned returns that count at another time because clocks differ,
// more than once, or after their host was lost, and against invalid ones.
func TestExchange(t *testing.T) {
	const ahead = 10 * time.Second // of the sender's clock
	sender, receiver := New(Config{Table: shortage}), New(Config{Table: shortage})
	for i := range 1000 {
		now := start.Add(ahead + time.Duration(i)*time.Millisecond)
		_, _ = sender.Plan(request("s", now), now)
	}
	now := start.Add(time.Second)
	offers := sender.Offers("s", now.Add(ahead))
	assert.Assert(t, len(offers) > 0)
	messages := schema.FromPlannedReturns(offers, now.Add(ahead))
	messages = append(messages, &schema.PlannedReturns{Priority: math.MaxInt32, Work: 1e9}, &schema.PlannedReturns{InMillis: math.MaxUint32, Work: 1e9})
	for range 2 { // a later report replaces the earlier one
		receiver.Receive("sender", "s", schema.ToPlannedReturns(messages, now), now)
	}
	got := receiver.Planned("s", 4, now)
	assert.Equal(t, len(got), len(offers))
	for i, o := range offers {
		// Both hosts are half of the live ones. Work is sent in whole tokens.
		assert.Assert(t, math.Abs(got[i].Work-2*o.Work) <= 2 && got[i].At.Equal(o.At.Add(-ahead)), "%+v %+v", got[i], o)
	}
	assert.Equal(t, len(receiver.Planned("s", 4, now.Add(reportExpiry+time.Second))), 0)
	assert.Equal(t, len(receiver.services["s"].received), 0)
	for i := range 2 * maxServices {
		receiver.Receive("sender", string(rune('a'+i)), nil, now)
	}
	assert.Equal(t, len(receiver.services), maxServices)
}
