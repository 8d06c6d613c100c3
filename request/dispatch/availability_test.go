package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
)

// announceLeaving has an endpoint announce that it is leaving.
func announceLeaving(d *Dispatcher, name string) {
	now := time.Now()
	d.cfg.Endpoints.(*load.Table).RecordAnnouncement(name, time.Time{}, vetchtrail.Availability{Leaving: true, RequestedAt: now, ReceivedAt: now})
}

// TestLeavingEndpointBeforeSend checks that a request is not sent to an endpoint that announced after the
// placement that it is leaving. The request is not lost: it goes to another endpoint.
func TestLeavingEndpointBeforeSend(t *testing.T) {
	targets := &scriptedTargets{}
	d := newDispatcher(t, targets, 2)
	r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", MaxAttempts: 1, Deadline: time.Now().Add(time.Second)}
	leaveBeforeSend := func(r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
		name := targets.called[len(targets.called)-1]
		e, _ := d.cfg.Endpoints.Find(name)
		assert.Equal(t, d.CheckBeforeSend(e, r), vetchtrail.Reason(""))
		announceLeaving(d, name)
		reason := d.CheckBeforeSend(e, r)
		assert.Equal(t, reason, vetchtrail.ReasonDraining)
		return refuseWith(vetchtrail.StepResidency, reason)(r, w)
	}
	targets.replies = []reply{leaveBeforeSend, respondWith("ok")}
	var got responseRecorder
	o := d.Run(context.Background(), r, &got)
	assert.Equal(t, o.Kind, vetchtrail.OutcomeAnswered, "%v", o)
	assert.Equal(t, len(targets.called), 2)
	assert.Assert(t, targets.called[0] != targets.called[1])
}

// TestAllEndpointsLeaving checks that requests go to another region when all endpoints here are leaving. If no
// other region may run them, they are refused at once and don't wait for capacity that no endpoint will have.
func TestAllEndpointsLeaving(t *testing.T) {
	cases := map[string]struct {
		hops   int // a forwarded request is not forwarded again
		kind   vetchtrail.OutcomeKind
		called int
	}{"another region": {0, vetchtrail.OutcomeAnswered, 1}, "no other region": {1, vetchtrail.OutcomeNotRun, 0}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			targets := &scriptedTargets{replies: []reply{respondWith("ok")}}
			d := newDispatcher(t, targets, 2)
			announceLeaving(d, "1")
			announceLeaving(d, "2")
			r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", MaxAttempts: 1, Hops: c.hops, AllowedRegions: vetchtrail.AllRegions, Deadline: time.Now().Add(10 * time.Second)}
			started := time.Now()
			var got responseRecorder
			o := d.Run(context.Background(), r, &got)
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			assert.Equal(t, len(targets.called), c.called)
			assert.Assert(t, time.Since(started) < 5*time.Second, "the refusal came only after a wait")
			if c.kind == vetchtrail.OutcomeNotRun {
				assert.Equal(t, o.Status, 503)
				assert.Assert(t, o.RetryAt.After(started), "no time to retry")
			}
		})
	}
}

// announcePause has an endpoint announce that it accepts no requests from this host for the given time.
func announcePause(d *Dispatcher, name string, pause time.Duration) {
	now := time.Now()
	d.cfg.Endpoints.(*load.Table).RecordAnnouncement(name, time.Time{}, vetchtrail.Availability{PausedUntil: now.Add(pause), RequestedAt: now, ReceivedAt: now})
}

// refuseWithPause has the endpoint refuse a request and announce a pause.
func refuseWithPause(d *Dispatcher, targets *scriptedTargets, pause time.Duration) reply {
	return func(r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
		announcePause(d, targets.called[len(targets.called)-1], pause)
		o := refuseWith(vetchtrail.StepResponse, vetchtrail.ReasonEndpointRefused)(r, w)
		o.RetryAt = time.Now().Add(pause)
		return o
	}
}

// TestRetryTimeAfterPause checks the retry time that a caller receives when an endpoint refused its request and
// announced a pause. It must be the time at which the first endpoint has capacity for the request. The end of the
// refusing endpoint's pause may be later than that.
func TestRetryTimeAfterPause(t *testing.T) {
	cases := map[string]struct {
		other            time.Duration // pause of the other endpoint; 0: it is idle
		earliest, latest time.Duration // bounds of the time to retry
		hops             int           // a forwarded request is not forwarded again
	}{
		"other endpoint idle":               {0, 100 * time.Millisecond, time.Second, 1},
		"capacity in another region":        {8 * time.Second, 100 * time.Millisecond, time.Second, 0},
		"other endpoint available first":    {8 * time.Second, 7 * time.Second, 9 * time.Second, 1},
		"refusing endpoint available first": {time.Hour, 59 * time.Second, 61 * time.Second, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			targets := &scriptedTargets{}
			d := newDispatcher(t, targets, 2)
			targets.replies = []reply{refuseWithPause(d, targets, time.Minute)}
			r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", MaxAttempts: 1, Hops: c.hops, AllowedRegions: vetchtrail.AllRegions, Deadline: time.Now().Add(2 * time.Second)}
			// The other endpoint pauses as soon as the first one is called, so that it is not tried.
			refuse := targets.replies[0]
			targets.replies[0] = func(r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
				other := map[string]string{"1": "2", "2": "1"}[targets.called[0]]
				if c.other > 0 {
					announcePause(d, other, c.other)
				}
				return refuse(r, w)
			}
			var got responseRecorder
			started := time.Now()
			o := d.Run(context.Background(), r, &got)
			assert.Equal(t, o.Kind, vetchtrail.OutcomeNotRun, "%v", o)
			retryAfter := o.RetryAt.Sub(started)
			assert.Assert(t, retryAfter >= c.earliest && retryAfter <= c.latest, "%s", retryAfter)
		})
	}
}

// TestAllEndpointsPaused checks a request for which all endpoints are paused. If the pauses are longer than the
// request may wait, it is refused at once, with the end of the first pause as its retry time; otherwise it waits.
func TestAllEndpointsPaused(t *testing.T) {
	cases := map[string]struct {
		pause time.Duration
		kind  vetchtrail.OutcomeKind
	}{"longer than the deadline": {time.Minute, vetchtrail.OutcomeNotRun}, "shorter than the deadline": {200 * time.Millisecond, vetchtrail.OutcomeAnswered}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			targets := &scriptedTargets{replies: []reply{respondWith("ok")}}
			d := newDispatcher(t, targets, 2)
			enableQueue(t, d)
			announcePause(d, "1", c.pause)
			announcePause(d, "2", c.pause+time.Second)
			r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", MaxAttempts: 1, Hops: 1, AllowedRegions: vetchtrail.AllRegions, Deadline: time.Now().Add(5 * time.Second)}
			started := time.Now()
			var got responseRecorder
			o := d.Run(context.Background(), r, &got)
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			if c.kind == vetchtrail.OutcomeAnswered {
				assert.Assert(t, time.Since(started) >= c.pause-time.Millisecond, "the request ran before the pause was over")
				return
			}
			assert.Equal(t, o.Reason, vetchtrail.ReasonPaused)
			assert.Assert(t, time.Since(started) < 2*time.Second, "the refusal came only after a wait")
			assert.Assert(t, o.RetryAt.Sub(started) >= c.pause-time.Millisecond && o.RetryAt.Sub(started) < c.pause+time.Second, "%s", o.RetryAt.Sub(started))
		})
	}
}

// TestPausedEndpointBeforeSend checks that a request is not sent to an endpoint that announced a pause after the
// placement, and that no stream is resumed there during the pause.
func TestPausedEndpointBeforeSend(t *testing.T) {
	d, _ := newRateLimitedDispatcher(t, &scriptedTargets{}, 1)
	r := &vetchtrail.Request{
		ID: "x", Service: "s", Route: "r", AllowedRegions: vetchtrail.AllRegions, Deadline: time.Now().Add(time.Second), Reservation: vetchtrail.Reservation{Endpoint: "1"},
	}
	e, _ := d.cfg.Endpoints.Find("1")
	assert.Equal(t, d.CheckBeforeSend(e, r), vetchtrail.Reason(""))
	announcePause(d, "1", time.Minute)
	assert.Equal(t, d.CheckBeforeSend(e, r), vetchtrail.ReasonPaused)
	resumed := &vetchtrail.Request{ID: "y", Service: "s", Deadline: time.Now().Add(time.Second)}
	resumeAtEndpoint1(resumed)
	var got responseRecorder
	o := d.Run(context.Background(), resumed, &got)
	assert.Equal(t, o.Reason, vetchtrail.ReasonPaused, "%v", o)
	assert.Assert(t, time.Until(o.RetryAt) > 58*time.Second)
}
