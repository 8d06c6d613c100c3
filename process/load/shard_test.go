package load

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// divided is the shard of each of n endpoints in two data centres, by name, but for those
// that are left out.
func divided(n int, without ...string) map[string]vetchtrail.Shard {
	left := map[string]bool{}
	for _, name := range without {
		left[name] = true
	}
	var placed []Placed
	for i := range n {
		e := vetchtrail.Endpoint{Name: fmt.Sprintf("e%d", i), Service: "s", Region: "r", DataCentre: fmt.Sprintf("d%d", i%2), Slots: 4}
		if !left[e.Name] {
			placed = append(placed, Placed{Endpoint: e})
		}
	}
	t := New()
	t.Configure(placed)
	out := map[string]vetchtrail.Shard{}
	for name, s := range t.endpoints {
		out[name] = s.shard
	}
	return out
}

// TestDivide: how many endpoints the shards of a data centre hold.
func TestDivide(t *testing.T) {
	cases := map[string]struct {
		endpoints   int // in two data centres
		shards      int
		least, most int
	}{
		"few":  {6, 2, 3, 3},
		"some": {20, 6, 3, 4},
		"many": {102, 26, 3, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			sizes := map[vetchtrail.Shard]int{}
			for _, s := range divided(c.endpoints) {
				sizes[s]++
			}
			assert.Equal(t, len(sizes), c.shards, "%v", sizes)
			for s, n := range sizes {
				assert.Assert(t, n >= c.least && n <= c.most, "%v has %d", s, n)
			}
		})
	}
}

// TestDivideIsStable: an endpoint that goes moves few others to another shard, so that
// few sessions change their owner.
func TestDivideIsStable(t *testing.T) {
	const n = 102
	before, after := divided(n), divided(n, "e7")
	moved := 0
	for name, s := range after {
		if before[name] != s {
			moved++
		}
	}
	assert.Assert(t, moved <= n/8, "%d of %d moved", moved, n)
}

// TestShard: the shard of a request is that of the home of its session, here or in
// another region.
func TestShard(t *testing.T) {
	tab := New()
	near := Placed{Endpoint: vetchtrail.Endpoint{Name: "near", Service: "s", Region: "r", DataCentre: "d", Slots: 4}}
	far := Placed{Endpoint: vetchtrail.Endpoint{Name: "far", Service: "s", Region: "other", DataCentre: "x", Slots: 4}}
	tab.Configure([]Placed{near})
	tab.SetFar([]Placed{far})
	plain := &vetchtrail.Request{Service: "s"}
	cases := map[string]struct {
		request *vetchtrail.Request
		region  string
		want    string // data centre; empty: no shard
	}{
		"in this region":    {asking("a", 5, 0), "r", "d"},
		"in another region": {asking("a", 5, 0), "other", "x"},
		"in none":           {asking("a", 5, 0), "third", ""},
		"without a session": {plain, "r", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s, ok := tab.Shard(c.request, c.region, now)
			assert.Equal(t, ok, c.want != "")
			assert.Equal(t, s.DataCentre, c.want)
		})
	}
}
