package load

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestUrgentPace: a request hears of the pace that more urgent kinds of stream need,
// while they are asked for and it is known how long they are.
func TestUrgentPace(t *testing.T) {
	stream := func(route string, priority int8, left time.Duration) *vetchtrail.Request {
		r := asking(route, 3, priority)
		r.Route, r.Stream, r.Fresh, r.Deadline = route, true, true, now.Add(left)
		return r
	}
	cases := map[string]struct {
		before []*vetchtrail.Request
		events map[string]int // of their answers
		of     *vetchtrail.Request
		after  time.Duration
		want   float64
	}{
		"nothing was asked":     {nil, nil, stream("low", -2, 10*time.Second), 0, 0},
		"a more urgent kind":    {[]*vetchtrail.Request{stream("high", 0, 10*time.Second)}, map[string]int{"high": 40}, stream("low", -2, 10*time.Second), 0, 0.25},
		"the tightest of two":   {[]*vetchtrail.Request{stream("high", 0, 10*time.Second), stream("mid", -1, 10*time.Second)}, map[string]int{"high": 4, "mid": 100}, stream("low", -2, 10*time.Second), 0, 0.1},
		"a less urgent kind":    {[]*vetchtrail.Request{stream("high", -3, 10*time.Second)}, map[string]int{"high": 40}, stream("low", -2, 10*time.Second), 0, 0},
		"no answers seen yet":   {[]*vetchtrail.Request{stream("high", 0, 10*time.Second)}, nil, stream("low", -2, 10*time.Second), 0, 0},
		"not asked for of late": {[]*vetchtrail.Request{stream("high", 0, 10*time.Second)}, map[string]int{"high": 40}, stream("low", -2, 10*time.Second), kindFades + 1, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := models(0)
			var v vetchtrail.View
			for _, r := range c.before {
				tab.Fill(&v, r, now)
				for range fewSeen {
					tab.means["s"].sawEvents(r.Route, c.events[r.Route])
				}
			}
			tab.Fill(&v, c.of, now.Add(c.after))
			assert.Equal(t, v.UrgentPace, c.want)
		})
	}
}
