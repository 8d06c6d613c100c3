package load

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestSwitchedOff: each mechanism of the table shows where it is on, and not where it
// is off.
func TestSwitchedOff(t *testing.T) {
	const session = 5
	at := home(models(1e-7), session)
	other := map[string]string{"a": "b", "b": "c", "c": "a"}[at]
	third := map[string]string{"a": "c", "b": "a", "c": "b"}[at]
	from := func(tab *Table, target string) byte {
		r := asking("r", session, 0)
		tab.Acquire(target, r, now)
		if !r.PromptFrom.IsValid() {
			return 0
		}
		return r.PromptFrom.Addr().As4()[3]
	}
	lost := vetchtrail.Observation{Outcome: vetchtrail.Outcome{Kind: vetchtrail.Unknown, Reason: vetchtrail.ReasonLost}}
	cases := map[string]struct {
		off  vetchtrail.Mechanism
		does func(tab *Table) bool // true while it is on
	}{
		"affinity":     {vetchtrail.Affinity, func(tab *Table) bool { return views(tab, asking("x", session, 0))[at].Kept > 0 }},
		"prompt moves": {vetchtrail.PromptMoves, func(tab *Table) bool { return from(tab, other) > 0 }},
		"far moves":    {vetchtrail.FarMoves, func(tab *Table) bool { return from(tab, at) == 9 }},
		"last sent": {vetchtrail.LastSent, func(tab *Table) bool {
			tab.Acquire(third, asking("before", session, 0), now)
			return from(tab, other) == third[0]-'a'+1
		}},
		"backlog": {vetchtrail.PromptBacklog, func(tab *Table) bool {
			tab.Acquire("a", asking("x", session, 0), now)
			return views(tab, asking("y", session, 0))["a"].Backlog > 0
		}},
		"silence": {vetchtrail.Silence, func(tab *Table) bool {
			r := asking("x", session, 0)
			r.Stream = true
			tab.Acquire("a", r, now)
			tab.Started(vetchtrail.Endpoint{Name: "a"}, r, now)
			return tab.Silent(vetchtrail.Endpoint{Name: "a"}, now.Add(time.Minute))
		}},
		"ejection": {vetchtrail.Ejection, func(tab *Table) bool {
			for range failuresTo {
				tab.Acquire("a", asking("x", session, 0), now)
				tab.Release("a", lost, now)
			}
			return views(tab, asking("x", session, 0))["a"].Away
		}},
		"adaptive limits": {vetchtrail.AdaptiveLimits, func(tab *Table) bool {
			before := views(tab, asking("x", session, 0))["a"].Limit
			tab.Acquire("a", asking("x", session, 0), now)
			tab.Release("a", vetchtrail.Observation{Outcome: vetchtrail.Outcome{Reason: vetchtrail.ReasonRefused, RetryAt: now}}, now)
			return views(tab, asking("x", session, 0))["a"].Limit < before
		}},
		"warm up": {vetchtrail.WarmUp, func(tab *Table) bool {
			before := views(tab, asking("x", session, 0))["a"].Limit
			tab.Down("a", now)
			return views(tab, asking("x", session, 0))["a"].Limit < before
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			on, off := models(1e-7), models(1e-7)
			off.SwitchOff(vetchtrail.MechanismsOf(c.off))
			for _, tab := range []*Table{on, off} {
				for i := range fitFew {
					tab.means["s"].prefill.observe(float64(1000*(i+1)), 0.01*float64(i+1))
				}
			}
			assert.Assert(t, c.does(on), "it is on")
			assert.Assert(t, !c.does(off), "it is off")
		})
	}
}
