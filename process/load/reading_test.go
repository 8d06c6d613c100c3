package load

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestIdleRead: the time that an idle endpoint takes for a token is learnt from
// answers of which most have waited, whatever the speed of the endpoints.
func TestIdleRead(t *testing.T) {
	cases := map[string]struct {
		perMilli float64 // tokens that an idle endpoint reads in a millisecond
		waits    float64 // part of the requests that wait
	}{
		"slow endpoints":  {56, 0.7},
		"usual endpoints": {112, 0.7},
		"quick endpoints": {250, 0.7},
		"at a peak":       {112, 0.9},
		"nothing to do":   {112, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(7, 1))
			r := newReading()
			for range 600 {
				tokens := 1000 + rnd.Float64()*10000
				seconds := tokens / c.perMilli / 1000
				if rnd.Float64() < c.waits {
					seconds *= 1 + 4*rnd.Float64()
				}
				r.observe(tokens, seconds)
				r.observe(50, 0.2) // too short to tell
			}
			want := 1 / c.perMilli / 1000
			assert.Assert(t, r.idle > 0.7*want && r.idle < 1.6*want, "%g, not about %g", r.idle, want)
		})
	}
}

// TestKeptShare: how much of the shared parts endpoints hold follows what was sent
// where.
func TestKeptShare(t *testing.T) {
	cases := map[string]struct {
		unread, own, all int
		low, high        float64
	}{
		"all is held":         {6000, 6000, 10000, 0.99, 1},
		"nothing is":          {10000, 6000, 10000, 0, 0.1},
		"half is":             {8000, 6000, 10000, 0.45, 0.55},
		"there is none to be": {6000, 6000, 6000, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newReading()
			for range 200 {
				r.observeKept(c.unread, c.own, c.all)
			}
			assert.Assert(t, r.kept.value >= c.low && r.kept.value <= c.high, "%g", r.kept.value)
		})
	}
}
