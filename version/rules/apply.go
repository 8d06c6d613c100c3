package rules

import (
	"fmt"
	"maps"
	"slices"

	"vetchtrail"
)

// maxNameBytes limits the name of an item of the configuration.
const maxNameBytes = 128

// Apply returns the configuration after a change, at the next revision. It
// returns a *vetchtrail.ChangeError if an edit or the resulting configuration
// is not valid.
func (r *Rules) Apply(c vetchtrail.Change) (*Rules, error) {
	next, err := r.ApplyEdits(c.Edits)
	if err != nil {
		return nil, err
	}
	if err := next.validate(len(c.Edits)); err != nil {
		return nil, err
	}
	next.revision = r.revision + 1
	return next, nil
}

// Restore returns the configuration that the edits of a snapshot create, at the
// snapshot's revision. It validates each edit but not the result, since every
// change up to that revision was validated when it was accepted.
func Restore(edits []vetchtrail.Edit, revision uint64) (*Rules, error) {
	next, err := Empty().ApplyEdits(edits)
	if err != nil {
		return nil, err
	}
	next.revision = revision
	return next, nil
}

// ApplyEdits returns the configuration after edits, at the same revision. It
// validates each edit but not the result.
func (r *Rules) ApplyEdits(edits []vetchtrail.Edit) (*Rules, error) {
	b := builder{next: r.copy()}
	for i, e := range edits {
		if item, text := b.applyEdit(e); text != "" {
			return nil, &vetchtrail.ChangeError{EditIndex: i, Item: item, Text: text}
		}
	}
	b.next.routesByHost = indexRoutes(b.next)
	return b.next, nil
}

// copy returns a copy for a builder to change. The copy shares the shards of
// workspaces and keys, which the builder clones before it changes them.
func (r *Rules) copy() *Rules {
	next := *r
	next.regions = maps.Clone(r.regions)
	next.services = maps.Clone(r.services)
	next.endpoints = maps.Clone(r.endpoints)
	next.routes = maps.Clone(r.routes)
	return &next
}

// builder makes a configuration from a copy of the previous one. Its methods that
// apply an edit return what is wrong with the edit, or "" if nothing is.
type builder struct {
	next             *Rules
	copiedWorkspaces [shardCount]bool // shards of next.workspaces that are no longer shared
	copiedKeys       [shardCount]bool // shards of next.keyOwners that are no longer shared
}

// applyEdit applies one edit. It returns the item that the edit is about, and what
// is wrong with the edit, or "" if nothing is.
func (b *builder) applyEdit(e vetchtrail.Edit) (item, text string) {
	switch e := e.(type) {
	case vetchtrail.PutRegion:
		return "region " + e.Region.Name, b.putRegion(e.Region)
	case vetchtrail.PutService:
		return "service " + e.Service.Name, b.putService(e.Service)
	case vetchtrail.PutEndpoint:
		return "endpoint " + e.Endpoint.Name, b.putEndpoint(e.Endpoint)
	case vetchtrail.PutRoute:
		return "route " + e.Route.Name, b.putRoute(e.Route)
	case vetchtrail.PutWorkspace:
		return "workspace " + e.Workspace.Name, b.putWorkspace(e.Workspace)
	case vetchtrail.DrainEndpoint:
		return "endpoint " + e.Endpoint, b.drainEndpoint(e)
	case vetchtrail.Remove:
		return string(e.Kind) + " " + e.Name, b.remove(e)
	}
	return "edit", "is of an unknown kind"
}

// nameProblem returns what is wrong with the name of an item, or "" if nothing is.
func nameProblem(name string) string {
	if name == "" {
		return "has no name"
	}
	if len(name) > maxNameBytes {
		return fmt.Sprintf("its name is longer than %d bytes", maxNameBytes)
	}
	return ""
}

// putRegion adds or replaces a region. The id of an existing region can't be
// changed, since hosts identify regions by it when they forward a request.
func (b *builder) putRegion(g vetchtrail.Region) string {
	if p := nameProblem(g.Name); p != "" {
		return p
	}
	if g.ID >= vetchtrail.MaxRegions {
		return fmt.Sprintf("its id is above %d", vetchtrail.MaxRegions-1)
	}
	if owner := b.next.nameByID[g.ID]; owner != "" && owner != g.Name {
		return fmt.Sprintf("its id %d belongs to region %s", g.ID, owner)
	}
	if old, ok := b.next.regions[g.Name]; ok && old.ID != g.ID {
		return fmt.Sprintf("its id is %d and can't change to %d", old.ID, g.ID)
	}
	b.next.regions[g.Name] = g
	b.next.nameByID[g.ID] = g.Name
	return ""
}

// regionSet returns the set of the named regions, or the first name that is
// unknown.
func (b *builder) regionSet(names []string) (regionSet vetchtrail.RegionSet, unknown string) {
	for _, n := range names {
		g, ok := b.next.regions[n]
		if !ok {
			return 0, n
		}
		regionSet |= vetchtrail.RegionsOf(g.ID)
	}
	return regionSet, ""
}

func (b *builder) putService(s vetchtrail.Service) string {
	if p := nameProblem(s.Name); p != "" {
		return p
	}
	regionSet, unknown := b.regionSet(s.Allowed)
	if unknown != "" {
		return "refers to unknown region " + unknown
	}
	if s.AnswerWithin <= 0 {
		return "answer_within must be above 0"
	}
	if s.EventTokens < 0 {
		return "event_tokens is negative"
	}
	if s.QueueLimit < 0 {
		return "queue_limit is negative"
	}
	if s.Weights.Tail < 0 || s.Weights.Away < 0 || s.Weights.Cost < 0 || s.Weights.Read < 0 {
		return "a weight is negative"
	}
	b.next.services[s.Name] = resolvedService{Service: s, allowed: regionSet}
	return ""
}

func (b *builder) putEndpoint(e vetchtrail.Endpoint) string {
	if p := nameProblem(e.Name); p != "" {
		return p
	}
	if _, ok := b.next.services[e.Service]; !ok {
		return "refers to unknown service " + e.Service
	}
	g, ok := b.next.regions[e.Region]
	if !ok {
		return "refers to unknown region " + e.Region
	}
	if !slices.Contains(g.DataCentres, e.DataCentre) {
		return fmt.Sprintf("its data centre %s is not in region %s", e.DataCentre, e.Region)
	}
	if !e.Addr.IsValid() || e.Addr.Port() == 0 {
		return "has no address"
	}
	if e.Slots <= 0 {
		return "slots must be above 0"
	}
	b.next.endpoints[e.Name] = e
	return ""
}

func (b *builder) drainEndpoint(e vetchtrail.DrainEndpoint) string {
	endpoint, ok := b.next.endpoints[e.Endpoint]
	if !ok {
		return "is unknown"
	}
	endpoint.Draining = e.Draining
	b.next.endpoints[e.Endpoint] = endpoint
	return ""
}

// remove removes an item. Endpoints and services that still refer to it are
// found by validate, after all edits.
func (b *builder) remove(e vetchtrail.Remove) string {
	switch e.Kind {
	case vetchtrail.ItemRegion:
		return b.removeRegion(e.Name)
	case vetchtrail.ItemService:
		if _, ok := b.next.services[e.Name]; !ok {
			return "is unknown"
		}
		delete(b.next.services, e.Name)
	case vetchtrail.ItemEndpoint:
		if _, ok := b.next.endpoints[e.Name]; !ok {
			return "is unknown"
		}
		delete(b.next.endpoints, e.Name)
	case vetchtrail.ItemRoute:
		if _, ok := b.next.routes[e.Name]; !ok {
			return "is unknown"
		}
		delete(b.next.routes, e.Name)
	case vetchtrail.ItemWorkspace:
		return b.removeWorkspace(e.Name)
	default:
		return "is of an unknown kind"
	}
	return ""
}

// removeRegion removes a region unless a workspace refers to it. Workspaces hold
// regions by id, so a region that was removed would silently drop out of them.
func (b *builder) removeRegion(name string) string {
	g, ok := b.next.regions[name]
	if !ok {
		return "is unknown"
	}
	for _, w := range b.next.Workspaces() {
		if w.Home == name || slices.Contains(w.Allowed, name) {
			return "is still used by workspace " + w.Name
		}
	}
	delete(b.next.regions, name)
	b.next.nameByID[g.ID] = ""
	return ""
}

// validate checks the configuration as a whole: the services and regions that
// endpoints and services refer to exist, and each service has an endpoint that
// may serve its requests. The *vetchtrail.ChangeError that it returns gives
// editIndex as the edit.
func (r *Rules) validate(editIndex int) error {
	served := map[string]bool{}
	for _, e := range r.endpoints {
		s, ok := r.services[e.Service]
		if !ok {
			return &vetchtrail.ChangeError{EditIndex: editIndex, Item: "endpoint " + e.Name, Text: "its service " + e.Service + " was removed"}
		}
		g, ok := r.regions[e.Region]
		if !ok {
			return &vetchtrail.ChangeError{EditIndex: editIndex, Item: "endpoint " + e.Name, Text: "its region " + e.Region + " was removed"}
		}
		if !e.Draining && (s.allowed == 0 || s.allowed.Has(g.ID)) {
			served[e.Service] = true
		}
	}
	for name, s := range r.services {
		for _, n := range s.Allowed {
			if _, ok := r.regions[n]; !ok {
				return &vetchtrail.ChangeError{EditIndex: editIndex, Item: "service " + name, Text: "its region " + n + " was removed"}
			}
		}
		if !served[name] {
			return &vetchtrail.ChangeError{EditIndex: editIndex, Item: "service " + name, Text: "would be left without an allowed endpoint that is not draining"}
		}
	}
	return nil
}
