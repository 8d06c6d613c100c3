package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestHomeUnderLoss: a request whose home is another region runs there or nowhere,
// whatever room is here: while the home is lost its caller is told at once that it
// has not run and when to come back.
func TestHomeUnderLoss(t *testing.T) {
	lost := vetchtrail.Outcome{Kind: vetchtrail.NotRun, Peer: "far", Reason: vetchtrail.ReasonUnreachable, HostLost: true}
	cases := map[string]struct {
		before func(d *Dispatcher)
		steps  []step
		kind   vetchtrail.OutcomeKind
		status int
		seen   []string
	}{
		"the home is there": {nil, []step{answers("ok")}, vetchtrail.Answered, 200, []string{"far"}},
		"the home was lost a moment ago": {func(d *Dispatcher) {
			d.cfg.Membership.Returned("b-1", "s", lost, time.Now())
		}, nil, vetchtrail.NotRun, 503, nil},
		"the home was lost and is back": {func(d *Dispatcher) {
			d.cfg.Membership.Returned("b-1", "s", lost, time.Now().Add(-time.Minute))
		}, []step{answers("ok")}, vetchtrail.Answered, 200, []string{"far"}},
		"the home is lost under it": {nil, []step{refuses(vetchtrail.StepForward, vetchtrail.ReasonUnreachable)}, vetchtrail.NotRun, 503, []string{"far"}},
		"lost with its answer":      {nil, []step{breaks("")}, vetchtrail.Unknown, 502, []string{"far"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &places{steps: c.steps}
			d := dispatcher(t, p, 2)
			if c.before != nil {
				c.before(d)
			}
			r := &vetchtrail.Request{
				ID: "x", Service: "s", Route: "at-b", Attempts: 2, Deadline: time.Now().Add(10 * time.Second), Goal: time.Now().Add(time.Second),
			}
			began := time.Now()
			var g got
			o := d.Run(context.Background(), r, &g)
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			assert.Equal(t, o.Status, c.status)
			assert.DeepEqual(t, p.seen, c.seen)
			assert.Equal(t, !o.RetryAt.IsZero() && o.RetryAt.After(began), o.Kind == vetchtrail.NotRun)
		})
	}
}
