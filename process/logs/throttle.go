package logs

import (
	"sync"
	"time"
)

const (
	// throttleInterval is the minimum time between two lines about one subject. Without it, an
	// endpoint that reports a change in each response would cause a line for each.
	throttleInterval = time.Second
	// maxSubjects bounds the number of subjects whose last line is remembered.
	maxSubjects = 1 << 14
)

// Throttle bounds the rate of log lines about each of many subjects, such as endpoints. Its zero
// value is ready to use. It is safe for concurrent use.
type Throttle struct {
	mu       sync.Mutex
	lastLine map[string]time.Time // by subject
}

// Allow reports whether a line about a subject may be logged now; if so, the line counts as logged.
// When maxSubjects are remembered, the record is cleared before another line is added.
func (t *Throttle) Allow(subject string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if lastLine, ok := t.lastLine[subject]; ok && now.Sub(lastLine) < throttleInterval {
		return false
	}
	if t.lastLine == nil || len(t.lastLine) >= maxSubjects {
		t.lastLine = map[string]time.Time{}
	}
	t.lastLine[subject] = now
	return true
}
