package caller

import "sync"

// maxCountedRoutes bounds the routes that are counted. Routes beyond it keep a count of 0.
const maxCountedRoutes = 4096

// routeCounter counts the requests of each route since the process started.
type routeCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *routeCounter) count(route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	if _, known := t.counts[route]; known || len(t.counts) < maxCountedRoutes {
		t.counts[route]++
	}
}

// RouteRequestCount returns how many requests of a route this host has received.
func (s *Server) RouteRequestCount(route string) int {
	s.routeCounter.mu.Lock()
	defer s.routeCounter.mu.Unlock()
	return s.routeCounter.counts[route]
}
