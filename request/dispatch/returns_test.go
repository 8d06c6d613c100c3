package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// fixedPlanner is a ReturnPlanner that plans all retries for the same time.
type fixedPlanner struct {
	at    time.Time
	ok    bool
	ended []bool // CallerCanRetry of each request that has ended
}

func (p *fixedPlanner) Plan(*vetchtrail.Request, time.Time) (time.Time, bool) { return p.at, p.ok }
func (p *fixedPlanner) Ended(r *vetchtrail.Request, _ vetchtrail.Outcome, _ time.Time) {
	p.ended = append(p.ended, r.CallerCanRetry)
}

// TestPlannedReturn guards against a planned time on a refusal that has a time of its own, on a
// request that may have run and on one that another host forwarded.
func TestPlannedReturn(t *testing.T) {
	const slot, tooLate, none = vetchtrail.RetryInSlot, vetchtrail.RetryTooLate, vetchtrail.RetryPlan("")
	at := time.Now().Add(time.Hour)
	cases := map[string]struct {
		step    vetchtrail.Step
		reason  vetchtrail.Reason
		planner fixedPlanner
		request vetchtrail.Request
		plan    vetchtrail.RetryPlan
		ended   int
	}{
		"no slot":       {vetchtrail.StepDecide, vetchtrail.ReasonOverCapacity, fixedPlanner{at: at}, vetchtrail.Request{Route: "r"}, tooLate, 1},
		"nothing known": {vetchtrail.StepDecide, vetchtrail.ReasonOverCapacity, fixedPlanner{}, vetchtrail.Request{Route: "r"}, none, 1},
		"not in force":  {vetchtrail.StepDecide, vetchtrail.ReasonOverCapacity, fixedPlanner{at: at}, vetchtrail.Request{Route: "r", Service: "other"}, none, 0},
		"forwarded":     {vetchtrail.StepDecide, vetchtrail.ReasonOverCapacity, fixedPlanner{at: at}, vetchtrail.Request{Route: "r", Hops: 1}, none, 0},
		"no route":      {vetchtrail.StepDecide, vetchtrail.ReasonOverCapacity, fixedPlanner{at: at}, vetchtrail.Request{}, none, 0},
	}
	for reason, plan := range map[vetchtrail.Reason]vetchtrail.RetryPlan{
		vetchtrail.ReasonOverCapacity: slot, vetchtrail.ReasonNoEndpoint: slot, vetchtrail.ReasonFull: slot, vetchtrail.ReasonQueueFull: slot, vetchtrail.ReasonDeadline: slot,
		vetchtrail.ReasonOverQuota: none, vetchtrail.ReasonRateLimited: none, vetchtrail.ReasonPaused: none, vetchtrail.ReasonQuarantined: none,
	} {
		for _, step := range []vetchtrail.Step{vetchtrail.StepDecide, vetchtrail.StepQueue} {
			c := cases["no slot"]
			c.step, c.reason, c.planner.ok, c.plan = step, reason, true, plan
			if reason == vetchtrail.ReasonDeadline && step != vetchtrail.StepQueue {
				c.plan = none
			}
			cases[string(step)+" "+string(reason)] = c
		}
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := &Dispatcher{cfg: Config{Returns: &c.planner, ReturnsInForce: func(service string, _ time.Time) bool { return service == "" }}}
			o := d.planReturn(&c.request, vetchtrail.Outcome{Kind: vetchtrail.OutcomeNotRun, Step: c.step, Reason: c.reason}, true)
			assert.Equal(t, o.RetryPlan, c.plan)
			assert.Equal(t, o.RetryAt.Equal(at), c.plan != none)
			assert.Equal(t, len(c.planner.ended), c.ended)
			for _, ran := range []vetchtrail.OutcomeKind{vetchtrail.OutcomeUnknown, vetchtrail.OutcomeAnswered} {
				o = d.planReturn(&c.request, vetchtrail.Outcome{Kind: ran, Step: c.step, Reason: c.reason}, true)
				assert.Assert(t, o.RetryPlan == none && o.RetryAt.IsZero())
			}
			assert.Equal(t, len(c.planner.ended), 3*c.ended)
		})
	}
}

// TestFirstAttemptStaysFirst guards against a first attempt that counts as a return because one
// of its attempts reached an endpoint, and against a caller that does not get the planned time.
func TestFirstAttemptStaysFirst(t *testing.T) {
	planner := &fixedPlanner{at: time.Now().Add(time.Hour), ok: true}
	d := newDispatcher(t, &scriptedTargets{replies: []reply{refuseWith(vetchtrail.StepResponse, vetchtrail.ReasonOverCapacity)}}, 1)
	d.cfg.Returns = planner
	r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", MaxAttempts: 1, Deadline: time.Now().Add(time.Second), CallerCanRetry: true}
	o := d.Run(context.Background(), r, &responseRecorder{})
	assert.Assert(t, o.RetryAt.Equal(planner.at), "%v", o)
	assert.DeepEqual(t, planner.ended, []bool{true})
}
