package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestHomeRegionLost checks that a request which only its home region may run never
// runs elsewhere, even if the endpoints here are idle. While the home region can't be
// reached, the request is refused at once as not run, with a retry time.
func TestHomeRegionLost(t *testing.T) {
	lost := vetchtrail.Outcome{Kind: vetchtrail.OutcomeNotRun, Peer: "remote", Reason: vetchtrail.ReasonUnreachable, HostLost: true}
	cases := map[string]struct {
		prepare func(d *Dispatcher)
		replies []reply
		kind    vetchtrail.OutcomeKind
		status  int
		called  []string
	}{
		"reachable": {nil, []reply{respondWith("ok")}, vetchtrail.OutcomeAnswered, 200, []string{"remote"}},
		"lost a moment ago": {func(d *Dispatcher) {
			d.cfg.Membership.ForwardEnded("b-1", "s", lost, time.Now())
		}, nil, vetchtrail.OutcomeNotRun, 503, nil},
		"lost a minute ago, tried again": {func(d *Dispatcher) {
			d.cfg.Membership.ForwardEnded("b-1", "s", lost, time.Now().Add(-time.Minute))
		}, []reply{respondWith("ok")}, vetchtrail.OutcomeAnswered, 200, []string{"remote"}},
		"unreachable when forwarded": {nil, []reply{refuseWith(vetchtrail.StepForward, vetchtrail.ReasonUnreachable)}, vetchtrail.OutcomeNotRun, 503, []string{"remote"}},
		"response lost":              {nil, []reply{breakAfter("")}, vetchtrail.OutcomeUnknown, 502, []string{"remote"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			targets := &scriptedTargets{replies: c.replies}
			d := newDispatcher(t, targets, 2)
			if c.prepare != nil {
				c.prepare(d)
			}
			r := &vetchtrail.Request{
				ID: "x", Service: "s", Route: "at-b", MaxAttempts: 2, Deadline: time.Now().Add(10 * time.Second), Goal: time.Now().Add(time.Second),
			}
			started := time.Now()
			var got responseRecorder
			o := d.Run(context.Background(), r, &got)
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			assert.Equal(t, o.Status, c.status)
			assert.DeepEqual(t, targets.called, c.called)
			assert.Equal(t, !o.RetryAt.IsZero() && o.RetryAt.After(started), o.Kind == vetchtrail.OutcomeNotRun)
		})
	}
}
