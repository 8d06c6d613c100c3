package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestCapacity guards against a capacity that doesn't follow the tighter of link and processor,
// or that is 0 for a host whose settings give one of them.
func TestCapacity(t *testing.T) {
	cases := map[string]struct {
		limits Limits
		want   uint32
	}{
		"neither given":     {Limits{}, 0},
		"a narrow link":     {Limits{Link: 10, Processor: 0.192}, 110},
		"a wide link":       {Limits{Link: 200, Processor: 0.8}, 2219},
		"a slow processor":  {Limits{Link: 1000, Processor: 0.4}, 2000},
		"only the link":     {Limits{Link: 20}, 221},
		"below one request": {Limits{Link: 0.001}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, c.limits.Capacity(), c.want) })
	}
}
