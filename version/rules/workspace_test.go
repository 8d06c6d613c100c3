package rules

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"vetchtrail"
)

func put(w vetchtrail.Workspace) vetchtrail.Edit { return vetchtrail.PutWorkspace{Workspace: w} }

func keyHashes(texts ...string) []vetchtrail.KeyHash {
	var out []vetchtrail.KeyHash
	for _, text := range texts {
		out = append(out, vetchtrail.HashKey(text))
	}
	return out
}

// TestKeyWorkspace checks which workspace owns a key after changes. A removed key
// must not identify its former workspace any longer, the configuration before
// the change must be unmodified, and a snapshot must give the same keys again.
func TestKeyWorkspace(t *testing.T) {
	first := put(vetchtrail.Workspace{Name: "w", Keys: keyHashes("old", "stays")})
	cases := map[string]struct {
		edits      []vetchtrail.Edit
		workspaces map[string]string // workspace by key; empty: none
	}{
		"no change":    {nil, map[string]string{"old": "w", "stays": "w", "new": ""}},
		"key replaced": {[]vetchtrail.Edit{put(vetchtrail.Workspace{Name: "w", Keys: keyHashes("stays", "new")})}, map[string]string{"old": "", "stays": "w", "new": "w"}},
		"all removed":  {[]vetchtrail.Edit{put(vetchtrail.Workspace{Name: "w"})}, map[string]string{"old": "", "stays": ""}},
		"no workspace": {[]vetchtrail.Edit{vetchtrail.Remove{Kind: vetchtrail.ItemWorkspace, Name: "w"}}, map[string]string{"old": "", "stays": ""}},
		"key moved":    {[]vetchtrail.Edit{put(vetchtrail.Workspace{Name: "w", Keys: keyHashes("stays")}), put(vetchtrail.Workspace{Name: "x", Keys: keyHashes("old")})}, map[string]string{"old": "x", "stays": "w"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before, err := Empty().Apply(vetchtrail.Change{Edits: append(baseEdits(), first)})
			assert.NilError(t, err)
			after, err := before.ApplyEdits(c.edits)
			assert.NilError(t, err)
			for key, want := range c.workspaces {
				got, _ := after.KeyWorkspace(vetchtrail.HashKey(key))
				assert.Equal(t, got, want, key)
			}
			got, _ := before.KeyWorkspace(vetchtrail.HashKey("old"))
			assert.Equal(t, got, "w", "the configuration before the change was modified")
			assert.Assert(t, before.Locked("w") && before.AnyLocked())
			restored, err := Restore(after.Edits(), 1)
			assert.NilError(t, err)
			assert.Equal(t, fmt.Sprint(restored.Edits()), fmt.Sprint(after.Edits()))
		})
	}
}

// TestInvalidWorkspaces checks that an invalid workspace is rejected with a
// ChangeError. Its text must not contain the key, since it goes to logs and to
// other operators, and the key must stay with its workspace.
func TestInvalidWorkspaces(t *testing.T) {
	config, err := Empty().Apply(vetchtrail.Change{Edits: append(baseEdits(), put(vetchtrail.Workspace{Name: "w", Keys: keyHashes("secret")}))})
	assert.NilError(t, err)
	many := make([]vetchtrail.KeyHash, maxKeys+1)
	for i := range many {
		many[i] = vetchtrail.HashKey(fmt.Sprint(i))
	}
	cases := map[string]struct {
		workspace vetchtrail.Workspace
		text      string
	}{
		"another's key":   {vetchtrail.Workspace{Name: "x", Keys: keyHashes("secret")}, "one of its keys belongs to workspace w"},
		"too many keys":   {vetchtrail.Workspace{Name: "x", Keys: many}, "it has more than 32 keys"},
		"negative rate":   {vetchtrail.Workspace{Name: "x", Quota: vetchtrail.Quota{Rate: -1}}, "a number of its quota is negative or not finite"},
		"rate not finite": {vetchtrail.Workspace{Name: "x", Quota: vetchtrail.Quota{Rate: math.NaN()}}, "a number of its quota is negative or not finite"},
		"infinite burst":  {vetchtrail.Workspace{Name: "x", Quota: vetchtrail.Quota{Rate: 1, Burst: math.Inf(1)}}, "a number of its quota is negative or not finite"},
		"burst, no rate":  {vetchtrail.Workspace{Name: "x", Quota: vetchtrail.Quota{Burst: 1}}, "its quota has a burst but no rate"},
		"unknown home":    {vetchtrail.Workspace{Name: "x", Home: "east"}, "refers to unknown region east"},
		"unknown allowed": {vetchtrail.Workspace{Name: "x", Allowed: []string{"east"}}, "refers to unknown region east"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := config.ApplyEdits([]vetchtrail.Edit{put(c.workspace)})
			var changeErr *vetchtrail.ChangeError
			assert.Assert(t, errors.As(err, &changeErr), "%v", err)
			assert.Equal(t, changeErr.Text, c.text)
			got, _ := config.KeyWorkspace(vetchtrail.HashKey("secret"))
			assert.Equal(t, got, "w")
		})
	}
}

// TestRouteConstraints checks where requests of a route may be processed and
// with what priority. Both the homes of the route and the allowed regions of the
// workspace limit it, and a request must not run if its route or workspace was
// removed.
func TestRouteConstraints(t *testing.T) {
	route := func(name string, rank int8, keyed bool, homes ...string) vetchtrail.Edit {
		return vetchtrail.PutRoute{Route: vetchtrail.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Attempts: 1, AnswerWithin: time.Second, Rank: rank, Keyed: keyed, Homes: homes,
			Targets: []vetchtrail.Target{{Service: "quotes", Weight: 1}},
		}}
	}
	r, err := Empty().ApplyEdits(append(baseEdits(), route("open", 1, false), route("keyed", 1, true), route("south", 0, true, "south"), route("low", 7, true),
		put(vetchtrail.Workspace{Name: "usual"}), put(vetchtrail.Workspace{Name: "first", Priority: 1}),
		put(vetchtrail.Workspace{Name: "northern", Allowed: []string{"north"}})))
	assert.NilError(t, err)
	cases := map[string]struct {
		route, workspace string
		want             Constraints
		reason           vetchtrail.Reason
	}{
		"no key needed":            {"open", "", Constraints{Allowed: vetchtrail.AllRegions, Priority: -1}, ""},
		"key needed":               {"keyed", "usual", Constraints{Allowed: vetchtrail.AllRegions, Priority: -1}, ""},
		"key needed, no workspace": {"keyed", "", Constraints{}, vetchtrail.ReasonUnknownWorkspace},
		"workspace removed":        {"keyed", "gone", Constraints{}, vetchtrail.ReasonUnknownWorkspace},
		"priority before rank":     {"keyed", "first", Constraints{Allowed: vetchtrail.AllRegions, Priority: 2}, ""},
		"rank below the last":      {"low", "first", Constraints{Allowed: vetchtrail.AllRegions, Priority: 1}, ""},
		"workspace's region":       {"keyed", "northern", Constraints{Allowed: vetchtrail.RegionsOf(1), Priority: -1}, ""},
		"home of the route":        {"south", "usual", Constraints{Allowed: vetchtrail.RegionsOf(0)}, ""},
		"no common region":         {"south", "northern", Constraints{}, vetchtrail.ReasonNoCommonHome},
		"route removed":            {"none", "usual", Constraints{}, vetchtrail.ReasonNoRoute},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, reason := r.RouteConstraints(c.route, "quotes", c.workspace, 0)
			assert.Equal(t, reason, c.reason)
			assert.Equal(t, got, c.want)
		})
	}
}

// BenchmarkKeyWorkspace measures the lookup of a key among 38,000 workspaces of two
// keys each. Most of the time goes into hashing the key; nothing is allocated.
func BenchmarkKeyWorkspace(b *testing.B) {
	var edits []vetchtrail.Edit
	for i := range 38_000 {
		edits = append(edits, put(vetchtrail.Workspace{Name: fmt.Sprint("w", i), Keys: keyHashes(fmt.Sprint("key-number-", i), fmt.Sprint("other-key-", i))}))
	}
	r, err := Empty().ApplyEdits(edits)
	assert.NilError(b, err)
	lookups := make([]string, 1024)
	for i := range lookups {
		lookups[i] = fmt.Sprint("key-number-", i*37)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := r.KeyWorkspace(vetchtrail.HashKey(lookups[i%len(lookups)])); !ok {
			b.Fatal("not found")
		}
	}
}
