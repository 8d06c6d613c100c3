package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/request/once"
	"vetchtrail/version/rules"
)

// quarantined holds requests back from a number of questions on, and notes what it is told.
type quarantined struct {
	from     int // questions that are answered with no before
	asked    int
	lost     []string // endpoints
	answered int
}

func (q *quarantined) Held(r *vetchtrail.Request) (vetchtrail.Hold, bool) {
	q.asked++
	return vetchtrail.Hold{Digest: r.Digest(), Ends: 3}, q.asked > q.from
}

func (q *quarantined) Lost(e vetchtrail.Endpoint, _ *vetchtrail.Request, _ vetchtrail.Outcome, _ vetchtrail.Timing) {
	q.lost = append(q.lost, e.Name)
}

func (q *quarantined) Answered(*vetchtrail.Request) { q.answered++ }

// TestHeldBack: on each way to an endpoint a request that is held back is told so at once, with
// no time to come back, and reaches none.
func TestHeldBack(t *testing.T) {
	safe := func(r *vetchtrail.Request) { r.Repeats, r.Attempts = true, 2 }
	cases := map[string]struct {
		change   func(*vetchtrail.Request)
		from     int
		steps    []step
		kind     vetchtrail.OutcomeKind
		status   int
		reason   vetchtrail.Reason
		reached  int
		lost     int
		answered int
	}{
		"as it comes":         {nil, 0, nil, vetchtrail.NotRun, 503, vetchtrail.ReasonHeldBack, 0, 0, 0},
		"passed on by a host": {func(r *vetchtrail.Request) { r.Hops, r.Allowed = 1, vetchtrail.AllRegions }, 0, nil, vetchtrail.NotRun, 503, vetchtrail.ReasonHeldBack, 0, 0, 0},
		"its stream goes on": {func(r *vetchtrail.Request) { r.Resume = vetchtrail.StreamPosition{Endpoint: "1", Stream: "x"} }, 0, nil,
			vetchtrail.NotRun, 503, vetchtrail.ReasonHeldBack, 0, 0, 0},
		"with a key of another process": {func(r *vetchtrail.Request) { r.Key = "v1.other.1.9999999999.00" }, 0, nil, vetchtrail.Unknown, 503, vetchtrail.ReasonHeldBack, 0, 0, 0},
		"before a second attempt":       {safe, 1, []step{breaks("")}, vetchtrail.Unknown, 502, vetchtrail.ReasonBroken, 1, 1, 0},
		"not held back":                 {safe, 9, []step{breaks(""), answers("ok")}, vetchtrail.Answered, 200, "", 2, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, q := &places{steps: c.steps}, &quarantined{from: c.from}
			d := dispatcher(t, p, 2)
			d.cfg.Quarantine = q
			r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", Attempts: 1, Deadline: time.Now().Add(10 * time.Second)}
			if c.change != nil {
				c.change(r)
			}
			var g got
			o := d.Run(context.Background(), r, &g)
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			assert.Equal(t, o.Status, c.status)
			assert.Equal(t, o.Reason, c.reason)
			assert.Assert(t, o.RetryAt.IsZero(), "told to come back")
			assert.Equal(t, len(p.seen), c.reached)
			assert.Equal(t, len(q.lost), c.lost)
			assert.Equal(t, q.answered, c.answered)
		})
	}
}

// queueing gives a dispatcher's service a line to wait in.
func queueing(t *testing.T, d *Dispatcher) {
	t.Helper()
	held, err := rules.Restore([]vetchtrail.Edit{
		vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 0, Name: "a", DataCentres: []string{"a-1"}}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "s", Allowed: []string{"a"}, AnswerWithin: time.Minute, QueueLimit: 4}},
		vetchtrail.PutRoute{Route: vetchtrail.Route{
			Name: "r", Host: "h", PathPrefix: "/", Attempts: 1, AnswerWithin: time.Minute, Targets: []vetchtrail.Target{{Service: "s", Weight: 1}},
		}},
	}, 8)
	assert.NilError(t, err)
	d.cfg.Rules = func() *rules.Rules { return held }
}

// TestHeldBackInLine: a request that waits for room is told so when its turn comes.
func TestHeldBackInLine(t *testing.T) {
	p, q := &places{}, &quarantined{from: 1}
	d := dispatcher(t, p, 1)
	d.cfg.Quarantine = q
	queueing(t, d)
	for i := range 8 {
		d.cfg.Table.Acquire("1", &vetchtrail.Request{ID: string(rune('a' + i)), Service: "s"}, time.Now())
	}
	r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", Attempts: 1, Hops: 1, Allowed: vetchtrail.AllRegions, Deadline: time.Now().Add(5 * time.Second)}
	time.AfterFunc(20*time.Millisecond, func() { d.cfg.Table.Release("1", vetchtrail.Observation{Request: "a"}, time.Now()) })
	var g got
	o := d.Run(context.Background(), r, &g)
	assert.Equal(t, o.Reason, vetchtrail.ReasonHeldBack, "%v", o)
	assert.Equal(t, len(p.seen), 0)
}

// TestHeldBackAtTheDoor: the last question comes just before the first byte leaves.
func TestHeldBackAtTheDoor(t *testing.T) {
	d := dispatcher(t, &places{}, 1)
	d.cfg.Quarantine = &quarantined{}
	r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", Allowed: vetchtrail.AllRegions, Deadline: time.Now().Add(time.Second)}
	e, _ := d.cfg.Table.Known("1")
	assert.Equal(t, d.Guard(e, r), vetchtrail.ReasonHeldBack)
}

// TestHeldBackMayHaveRun: of a request with a key that was begun, "not run" is never said.
func TestHeldBackMayHaveRun(t *testing.T) {
	p := &places{steps: []step{breaks("")}}
	d := dispatcher(t, p, 1)
	q := &quarantined{from: 9}
	d.cfg.Quarantine = q
	d.cfg.Keeper = once.New(once.Config{Host: "self", KeyTime: time.Minute, MaxBytes: 1 << 20})
	key := d.cfg.Keeper.Issue(time.Now()).String()
	ask := func() vetchtrail.Outcome {
		r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", Attempts: 1, Key: key, Deadline: time.Now().Add(5 * time.Second)}
		var g got
		return d.Run(context.Background(), r, &g)
	}
	first := ask()
	assert.Equal(t, first.Kind, vetchtrail.Unknown, "%v", first)
	q.from = 0
	o := ask()
	assert.Equal(t, o.Kind, vetchtrail.Unknown, "it has run: %v", o)
	assert.Equal(t, o.Reason, vetchtrail.ReasonHeldBack)
	assert.Equal(t, len(p.seen), 1)
}
