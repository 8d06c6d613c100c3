package vetchtrail

import "time"

// Route says which requests go to which services, and what may be done with
// them. A request belongs to the route of its host name with the longest
// prefix of its path.
type Route struct {
	Name       string
	Host       string // name in the request's Host field
	PathPrefix string // begins and ends with a slash
	Kind       RouteKind
	Targets    []Target
	// Attempts is the most endpoints that one request may be sent to.
	Attempts int
	// AnswerWithin bounds the time a request may be held. Like Goal it is
	// configuration, not a stored deadline.
	AnswerWithin time.Duration
	// Goal is the time within which an answer is worth all it can be.
	Goal      time.Duration
	Rank      int8     // 0 is the most urgent
	Homes     []string // regions that may process its requests; empty: all
	Sticky    bool     // requests name the parts of their prompts
	Resumable bool     // a stream may go on at another endpoint
	// Pause is the longest time between two events of a stream after which its answer is
	// late; 0: not said.
	Pause time.Duration
	Keyed bool // its callers must show the key of a workspace
}

// Repeats says whether a request of the route may run more than once.
func (r *Route) Repeats() bool {
	return r.Kind == RouteSafe || (r.Kind == RouteStream && r.Resumable)
}

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// RouteKind says what may be done with the requests of a route.
type RouteKind uint8

// Kinds of route.
const (
	RouteUnsafe RouteKind = iota // runs at most once
	RouteSafe                    // may run more than once
	RouteStream                  // answers with events; runs at most once unless resumable
)

var routeKindNames = [...]string{"unsafe", "safe", "stream"}

// String returns the kind in lower case.
func (k RouteKind) String() string { return nameOf(routeKindNames[:], int(k)) }

// ParseRouteKind reads the name of a kind.
func ParseRouteKind(s string) (RouteKind, bool) {
	for i, n := range routeKindNames {
		if n == s {
			return RouteKind(i), true
		}
	}
	return 0, false
}

// PromptPart is a part of a prompt that other requests may share. An endpoint
// that still holds the parts up to one need not read them again.
type PromptPart struct {
	ID     uint64
	Tokens int
}
