package settings

import (
	"testing"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestBufferBound guards against a bound where the settings ask for none, and against the mechanism's
// switch having no effect.
func TestBufferBound(t *testing.T) {
	off := []vetchtrail.Mechanism{vetchtrail.MechanismBufferLimits}
	cases := map[string]struct {
		limits      Limits
		pressure    bool
		switchedOff []vetchtrail.Mechanism
		want        int
	}{
		"not asked for":                {Limits{Memory: 144}, false, nil, 0},
		"setting":                      {Limits{Memory: 144, Buffers: 20}, false, nil, 20 << 20},
		"pressure":                     {Limits{Memory: 144}, true, nil, 36 << 20},
		"setting before pressure":      {Limits{Memory: 144, Buffers: 20}, true, nil, 20 << 20},
		"pressure without a memory":    {Limits{}, true, nil, 0},
		"setting, switched off":        {Limits{Buffers: 20}, false, off, 0},
		"under pressure, switched off": {Limits{Memory: 144}, true, off, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := Settings{Limits: c.limits, SwitchedOff: c.switchedOff}
			assert.Equal(t, s.BufferBound(c.pressure), c.want)
		})
	}
}

// TestResponseBound guards against responses that are held without a bound on a host whose memory is bounded.
func TestResponseBound(t *testing.T) {
	off := []vetchtrail.Mechanism{vetchtrail.MechanismBufferLimits}
	assert.Equal(t, (&Settings{Limits: Limits{Memory: 144}}).ResponseBound(), 18<<20)
	assert.Equal(t, (&Settings{}).ResponseBound(), 0)
	assert.Equal(t, (&Settings{Limits: Limits{Memory: 144}, SwitchedOff: off}).ResponseBound(), 0)
}
