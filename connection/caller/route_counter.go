package caller

import "sync"

// maxCountedRoutes bounds the routes that are counted. Routes beyond it keep a count of 0.
const maxCountedRoutes = 4096

// routeCounter counts the requests of each route since the process started.
type routeCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *routeCounter) count(route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	if _, known := c.counts[route]; known || len(c.counts) < maxCountedRoutes {
		c.counts[route]++
	}
}

// RouteRequestCount returns how many requests of a route this host has received.
func (s *Server) RouteRequestCount(route string) int {
	s.routeCounter.mu.Lock()
	defer s.routeCounter.mu.Unlock()
	return s.routeCounter.counts[route]
}
