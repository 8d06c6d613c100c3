package logs

import (
	"sync"
	"time"
)

const (
	// sparseEvery bounds the lines of one subject: an endpoint may say something new in each answer.
	sparseEvery = time.Second
	// sparseMost bounds the subjects whose lines are remembered.
	sparseMost = 1 << 14
)

// Sparse bounds the lines that are written of each of many subjects. Its zero value is ready, and safe for
// use by many.
type Sparse struct {
	mu   sync.Mutex
	last map[string]time.Time // when a line of a subject was written
}

// May says whether a line of a subject may be written now, and takes it for written.
func (s *Sparse) May(subject string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.last[subject]; ok && now.Sub(last) < sparseEvery {
		return false
	}
	if s.last == nil || len(s.last) >= sparseMost {
		s.last = map[string]time.Time{}
	}
	s.last[subject] = now
	return true
}
