package recent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMap guards against entries that are dropped before their time, or kept for ever.
func TestMap(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	cases := map[string]struct {
		puts map[int]int // key by second
		at   int         // second of the last Put
		want map[int]bool
	}{
		"within the time":         {map[int]int{0: 1, 30: 2}, 59, map[int]bool{1: true, 2: true}},
		"at least the time":       {map[int]int{0: 1, 59: 2}, 100, map[int]bool{1: true, 2: true}},
		"at most twice the time":  {map[int]int{0: 1, 61: 2}, 122, map[int]bool{1: false, 2: true}},
		"stored again meanwhile":  {map[int]int{0: 1, 65: 1}, 123, map[int]bool{1: true}},
		"nothing stored for long": {map[int]int{0: 1}, 500, map[int]bool{1: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := Map[int, int]{TTL: time.Minute, Limit: 100}
			for second := range c.at {
				if key, ok := c.puts[second]; ok {
					m.Put(key, second, start.Add(time.Duration(second)*time.Second))
				}
			}
			m.Put(-1, c.at, start.Add(time.Duration(c.at)*time.Second))
			for key, want := range c.want {
				_, got := m.Get(key)
				assert.Equal(t, got, want, "key %d", key)
			}
		})
	}
}

// TestMapLimit guards against a map that grows beyond its limit.
func TestMapLimit(t *testing.T) {
	m := Map[int, int]{TTL: time.Minute, Limit: 100}
	for n := range 1000 {
		m.Put(n, n, time.Unix(1_800_000_000, 0))
		assert.Assert(t, m.Len() <= 100)
	}
	sum := 0
	for key := range m.All() {
		assert.Assert(t, key >= 900)
		sum++
	}
	assert.Equal(t, sum, m.Len())
}
