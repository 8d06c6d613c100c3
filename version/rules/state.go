package rules

import (
	"reflect"

	"vetchtrail"
)

// Difference returns the edits that turn these rules into the wanted ones:
// what the wanted ones lack is removed.
func (r *Rules) Difference(wanted *Rules) []vetchtrail.Edit {
	have := map[string]vetchtrail.Edit{}
	for _, e := range r.Edits() {
		have[Title(e)] = e
	}
	var out []vetchtrail.Edit
	for _, e := range wanted.Edits() {
		if old, ok := have[Title(e)]; !ok || !reflect.DeepEqual(old, e) {
			out = append(out, e)
		}
		delete(have, Title(e))
	}
	return append(out, removals(r, have)...)
}

// removals goes from what depends to what is depended on.
func removals(r *Rules, left map[string]vetchtrail.Edit) []vetchtrail.Edit {
	edits := r.Edits()
	var out []vetchtrail.Edit
	for i := len(edits) - 1; i >= 0; i-- {
		if _, ok := left[Title(edits[i])]; ok {
			kind, name := itemOf(edits[i])
			out = append(out, vetchtrail.Remove{Kind: kind, Name: name})
		}
	}
	return out
}

// Title names what an edit is about, as in "endpoint krk-1".
func Title(e vetchtrail.Edit) string {
	kind, name := itemOf(e)
	return string(kind) + " " + name
}

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
