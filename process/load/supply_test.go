package load

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestSupply guards against a supply that counts endpoints which can't be used, or counts those in
// their cold start or under a rate limit as full ones.
func TestSupply(t *testing.T) {
	const tokenSeconds, requestWork = 1e-4, 1000.0
	const whole = 1 / tokenSeconds
	for name, test := range map[string]struct {
		change func(tab *Table, s *endpointState)
		want   float64 // of two endpoints, the first of which is changed
	}{
		"both":                     {func(*Table, *endpointState) {}, 2 * whole},
		"one drains":               {func(_ *Table, s *endpointState) { s.Draining = true }, whole},
		"one ejected":              {func(_ *Table, s *endpointState) { s.ejectedUntil = now.Add(time.Second) }, whole},
		"one limited":              {func(_ *Table, s *endpointState) { s.rateLimit = vetchtrail.RateLimit{Advertised: true, Rate: 2} }, whole + 2*requestWork},
		"one backs off":            {func(_ *Table, s *endpointState) { s.backOffUntil = now.Add(time.Second) }, whole},
		"one unreachable":          {func(tab *Table, _ *endpointState) { failConnections(tab, 0, 1, now) }, whole},
		"none reachable from here": {func(tab *Table, _ *endpointState) { failConnections(tab, 0, 2, now) }, 2 * whole},
		"one in its cold start, without a share of this host": {func(_ *Table, s *endpointState) {
			s.totalColdRate = 3
			s.coldStart.configure(now.Add(time.Minute), -1)
		}, whole + 3*requestWork},
	} {
		t.Run(name, func(t *testing.T) {
			tab := table(2)
			svc := tab.serviceStats["s"]
			for i := range 50 {
				svc.prefillFit.observe(float64(1000*i), tokenSeconds*float64(1000*i))
			}
			svc.promptStats.idleTokenTime = tokenSeconds
			svc.uncachedTokens = average{value: requestWork}
			test.change(tab, tab.endpoints["e000"])
			got := tab.Supply("s", now).Rate
			assert.Assert(t, math.Abs(got-test.want) < 0.02*test.want, "%f", got)
		})
	}
	assert.Equal(t, table(2).Supply("s", now).Rate, 0.0, "nothing is known yet")
}
