package load

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestUrgentEventInterval guards against a decision that ignores the event interval that more urgent streams need,
// or that respects the interval of streams that are less urgent, not requested lately, or of unknown length.
func TestUrgentEventInterval(t *testing.T) {
	stream := func(route string, priority int8, left time.Duration) *vetchtrail.Request {
		r := request(route, 3, priority)
		r.Route, r.Stream, r.CallerCanRetry, r.Deadline = route, true, true, now.Add(left)
		return r
	}
	cases := map[string]struct {
		before  []*vetchtrail.Request
		events  map[string]int      // of each response, by route
		request *vetchtrail.Request // for which the interval is estimated
		after   time.Duration       // time from the requests before to this one
		want    float64
	}{
		"nothing was requested": {nil, nil, stream("low", -2, 10*time.Second), 0, 0},
		"a more urgent stream":  {[]*vetchtrail.Request{stream("high", 0, 10*time.Second)}, map[string]int{"high": 40}, stream("low", -2, 10*time.Second), 0, 0.25},
		"the shorter of two":    {[]*vetchtrail.Request{stream("high", 0, 10*time.Second), stream("mid", -1, 10*time.Second)}, map[string]int{"high": 4, "mid": 100}, stream("low", -2, 10*time.Second), 0, 0.1},
		"a less urgent stream":  {[]*vetchtrail.Request{stream("high", -3, 10*time.Second)}, map[string]int{"high": 40}, stream("low", -2, 10*time.Second), 0, 0},
		"no responses yet":      {[]*vetchtrail.Request{stream("high", 0, 10*time.Second)}, nil, stream("low", -2, 10*time.Second), 0, 0},
		"not requested lately":  {[]*vetchtrail.Request{stream("high", 0, 10*time.Second)}, map[string]int{"high": 40}, stream("low", -2, 10*time.Second), streamStatsExpiry + 1, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := twoRegions(0)
			var v vetchtrail.View
			for _, r := range c.before {
				tab.Fill(&v, r, now)
				for range minObservations {
					tab.serviceStats["s"].observeEvents(r.Route, c.events[r.Route])
				}
			}
			tab.Fill(&v, c.request, now.Add(c.after))
			assert.Equal(t, v.UrgentInterval, c.want)
		})
	}
}
