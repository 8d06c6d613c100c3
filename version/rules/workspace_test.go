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

func keys(texts ...string) []vetchtrail.KeyHash {
	var out []vetchtrail.KeyHash
	for _, text := range texts {
		out = append(out, vetchtrail.HashKey(text))
	}
	return out
}

// TestHolder: whose a key is, after changes.
func TestHolder(t *testing.T) {
	first := put(vetchtrail.Workspace{Name: "w", Keys: keys("old", "stays")})
	cases := map[string]struct {
		edits   []vetchtrail.Edit
		holders map[string]string // by key; empty: nobody's
	}{
		"added":           {nil, map[string]string{"old": "w", "stays": "w", "new": ""}},
		"replaced":        {[]vetchtrail.Edit{put(vetchtrail.Workspace{Name: "w", Keys: keys("stays", "new")})}, map[string]string{"old": "", "stays": "w", "new": "w"}},
		"all taken away":  {[]vetchtrail.Edit{put(vetchtrail.Workspace{Name: "w"})}, map[string]string{"old": "", "stays": ""}},
		"workspace gone":  {[]vetchtrail.Edit{vetchtrail.Remove{Kind: vetchtrail.ItemWorkspace, Name: "w"}}, map[string]string{"old": "", "stays": ""}},
		"given elsewhere": {[]vetchtrail.Edit{put(vetchtrail.Workspace{Name: "w", Keys: keys("stays")}), put(vetchtrail.Workspace{Name: "x", Keys: keys("old")})}, map[string]string{"old": "x", "stays": "w"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			before, err := Empty().Apply(vetchtrail.Change{Edits: append(base(), first)})
			assert.NilError(t, err)
			after, err := before.Build(c.edits)
			assert.NilError(t, err)
			for key, want := range c.holders {
				got, _ := after.Holder(vetchtrail.HashKey(key))
				assert.Equal(t, got, want, key)
			}
			got, _ := before.Holder(vetchtrail.HashKey("old"))
			assert.Equal(t, got, "w", "the rules before were touched")
			assert.Assert(t, before.Locked("w") && before.AnyLocked())
			again, err := Restore(after.Edits(), 1)
			assert.NilError(t, err)
			assert.Equal(t, fmt.Sprint(again.Edits()), fmt.Sprint(after.Edits()))
		})
	}
}

// TestBadWorkspaces: each is a typed error, without the key, and changes nothing.
func TestBadWorkspaces(t *testing.T) {
	held, err := Empty().Apply(vetchtrail.Change{Edits: append(base(), put(vetchtrail.Workspace{Name: "w", Keys: keys("secret")}))})
	assert.NilError(t, err)
	many := make([]vetchtrail.KeyHash, maxKeys+1)
	for i := range many {
		many[i] = vetchtrail.HashKey(fmt.Sprint(i))
	}
	cases := map[string]struct {
		workspace vetchtrail.Workspace
		text      string
	}{
		"another's key":   {vetchtrail.Workspace{Name: "x", Keys: keys("secret")}, "one of its keys is that of workspace w"},
		"too many keys":   {vetchtrail.Workspace{Name: "x", Keys: many}, "it has over 32 keys"},
		"negative rate":   {vetchtrail.Workspace{Name: "x", Quota: vetchtrail.Quota{Rate: -1}}, "a number of its quota is below 0 or no number"},
		"rate no number":  {vetchtrail.Workspace{Name: "x", Quota: vetchtrail.Quota{Rate: math.NaN()}}, "a number of its quota is below 0 or no number"},
		"endless burst":   {vetchtrail.Workspace{Name: "x", Quota: vetchtrail.Quota{Rate: 1, Burst: math.Inf(1)}}, "a number of its quota is below 0 or no number"},
		"burst, no rate":  {vetchtrail.Workspace{Name: "x", Quota: vetchtrail.Quota{Burst: 1}}, "its quota has a burst but no rate"},
		"unknown home":    {vetchtrail.Workspace{Name: "x", Home: "east"}, "names the unknown region east"},
		"unknown allowed": {vetchtrail.Workspace{Name: "x", Allowed: []string{"east"}}, "names the unknown region east"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := held.Build([]vetchtrail.Edit{put(c.workspace)})
			var wrong *vetchtrail.ChangeError
			assert.Assert(t, errors.As(err, &wrong), "%v", err)
			assert.Equal(t, wrong.Text, c.text)
			got, _ := held.Holder(vetchtrail.HashKey("secret"))
			assert.Equal(t, got, "w")
		})
	}
}

// TestJudgeRoute: where requests of a route with a workspace may run, and in what order.
func TestJudgeRoute(t *testing.T) {
	route := func(name string, rank int8, keyed bool, homes ...string) vetchtrail.Edit {
		return vetchtrail.PutRoute{Route: vetchtrail.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Attempts: 1, AnswerWithin: time.Second, Rank: rank, Keyed: keyed, Homes: homes,
			Targets: []vetchtrail.Target{{Service: "quotes", Weight: 1}},
		}}
	}
	r, err := Empty().Build(append(base(), route("open", 1, false), route("keyed", 1, true), route("south", 0, true, "south"), route("low", 7, true),
		put(vetchtrail.Workspace{Name: "usual"}), put(vetchtrail.Workspace{Name: "first", Priority: 1}),
		put(vetchtrail.Workspace{Name: "northern", Allowed: []string{"north"}})))
	assert.NilError(t, err)
	cases := map[string]struct {
		route, workspace string
		want             Judgement
		why              vetchtrail.Reason
	}{
		"open, nobody's":         {"open", "", Judgement{Allowed: vetchtrail.AllRegions, Priority: -1}, ""},
		"keyed":                  {"keyed", "usual", Judgement{Allowed: vetchtrail.AllRegions, Priority: -1}, ""},
		"keyed, nobody's":        {"keyed", "", Judgement{}, vetchtrail.ReasonNoWorkspace},
		"workspace gone":         {"keyed", "gone", Judgement{}, vetchtrail.ReasonNoWorkspace},
		"priority before rank":   {"keyed", "first", Judgement{Allowed: vetchtrail.AllRegions, Priority: 2}, ""},
		"low ranks are one":      {"low", "first", Judgement{Allowed: vetchtrail.AllRegions, Priority: 1}, ""},
		"home of the workspace":  {"keyed", "northern", Judgement{Allowed: vetchtrail.RegionsOf(1), Priority: -1}, ""},
		"home of the route":      {"south", "usual", Judgement{Allowed: vetchtrail.RegionsOf(0)}, ""},
		"homes that don't meet":  {"south", "northern", Judgement{}, vetchtrail.ReasonNoHome},
		"no such route any more": {"none", "usual", Judgement{}, vetchtrail.ReasonNoRoute},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j, why := r.JudgeRoute(c.route, "quotes", c.workspace, 0)
			assert.Equal(t, why, c.why)
			assert.Equal(t, j, c.want)
		})
	}
}

// BenchmarkHolder looks up a key among 38,000 workspaces of two keys each: 190 ns and no
// allocation, of which the hash is the most.
func BenchmarkHolder(b *testing.B) {
	var edits []vetchtrail.Edit
	for i := range 38_000 {
		edits = append(edits, put(vetchtrail.Workspace{Name: fmt.Sprint("w", i), Keys: keys(fmt.Sprint("key-number-", i), fmt.Sprint("other-key-", i))}))
	}
	r, err := Empty().Build(edits)
	assert.NilError(b, err)
	shown := make([]string, 1024)
	for i := range shown {
		shown[i] = fmt.Sprint("key-number-", i*37)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := r.Holder(vetchtrail.HashKey(shown[i%len(shown)])); !ok {
			b.Fatal("not found")
		}
	}
}
