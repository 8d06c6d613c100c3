package endpoint

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestNextPartBy guards against an unrouted response that is ended for a stall before its
// deadline, and against one that is never ended after it.
func TestNextPartBy(t *testing.T) {
	now := time.Now()
	cases := map[string]struct{ deadline, by time.Time }{
		"before the deadline":  {now.Add(10 * time.Minute), now.Add(10 * time.Minute)},
		"past the deadline":    {now.Add(-time.Second), now.Add(stallTimeout)},
		"deadline within 30 s": {now.Add(time.Second), now.Add(stallTimeout)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a := &attempt{req: &vetchtrail.Request{Deadline: c.deadline}}
			assert.Equal(t, a.nextPartBy(now), c.by)
		})
	}
}
