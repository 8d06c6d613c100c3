// Package rules holds the configuration of one revision: regions, services,
// endpoints, routes and workspaces. It validates changes, and it answers the
// questions that a request raises: which route and which workspace it belongs
// to, in which regions it may be processed, and with what priority. It doesn't
// choose an endpoint, and it knows nothing of the state of hosts and endpoints.
package rules

import (
	"maps"
	"slices"

	"vetchtrail"
)

// Rules is the configuration at one revision. It is immutable: Apply returns a
// new one. Many goroutines read one at the same time.
type Rules struct {
	revision     uint64
	regions      map[string]vetchtrail.Region
	names        [vetchtrail.MaxRegions]string // of the regions, by id; empty: no such region
	services     map[string]resolvedService
	endpoints    map[string]vetchtrail.Endpoint
	routes       map[string]vetchtrail.Route
	routesByHost map[string][]routeMatcher // the longest path prefix first

	// Workspaces and their keys are sharded by hash, so that a change copies a
	// few small maps instead of all entries.
	workspaces [shardCount]map[string]workspace
	keyOwners  [shardCount]map[vetchtrail.KeyHash]string // the workspace of each key
	locked     int                                       // number of locked workspaces
}

// resolvedService is a service with the names of its allowed regions resolved.
type resolvedService struct {
	vetchtrail.Service
	allowed vetchtrail.RegionSet // empty: only the home region of the request
}

// Constraints is where and how urgently the configuration lets a request run.
type Constraints struct {
	Home     vetchtrail.RegionID  // region that the request belongs to
	Allowed  vetchtrail.RegionSet // regions that may process it
	Priority int8                 // higher goes first
}

// Empty returns the configuration at revision 0, before the first change.
func Empty() *Rules {
	return &Rules{
		regions:   map[string]vetchtrail.Region{},
		services:  map[string]resolvedService{},
		endpoints: map[string]vetchtrail.Endpoint{},
		routes:    map[string]vetchtrail.Route{},
	}
}

// Revision returns the revision. Apply makes the next one, and Restore sets it.
func (r *Rules) Revision() uint64 { return r.revision }

// Region returns a region by its name.
func (r *Rules) Region(name string) (vetchtrail.Region, bool) {
	g, ok := r.regions[name]
	return g, ok
}

// RegionName returns the name of a region, or "" if no region has the id.
func (r *Rules) RegionName(id vetchtrail.RegionID) string { return r.names[id%vetchtrail.MaxRegions] }

// RegionNames returns the names of the regions, sorted.
func (r *Rules) RegionNames() []string { return slices.Sorted(maps.Keys(r.regions)) }

// RegionOf returns the region that a data centre is in.
func (r *Rules) RegionOf(dataCentre string) (vetchtrail.Region, bool) {
	for _, g := range r.regions {
		if slices.Contains(g.DataCentres, dataCentre) {
			return g, true
		}
	}
	return vetchtrail.Region{}, false
}

// Service returns a service by its name.
func (r *Rules) Service(name string) (vetchtrail.Service, bool) {
	s, ok := r.services[name]
	return s.Service, ok
}

// Services returns all services, sorted by name.
func (r *Rules) Services() []vetchtrail.Service {
	out := make([]vetchtrail.Service, 0, len(r.services))
	for _, n := range slices.Sorted(maps.Keys(r.services)) {
		out = append(out, r.services[n].Service)
	}
	return out
}

// Endpoint returns an endpoint by its name.
func (r *Rules) Endpoint(name string) (vetchtrail.Endpoint, bool) {
	e, ok := r.endpoints[name]
	return e, ok
}

// Endpoints returns the endpoints of a data centre, sorted by name. An empty
// data centre selects all endpoints.
func (r *Rules) Endpoints(dataCentre string) []vetchtrail.Endpoint {
	var out []vetchtrail.Endpoint
	for _, n := range slices.Sorted(maps.Keys(r.endpoints)) {
		e := r.endpoints[n]
		if dataCentre == "" || e.DataCentre == dataCentre {
			out = append(out, e)
		}
	}
	return out
}

// ServiceConstraints returns where a request that belongs to no route may be
// processed, or false if the service is unknown. A workspace without a home has
// its home where the request entered. A service without allowed regions is only
// processed in the home region, since processing elsewhere needs an explicit
// permission.
func (r *Rules) ServiceConstraints(serviceName, workspaceName string, entry vetchtrail.RegionID) (Constraints, bool) {
	s, ok := r.services[serviceName]
	if !ok {
		return Constraints{}, false
	}
	j := Constraints{Home: entry, Allowed: s.allowed}
	w, known := r.workspaces[workspaceShardOf(workspaceName)][workspaceName]
	if known && w.home != noHome {
		j.Home = vetchtrail.RegionID(w.home)
	}
	if s.allowed == 0 {
		j.Allowed = vetchtrail.RegionsOf(j.Home)
	}
	if known && w.allowed != 0 {
		j.Allowed &= w.allowed
	}
	j.Priority = w.priority
	return j, true
}

// Edits returns edits that make this configuration from an empty one. Each edit
// refers to items of earlier edits only.
func (r *Rules) Edits() []vetchtrail.Edit {
	var out []vetchtrail.Edit
	for _, n := range slices.Sorted(maps.Keys(r.regions)) {
		out = append(out, vetchtrail.PutRegion{Region: r.regions[n]})
	}
	for _, s := range r.Services() {
		out = append(out, vetchtrail.PutService{Service: s})
	}
	for _, e := range r.Endpoints("") {
		out = append(out, vetchtrail.PutEndpoint{Endpoint: e})
	}
	for _, t := range r.Routes() {
		out = append(out, vetchtrail.PutRoute{Route: t})
	}
	for _, w := range r.Workspaces() {
		out = append(out, vetchtrail.PutWorkspace{Workspace: w})
	}
	return out
}
