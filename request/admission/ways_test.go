package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWays compares today's rules, delay-based control and shares of the region on the same load.
// It guards against shares that lose goodput to another way, at any load or with a fault, and that
// treat a workspace or a kind of request unfairly.
func TestWays(t *testing.T) {
	const (
		minGoodput   = 0.9  // of the best way's
		minWorkspace = 0.9  // of its fair share
		minKind      = 0.25 // of the mean
		end          = 22 * time.Second
		// fairEnd is the end of the run that measures workspaces. In a shorter one, the number of
		// requests of each differs too much by chance.
		fairEnd = 100 * time.Second
	)
	delay := func(seed uint64) Controller { return NewDelayControl(seed) }
	shares := func(seed uint64) Controller { return NewRegionShares(seed) }
	for name, test := range map[string]struct {
		load  float64
		fault func(*model)
	}{
		"0.5 times the capacity": {load: 0.5},
		"1 times the capacity":   {load: 1},
		"1.5 times the capacity": {load: 1.5},
		"2 times the capacity":   {load: 2},
		"3 times the capacity":   {load: 3},
		"5 times the capacity":   {load: 5},
		"half of the endpoints lost": {3, func(m *model) {
			for i := range endpointCount / 2 {
				m.endpoints[i].lost = true
			}
		}},
		"a third of the messages lost": {3, func(m *model) { m.lossRate = 1.0 / 3 }},
		"a third of the hosts killed": {3, func(m *model) {
			for i := range hostCount / 3 {
				m.hosts[i].lost = true
			}
		}},
		"the region cut in two": {3, func(m *model) { m.cutOff = true }},
	} {
		t.Run(name, func(t *testing.T) {
			best := 0.0
			for _, w := range []way{nil, delay} {
				r := run(w, test.load, end, test.fault).result()
				t.Logf("%-8s %s", map[bool]string{true: "today", false: "delay"}[w == nil], r)
				best = max(best, r.goodput)
			}
			r := run(shares, test.load, end, test.fault).result()
			t.Logf("%-8s %s", "shares", r)
			assert.Assert(t, r.goodput > minGoodput*max(best, r.goodput))
		})
	}
	r := run(shares, 3, fairEnd, nil).result()
	t.Logf("shares at 3 times the capacity for %s: %s", fairEnd, r)
	assert.Assert(t, r.workspace > minWorkspace)
	assert.Assert(t, r.kind > minKind)
}
