package load

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestPredictionRatio guards against a ratio of observed to predicted times that a few long waits distort, that
// leaves its bounds, or that requests without a stream or a prediction change.
func TestPredictionRatio(t *testing.T) {
	cases := map[string]struct {
		ratios      []float64 // of the observed to the predicted time, repeated
		events      int
		predicted   time.Duration
		least, most float64
	}{
		"as predicted":            {[]float64{0.95, 1.05}, 3, time.Second, 0.93, 1.07},
		"a few wait long":         {[]float64{0.3, 0.3, 0.3, 0.3, 5}, 3, time.Second, 0.28, 0.32},
		"predicted far too long":  {[]float64{0.01}, 3, time.Second, minPredictionRatio, minPredictionRatio},
		"predicted far too short": {[]float64{9}, 3, time.Second, maxPredictionRatio, maxPredictionRatio},
		"no streams":              {[]float64{0.3}, 0, time.Second, 1, 1},
		"nothing was predicted":   {[]float64{0.3}, 3, 0, 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := twoRegions(0)
			for i := range 600 {
				first := time.Duration(c.ratios[i%len(c.ratios)] * float64(time.Second))
				tab.Acquire("a", request("x", 1, 0), now)
				tab.Release("a", vetchtrail.Observation{
					Request: "x", PredictedFirstByte: c.predicted, Outcome: vetchtrail.Outcome{Kind: vetchtrail.OutcomeAnswered, Status: 200, Events: c.events},
					Timing: vetchtrail.Timing{Sent: now, FirstByte: now.Add(first), Done: now.Add(first + time.Second)},
				}, now)
			}
			var v vetchtrail.View
			tab.Fill(&v, request("y", 1, 0), now)
			assert.Assert(t, v.PredictionRatio >= c.least && v.PredictionRatio <= c.most, "%v", v.PredictionRatio)
		})
	}
}
