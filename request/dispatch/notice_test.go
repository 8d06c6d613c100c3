package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
)

// leaves has an endpoint say that it leaves.
func leaves(d *Dispatcher, name string) {
	now := time.Now()
	d.cfg.Table.(*load.Table).HearNotice(name, time.Time{}, vetchtrail.Notice{Leaving: true, Asked: now, Heard: now})
}

// TestLeavingAtTheDoor: what was placed on an endpoint before it was heard that it leaves does not leave for
// it, and is not lost: it goes to another.
func TestLeavingAtTheDoor(t *testing.T) {
	p := &places{}
	d := dispatcher(t, p, 2)
	r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", Attempts: 1, Deadline: time.Now().Add(time.Second)}
	atDoor := func(r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
		name := p.seen[len(p.seen)-1]
		e, _ := d.cfg.Table.Known(name)
		assert.Equal(t, d.Guard(e, r), vetchtrail.Reason(""))
		leaves(d, name)
		why := d.Guard(e, r)
		assert.Equal(t, why, vetchtrail.ReasonDraining)
		return refuses(vetchtrail.StepResidency, why)(r, a)
	}
	p.steps = []step{atDoor, answers("ok")}
	var g got
	o := d.Run(context.Background(), r, &g)
	assert.Equal(t, o.Kind, vetchtrail.Answered, "%v", o)
	assert.Equal(t, len(p.seen), 2)
	assert.Assert(t, p.seen[0] != p.seen[1])
}

// TestAllLeaving: where all endpoints of a region leave, requests go to another region, and are refused at
// once where none may run them.
func TestAllLeaving(t *testing.T) {
	cases := map[string]struct {
		hops int // one that was passed on goes no further
		kind vetchtrail.OutcomeKind
		seen int
	}{"another region": {0, vetchtrail.Answered, 1}, "none": {1, vetchtrail.NotRun, 0}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &places{steps: []step{answers("ok")}}
			d := dispatcher(t, p, 2)
			leaves(d, "1")
			leaves(d, "2")
			r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", Attempts: 1, Hops: c.hops, Allowed: vetchtrail.AllRegions, Deadline: time.Now().Add(10 * time.Second)}
			began := time.Now()
			var g got
			o := d.Run(context.Background(), r, &g)
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			assert.Equal(t, len(p.seen), c.seen)
			assert.Assert(t, time.Since(began) < 5*time.Second, "held till its end")
			if c.kind == vetchtrail.NotRun {
				assert.Equal(t, o.Status, 503)
				assert.Assert(t, o.RetryAt.After(began), "no time to come back")
			}
		})
	}
}
