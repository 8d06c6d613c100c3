package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/version/rules"
)

// account is a quota that is kept in one place.
type account struct {
	left  float64
	taken int
}

func (a *account) Take(_ context.Context, _ string, charge float64) vetchtrail.QuotaVerdict {
	if a.left < charge {
		return vetchtrail.QuotaVerdict{RetryAt: time.Now().Add(time.Second)}
	}
	a.left -= charge
	a.taken++
	return vetchtrail.QuotaVerdict{Granted: true}
}

func (a *account) Return(_ string, charge float64) { a.left += charge }

// owned makes a dispatcher whose rules have a workspace with a key and a quota.
func owned(t *testing.T, p *places, a *account, endpoints int) (*Dispatcher, func(edits ...vetchtrail.Edit)) {
	t.Helper()
	d := dispatcher(t, p, endpoints)
	held := d.cfg.Rules()
	change := func(edits ...vetchtrail.Edit) {
		next, err := held.Build(edits)
		assert.NilError(t, err)
		held = next
	}
	change(vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{
		Name: "w", Keys: []vetchtrail.KeyHash{vetchtrail.HashKey("secret")},
		Quota: vetchtrail.Quota{Rate: 1000, Unit: vetchtrail.UnitTokens, Plain: 200},
	}})
	d.cfg.Rules = func() *rules.Rules { return held }
	d.cfg.Quotas = a
	return d, change
}

// TestCharges: what requests take of a quota, by what their attempts came to.
func TestCharges(t *testing.T) {
	safe := func(r *vetchtrail.Request) { r.Repeats, r.Attempts = true, 2 }
	cases := map[string]struct {
		change func(*vetchtrail.Request)
		steps  []step
		left   float64 // before
		after  float64
		status int
	}{
		"answered":                     {nil, []step{answers("ok")}, 1000, 700, 200},
		"names no tokens":              {func(r *vetchtrail.Request) { r.Tokens, r.MostTokens = 0, 0 }, []step{answers("ok")}, 1000, 800, 200},
		"failed, then answered":        {safe, []step{breaks(""), answers("ok")}, 1000, 400, 200},
		"not run, then answered":       {safe, []step{refuses(vetchtrail.StepAnswer, vetchtrail.ReasonRefused), answers("ok")}, 1000, 700, 200},
		"not run":                      {nil, []step{refuses(vetchtrail.StepAnswer, vetchtrail.ReasonRefused)}, 1000, 1000, 503},
		"beyond the quota":             {nil, nil, 299, 299, 429},
		"may have run, nothing left":   {safe, []step{breaks("")}, 400, 100, 502},
		"nobody's":                     {func(r *vetchtrail.Request) { r.Workspace = "" }, []step{answers("ok")}, 0, 0, 200},
		"passed on by another host":    {func(r *vetchtrail.Request) { r.Hops, r.Allowed = 1, vetchtrail.AllRegions }, []step{answers("ok")}, 0, 0, 200},
		"its endpoint answers failure": {safe, []step{fails, fails}, 1000, 400, 500},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := &account{left: c.left}
			d, _ := owned(t, &places{steps: c.steps}, a, 2)
			r := &vetchtrail.Request{
				ID: "x", Service: "s", Route: "r", Attempts: 1, Workspace: "w", Tokens: 200, MostTokens: 100,
				Deadline: time.Now().Add(10 * time.Second), Goal: time.Now().Add(time.Second),
			}
			if c.change != nil {
				c.change(r)
			}
			o := d.Run(context.Background(), r, &got{})
			assert.Equal(t, o.Status, c.status, "%v", o)
			assert.Equal(t, a.left, c.after)
			if c.status == statusTooMany {
				assert.Equal(t, o.Kind, vetchtrail.NotRun)
				assert.Assert(t, o.RetryAt.After(time.Now()))
			}
		})
	}
}

// TestKeyTakenAway: a request whose key is taken away while it waits for another attempt
// runs no more, and is told what is known of the first.
func TestKeyTakenAway(t *testing.T) {
	take := func(change func(...vetchtrail.Edit)) {
		change(vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "w"}})
	}
	cases := map[string]struct {
		first  step
		before bool // the key is taken away before the first attempt
		kind   vetchtrail.OutcomeKind
		status int
		tries  int
	}{
		"before it began":   {nil, true, vetchtrail.NotRun, 401, 0},
		"after one not run": {refuses(vetchtrail.StepAnswer, vetchtrail.ReasonRefused), false, vetchtrail.NotRun, 401, 1},
		"after a lost one":  {breaks(""), false, vetchtrail.Unknown, 502, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &places{}
			d, change := owned(t, p, &account{left: 1000}, 2)
			p.steps = []step{func(r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
				take(change)
				return c.first(r, a)
			}}
			if c.before {
				take(change)
			}
			r := &vetchtrail.Request{
				ID: "x", Service: "s", Route: "r", Attempts: 2, Repeats: true, Workspace: "w", Credential: vetchtrail.HashKey("secret"),
				Deadline: time.Now().Add(10 * time.Second), Goal: time.Now().Add(time.Second),
			}
			o := d.Run(context.Background(), r, &got{})
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			assert.Equal(t, o.Status, c.status)
			assert.Equal(t, len(p.seen), c.tries)
		})
	}
}

// TestFreshAfterRefusal: a first try that another data centre had no room for is still one,
// so that it can be told to come back; one that may have run is not.
func TestFreshAfterRefusal(t *testing.T) {
	cases := map[string]struct {
		first step
		fresh bool
	}{
		"no room there":      {refuses(vetchtrail.StepDecide, vetchtrail.ReasonOverCapacity), true},
		"the host not met":   {refuses(vetchtrail.StepConnect, vetchtrail.ReasonUnreachable), true},
		"an endpoint was at": {refuses(vetchtrail.StepAnswer, vetchtrail.ReasonRefused), false},
		"it may have run":    {breaks(""), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var second bool
			p := &places{steps: []step{c.first, func(r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
				second = r.Fresh
				return answers("ok")(r, a)
			}}}
			d := dispatcher(t, p, 2)
			r := &vetchtrail.Request{
				ID: "x", Service: "s", Route: "r", Attempts: 2, Repeats: true, Fresh: true,
				Deadline: time.Now().Add(10 * time.Second), Goal: time.Now().Add(time.Second),
			}
			o := d.Run(context.Background(), r, &got{})
			assert.Equal(t, o.Kind, vetchtrail.Answered)
			assert.Equal(t, len(p.seen), 2)
			assert.Equal(t, second, c.fresh)
		})
	}
}
