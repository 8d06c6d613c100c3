package rules

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/standin/meter"
)

func base() []vetchtrail.Edit {
	return []vetchtrail.Edit{
		vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 0, Name: "south", DataCentres: []string{"krk"}}},
		vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 1, Name: "north", DataCentres: []string{"gdn"}}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "quotes", Allowed: []string{"south", "north"}, AnswerWithin: time.Second}},
		vetchtrail.PutEndpoint{Endpoint: vetchtrail.Endpoint{
			Name: "e", Service: "quotes", Region: "south", DataCentre: "krk", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1,
		}},
	}
}

func TestApply(t *testing.T) {
	endpoint := base()[3].(vetchtrail.PutEndpoint).Endpoint
	change := func(f func(*vetchtrail.Endpoint)) vetchtrail.Edit {
		e := endpoint
		f(&e)
		return vetchtrail.PutEndpoint{Endpoint: e}
	}
	cases := map[string]struct {
		edit vetchtrail.Edit
		text string // empty: valid
	}{
		"a workspace":                  {vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "w", Home: "north"}}, ""},
		"unknown home":                 {vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "w", Home: "east"}}, "names the unknown region east"},
		"unknown allowed":              {vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "w", Allowed: []string{"east"}}}, "names the unknown region east"},
		"no name":                      {vetchtrail.PutWorkspace{}, "has no name"},
		"region takes another's id":    {vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 1, Name: "east"}}, "its id 1 is that of region north"},
		"region changes its id":        {vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 5, Name: "south"}}, "its id is 0 and can't become 5"},
		"service without time":         {vetchtrail.PutService{Service: vetchtrail.Service{Name: "quotes"}}, "answer_within is not above 0"},
		"service without endpoint":     {vetchtrail.PutService{Service: vetchtrail.Service{Name: "new", AnswerWithin: 1}}, "would be left without an allowed endpoint that is not draining"},
		"service loses its regions":    {vetchtrail.PutService{Service: vetchtrail.Service{Name: "quotes", Allowed: []string{"north"}, AnswerWithin: 1}}, "would be left without an allowed endpoint that is not draining"},
		"last endpoint drained":        {vetchtrail.DrainEndpoint{Endpoint: "e", Draining: true}, "would be left without an allowed endpoint that is not draining"},
		"last endpoint removed":        {vetchtrail.Remove{Kind: vetchtrail.ItemEndpoint, Name: "e"}, "would be left without an allowed endpoint that is not draining"},
		"region of an endpoint gone":   {vetchtrail.Remove{Kind: vetchtrail.ItemRegion, Name: "south"}, "its region south is gone"},
		"unknown thing removed":        {vetchtrail.Remove{Kind: vetchtrail.ItemService, Name: "x"}, "is unknown"},
		"unknown kind removed":         {vetchtrail.Remove{Kind: "thing", Name: "x"}, "is of an unknown kind"},
		"endpoint in a foreign centre": {change(func(e *vetchtrail.Endpoint) { e.DataCentre = "gdn" }), "names data centre gdn, which is not in region south"},
		"endpoint without slots":       {change(func(e *vetchtrail.Endpoint) { e.Slots = 0 }), "slots is not above 0"},
		"endpoint without address":     {change(func(e *vetchtrail.Endpoint) { e.Addr = netip.AddrPort{} }), "has no address"},
		"endpoint of unknown service":  {change(func(e *vetchtrail.Endpoint) { e.Service = "x" }), "names the unknown service x"},
	}
	first, err := Empty().Apply(vetchtrail.Change{Edits: base()})
	assert.NilError(t, err)
	before := fmt.Sprint(first.Edits())
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			next, err := first.Apply(vetchtrail.Change{Edits: []vetchtrail.Edit{c.edit}})
			var wrong *vetchtrail.ChangeError
			if c.text == "" {
				assert.NilError(t, err)
				assert.Equal(t, next.Revision(), uint64(2))
			} else {
				assert.Assert(t, errors.As(err, &wrong), "%v", err)
				assert.Equal(t, wrong.Text, c.text)
			}
			assert.Equal(t, fmt.Sprint(first.Edits()), before, "the rules before were touched")
		})
	}
}

func TestJudge(t *testing.T) {
	edits := append(base(),
		vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "bound", Home: "north", Allowed: []string{"north"}, Priority: 3}},
		vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "homely", Home: "north"}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "home-only", AnswerWithin: 1}},
		vetchtrail.PutEndpoint{Endpoint: vetchtrail.Endpoint{
			Name: "h", Service: "home-only", Region: "north", DataCentre: "gdn", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1,
		}})
	r, err := Empty().Apply(vetchtrail.Change{Edits: edits})
	assert.NilError(t, err)
	both, north := vetchtrail.RegionsOf(0, 1), vetchtrail.RegionsOf(1)
	cases := map[string]struct {
		service, workspace string
		want               Judgement
	}{
		"unknown workspace":          {"quotes", "x", Judgement{Home: 0, Allowed: both}},
		"bound":                      {"quotes", "bound", Judgement{Home: 1, Allowed: north, Priority: 3}},
		"home only, at entry":        {"home-only", "x", Judgement{Home: 0, Allowed: vetchtrail.RegionsOf(0)}},
		"home only, of a workspace":  {"home-only", "homely", Judgement{Home: 1, Allowed: north}},
		"both narrow to nothing":     {"home-only", "bound", Judgement{Home: 1, Allowed: north, Priority: 3}},
		"workspace without a region": {"quotes", "homely", Judgement{Home: 1, Allowed: both}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j, ok := r.Judge(c.service, c.workspace, 0)
			assert.Assert(t, ok)
			assert.Equal(t, j, c.want)
		})
	}
	_, ok := r.Judge("none", "x", 0)
	assert.Assert(t, !ok)
}

// TestDifference: applying the difference gives the wanted rules.
func TestDifference(t *testing.T) {
	have, err := Empty().Apply(vetchtrail.Change{Edits: append(base(), vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "gone", Home: "south"}})})
	assert.NilError(t, err)
	wanted, err := Empty().Apply(vetchtrail.Change{Edits: append(base(), vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "new"}})})
	assert.NilError(t, err)
	got, err := have.Apply(vetchtrail.Change{Edits: have.Difference(wanted)})
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(got.Edits()), fmt.Sprint(wanted.Edits()))
	assert.Equal(t, len(got.Difference(wanted)), 0)
}

func many(n int) []vetchtrail.Edit {
	edits := base()
	for i := range n {
		edits = append(edits, vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: fmt.Sprintf("workspace-%06d", i), Home: "north"}})
	}
	return edits
}

// BenchmarkWorkspaces: memory of the rules and time of a change, by the number
// of workspaces.
func BenchmarkWorkspaces(b *testing.B) {
	for _, n := range []int{1000, 10000, 38000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			before := meter.Heap()
			r, err := Empty().Apply(vetchtrail.Change{Edits: many(n)})
			assert.NilError(b, err)
			held := meter.Heap() - before
			c := vetchtrail.Change{Edits: []vetchtrail.Edit{vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "workspace-000001"}}}}
			for b.Loop() {
				_, err := r.Apply(c)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(held), "heap-bytes")
			runtime.KeepAlive(r)
		})
	}
}

// TestRoutes: which route a request belongs to, and which regions suit a name.
func TestRoutes(t *testing.T) {
	held, err := Empty().Build([]vetchtrail.Edit{
		vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 0, Name: "north", DataCentres: []string{"n"}}},
		vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 1, Name: "south", DataCentres: []string{"s"}}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "app", AnswerWithin: time.Second}},
		vetchtrail.PutRoute{Route: someRoute("all", "h", "/")},
		vetchtrail.PutRoute{Route: someRoute("part", "h", "/a/", "north")},
		vetchtrail.PutRoute{Route: someRoute("deep", "h", "/a/b/", "south")},
		vetchtrail.PutRoute{Route: someRoute("other", "g", "/a/")},
	})
	assert.NilError(t, err)
	cases := map[string]struct{ host, path, route string }{
		"longest prefix":    {"h", "/a/b/c", "deep"},
		"shorter":           {"h", "/a/x", "part"},
		"not a whole part":  {"h", "/ab", "all"},
		"of its host only":  {"g", "/a/b/c", "other"},
		"no route":          {"g", "/x", ""},
		"no such host":      {"f", "/a/", ""},
		"the prefix itself": {"h", "/a/", "part"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m, ok := held.Match(c.host, c.path)
			assert.Equal(t, m.Name, c.route)
			assert.Equal(t, ok, c.route != "")
		})
	}
	homes := map[string]struct {
		host  string
		asked map[string]int
		want  []string
	}{
		"no route has homes":      {"g", nil, nil},
		"homes that differ":       {"h", nil, []string{"north", "south"}},
		"the one that is asked":   {"h", map[string]int{"deep": 9}, []string{"south"}},
		"not by those without":    {"h", map[string]int{"all": 9, "part": 1}, []string{"north"}},
		"a name that is not held": {"f", nil, nil},
	}
	for name, c := range homes {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, held.HomesOf(c.host, func(route string) int { return c.asked[route] }), c.want)
		})
	}
}

func someRoute(name, host, prefix string, homes ...string) vetchtrail.Route {
	return vetchtrail.Route{
		Name: name, Host: host, PathPrefix: prefix, Homes: homes, Attempts: 1, AnswerWithin: time.Second,
		Targets: []vetchtrail.Target{{Service: "app", Weight: 1}},
	}
}

// TestBadRoutes: each is refused with what is wrong with it.
func TestBadRoutes(t *testing.T) {
	cases := map[string]struct {
		change func(*vetchtrail.Route)
		text   string
	}{
		"no host":          {func(r *vetchtrail.Route) { r.Host = "" }, "has no host name"},
		"prefix":           {func(r *vetchtrail.Route) { r.PathPrefix = "/a" }, "path prefix"},
		"attempts":         {func(r *vetchtrail.Route) { r.Attempts = 0 }, "attempts"},
		"time":             {func(r *vetchtrail.Route) { r.AnswerWithin = 0 }, "answer_within"},
		"unknown service":  {func(r *vetchtrail.Route) { r.Targets[0].Service = "x" }, "unknown service x"},
		"no weight":        {func(r *vetchtrail.Route) { r.Targets[0].Weight = 0 }, "weight above 0"},
		"unknown home":     {func(r *vetchtrail.Route) { r.Homes = []string{"x"} }, "unknown region x"},
		"a weight below 0": {func(r *vetchtrail.Route) { r.Targets[0].Weight = -1 }, "below 0"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := someRoute("r", "h", "/a/")
			c.change(&r)
			_, err := Empty().Build([]vetchtrail.Edit{
				vetchtrail.PutService{Service: vetchtrail.Service{Name: "app", AnswerWithin: time.Second}}, vetchtrail.PutRoute{Route: r},
			})
			assert.ErrorContains(t, err, c.text)
		})
	}
}
