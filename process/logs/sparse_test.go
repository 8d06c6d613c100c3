package logs

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSparse: a subject has a line each second at most, and what is remembered is bounded.
func TestSparse(t *testing.T) {
	var s Sparse
	now := time.Unix(1_800_000_000, 0)
	assert.Assert(t, s.May("a", now))
	assert.Assert(t, !s.May("a", now.Add(sparseEvery-1)))
	assert.Assert(t, s.May("b", now), "of another subject")
	assert.Assert(t, s.May("a", now.Add(sparseEvery)))
	for n := range 2 * sparseMost {
		s.May(strconv.Itoa(n), now)
		assert.Assert(t, len(s.last) <= sparseMost)
	}
}
