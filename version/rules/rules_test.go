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

// baseEdits returns the edits of a valid configuration: a service with one endpoint,
// in the region south, and a second region north without endpoints.
func baseEdits() []vetchtrail.Edit {
	return []vetchtrail.Edit{
		vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 0, Name: "south", DataCentres: []string{"krk"}}},
		vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 1, Name: "north", DataCentres: []string{"gdn"}}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "quotes", Allowed: []string{"south", "north"}, AnswerWithin: time.Second}},
		vetchtrail.PutEndpoint{Endpoint: vetchtrail.Endpoint{
			Name: "e", Service: "quotes", Region: "south", DataCentre: "krk", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1,
		}},
	}
}

// TestApply checks that an invalid edit is rejected with an error that names
// the fault, and that no edit, valid or not, modifies the configuration
// that it is applied to: hosts still use that one.
func TestApply(t *testing.T) {
	endpoint := baseEdits()[3].(vetchtrail.PutEndpoint).Endpoint
	change := func(f func(*vetchtrail.Endpoint)) vetchtrail.Edit {
		e := endpoint
		f(&e)
		return vetchtrail.PutEndpoint{Endpoint: e}
	}
	cases := map[string]struct {
		edit vetchtrail.Edit
		text string // empty: valid
	}{
		"valid workspace":               {vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "w", Home: "north"}}, ""},
		"unknown home":                  {vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "w", Home: "east"}}, "refers to unknown region east"},
		"unknown allowed":               {vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "w", Allowed: []string{"east"}}}, "refers to unknown region east"},
		"no name":                       {vetchtrail.PutWorkspace{}, "has no name"},
		"region with another's id":      {vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 1, Name: "east"}}, "its id 1 belongs to region north"},
		"region with a new id":          {vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 5, Name: "south"}}, "its id is 0 and can't change to 5"},
		"service without a time limit":  {vetchtrail.PutService{Service: vetchtrail.Service{Name: "quotes"}}, "answer_within must be above 0"},
		"service without endpoints":     {vetchtrail.PutService{Service: vetchtrail.Service{Name: "new", AnswerWithin: 1}}, "would be left without an allowed endpoint that is not draining"},
		"no endpoint in its regions":    {vetchtrail.PutService{Service: vetchtrail.Service{Name: "quotes", Allowed: []string{"north"}, AnswerWithin: 1}}, "would be left without an allowed endpoint that is not draining"},
		"last endpoint drained":         {vetchtrail.DrainEndpoint{Endpoint: "e", Draining: true}, "would be left without an allowed endpoint that is not draining"},
		"last endpoint removed":         {vetchtrail.Remove{Kind: vetchtrail.ItemEndpoint, Name: "e"}, "would be left without an allowed endpoint that is not draining"},
		"region of an endpoint removed": {vetchtrail.Remove{Kind: vetchtrail.ItemRegion, Name: "south"}, "its region south was removed"},
		"unknown item removed":          {vetchtrail.Remove{Kind: vetchtrail.ItemService, Name: "x"}, "is unknown"},
		"unknown kind removed":          {vetchtrail.Remove{Kind: "thing", Name: "x"}, "is of an unknown kind"},
		"data centre in another region": {change(func(e *vetchtrail.Endpoint) { e.DataCentre = "gdn" }), "its data centre gdn is not in region south"},
		"endpoint without slots":        {change(func(e *vetchtrail.Endpoint) { e.Slots = 0 }), "slots must be above 0"},
		"endpoint without address":      {change(func(e *vetchtrail.Endpoint) { e.Addr = netip.AddrPort{} }), "has no address"},
		"endpoint of unknown service":   {change(func(e *vetchtrail.Endpoint) { e.Service = "x" }), "refers to unknown service x"},
	}
	first, err := Empty().Apply(vetchtrail.Change{Edits: baseEdits()})
	assert.NilError(t, err)
	before := fmt.Sprint(first.Edits())
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			next, err := first.Apply(vetchtrail.Change{Edits: []vetchtrail.Edit{c.edit}})
			var changeErr *vetchtrail.ChangeError
			if c.text == "" {
				assert.NilError(t, err)
				assert.Equal(t, next.Revision(), uint64(2))
			} else {
				assert.Assert(t, errors.As(err, &changeErr), "%v", err)
				assert.Equal(t, changeErr.Text, c.text)
			}
			assert.Equal(t, fmt.Sprint(first.Edits()), before, "the configuration before the change was modified")
		})
	}
}

// TestServiceConstraints guards against processing a workspace's data in a region that
// isn't allowed for it. It checks where requests without a route may be processed.
func TestServiceConstraints(t *testing.T) {
	edits := append(baseEdits(),
		vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "bound", Home: "north", Allowed: []string{"north"}, Priority: 3}},
		vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "with-home", Home: "north"}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "home-only", AnswerWithin: 1}},
		vetchtrail.PutEndpoint{Endpoint: vetchtrail.Endpoint{
			Name: "h", Service: "home-only", Region: "north", DataCentre: "gdn", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1,
		}})
	r, err := Empty().Apply(vetchtrail.Change{Edits: edits})
	assert.NilError(t, err)
	both, north := vetchtrail.RegionsOf(0, 1), vetchtrail.RegionsOf(1)
	cases := map[string]struct {
		service, workspace string
		want               Constraints
	}{
		"unknown workspace":                 {"quotes", "x", Constraints{Home: 0, Allowed: both}},
		"workspace with allowed region":     {"quotes", "bound", Constraints{Home: 1, Allowed: north, Priority: 3}},
		"home-only service, no home":        {"home-only", "x", Constraints{Home: 0, Allowed: vetchtrail.RegionsOf(0)}},
		"home-only service, home":           {"home-only", "with-home", Constraints{Home: 1, Allowed: north}},
		"home-only service, allowed region": {"home-only", "bound", Constraints{Home: 1, Allowed: north, Priority: 3}},
		"workspace without allowed regions": {"quotes", "with-home", Constraints{Home: 1, Allowed: both}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			got, ok := r.ServiceConstraints(c.service, c.workspace, 0)
			assert.Assert(t, ok)
			assert.Equal(t, got, c.want)
		})
	}
	_, ok := r.ServiceConstraints("none", "x", 0)
	assert.Assert(t, !ok)
}

// TestDifference checks that applying the difference of two configurations to
// the first gives the second, with additions as well as removals.
func TestDifference(t *testing.T) {
	current, err := Empty().Apply(vetchtrail.Change{Edits: append(baseEdits(), vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "gone", Home: "south"}})})
	assert.NilError(t, err)
	wanted, err := Empty().Apply(vetchtrail.Change{Edits: append(baseEdits(), vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "new"}})})
	assert.NilError(t, err)
	got, err := current.Apply(vetchtrail.Change{Edits: current.Difference(wanted)})
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprint(got.Edits()), fmt.Sprint(wanted.Edits()))
	assert.Equal(t, len(got.Difference(wanted)), 0)
}

// editsWithWorkspaces returns the edits of the base configuration with n workspaces.
func editsWithWorkspaces(n int) []vetchtrail.Edit {
	edits := baseEdits()
	for i := range n {
		edits = append(edits, vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: fmt.Sprintf("workspace-%06d", i), Home: "north"}})
	}
	return edits
}

// BenchmarkWorkspaces measures the memory of a configuration and the time of a
// change to one workspace, for several numbers of workspaces.
func BenchmarkWorkspaces(b *testing.B) {
	for _, n := range []int{1000, 10000, 38000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			before := meter.Heap()
			r, err := Empty().Apply(vetchtrail.Change{Edits: editsWithWorkspaces(n)})
			assert.NilError(b, err)
			heapBytes := meter.Heap() - before
			c := vetchtrail.Change{Edits: []vetchtrail.Edit{vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "workspace-000001"}}}}
			for b.Loop() {
				_, err := r.Apply(c)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(heapBytes), "heap-bytes")
			runtime.KeepAlive(r)
		})
	}
}

// TestRoutes checks which route a request belongs to, and which regions serve
// the requests to a host name best.
func TestRoutes(t *testing.T) {
	config, err := Empty().ApplyEdits([]vetchtrail.Edit{
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
		"longest prefix":         {"h", "/a/b/c", "deep"},
		"shorter prefix":         {"h", "/a/x", "part"},
		"part of a path segment": {"h", "/ab", "all"},
		"other host name":        {"g", "/a/b/c", "other"},
		"no matching prefix":     {"g", "/x", ""},
		"unknown host name":      {"f", "/a/", ""},
		"path equal to prefix":   {"h", "/a/", "part"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m, ok := config.Match(c.host, c.path)
			assert.Equal(t, m.Name, c.route)
			assert.Equal(t, ok, c.route != "")
		})
	}
	homes := map[string]struct {
		host     string
		requests map[string]int
		want     []string
	}{
		"no route has homes":       {"g", nil, nil},
		"no requests yet":          {"h", nil, []string{"north", "south"}},
		"home of most requests":    {"h", map[string]int{"deep": 9}, []string{"south"}},
		"routes without homes":     {"h", map[string]int{"all": 9, "part": 1}, []string{"north"}},
		"host name without routes": {"f", nil, nil},
	}
	for name, c := range homes {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, config.BestRegions(c.host, func(route string) int { return c.requests[route] }), c.want)
		})
	}
}

// someRoute returns a valid route to the service app.
func someRoute(name, host, prefix string, homes ...string) vetchtrail.Route {
	return vetchtrail.Route{
		Name: name, Host: host, PathPrefix: prefix, Homes: homes, Attempts: 1, AnswerWithin: time.Second,
		Targets: []vetchtrail.Target{{Service: "app", Weight: 1}},
	}
}

// TestInvalidRoutes checks that a route with one wrong field is rejected with an
// error that names the field.
func TestInvalidRoutes(t *testing.T) {
	cases := map[string]struct {
		change func(*vetchtrail.Route)
		text   string
	}{
		"no host name":    {func(r *vetchtrail.Route) { r.Host = "" }, "has no host name"},
		"no final slash":  {func(r *vetchtrail.Route) { r.PathPrefix = "/a" }, "path prefix"},
		"no attempts":     {func(r *vetchtrail.Route) { r.Attempts = 0 }, "attempts"},
		"no time limit":   {func(r *vetchtrail.Route) { r.AnswerWithin = 0 }, "answer_within"},
		"unknown service": {func(r *vetchtrail.Route) { r.Targets[0].Service = "x" }, "unknown service x"},
		"no weights":      {func(r *vetchtrail.Route) { r.Targets[0].Weight = 0 }, "weight above 0"},
		"unknown home":    {func(r *vetchtrail.Route) { r.Homes = []string{"x"} }, "unknown region x"},
		"negative weight": {func(r *vetchtrail.Route) { r.Targets[0].Weight = -1 }, "a weight is negative"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := someRoute("r", "h", "/a/")
			c.change(&r)
			_, err := Empty().ApplyEdits([]vetchtrail.Edit{
				vetchtrail.PutService{Service: vetchtrail.Service{Name: "app", AnswerWithin: time.Second}}, vetchtrail.PutRoute{Route: r},
			})
			assert.ErrorContains(t, err, c.text)
		})
	}
}
