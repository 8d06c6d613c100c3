package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/schema"
)

// TestHostsDrawnByCapacity guards against hosts with narrow links that are sent as many
// requests as those with wide ones, and against callers that are given too few hosts. It
// checks how many hosts a caller is given on average, and which share of the requests each
// host is sent if callers pick at random among the hosts that they are given.
func TestHostsDrawnByCapacity(t *testing.T) {
	cases := map[string]struct {
		wideCapacity, narrowCapacity uint32
		wideHosts, narrowHosts       int
		drawn                        float64 // mean number of hosts that a caller is given
		minWide, maxNarrow           float64 // bounds of the share of requests of a wide and a narrow host
	}{
		"two wide hosts among twelve":  {2200, 110, 2, 10, 4, 0.24, 0.06},
		"three wide hosts among fifty": {2200, 220, 3, 48, 7.9, 0.12, 0.015},
		"same capacity":                {110, 110, 2, 10, 12, 0.08, 0.09},
		"no capacity reported":         {0, 0, 2, 1, 3, 0.32, 0.34},
		"fewer hosts than minDrawn":    {2200, 110, 1, 2, 3, 0.33, 0.34},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var hosts []vetchtrail.Host
			for i := range c.wideHosts {
				hosts = append(hosts, vetchtrail.Host{Name: fmt.Sprint("wide", i), Capacity: c.wideCapacity})
			}
			for i := range c.narrowHosts {
				hosts = append(hosts, vetchtrail.Host{Name: fmt.Sprint("narrow", i), Capacity: c.narrowCapacity})
			}
			rnd := rand.New(rand.NewPCG(1, 2))
			const draws = 4000
			shares, total := map[string]float64{}, 0
			for range draws {
				got := drawHosts(hosts, rnd.Float64)
				total += len(got)
				for _, h := range got {
					shares[h.Name] += 1 / float64(len(got)) / draws
				}
			}
			mean := float64(total) / draws
			assert.Assert(t, mean > c.drawn*0.95 && mean < c.drawn*1.05, "%.2f hosts drawn", mean)
			assert.Assert(t, shares["wide0"] >= c.minWide, "a wide host takes %.3f of the requests", shares["wide0"])
			assert.Assert(t, shares["narrow0"] <= c.maxNarrow, "a narrow host takes %.3f of the requests", shares["narrow0"])
		})
	}
	assert.Equal(t, len(drawHosts(nil, rand.Float64)), 0)
}

// TestDrawMember guards against forwards that are spread evenly over hosts of different
// capacities. A host that reported none counts as one of capacity 1.
func TestDrawMember(t *testing.T) {
	entries := []*schema.Member{{Name: "wide", Capacity: 900}, {Name: "narrow", Capacity: 100}, {Name: "unreported"}}
	rnd := rand.New(rand.NewPCG(1, 2))
	got := map[string]int{}
	for range 10_000 {
		got[drawMember(entries, rnd.Float64()).GetName()]++
	}
	assert.Assert(t, got["wide"] > 8_800 && got["wide"] < 9_150, "%v", got)
	assert.Assert(t, got["unreported"] < 40, "%v", got)
	assert.Equal(t, drawMember(entries, 1).GetName(), "unreported")
}

// TestRankByCapacity guards against tasks that are assigned evenly to hosts of different
// capacities, and against tasks that move between the other hosts when one host is lost.
func TestRankByCapacity(t *testing.T) {
	hosts := []vetchtrail.Host{{Name: "a", Capacity: 2000}, {Name: "b", Capacity: 100}, {Name: "c", Capacity: 100}}
	first := func(task string, candidates []vetchtrail.Host) string {
		best := candidates[0]
		for _, h := range candidates[1:] {
			if rankKey(task, &h, 1) < rankKey(task, &best, 1) {
				best = h
			}
		}
		return best.Name
	}
	tasksOfA := 0
	for i := range 2000 {
		task := fmt.Sprint("duty ", i)
		all := first(task, hosts)
		if all == "a" {
			tasksOfA++
		}
		if withoutC := first(task, hosts[:2]); all != "c" {
			assert.Equal(t, withoutC, all)
		}
	}
	assert.Assert(t, tasksOfA > 1750 && tasksOfA < 1880, "%d of 2000 tasks have a as their first host", tasksOfA)
}

// TestHeavyTaskAvoidsNarrowHosts guards against a heavy task that falls to a host with a narrow link because there are many of them.
func TestHeavyTaskAvoidsNarrowHosts(t *testing.T) {
	hosts := make([]vetchtrail.Host, 0, 340)
	for i := range cap(hosts) {
		h := vetchtrail.Host{Name: fmt.Sprint("h", i), Capacity: 222}
		if i%17 == 0 {
			h.Capacity = 2219
		}
		hosts = append(hosts, h)
	}
	const tasks = 500
	narrowFirst, narrowUsual := 0, 0
	for i := range tasks {
		task := fmt.Sprint("duty ", i)
		RankHosts(task, hosts)
		if hosts[0].Capacity < 1000 {
			narrowFirst++
		}
		usual := slices.MinFunc(hosts, func(a, b vetchtrail.Host) int { return cmp.Compare(rankKey(task, &a, 1), rankKey(task, &b, 1)) })
		if usual.Capacity < 1000 {
			narrowUsual++
		}
	}
	assert.Assert(t, narrowFirst < tasks/20, "%d of %d heavy tasks", narrowFirst, tasks)
	assert.Assert(t, narrowUsual > tasks/3, "%d of %d usual tasks", narrowUsual, tasks)
}

// TestHeavyTaskOrderOfEqualHosts guards against a heavy task that ranks hosts of the same capacity differently.
func TestHeavyTaskOrderOfEqualHosts(t *testing.T) {
	hosts := make([]vetchtrail.Host, 0, 22)
	for i := range cap(hosts) {
		hosts = append(hosts, vetchtrail.Host{Name: fmt.Sprint("h", i), Capacity: 2000})
	}
	RankHosts("x", hosts)
	assert.Assert(t, slices.IsSortedFunc(hosts, func(a, b vetchtrail.Host) int { return cmp.Compare(rankKey("x", &a, 1), rankKey("x", &b, 1)) }))
}
