package rules

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"vetchtrail"
)

// path is a route with what a match needs looked up.
type path struct {
	vetchtrail.Route
	allowed vetchtrail.RegionSet
}

// Match is what the rules say of a request that belongs to a route.
type Match struct {
	vetchtrail.Route
	Allowed vetchtrail.RegionSet
}

// Match returns the route of a request: of its host name, the one with the
// longest prefix of its path.
func (r *Rules) Match(host, urlPath string) (Match, bool) {
	for i := range r.paths[host] {
		p := &r.paths[host][i]
		if strings.HasPrefix(urlPath, p.PathPrefix) {
			return Match{Route: p.Route, Allowed: p.allowed}, true
		}
	}
	return Match{}, false
}

// Target draws one of the route's services by their weights; u is from 0 to 1.
func (m *Match) Target(u float64) string {
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

// JudgeRoute says where a request of a route may be processed by these rules, or why it
// may not at all: its service may have been taken from the route meanwhile, and its
// workspace from the configuration. The homes of route and workspace both bind. The
// workspace's priority goes before the route's rank.
func (r *Rules) JudgeRoute(name, service, workspaceName string, entry vetchtrail.RegionID) (Judgement, vetchtrail.Reason) {
	t, ok := r.routes[name]
	if !ok || !slices.ContainsFunc(t.Targets, func(x vetchtrail.Target) bool { return x.Service == service }) {
		return Judgement{}, vetchtrail.ReasonNoRoute
	}
	j := Judgement{Home: entry, Allowed: r.homesOf(&t), Priority: -t.Rank}
	if workspaceName == "" && !t.Keyed {
		return j, ""
	}
	w, ok := r.workspaces[shardOf(workspaceName)][workspaceName]
	if !ok {
		return Judgement{}, vetchtrail.ReasonNoWorkspace
	}
	if w.home != noHome {
		j.Home = vetchtrail.RegionID(w.home)
	}
	if w.allowed != 0 && j.Allowed&w.allowed == 0 {
		return Judgement{}, vetchtrail.ReasonNoHome
	}
	if w.allowed != 0 {
		j.Allowed &= w.allowed
	}
	j.Priority = priorityOf(w.priority, t.Rank)
	return j, ""
}

// ranks is how many ranks of routes are told apart within a workspace's priority. Routes
// of lower ranks share the last: endpoints know ten urgencies for both together.
const ranks = 3

// priorityOf orders requests by their workspace's priority, and those of the same by their
// route's rank.
func priorityOf(workspace, rank int8) int8 {
	p := int(workspace)*ranks - min(int(rank), ranks-1)
	return int8(max(math.MinInt8, min(math.MaxInt8, p)))
}

// homesOf returns the regions that may process a route's requests. A home that
// is not known allows nothing.
func (r *Rules) homesOf(t *vetchtrail.Route) vetchtrail.RegionSet {
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

// HomesOf returns the regions that suit the requests to a host name best: of its
// routes that have homes, those regions that are homes of the most, each route
// weighed by how much it is asked for. None: no route of it has homes.
func (r *Rules) HomesOf(host string, asked func(route string) int) []string {
	var weights [vetchtrail.MaxRegions]int
	most := 0
	for i := range r.paths[host] {
		p := &r.paths[host][i]
		if len(p.Homes) == 0 {
			continue
		}
		for id := range weights {
			if p.allowed.Has(vetchtrail.RegionID(id)) {
				weights[id] += 1 + asked(p.Name)
				most = max(most, weights[id])
			}
		}
	}
	var out []string
	for id, name := range r.names {
		if most > 0 && name != "" && weights[id] == most {
			out = append(out, name)
		}
	}
	return out
}

// Routes returns all routes in the order of their names.
func (r *Rules) Routes() []vetchtrail.Route {
	out := make([]vetchtrail.Route, 0, len(r.routes))
	for _, n := range slices.Sorted(maps.Keys(r.routes)) {
		out = append(out, r.routes[n])
	}
	return out
}

// pathsOf sorts the routes for Match.
func pathsOf(r *Rules) map[string][]path {
	out := map[string][]path{}
	for _, t := range r.routes {
		out[t.Host] = append(out[t.Host], path{Route: t, allowed: r.homesOf(&t)})
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b path) int {
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
		return "attempts is not above 0"
	case t.AnswerWithin <= 0:
		return "answer_within is not above 0"
	case t.Goal < 0:
		return "goal is below 0"
	case t.Pause < 0:
		return "pause is below 0"
	}
	if p := b.targetProblem(t.Targets); p != "" {
		return p
	}
	if _, unknown := b.set(t.Homes); unknown != "" {
		return "names the unknown region " + unknown
	}
	b.next.routes[t.Name] = t
	return ""
}

func (b *builder) targetProblem(targets []vetchtrail.Target) string {
	total := 0
	for _, t := range targets {
		if _, ok := b.next.services[t.Service]; !ok {
			return "names the unknown service " + t.Service
		}
		if t.Weight < 0 {
			return "a weight is below 0"
		}
		total += t.Weight
	}
	if total == 0 {
		return "has no service with a weight above 0"
	}
	return ""
}
