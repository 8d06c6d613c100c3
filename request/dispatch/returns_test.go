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
	slot := time.Now().Add(time.Hour)
	refused := func(step vetchtrail.Step, reason vetchtrail.Reason) vetchtrail.Outcome {
		return vetchtrail.Outcome{Kind: vetchtrail.OutcomeNotRun, Step: step, Reason: reason}
	}
	overCapacity := refused(vetchtrail.StepDecide, vetchtrail.ReasonOverCapacity)
	cases := map[string]struct {
		outcome vetchtrail.Outcome
		planner fixedPlanner
		service string // for which returns are in force
		route   string
		hops    int
		plan    vetchtrail.RetryPlan
		ended   int
	}{
		"over capacity":         {overCapacity, fixedPlanner{at: slot, ok: true}, "s", "r", 0, vetchtrail.RetryInSlot, 1},
		"no slot":               {overCapacity, fixedPlanner{at: slot}, "s", "r", 0, vetchtrail.RetryTooLate, 1},
		"nothing known":         {overCapacity, fixedPlanner{}, "s", "r", 0, "", 1},
		"not in force":          {overCapacity, fixedPlanner{at: slot, ok: true}, "other", "r", 0, "", 0},
		"forwarded":             {overCapacity, fixedPlanner{at: slot, ok: true}, "s", "r", 1, "", 0},
		"no route":              {overCapacity, fixedPlanner{at: slot, ok: true}, "s", "", 0, "", 0},
		"no usable endpoint":    {refused(vetchtrail.StepDecide, vetchtrail.ReasonNoEndpoint), fixedPlanner{at: slot, ok: true}, "s", "r", 0, vetchtrail.RetryInSlot, 1},
		"full":                  {refused(vetchtrail.StepQueue, vetchtrail.ReasonFull), fixedPlanner{at: slot, ok: true}, "s", "r", 0, vetchtrail.RetryInSlot, 1},
		"queue full":            {refused(vetchtrail.StepQueue, vetchtrail.ReasonQueueFull), fixedPlanner{at: slot, ok: true}, "s", "r", 0, vetchtrail.RetryInSlot, 1},
		"deadline in the queue": {refused(vetchtrail.StepQueue, vetchtrail.ReasonDeadline), fixedPlanner{at: slot, ok: true}, "s", "r", 0, vetchtrail.RetryInSlot, 1},
		"deadline":              {refused(vetchtrail.StepDecide, vetchtrail.ReasonDeadline), fixedPlanner{at: slot, ok: true}, "s", "r", 0, "", 1},
		"over its quota":        {refused(vetchtrail.StepDecide, vetchtrail.ReasonOverQuota), fixedPlanner{at: slot, ok: true}, "s", "r", 0, "", 1},
		"rate limit":            {refused(vetchtrail.StepDecide, vetchtrail.ReasonRateLimited), fixedPlanner{at: slot, ok: true}, "s", "r", 0, "", 1},
		"paused":                {refused(vetchtrail.StepDecide, vetchtrail.ReasonPaused), fixedPlanner{at: slot, ok: true}, "s", "r", 0, "", 1},
		"quarantined":           {refused(vetchtrail.StepQuarantine, vetchtrail.ReasonQuarantined), fixedPlanner{at: slot, ok: true}, "s", "r", 0, "", 1},
		"may have run":          {vetchtrail.Outcome{Reason: vetchtrail.ReasonOverCapacity}, fixedPlanner{at: slot, ok: true}, "s", "r", 0, "", 1},
		"answered":              {vetchtrail.Outcome{Kind: vetchtrail.OutcomeAnswered}, fixedPlanner{at: slot, ok: true}, "s", "r", 0, "", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := &Dispatcher{cfg: Config{Returns: &c.planner, ReturnsInForce: func(service string, _ time.Time) bool { return service == c.service }}}
			o := d.planReturn(&vetchtrail.Request{Service: "s", Route: c.route, Hops: c.hops}, c.outcome, true)
			assert.Equal(t, o.RetryPlan, c.plan)
			assert.Equal(t, o.RetryAt.Equal(slot), c.plan != "")
			assert.Equal(t, len(c.planner.ended), c.ended)
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
