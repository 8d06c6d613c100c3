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

// wantsNothing has an endpoint say that it wants nothing from this host for a time.
func wantsNothing(d *Dispatcher, name string, pause time.Duration) {
	now := time.Now()
	d.cfg.Table.(*load.Table).HearNotice(name, time.Time{}, vetchtrail.Notice{Until: now.Add(pause), Asked: now, Heard: now})
}

// turnsAway is an endpoint that turns a request away for a time.
func turnsAway(d *Dispatcher, p *places, pause time.Duration) step {
	return func(r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
		wantsNothing(d, p.seen[len(p.seen)-1], pause)
		o := refuses(vetchtrail.StepAnswer, vetchtrail.ReasonRefused)(r, a)
		o.RetryAt = time.Now().Add(pause)
		return o
	}
}

// TestTurnedAwayBack: a caller whose request an endpoint turned away for a time is told when there is room for
// it at any, not when that endpoint takes this host's requests again.
func TestTurnedAwayBack(t *testing.T) {
	cases := map[string]struct {
		other       time.Duration // for which the other endpoint wants nothing; 0: it is idle
		least, most time.Duration // until the caller is to come back
		hops        int           // one that was passed on goes no further
	}{
		"another is idle":          {0, 100 * time.Millisecond, time.Second, 1},
		"another region has room":  {8 * time.Second, 100 * time.Millisecond, time.Second, 0},
		"another has room earlier": {8 * time.Second, 7 * time.Second, 9 * time.Second, 1},
		"it has room first":        {time.Hour, 59 * time.Second, 61 * time.Second, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &places{}
			d := dispatcher(t, p, 2)
			p.steps = []step{turnsAway(d, p, time.Minute)}
			r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", Attempts: 1, Hops: c.hops, Allowed: vetchtrail.AllRegions, Deadline: time.Now().Add(2 * time.Second)}
			// Only one of them may be tried: the other wants nothing from the moment at which the first was.
			first := p.steps[0]
			p.steps[0] = func(r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
				other := map[string]string{"1": "2", "2": "1"}[p.seen[0]]
				if c.other > 0 {
					wantsNothing(d, other, c.other)
				}
				return first(r, a)
			}
			var g got
			began := time.Now()
			o := d.Run(context.Background(), r, &g)
			assert.Equal(t, o.Kind, vetchtrail.NotRun, "%v", o)
			back := o.RetryAt.Sub(began)
			assert.Assert(t, back >= c.least && back <= c.most, "%s", back)
		})
	}
}

// TestAllPaused: where all endpoints want nothing for longer than a request may wait, it is refused at once, with
// the time at which the first wants requests again; for a shorter time it waits.
func TestAllPaused(t *testing.T) {
	cases := map[string]struct {
		pause time.Duration
		kind  vetchtrail.OutcomeKind
	}{"longer": {time.Minute, vetchtrail.NotRun}, "shorter": {200 * time.Millisecond, vetchtrail.Answered}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &places{steps: []step{answers("ok")}}
			d := dispatcher(t, p, 2)
			queueing(t, d)
			wantsNothing(d, "1", c.pause)
			wantsNothing(d, "2", c.pause+time.Second)
			r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", Attempts: 1, Hops: 1, Allowed: vetchtrail.AllRegions, Deadline: time.Now().Add(5 * time.Second)}
			began := time.Now()
			var g got
			o := d.Run(context.Background(), r, &g)
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			if c.kind == vetchtrail.Answered {
				assert.Assert(t, time.Since(began) >= c.pause-time.Millisecond, "before the time was over")
				return
			}
			assert.Equal(t, o.Reason, vetchtrail.ReasonPaused)
			assert.Assert(t, time.Since(began) < 2*time.Second, "held")
			assert.Assert(t, o.RetryAt.Sub(began) >= c.pause-time.Millisecond && o.RetryAt.Sub(began) < c.pause+time.Second, "%s", o.RetryAt.Sub(began))
		})
	}
}

// TestPausedAtTheDoor: what was placed on an endpoint before it turned this host away does not leave for it, nor
// does a stream that is to be taken up again there.
func TestPausedAtTheDoor(t *testing.T) {
	d, _ := rationed(t, &places{}, 1)
	r := &vetchtrail.Request{
		ID: "x", Service: "s", Route: "r", Allowed: vetchtrail.AllRegions, Deadline: time.Now().Add(time.Second), Permit: vetchtrail.Permit{Endpoint: "1"},
	}
	e, _ := d.cfg.Table.Known("1")
	assert.Equal(t, d.Guard(e, r), vetchtrail.Reason(""))
	wantsNothing(d, "1", time.Minute)
	assert.Equal(t, d.Guard(e, r), vetchtrail.ReasonPaused)
	resumed := &vetchtrail.Request{ID: "y", Service: "s", Deadline: time.Now().Add(time.Second)}
	resumes(resumed)
	var g got
	o := d.Run(context.Background(), resumed, &g)
	assert.Equal(t, o.Reason, vetchtrail.ReasonPaused, "%v", o)
	assert.Assert(t, time.Until(o.RetryAt) > 58*time.Second)
}
