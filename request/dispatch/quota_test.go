package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/version/rules"
)

// fakeQuota is the quota of one workspace, which no other host uses.
type fakeQuota struct {
	remaining float64 // quota units
	taken     int     // costs taken
}

func (q *fakeQuota) Take(_ context.Context, _ string, cost float64) vetchtrail.QuotaVerdict {
	if q.remaining < cost {
		return vetchtrail.QuotaVerdict{RetryAt: time.Now().Add(time.Second)}
	}
	q.remaining -= cost
	q.taken++
	return vetchtrail.QuotaVerdict{Granted: true}
}

func (q *fakeQuota) Return(_ string, cost float64) { q.remaining += cost }

// newQuotaDispatcher returns a dispatcher whose configuration has a workspace w with a key and
// a quota, and a function that changes the configuration.
func newQuotaDispatcher(t *testing.T, targets *scriptedTargets, quota *fakeQuota, endpoints int) (*Dispatcher, func(edits ...vetchtrail.Edit)) {
	t.Helper()
	d := newDispatcher(t, targets, endpoints)
	ruleSet := d.cfg.Rules()
	applyEdits := func(edits ...vetchtrail.Edit) {
		next, err := ruleSet.ApplyEdits(edits)
		assert.NilError(t, err)
		ruleSet = next
	}
	applyEdits(vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{
		Name: "w", Keys: []vetchtrail.KeyHash{vetchtrail.HashKey("secret")},
		Quota: vetchtrail.Quota{Rate: 1000, Unit: vetchtrail.UnitTokens, Plain: 200},
	}})
	d.cfg.Rules = func() *rules.Rules { return ruleSet }
	d.cfg.Quotas = quota
	return d, applyEdits
}

// TestQuotaCost checks what a request takes from the quota of its workspace, by the
// outcomes of its attempts. If an attempt that may have run did not count, a workspace
// could exceed its quota with requests that fail. If the cost of an attempt that did
// not run were not reused or returned, a workspace would lose quota to refused requests.
func TestQuotaCost(t *testing.T) {
	repeatable := func(r *vetchtrail.Request) { r.Repeatable, r.MaxAttempts = true, 2 }
	cases := map[string]struct {
		modify        func(*vetchtrail.Request)
		replies       []reply
		remaining     float64 // of the quota, before the request
		wantRemaining float64 // of the quota, after the request
		status        int
	}{
		"answered":                       {nil, []reply{respondWith("ok")}, 1000, 700, 200},
		"no token counts":                {func(r *vetchtrail.Request) { r.EstimatedTokens, r.MaxTokens = 0, 0 }, []reply{respondWith("ok")}, 1000, 800, 200},
		"response lost, then answered":   {repeatable, []reply{breakAfter(""), respondWith("ok")}, 1000, 400, 200},
		"not run, then answered":         {repeatable, []reply{refuseWith(vetchtrail.StepResponse, vetchtrail.ReasonEndpointRefused), respondWith("ok")}, 1000, 700, 200},
		"not run":                        {nil, []reply{refuseWith(vetchtrail.StepResponse, vetchtrail.ReasonEndpointRefused)}, 1000, 1000, 503},
		"over the quota":                 {nil, nil, 299, 299, 429},
		"response lost, quota exhausted": {repeatable, []reply{breakAfter("")}, 400, 100, 502},
		"no workspace":                   {func(r *vetchtrail.Request) { r.Workspace = "" }, []reply{respondWith("ok")}, 0, 0, 200},
		"forwarded":                      {func(r *vetchtrail.Request) { r.Hops, r.AllowedRegions = 1, vetchtrail.AllRegions }, []reply{respondWith("ok")}, 0, 0, 200},
		"failed twice":                   {repeatable, []reply{failWith500, failWith500}, 1000, 400, 500},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			quota := &fakeQuota{remaining: c.remaining}
			d, _ := newQuotaDispatcher(t, &scriptedTargets{replies: c.replies}, quota, 2)
			r := &vetchtrail.Request{
				ID: "x", Service: "s", Route: "r", MaxAttempts: 1, Workspace: "w", EstimatedTokens: 200, MaxTokens: 100,
				Deadline: time.Now().Add(10 * time.Second), Goal: time.Now().Add(time.Second),
			}
			if c.modify != nil {
				c.modify(r)
			}
			o := d.Run(context.Background(), r, &responseRecorder{})
			assert.Equal(t, o.Status, c.status, "%v", o)
			assert.Equal(t, quota.remaining, c.wantRemaining)
			if c.status == statusTooMany {
				assert.Equal(t, o.Kind, vetchtrail.OutcomeNotRun)
				assert.Assert(t, o.RetryAt.After(time.Now()))
			}
		})
	}
}

// TestWorkspaceKeyRemoved checks that a request no longer runs once its key is removed from the
// workspace, also between two attempts. If the first attempt may have run, the outcome must
// not become "not run".
func TestWorkspaceKeyRemoved(t *testing.T) {
	removeKey := func(applyEdits func(...vetchtrail.Edit)) {
		applyEdits(vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "w"}})
	}
	cases := map[string]struct {
		first        reply // to the first attempt
		removedFirst bool  // the key is removed before the first attempt
		kind         vetchtrail.OutcomeKind
		status       int
		attempts     int
	}{
		"before the first attempt":           {nil, true, vetchtrail.OutcomeNotRun, 401, 0},
		"after an attempt not run":           {refuseWith(vetchtrail.StepResponse, vetchtrail.ReasonEndpointRefused), false, vetchtrail.OutcomeNotRun, 401, 1},
		"after an attempt that may have run": {breakAfter(""), false, vetchtrail.OutcomeUnknown, 502, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			targets := &scriptedTargets{}
			d, applyEdits := newQuotaDispatcher(t, targets, &fakeQuota{remaining: 1000}, 2)
			targets.replies = []reply{func(r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
				removeKey(applyEdits)
				return c.first(r, w)
			}}
			if c.removedFirst {
				removeKey(applyEdits)
			}
			r := &vetchtrail.Request{
				ID: "x", Service: "s", Route: "r", MaxAttempts: 2, Repeatable: true, Workspace: "w", CallerKeyHash: vetchtrail.HashKey("secret"),
				Deadline: time.Now().Add(10 * time.Second), Goal: time.Now().Add(time.Second),
			}
			o := d.Run(context.Background(), r, &responseRecorder{})
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			assert.Equal(t, o.Status, c.status)
			assert.Equal(t, len(targets.called), c.attempts)
		})
	}
}

// TestCallerCanRetryAfterRefusal checks that Request.CallerCanRetry stays set after an attempt that
// reached no endpoint, so that the policy may still refuse the request with a retry time, and is
// cleared once an endpoint has received the request.
func TestCallerCanRetryAfterRefusal(t *testing.T) {
	cases := map[string]struct {
		first         reply
		stillCanRetry bool // Request.CallerCanRetry at the second attempt
	}{
		"no capacity there":      {refuseWith(vetchtrail.StepDecide, vetchtrail.ReasonOverCapacity), true},
		"unreachable":            {refuseWith(vetchtrail.StepConnect, vetchtrail.ReasonUnreachable), true},
		"refused by an endpoint": {refuseWith(vetchtrail.StepResponse, vetchtrail.ReasonEndpointRefused), false},
		"response lost":          {breakAfter(""), false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var stillCanRetry bool
			targets := &scriptedTargets{replies: []reply{c.first, func(r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
				stillCanRetry = r.CallerCanRetry
				return respondWith("ok")(r, w)
			}}}
			d := newDispatcher(t, targets, 2)
			r := &vetchtrail.Request{
				ID: "x", Service: "s", Route: "r", MaxAttempts: 2, Repeatable: true, CallerCanRetry: true,
				Deadline: time.Now().Add(10 * time.Second), Goal: time.Now().Add(time.Second),
			}
			o := d.Run(context.Background(), r, &responseRecorder{})
			assert.Equal(t, o.Kind, vetchtrail.OutcomeAnswered)
			assert.Equal(t, len(targets.called), 2)
			assert.Equal(t, stillCanRetry, c.stillCanRetry)
		})
	}
}
