package rules

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"vetchtrail"
)

// routeMatcher is a route with the names of its homes resolved.
type routeMatcher struct {
	vetchtrail.Route
	allowed vetchtrail.RegionSet // regions that may process its requests
}

// Match is the route that a request belongs to.
type Match struct {
	vetchtrail.Route
	Allowed vetchtrail.RegionSet // regions that may process the route's requests
}

// Match returns the route of a request. Among the routes of the host name, it
// is the one with the longest prefix of the path.
func (r *Rules) Match(host, urlPath string) (Match, bool) {
	for i := range r.routesByHost[host] {
		m := &r.routesByHost[host][i]
		if strings.HasPrefix(urlPath, m.PathPrefix) {
			return Match{Route: m.Route, Allowed: m.allowed}, true
		}
	}
	return Match{}, false
}

// PickService selects one of the route's services, in proportion to their
// weights. u is a random number from 0 up to but not including 1.
func (m *Match) PickService(u float64) string {
	total := 0
	for _, t := range m.Targets {
		total += t.Weight
	}
	at := u * float64(total)
	for _, t := range m.Targets {
		at -= float64(t.Weight)
		if at < 0 {
			return t.Service
		}
	}
	return m.Targets[len(m.Targets)-1].Service
}

// RouteConstraints returns where a request of a route may be processed and with
// what priority, or the reason why it may not be processed. The configuration
// may have changed since the request was matched: its route, the route's target
// service or its workspace may have been removed. Both the route's homes and
// the workspace's allowed regions limit where it may be processed. The
// workspace's priority takes precedence over the route's rank.
func (r *Rules) RouteConstraints(name, service, workspaceName string, entry vetchtrail.RegionID) (Constraints, vetchtrail.Reason) {
	t, ok := r.routes[name]
	if !ok || !slices.ContainsFunc(t.Targets, func(x vetchtrail.Target) bool { return x.Service == service }) {
		return Constraints{}, vetchtrail.ReasonNoRoute
	}
	c := Constraints{Home: entry, Allowed: r.allowedRegions(&t), Priority: -t.Rank}
	if workspaceName == "" && !t.Keyed {
		return c, ""
	}
	w, reason := r.narrow(&c, workspaceName)
	if reason != "" {
		return Constraints{}, reason
	}
	c.Priority = combinedPriority(w.priority, t.Rank)
	return c, ""
}

// BegunConstraints returns the constraints of a request whose response has begun and whose route was moved to another
// service or removed since. The response keeps the route that it began with. Its workspace, if there is one, must
// still exist, and narrows where the rest may be processed.
func (r *Rules) BegunConstraints(c Constraints, workspaceName string) (Constraints, vetchtrail.Reason) {
	if workspaceName == "" {
		return c, ""
	}
	if _, reason := r.narrow(&c, workspaceName); reason != "" {
		return Constraints{}, reason
	}
	return c, ""
}

// narrow narrows constraints by those of a workspace, and sets its home.
func (r *Rules) narrow(c *Constraints, workspaceName string) (workspace, vetchtrail.Reason) {
	w, ok := r.workspaces[workspaceShardOf(workspaceName)][workspaceName]
	if !ok {
		return workspace{}, vetchtrail.ReasonUnknownWorkspace
	}
	if w.home != noHome {
		c.Home = vetchtrail.RegionID(w.home)
	}
	if w.allowed != 0 && c.Allowed&w.allowed == 0 {
		return workspace{}, vetchtrail.ReasonNoCommonHome
	}
	if w.allowed != 0 {
		c.Allowed &= w.allowed
	}
	return w, ""
}

// ranksPerPriority is how many route ranks are distinguished within one priority
// of a workspace. Less urgent ranks are treated as the last of them, since
// endpoints distinguish only ten levels of urgency, for priority and rank
// together.
const ranksPerPriority = 3

// combinedPriority returns the priority of a request of a workspace and a
// route. It orders requests by their workspace's priority, and requests of
// equal priority by their route's rank.
func combinedPriority(workspace, rank int8) int8 {
	p := int(workspace)*ranksPerPriority - min(int(rank), ranksPerPriority-1)
	return int8(max(math.MinInt8, min(math.MaxInt8, p)))
}

// allowedRegions returns the regions that may process a route's requests: its
// homes, or all regions if it has none. A home that no longer exists is left
// out, so a route whose homes were all removed may be processed nowhere.
func (r *Rules) allowedRegions(t *vetchtrail.Route) vetchtrail.RegionSet {
	if len(t.Homes) == 0 {
		return vetchtrail.AllRegions
	}
	var set vetchtrail.RegionSet
	for _, name := range t.Homes {
		if g, ok := r.regions[name]; ok {
			set |= vetchtrail.RegionsOf(g.ID)
		}
	}
	return set
}

// BestRegions returns the regions that may process the most requests to a host
// name. Each route of the host name that has homes adds its number of requests,
// plus one, to the weight of each of its homes. The result is the regions of the
// highest weight, or none if no route of the host name has homes.
func (r *Rules) BestRegions(host string, requestCount func(route string) int) []string {
	var weights [vetchtrail.MaxRegions]int
	most := 0
	for i := range r.routesByHost[host] {
		m := &r.routesByHost[host][i]
		if len(m.Homes) == 0 {
			continue
		}
		for id := range weights {
			if m.allowed.Has(vetchtrail.RegionID(id)) {
				weights[id] += 1 + requestCount(m.Name)
				most = max(most, weights[id])
			}
		}
	}
	var out []string
	for id, name := range r.nameByID {
		if most > 0 && name != "" && weights[id] == most {
			out = append(out, name)
		}
	}
	return out
}

// Routes returns all routes, sorted by name.
func (r *Rules) Routes() []vetchtrail.Route {
	out := make([]vetchtrail.Route, 0, len(r.routes))
	for _, n := range slices.Sorted(maps.Keys(r.routes)) {
		out = append(out, r.routes[n])
	}
	return out
}

// indexRoutes groups the routes by host name and sorts each group so that the
// first prefix that matches a path is the longest one.
func indexRoutes(r *Rules) map[string][]routeMatcher {
	out := map[string][]routeMatcher{}
	for _, t := range r.routes {
		out[t.Host] = append(out[t.Host], routeMatcher{Route: t, allowed: r.allowedRegions(&t)})
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b routeMatcher) int {
			return cmp.Or(len(b.PathPrefix)-len(a.PathPrefix), strings.Compare(a.PathPrefix, b.PathPrefix))
		})
	}
	return out
}

func (b *builder) putRoute(t vetchtrail.Route) string {
	if p := nameProblem(t.Name); p != "" {
		return p
	}
	switch {
	case t.Host == "":
		return "has no host name"
	case !strings.HasPrefix(t.PathPrefix, "/") || !strings.HasSuffix(t.PathPrefix, "/"):
		return "its path prefix does not begin and end with a slash"
	case t.Attempts < 1:
		return "attempts must be above 0"
	case t.AnswerWithin <= 0:
		return "answer_within must be above 0"
	case t.Goal < 0:
		return "goal is negative"
	case t.Pause < 0:
		return "pause is negative"
	}
	if p := b.targetProblem(t.Targets); p != "" {
		return p
	}
	if _, unknown := b.regionSet(t.Homes); unknown != "" {
		return "refers to unknown region " + unknown
	}
	b.next.routes[t.Name] = t
	return ""
}

// targetProblem returns what is wrong with the targets of a route, or "" if nothing
// is.
func (b *builder) targetProblem(targets []vetchtrail.Target) string {
	total := 0
	for _, t := range targets {
		if _, ok := b.next.services[t.Service]; !ok {
			return "refers to unknown service " + t.Service
		}
		if t.Weight < 0 {
			return "a weight is negative"
		}
		total += t.Weight
	}
	if total == 0 {
		return "has no service with a weight above 0"
	}
	return ""
}
