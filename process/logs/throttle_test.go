package logs

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOneLineEachInterval guards against more than one line about a subject in an interval, and
// against memory that grows with the number of subjects.
func TestOneLineEachInterval(t *testing.T) {
	var s Throttle
	now := time.Unix(1_800_000_000, 0)
	assert.Assert(t, s.Allow("a", now))
	assert.Assert(t, !s.Allow("a", now.Add(throttleInterval-1)))
	assert.Assert(t, s.Allow("b", now), "line about another subject refused")
	assert.Assert(t, s.Allow("a", now.Add(throttleInterval)))
	for n := range 2 * maxSubjects {
		s.Allow(strconv.Itoa(n), now)
		assert.Assert(t, len(s.lastLine) <= maxSubjects)
	}
}
