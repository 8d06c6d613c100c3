// Package rules holds the configuration of one revision: regions, services,
// endpoints, routes and workspaces. It validates changes. For a request it
// determines the route and the workspace that it belongs to, the regions in which
// it may be processed, and its priority. It doesn't choose an endpoint, and it
// doesn't contain the state of hosts and endpoints.
package rules

import (
	"maps"
	"slices"

	"vetchtrail"
)

// Rules is the configuration at one revision. It is immutable, as many goroutines
// read it at the same time: Apply returns a new one.
type Rules struct {
	revision     uint64
	regions      map[string]vetchtrail.Region
	nameByID     [vetchtrail.MaxRegions]string // of the regions; empty: no region has the id
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

// Constraints are the regions in which a request may be processed, and its priority.
type Constraints struct {
	Home     vetchtrail.RegionID  // region that the request belongs to
	Allowed  vetchtrail.RegionSet // regions that may process it
	Priority int8                 // higher is more urgent
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
func (r *Rules) RegionName(id vetchtrail.RegionID) string {
	return r.nameByID[id%vetchtrail.MaxRegions]
}

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
// processed and with what priority, or false if the service is unknown. If the
// workspace has no home, the home is the region where the request was received. A
// service without allowed regions is only processed in the home region, since
// processing elsewhere needs an explicit permission.
func (r *Rules) ServiceConstraints(serviceName, workspaceName string, entry vetchtrail.RegionID) (Constraints, bool) {
	s, ok := r.services[serviceName]
	if !ok {
		return Constraints{}, false
	}
	c := Constraints{Home: entry, Allowed: s.allowed}
	w, known := r.workspaces[workspaceShardOf(workspaceName)][workspaceName]
	if known && w.home != noHome {
		c.Home = vetchtrail.RegionID(w.home)
	}
	if s.allowed == 0 {
		c.Allowed = vetchtrail.RegionsOf(c.Home)
	}
	if known && w.allowed != 0 {
		c.Allowed &= w.allowed
	}
	c.Priority = w.priority
	return c, true
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
