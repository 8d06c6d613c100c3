package dispatch

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/version/rules"
)

// fakeRateLimits grants reservations for endpoints whose rate limit is not used up, and
// counts them.
type fakeRateLimits struct {
	table     *load.Table
	exhausted []string          // endpoints whose rate limit is used up
	taken     int               // reservations granted
	returned  int               // reservations returned
	checked   vetchtrail.Permit // the last one that Covers checked
	refuseAll bool              // Covers refuses every request
}

func (l *fakeRateLimits) Take(_ context.Context, e vetchtrail.Endpoint) (vetchtrail.Permit, time.Time, bool) {
	if slices.Contains(l.exhausted, e.Name) {
		until := time.Now().Add(700 * time.Millisecond)
		l.table.Rationed(e.Name, 0, until)
		return vetchtrail.Permit{}, until, false
	}
	l.taken++
	return vetchtrail.Permit{Endpoint: e.Name}, time.Time{}, true
}

func (l *fakeRateLimits) Return(p vetchtrail.Permit) {
	if p.Endpoint != "" {
		l.returned++
	}
}

func (l *fakeRateLimits) Covers(p vetchtrail.Permit, e vetchtrail.Endpoint) bool {
	l.checked = p
	return !l.refuseAll && p.Endpoint == e.Name
}

// newRateLimitedDispatcher returns a dispatcher whose endpoints all advertise a rate limit.
// That of the endpoints in exhausted is used up.
func newRateLimitedDispatcher(t *testing.T, targets *scriptedTargets, endpoints int, exhausted ...string) (*Dispatcher, *fakeRateLimits) {
	t.Helper()
	d := newDispatcher(t, targets, endpoints)
	table := d.cfg.Table.(*load.Table)
	for i := range endpoints {
		at := time.Now()
		table.HearLimit(string(rune('1'+i)), time.Time{}, vetchtrail.RateLimit{Named: true, Rate: 2, Asked: at, Heard: at})
	}
	edits := d.cfg.Rules().Edits()
	for _, e := range table.Endpoints() {
		edits = append(edits, vetchtrail.PutEndpoint{Endpoint: e})
	}
	ruleSet, err := rules.Restore(edits, 8)
	assert.NilError(t, err)
	d.cfg.Rules = func() *rules.Rules { return ruleSet }
	limits := &fakeRateLimits{table: table, exhausted: exhausted}
	d.cfg.Permits = limits
	return d, limits
}

// TestReservations checks that a request takes a reservation on every path to a rate-limited endpoint, and
// returns it if it did not get there. A path without one would exceed the endpoint's limit; a reservation
// that is not returned would waste a part of it.
func TestReservations(t *testing.T) {
	repeatable := func(r *vetchtrail.Request) { r.Repeats, r.Attempts = true, 2 }
	cases := map[string]struct {
		modify    func(*vetchtrail.Request)
		exhausted []string
		replies   []reply
		kind      vetchtrail.OutcomeKind
		reason    vetchtrail.Reason
		taken     int
		returned  int
		called    int
	}{
		"answered":                {nil, nil, []reply{answerWith("ok")}, vetchtrail.Answered, "", 1, 0, 1},
		"one endpoint used up":    {nil, []string{"1"}, []reply{answerWith("ok")}, vetchtrail.Answered, "", 1, 0, 1},
		"forwarded":               {func(r *vetchtrail.Request) { r.Hops, r.Allowed = 1, vetchtrail.AllRegions }, nil, []reply{answerWith("ok")}, vetchtrail.Answered, "", 1, 0, 1},
		"retry":                   {repeatable, nil, []reply{breakAfter(""), answerWith("ok")}, vetchtrail.Answered, "", 2, 0, 2},
		"refused by the endpoint": {nil, nil, []reply{refuseWith(vetchtrail.StepAnswer, vetchtrail.ReasonRefused)}, vetchtrail.NotRun, vetchtrail.ReasonRefused, 1, 0, 1},
		"unreachable":             {nil, nil, []reply{refuseWith(vetchtrail.StepConnect, vetchtrail.ReasonUnreachable), answerWith("ok")}, vetchtrail.Answered, "", 2, 1, 2},
		"rate limit advertised after the placement": {nil, nil, []reply{refuseWith(vetchtrail.StepResidency, vetchtrail.ReasonLimited), answerWith("ok")}, vetchtrail.Answered, "", 2, 1, 2},
		"all used up":                       {func(r *vetchtrail.Request) { r.Hops, r.Allowed = 1, vetchtrail.AllRegions }, []string{"1", "2"}, nil, vetchtrail.NotRun, "", 0, 0, 0},
		"all here used up, remote capacity": {nil, []string{"1", "2"}, []reply{answerWith("ok")}, vetchtrail.Answered, "", 0, 0, 1},
		"resumed stream":                    {asResume, nil, []reply{answerWith("ok")}, vetchtrail.Answered, "", 1, 0, 1},
		"resumed stream, used up":           {asResume, []string{"1"}, nil, vetchtrail.NotRun, vetchtrail.ReasonLimited, 0, 0, 0},
		"resumed stream, unreachable":       {asResume, nil, []reply{refuseWith(vetchtrail.StepConnect, vetchtrail.ReasonUnreachable)}, vetchtrail.NotRun, vetchtrail.ReasonUnreachable, 1, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			targets := &scriptedTargets{replies: c.replies}
			d, limits := newRateLimitedDispatcher(t, targets, 2, c.exhausted...)
			r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", Attempts: 1, Deadline: time.Now().Add(300 * time.Millisecond)}
			if c.modify != nil {
				c.modify(r)
			}
			var g recordedAnswer
			o := d.Run(context.Background(), r, &g)
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			assert.Assert(t, c.reason == "" || o.Reason == c.reason, "%v", o)
			assert.Equal(t, limits.taken, c.taken)
			assert.Equal(t, limits.returned, c.returned)
			assert.Equal(t, len(targets.called), c.called)
			assert.Equal(t, r.Permit, vetchtrail.Permit{}, "the request still has a reservation")
			if o.Kind == vetchtrail.NotRun && c.called == 0 {
				assert.Equal(t, o.Status, 503)
				assert.Assert(t, !o.RetryAt.IsZero(), "no time to retry")
			}
		})
	}
}

// asResume makes a request resume a stream of endpoint 1.
func asResume(r *vetchtrail.Request) {
	r.Route, r.Resume = "", vetchtrail.StreamPosition{Endpoint: "1", Stream: "x"}
}

// TestReservationBeforeSend checks that the reservation is checked again just before the first byte is sent: the
// endpoint may have advertised another rate limit since.
func TestReservationBeforeSend(t *testing.T) {
	d, limits := newRateLimitedDispatcher(t, &scriptedTargets{}, 1)
	r := &vetchtrail.Request{
		ID: "x", Service: "s", Route: "r", Allowed: vetchtrail.AllRegions, Deadline: time.Now().Add(time.Second), Permit: vetchtrail.Permit{Endpoint: "1"},
	}
	e, _ := d.cfg.Table.Known("1")
	assert.Equal(t, d.Guard(e, r), vetchtrail.Reason(""))
	assert.Equal(t, limits.checked, r.Permit)
	r.Permit.Endpoint = "2"
	assert.Equal(t, d.Guard(e, r), vetchtrail.ReasonLimited)
}
