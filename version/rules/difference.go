package rules

import (
	"reflect"

	"vetchtrail"
)

// Difference returns the edits that turn this configuration into the wanted one.
// Items that the wanted one doesn't have are removed.
func (r *Rules) Difference(wanted *Rules) []vetchtrail.Edit {
	current := map[string]vetchtrail.Edit{}
	for _, e := range r.Edits() {
		current[ItemName(e)] = e
	}
	var out []vetchtrail.Edit
	for _, e := range wanted.Edits() {
		if old, ok := current[ItemName(e)]; !ok || !reflect.DeepEqual(old, e) {
			out = append(out, e)
		}
		delete(current, ItemName(e))
	}
	return append(out, removals(r, current)...)
}

// removals returns the edits that remove the unwanted items. An item is removed
// before the items that it refers to.
func removals(r *Rules, unwanted map[string]vetchtrail.Edit) []vetchtrail.Edit {
	edits := r.Edits()
	var out []vetchtrail.Edit
	for i := len(edits) - 1; i >= 0; i-- {
		if _, ok := unwanted[ItemName(edits[i])]; ok {
			kind, name := itemOf(edits[i])
			out = append(out, vetchtrail.Remove{Kind: kind, Name: name})
		}
	}
	return out
}

// ItemName returns the kind and name of the item that an edit is about, as in
// "endpoint krk-1".
func ItemName(e vetchtrail.Edit) string {
	kind, name := itemOf(e)
	return string(kind) + " " + name
}

// itemOf returns the item that an edit is about.
func itemOf(e vetchtrail.Edit) (vetchtrail.ItemKind, string) {
	switch e := e.(type) {
	case vetchtrail.PutRegion:
		return vetchtrail.ItemRegion, e.Region.Name
	case vetchtrail.PutService:
		return vetchtrail.ItemService, e.Service.Name
	case vetchtrail.PutEndpoint:
		return vetchtrail.ItemEndpoint, e.Endpoint.Name
	case vetchtrail.PutRoute:
		return vetchtrail.ItemRoute, e.Route.Name
	case vetchtrail.PutWorkspace:
		return vetchtrail.ItemWorkspace, e.Workspace.Name
	case vetchtrail.DrainEndpoint:
		return vetchtrail.ItemEndpoint, e.Endpoint
	case vetchtrail.Remove:
		return e.Kind, e.Name
	}
	return "", ""
}
