package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBoot guards against times that don't advance as the monotonic clock does, and against times
// with a monotonic reading: Sub would use that reading, which stops during a suspension.
func TestBoot(t *testing.T) {
	before, started := Boot(), time.Now()
	time.Sleep(20 * time.Millisecond)
	after, passed := Boot(), time.Since(started)
	assert.Assert(t, after.Sub(before) > 0 && after.Sub(before) <= passed+20*time.Millisecond, "%s of %s", after.Sub(before), passed)
	assert.Equal(t, before, before.Round(0))
}
