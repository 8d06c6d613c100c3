package dispatch

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/version/rules"
)

// TestBegunResponseKeepsItsRoute guards against a stream that is cut because a newer configuration moved or removed its
// route, and against one that goes on against a region, a workspace key or a workspace that was taken away.
func TestBegunResponseKeepsItsRoute(t *testing.T) {
	put := func(edits ...vetchtrail.Edit) []vetchtrail.Edit { return edits }
	route := func(service string, homes ...string) vetchtrail.Edit {
		return vetchtrail.PutRoute{Route: vetchtrail.Route{
			Name: "r", Host: "h", PathPrefix: "/", Attempts: 2, AnswerWithin: time.Minute, Homes: homes, Keyed: true, Targets: []vetchtrail.Target{{Service: service, Weight: 1}},
		}}
	}
	base := put(
		vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 0, Name: "a", DataCentres: []string{"a-1"}}},
		vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 1, Name: "b", DataCentres: []string{"b-1"}}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "s", AnswerWithin: time.Minute, Weights: vetchtrail.Weights{Tail: 1}}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "other", AnswerWithin: time.Minute, Weights: vetchtrail.Weights{Tail: 1}}},
	)
	key := vetchtrail.HashKey("key")
	workspace := func(allowed ...string) vetchtrail.Edit {
		return vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "w", Locked: true, Allowed: allowed, Keys: []vetchtrail.KeyHash{key}}}
	}
	keyless := vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "w", Locked: true}}
	begun := breakAfter("id: 1\ndata: a\n\n")
	cases := map[string]struct {
		newer []vetchtrail.Edit // beside the base
		first reply
		kind  vetchtrail.OutcomeKind
		cause vetchtrail.Reason // for which it is not continued
		away  bool              // the last attempt goes to the other region
	}{
		"route unchanged":              {put(route("s"), workspace()), begun, vetchtrail.OutcomeAnswered, "", false},
		"route moved":                  {put(route("other"), workspace()), begun, vetchtrail.OutcomeAnswered, "", false},
		"route removed":                {put(workspace()), begun, vetchtrail.OutcomeAnswered, "", false},
		"route moved, not begun":       {put(route("other"), workspace()), breakAfter(""), vetchtrail.OutcomeUnknown, "", false},
		"home elsewhere":               {put(route("s", "b"), workspace()), begun, vetchtrail.OutcomeAnswered, "", true},
		"workspace's region elsewhere": {put(workspace("b")), begun, vetchtrail.OutcomeAnswered, "", true},
		"key taken away":               {put(route("s"), keyless), begun, vetchtrail.OutcomeUnknown, vetchtrail.ReasonUnknownKey, false},
		"route removed, key taken":     {put(keyless), begun, vetchtrail.OutcomeUnknown, vetchtrail.ReasonUnknownKey, false},
		"workspace removed":            {put(route("s")), begun, vetchtrail.OutcomeUnknown, vetchtrail.ReasonUnknownKey, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			older, err := rules.Restore(append(slices.Clone(base), route("s"), workspace()), 7)
			assert.NilError(t, err)
			newer, err := rules.Restore(append(slices.Clone(base), c.newer...), 8)
			assert.NilError(t, err)
			current := older
			targets := &scriptedTargets{replies: []reply{func(r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
				o := c.first(r, w)
				current = newer
				return o
			}, respondWith("id: 2\ndata: b\n\n")}}
			d := newDispatcher(t, targets, 3)
			d.cfg.Rules = func() *rules.Rules { return current }
			r := &vetchtrail.Request{
				ID: "x", Service: "s", Route: "r", Workspace: "w", CallerKeyHash: key, Stream: true, Resumable: true, Repeatable: true, MaxAttempts: 2,
				Deadline: time.Now().Add(10 * time.Second),
			}
			var got responseRecorder
			o := d.Run(context.Background(), r, &got)
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			assert.Equal(t, o.NotContinued, c.cause)
			assert.Equal(t, targets.called[len(targets.called)-1] == "remote", c.away)
			if c.kind == vetchtrail.OutcomeAnswered {
				assert.Equal(t, got.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
			}
		})
	}
}
