package eventqueue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEventOrder guards against simulations that run events out of order. Next must
// return events by time, and events of the same time in the order in which they were
// scheduled. An event after the limit stays queued until the limit reaches it.
func TestEventOrder(t *testing.T) {
	start := time.Unix(1, 0)
	var q EventQueue
	var got []int
	for i, after := range []time.Duration{3, 1, 3, 2, 1, 9} {
		q.Schedule(start.Add(after), func() { got = append(got, i) })
	}
	last := start
	for {
		at, do, ok := q.Next(start.Add(5))
		if !ok {
			break
		}
		assert.Assert(t, !at.Before(last))
		last = at
		do()
	}
	assert.DeepEqual(t, got, []int{1, 4, 3, 0, 2})
	_, _, ok := q.Next(start.Add(9))
	assert.Assert(t, ok)
	_, _, ok = q.Next(start.Add(time.Hour))
	assert.Assert(t, !ok)
}
