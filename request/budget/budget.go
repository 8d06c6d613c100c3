// Package budget bounds retries by a share of successes, so that an outage
// never multiplies the load.
package budget

import "sync"

const (
	// Share is how many retries a success earns.
	Share = 0.1
	// most is how many retries can be saved up; it is also what a quiet service
	// starts with.
	most = 5.0
)

// Budget is the retries left to one service. It is safe for use by many.
type Budget struct {
	mu    sync.Mutex
	spent float64 // retries used and not earned back
}

// Earn counts a success.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-Share)
}

// Take takes a retry; false: none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > most {
		return false
	}
	b.spent++
	return true
}
