package vetchtrail

import "time"

// Route assigns requests to services and defines how they may be handled. A request belongs to
// the route of its host name with the longest matching path prefix.
type Route struct {
	Name       string
	Host       string // host name in the request's Host field
	PathPrefix string // begins and ends with a slash
	Kind       RouteKind
	Targets    []Target
	// Attempts is the maximum number of endpoints that one request may be sent to.
	Attempts int
	// AnswerWithin is the longest time to the deadline of a request, counted from its arrival.
	AnswerWithin time.Duration
	// Goal is the latency objective, counted from the arrival of a request.
	Goal      time.Duration
	Rank      int8     // 0 is the most urgent
	Homes     []string // regions that may process its requests; empty: all
	Sticky    bool     // its requests state the parts of their prompts; nothing in this module depends on it
	Resumable bool     // a stream may be resumed at another endpoint
	// Pause is the longest interval between two events of a stream that is still in time; 0:
	// not specified.
	Pause time.Duration
	Keyed bool // callers must send the key of a workspace
}

// Repeatable returns whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteSafe || (r.Kind == RouteStream && r.Resumable)
}

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	Weight  int // its share is Weight over the sum of all weights
}

// RouteKind defines whether the requests of a route may run more than once, and whether they
// are streams.
type RouteKind uint8

// Kinds of routes.
const (
	RouteUnsafe RouteKind = iota // runs at most once
	RouteSafe                    // may run more than once
	RouteStream                  // responds with events; runs at most once unless the route is resumable
)

var routeKindNames = [...]string{"unsafe", "safe", "stream"}

// String returns the kind in lower case.
func (k RouteKind) String() string { return nameAt(routeKindNames[:], int(k)) }

// ParseRouteKind parses the name of a kind.
func ParseRouteKind(s string) (RouteKind, bool) {
	for i, n := range routeKindNames {
		if n == s {
			return RouteKind(i), true
		}
	}
	return 0, false
}

// PromptPart is a part of a prompt that other requests may share. An endpoint that has cached
// a prompt up to and including a part need not process that much again.
type PromptPart struct {
	ID     uint64
	Tokens int
}
