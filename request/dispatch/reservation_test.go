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
	exhausted []string               // endpoints whose rate limit is used up
	taken     int                    // reservations granted
	returned  int                    // reservations cancelled
	checked   vetchtrail.Reservation // the last one that Allows checked
	refuseAll bool                   // Allows refuses every request
}

func (l *fakeRateLimits) Reserve(_ context.Context, e vetchtrail.Endpoint) (vetchtrail.Reservation, time.Time, bool) {
	if slices.Contains(l.exhausted, e.Name) {
		until := time.Now().Add(700 * time.Millisecond)
		l.table.SetRateLeft(e.Name, 0, until)
		return vetchtrail.Reservation{}, until, false
	}
	l.taken++
	return vetchtrail.Reservation{Endpoint: e.Name}, time.Time{}, true
}

func (l *fakeRateLimits) Cancel(res vetchtrail.Reservation) {
	if res.Endpoint != "" {
		l.returned++
	}
}

func (l *fakeRateLimits) Allows(res vetchtrail.Reservation, e vetchtrail.Endpoint) bool {
	l.checked = res
	return !l.refuseAll && res.Endpoint == e.Name
}

// newRateLimitedDispatcher returns a dispatcher whose endpoints all advertise a rate limit.
// That of the endpoints in exhausted is used up.
func newRateLimitedDispatcher(t *testing.T, targets *scriptedTargets, endpoints int, exhausted ...string) (*Dispatcher, *fakeRateLimits) {
	t.Helper()
	d := newDispatcher(t, targets, endpoints)
	table := d.cfg.Endpoints.(*load.Table)
	for i := range endpoints {
		at := time.Now()
		table.RecordRateLimit(string(rune('1'+i)), time.Time{}, vetchtrail.RateLimit{Advertised: true, Rate: 2, RequestedAt: at, ReceivedAt: at})
	}
	edits := d.cfg.Rules().Edits()
	for _, e := range table.Endpoints() {
		edits = append(edits, vetchtrail.PutEndpoint{Endpoint: e})
	}
	ruleSet, err := rules.Restore(edits, 8)
	assert.NilError(t, err)
	d.cfg.Rules = func() *rules.Rules { return ruleSet }
	limits := &fakeRateLimits{table: table, exhausted: exhausted}
	d.cfg.RateLimits = limits
	return d, limits
}

// TestReservations checks that a request takes a reservation on every path to a rate-limited endpoint, and
// returns it if it did not reach the endpoint. Without the reservation, requests would exceed the endpoint's
// rate limit; a reservation that is not returned wastes a part of that limit.
func TestReservations(t *testing.T) {
	repeatable := func(r *vetchtrail.Request) { r.Repeatable, r.MaxAttempts = true, 2 }
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
		"answered":                {nil, nil, []reply{respondWith("ok")}, vetchtrail.OutcomeAnswered, "", 1, 0, 1},
		"one endpoint used up":    {nil, []string{"1"}, []reply{respondWith("ok")}, vetchtrail.OutcomeAnswered, "", 1, 0, 1},
		"forwarded":               {func(r *vetchtrail.Request) { r.Hops, r.AllowedRegions = 1, vetchtrail.AllRegions }, nil, []reply{respondWith("ok")}, vetchtrail.OutcomeAnswered, "", 1, 0, 1},
		"retry":                   {repeatable, nil, []reply{breakAfter(""), respondWith("ok")}, vetchtrail.OutcomeAnswered, "", 2, 0, 2},
		"refused by the endpoint": {nil, nil, []reply{refuseWith(vetchtrail.StepResponse, vetchtrail.ReasonEndpointRefused)}, vetchtrail.OutcomeNotRun, vetchtrail.ReasonEndpointRefused, 1, 0, 1},
		"unreachable":             {nil, nil, []reply{refuseWith(vetchtrail.StepConnect, vetchtrail.ReasonUnreachable), respondWith("ok")}, vetchtrail.OutcomeAnswered, "", 2, 1, 2},
		"rate limit advertised after the placement": {nil, nil, []reply{refuseWith(vetchtrail.StepResidency, vetchtrail.ReasonRateLimited), respondWith("ok")}, vetchtrail.OutcomeAnswered, "", 2, 1, 2},
		"all used up":                       {func(r *vetchtrail.Request) { r.Hops, r.AllowedRegions = 1, vetchtrail.AllRegions }, []string{"1", "2"}, nil, vetchtrail.OutcomeNotRun, "", 0, 0, 0},
		"all here used up, remote capacity": {nil, []string{"1", "2"}, []reply{respondWith("ok")}, vetchtrail.OutcomeAnswered, "", 0, 0, 1},
		"resumed stream":                    {resumeAtEndpoint1, nil, []reply{respondWith("ok")}, vetchtrail.OutcomeAnswered, "", 1, 0, 1},
		"resumed stream, used up":           {resumeAtEndpoint1, []string{"1"}, nil, vetchtrail.OutcomeNotRun, vetchtrail.ReasonRateLimited, 0, 0, 0},
		"resumed stream, unreachable":       {resumeAtEndpoint1, nil, []reply{refuseWith(vetchtrail.StepConnect, vetchtrail.ReasonUnreachable)}, vetchtrail.OutcomeNotRun, vetchtrail.ReasonUnreachable, 1, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			targets := &scriptedTargets{replies: c.replies}
			d, limits := newRateLimitedDispatcher(t, targets, 2, c.exhausted...)
			r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", MaxAttempts: 1, Deadline: time.Now().Add(300 * time.Millisecond)}
			if c.modify != nil {
				c.modify(r)
			}
			var got responseRecorder
			o := d.Run(context.Background(), r, &got)
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			assert.Assert(t, c.reason == "" || o.Reason == c.reason, "%v", o)
			assert.Equal(t, limits.taken, c.taken)
			assert.Equal(t, limits.returned, c.returned)
			assert.Equal(t, len(targets.called), c.called)
			assert.Equal(t, r.Reservation, vetchtrail.Reservation{}, "the request still has a reservation")
			if o.Kind == vetchtrail.OutcomeNotRun && c.called == 0 {
				assert.Equal(t, o.Status, 503)
				assert.Assert(t, !o.RetryAt.IsZero(), "no time to retry")
			}
		})
	}
}

// resumeAtEndpoint1 makes a request resume a stream of endpoint 1.
func resumeAtEndpoint1(r *vetchtrail.Request) {
	r.Route, r.ResumeAt = "", vetchtrail.StreamPosition{Endpoint: "1", Stream: "x"}
}

// TestReservationBeforeSend checks that the reservation is checked again just before the first byte is sent,
// because the endpoint may have advertised another rate limit since the reservation was made.
func TestReservationBeforeSend(t *testing.T) {
	d, limits := newRateLimitedDispatcher(t, &scriptedTargets{}, 1)
	r := &vetchtrail.Request{
		ID: "x", Service: "s", Route: "r", AllowedRegions: vetchtrail.AllRegions, Deadline: time.Now().Add(time.Second), Reservation: vetchtrail.Reservation{Endpoint: "1"},
	}
	e, _ := d.cfg.Endpoints.Find("1")
	assert.Equal(t, d.CheckBeforeSend(e, r), vetchtrail.Reason(""))
	assert.Equal(t, limits.checked, r.Reservation)
	r.Reservation.Endpoint = "2"
	assert.Equal(t, d.CheckBeforeSend(e, r), vetchtrail.ReasonRateLimited)
}
