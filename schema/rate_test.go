package schema

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestRateLimit checks that a rate limit has the same age after it was sent to a
// host whose clock differs, and that a message with an impossible rate or age is
// an error. A wrong age would let an old limit replace a newer one.
func TestRateLimit(t *testing.T) {
	sent := time.Unix(1_800_000_000, 0)
	arrived := sent.Add(time.Hour) // on the receiver's clock
	startedAt := sent.Add(-time.Minute)
	l := vetchtrail.RateLimit{Advertised: true, Rate: 1.9, RequestedAt: sent.Add(-3 * time.Second), ReceivedAt: sent.Add(-2 * time.Second)}
	got, gotStartedAt, err := ToRateLimit(FromRateLimit("e", startedAt, l, sent), arrived)
	assert.NilError(t, err)
	assert.Equal(t, got, vetchtrail.RateLimit{Advertised: true, Rate: 1.9, RequestedAt: arrived.Add(-3 * time.Second), ReceivedAt: arrived.Add(-2 * time.Second)})
	assert.Assert(t, gotStartedAt.Equal(startedAt))
	_, gotStartedAt, err = ToRateLimit(FromRateLimit("e", time.Time{}, l, sent), arrived)
	assert.NilError(t, err)
	assert.Assert(t, gotStartedAt.IsZero())
	for name, change := range map[string]func(m *EndpointRate){
		"negative":                  func(m *EndpointRate) { m.Rate = -1 },
		"not a number":              func(m *EndpointRate) { m.Rate = math.NaN() },
		"infinite":                  func(m *EndpointRate) { m.Rate = math.Inf(1) },
		"received before requested": func(m *EndpointRate) { m.HeardAge = m.AskedAge + 1 },
		"received in the future":    func(m *EndpointRate) { m.HeardAge = -1 },
		"older than a year":         func(m *EndpointRate) { m.AskedAge = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			m := FromRateLimit("e", startedAt, l, sent)
			change(m)
			_, _, err := ToRateLimit(m, arrived)
			assert.Assert(t, err != nil)
		})
	}
}
