package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/schema"
)

// TestNamed: how often hosts of a data centre are named to callers, by their capacities, and
// what part of the callers' requests each then takes.
func TestNamed(t *testing.T) {
	cases := map[string]struct {
		wide, narrow       uint32 // capacities
		wides, narrows     int    // hosts of each
		named              float64
		wideLeast, eachMax float64 // least part of a wide host, most of a narrow one
	}{
		"two wide among twelve": {2200, 110, 2, 10, 4, 0.24, 0.06},
		"three among fifty":     {2200, 220, 3, 48, 7.9, 0.12, 0.015},
		"all alike":             {110, 110, 2, 10, 12, 0.08, 0.09},
		"none told":             {0, 0, 2, 1, 3, 0.32, 0.34},
		"few":                   {2200, 110, 1, 2, 3, 0.33, 0.34},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var hosts []vetchtrail.Host
			for i := range c.wides {
				hosts = append(hosts, vetchtrail.Host{Name: fmt.Sprint("wide", i), Capacity: c.wide})
			}
			for i := range c.narrows {
				hosts = append(hosts, vetchtrail.Host{Name: fmt.Sprint("narrow", i), Capacity: c.narrow})
			}
			rnd := rand.New(rand.NewPCG(1, 2))
			const answers = 4000
			parts, total := map[string]float64{}, 0
			for range answers {
				got := named(hosts, rnd.Float64)
				total += len(got)
				for _, h := range got {
					parts[h.Name] += 1 / float64(len(got)) / answers
				}
			}
			mean := float64(total) / answers
			assert.Assert(t, mean > c.named*0.95 && mean < c.named*1.05, "%.2f named", mean)
			assert.Assert(t, parts["wide0"] >= c.wideLeast, "a wide host takes %.3f", parts["wide0"])
			assert.Assert(t, parts["narrow0"] <= c.eachMax, "a narrow host takes %.3f", parts["narrow0"])
		})
	}
	assert.Equal(t, len(named(nil, rand.Float64)), 0)
}

// TestDrawMember: requests that are passed on go to hosts by their capacities.
func TestDrawMember(t *testing.T) {
	lines := []*schema.Member{{Name: "wide", Capacity: 900}, {Name: "narrow", Capacity: 100}, {Name: "untold"}}
	rnd := rand.New(rand.NewPCG(1, 2))
	got := map[string]int{}
	for range 10_000 {
		got[drawMember(lines, rnd.Float64()).GetName()]++
	}
	assert.Assert(t, got["wide"] > 8_800 && got["wide"] < 9_150, "%v", got)
	assert.Assert(t, got["untold"] < 40, "%v", got)
	assert.Equal(t, drawMember(lines, 1).GetName(), "untold")
}

// TestRankByCapacity: duties fall to hosts by their capacities, and when one is lost only its
// own move.
func TestRankByCapacity(t *testing.T) {
	hosts := []vetchtrail.Host{{Name: "a", Capacity: 2000}, {Name: "b", Capacity: 100}, {Name: "c", Capacity: 100}}
	first := func(duty string, of []vetchtrail.Host) string {
		best := of[0]
		for _, h := range of[1:] {
			if lateness(duty, &h) < lateness(duty, &best) {
				best = h
			}
		}
		return best.Name
	}
	wide := 0
	for i := range 2000 {
		duty := fmt.Sprint("duty ", i)
		all := first(duty, hosts)
		if all == "a" {
			wide++
		}
		if without := first(duty, hosts[:2]); all != "c" {
			assert.Equal(t, without, all)
		}
	}
	assert.Assert(t, wide > 1750 && wide < 1880, "%d of 2000", wide)
}
