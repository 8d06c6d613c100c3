package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBoot: moments go on with the steady clock and carry no reading of it, by which
// differences of moments would be taken and which stands in a suspension.
func TestBoot(t *testing.T) {
	before, steady := Boot(), time.Now()
	time.Sleep(20 * time.Millisecond)
	after, passed := Boot(), time.Since(steady)
	assert.Assert(t, after.Sub(before) > 0 && after.Sub(before) <= passed+20*time.Millisecond, "%s of %s", after.Sub(before), passed)
	assert.Equal(t, before, before.Round(0))
}
