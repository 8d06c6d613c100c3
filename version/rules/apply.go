package rules

import (
	"fmt"
	"maps"
	"slices"

	"vetchtrail"
)

// maxName bounds the length of a name in the configuration, in bytes.
const maxName = 128

// Apply returns the rules after a change, or a *vetchtrail.ChangeError with
// these rules untouched.
func (r *Rules) Apply(c vetchtrail.Change) (*Rules, error) {
	next, err := r.Build(c.Edits)
	if err != nil {
		return nil, err
	}
	if err := next.check(len(c.Edits)); err != nil {
		return nil, err
	}
	next.revision = r.revision + 1
	return next, nil
}

// Restore returns the rules that a snapshot's edits make, at its revision. The
// snapshot was checked when it was accepted.
func Restore(edits []vetchtrail.Edit, revision uint64) (*Rules, error) {
	next, err := Empty().Build(edits)
	if err != nil {
		return nil, err
	}
	next.revision = revision
	return next, nil
}

// Build returns the rules after edits, at the same revision, without checking
// the whole.
func (r *Rules) Build(edits []vetchtrail.Edit) (*Rules, error) {
	b := builder{next: r.copy()}
	for i, e := range edits {
		if item, text := b.edit(e); text != "" {
			return nil, &vetchtrail.ChangeError{Edit: i, Item: item, Text: text}
		}
	}
	b.next.paths = pathsOf(b.next)
	return b.next, nil
}

func (r *Rules) copy() *Rules {
	next := *r
	next.regions = maps.Clone(r.regions)
	next.services = maps.Clone(r.services)
	next.endpoints = maps.Clone(r.endpoints)
	next.routes = maps.Clone(r.routes)
	return &next
}

// builder makes the next rules; it copies each shard of workspaces and keys once.
type builder struct {
	next   *Rules
	copied [workspaceShards]bool
	shown  [workspaceShards]bool // shards of keys that were copied
}

// edit applies one edit. It returns the item and what is wrong with it.
func (b *builder) edit(e vetchtrail.Edit) (item, text string) {
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
		return "endpoint " + e.Endpoint, b.drain(e)
	case vetchtrail.Remove:
		return string(e.Kind) + " " + e.Name, b.remove(e)
	}
	return "edit", "of an unknown kind"
}

func nameProblem(name string) string {
	if name == "" {
		return "has no name"
	}
	if len(name) > maxName {
		return fmt.Sprintf("its name is over %d bytes", maxName)
	}
	return ""
}

func (b *builder) putRegion(g vetchtrail.Region) string {
	if p := nameProblem(g.Name); p != "" {
		return p
	}
	if g.ID >= vetchtrail.MaxRegions {
		return fmt.Sprintf("its id is over %d", vetchtrail.MaxRegions-1)
	}
	if held := b.next.names[g.ID]; held != "" && held != g.Name {
		return fmt.Sprintf("its id %d is that of region %s", g.ID, held)
	}
	if old, ok := b.next.regions[g.Name]; ok && old.ID != g.ID {
		return fmt.Sprintf("its id is %d and can't become %d", old.ID, g.ID)
	}
	b.next.regions[g.Name] = g
	b.next.names[g.ID] = g.Name
	return ""
}

// set returns the regions of the names, or the first unknown one.
func (b *builder) set(names []string) (set vetchtrail.RegionSet, unknown string) {
	for _, n := range names {
		g, ok := b.next.regions[n]
		if !ok {
			return 0, n
		}
		set |= vetchtrail.RegionsOf(g.ID)
	}
	return set, ""
}

func (b *builder) putService(s vetchtrail.Service) string {
	if p := nameProblem(s.Name); p != "" {
		return p
	}
	set, unknown := b.set(s.Allowed)
	if unknown != "" {
		return "names the unknown region " + unknown
	}
	if s.AnswerWithin <= 0 {
		return "answer_within is not above 0"
	}
	if s.EventTokens < 0 {
		return "event_tokens is below 0"
	}
	if s.QueueLimit < 0 {
		return "queue_limit is below 0"
	}
	if s.Weights.Tail < 0 || s.Weights.Away < 0 || s.Weights.Cost < 0 || s.Weights.Read < 0 {
		return "a weight is below 0"
	}
	b.next.services[s.Name] = service{Service: s, allowed: set}
	return ""
}

func (b *builder) putEndpoint(e vetchtrail.Endpoint) string {
	if p := nameProblem(e.Name); p != "" {
		return p
	}
	if _, ok := b.next.services[e.Service]; !ok {
		return "names the unknown service " + e.Service
	}
	g, ok := b.next.regions[e.Region]
	if !ok {
		return "names the unknown region " + e.Region
	}
	if !slices.Contains(g.DataCentres, e.DataCentre) {
		return fmt.Sprintf("names data centre %s, which is not in region %s", e.DataCentre, e.Region)
	}
	if !e.Addr.IsValid() || e.Addr.Port() == 0 {
		return "has no address"
	}
	if e.Slots <= 0 {
		return "slots is not above 0"
	}
	b.next.endpoints[e.Name] = e
	return ""
}

func (b *builder) drain(e vetchtrail.DrainEndpoint) string {
	end, ok := b.next.endpoints[e.Endpoint]
	if !ok {
		return "is unknown"
	}
	end.Draining = e.Draining
	b.next.endpoints[e.Endpoint] = end
	return ""
}

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

func (b *builder) removeRegion(name string) string {
	g, ok := b.next.regions[name]
	if !ok {
		return "is unknown"
	}
	for _, w := range b.next.Workspaces() {
		if w.Home == name || slices.Contains(w.Allowed, name) {
			return "is still named by workspace " + w.Name
		}
	}
	delete(b.next.regions, name)
	b.next.names[g.ID] = ""
	return ""
}

// check looks at the whole: every service needs an endpoint that may serve it.
func (r *Rules) check(edit int) error {
	served := map[string]bool{}
	for _, e := range r.endpoints {
		s, ok := r.services[e.Service]
		if !ok {
			return &vetchtrail.ChangeError{Edit: edit, Item: "endpoint " + e.Name, Text: "its service " + e.Service + " is gone"}
		}
		g, ok := r.regions[e.Region]
		if !ok {
			return &vetchtrail.ChangeError{Edit: edit, Item: "endpoint " + e.Name, Text: "its region " + e.Region + " is gone"}
		}
		if !e.Draining && (s.allowed == 0 || s.allowed.Has(g.ID)) {
			served[e.Service] = true
		}
	}
	for name, s := range r.services {
		for _, n := range s.Allowed {
			if _, ok := r.regions[n]; !ok {
				return &vetchtrail.ChangeError{Edit: edit, Item: "service " + name, Text: "its region " + n + " is gone"}
			}
		}
		if !served[name] {
			return &vetchtrail.ChangeError{Edit: edit, Item: "service " + name, Text: "would be left without an allowed endpoint that is not draining"}
		}
	}
	return nil
}
