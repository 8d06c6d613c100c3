package load

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestIdleTokenTime guards against an estimate for idle endpoints that follows the waits at busy ones, or that
// doesn't move from its initial value to the speed of the endpoints.
func TestIdleTokenTime(t *testing.T) {
	cases := map[string]struct {
		tokensPerMilli float64 // that an idle endpoint processes in a millisecond
		waits          float64 // share of the requests that wait
	}{
		"slow endpoints":  {56, 0.7},
		"usual endpoints": {112, 0.7},
		"quick endpoints": {250, 0.7},
		"at a peak":       {112, 0.9},
		"no waits":        {112, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(7, 1))
			stats := newPromptStats()
			for range 600 {
				tokens := 1000 + rnd.Float64()*10000
				seconds := tokens / c.tokensPerMilli / 1000
				if rnd.Float64() < c.waits {
					seconds *= 1 + 4*rnd.Float64()
				}
				stats.observe(tokens, seconds)
				stats.observe(50, 0.2) // too short a prompt
			}
			want := 1 / c.tokensPerMilli / 1000
			assert.Assert(t, stats.idleTokenTime > 0.7*want && stats.idleTokenTime < 1.6*want, "%g, not about %g", stats.idleTokenTime, want)
		})
	}
}

// TestCachedShare guards against a cached share of prompts that doesn't follow the observations, or that
// prompts without a shared part change.
func TestCachedShare(t *testing.T) {
	cases := map[string]struct {
		uncached, own, all int
		least, most        float64
	}{
		"all of it cached":  {6000, 6000, 10000, 0.99, 1},
		"nothing cached":    {10000, 6000, 10000, 0, 0.1},
		"half of it cached": {8000, 6000, 10000, 0.45, 0.55},
		"no shared part":    {6000, 6000, 6000, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			stats := newPromptStats()
			for range 200 {
				stats.observeCached(c.uncached, c.own, c.all)
			}
			assert.Assert(t, stats.cachedShare.value >= c.least && stats.cachedShare.value <= c.most, "%g", stats.cachedShare.value)
		})
	}
}
