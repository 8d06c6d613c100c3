package load

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestLife: an endpoint that starts again under its name is believed nothing of its earlier life,
// and what was on its way to that one changes nothing in this.
func TestLife(t *testing.T) {
	first, second := now.Add(-time.Minute), now
	place := func(tab *Table, born time.Time) {
		tab.Configure([]Placed{{Endpoint: vetchtrail.Endpoint{Name: "e000", Service: "s", Slots: 4, Born: born}}})
	}
	cases := map[string]struct {
		then  time.Time // start of the life that is listed next
		keeps bool      // what was believed
		late  int       // in flight after an answer of the first life
	}{
		"the same life":             {first, true, 0},
		"it started again":          {second, false, 1},
		"its start is told no more": {time.Time{}, true, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := New()
			place(tab, first)
			r := &vetchtrail.Request{ID: "a", Service: "s"}
			assert.Assert(t, tab.Acquire("e000", r, now))
			tab.Leave("e000", now.Add(time.Hour))
			tab.Report("e000", vetchtrail.LoadReport{At: now, Running: 9}, now)
			place(tab, c.then)
			why, _ := tab.Bars("e000", now)
			assert.Equal(t, why == "", !c.keeps, "what left before serves now")
			assert.Equal(t, viewOf(tab, now).Running == 9, c.keeps)
			if !c.keeps {
				assert.Assert(t, tab.Acquire("e000", &vetchtrail.Request{ID: "b", Service: "s"}, now))
			}
			o := answered(now)
			o.Request, o.Born = "a", first
			tab.Release("e000", o, now)
			assert.Equal(t, viewOf(tab, now).Own, c.late)
			tab.Started(vetchtrail.Endpoint{Name: "e000", Born: first}, r, now)
			assert.Equal(t, len(tab.endpoints["e000"].streams) > 0, false)
		})
	}
}
