package caller

import "sync"

// tallyMost bounds the routes that are counted; those beyond it count as never
// asked for.
const tallyMost = 4096

// tally counts the requests of each route since the start of the process.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) count(route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	if _, known := t.counts[route]; known || len(t.counts) < tallyMost {
		t.counts[route]++
	}
}

// Asked returns how many requests of a route this host was asked for.
func (s *Server) Asked(route string) int {
	s.tally.mu.Lock()
	defer s.tally.mu.Unlock()
	return s.tally.counts[route]
}
