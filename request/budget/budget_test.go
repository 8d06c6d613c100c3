package budget

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestShare: over a long outage retries stay a tenth of the successes, beside
// the few that a quiet service starts with.
func TestShare(t *testing.T) {
	var b Budget
	made, successes := 0, 1000
	for range successes {
		b.Earn()
		for range 3 {
			if b.Take() {
				made++
			}
		}
	}
	assert.Assert(t, made <= int(Share*float64(successes))+int(most), "%d retries", made)
	assert.Assert(t, made >= int(Share*float64(successes)), "%d retries", made)
	assert.Assert(t, !b.Take(), "nothing is earned without successes")
}
