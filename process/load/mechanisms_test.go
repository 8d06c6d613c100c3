package load

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestSwitchedOff guards against a switch that does nothing: each mechanism has its effect while it is on, and none
// while it is switched off.
func TestSwitchedOff(t *testing.T) {
	const session = 5
	preferred := preferredName(twoRegions(1e-7), session)
	other := map[string]string{"a": "b", "b": "c", "c": "a"}[preferred]
	third := map[string]string{"a": "c", "b": "a", "c": "b"}[preferred]
	// source is the last byte of the address from which target is to transfer the prompt; 0: none.
	source := func(tab *Table, target string) byte {
		r := request("r", session, 0)
		tab.Acquire(target, r, now)
		if !r.TransferFrom.IsValid() {
			return 0
		}
		return r.TransferFrom.Addr().As4()[3]
	}
	lost := vetchtrail.Observation{Outcome: vetchtrail.Outcome{Kind: vetchtrail.OutcomeUnknown, Reason: vetchtrail.ReasonResponseLost}}
	cases := map[string]struct {
		off       vetchtrail.Mechanism
		hasEffect func(tab *Table) bool
	}{
		"affinity":     {vetchtrail.MechanismAffinity, func(tab *Table) bool { return views(tab, request("x", session, 0))[preferred].CachedTokens > 0 }},
		"prompt moves": {vetchtrail.MechanismCacheTransfer, func(tab *Table) bool { return source(tab, other) > 0 }},
		"far moves":    {vetchtrail.MechanismRemoteCacheTransfer, func(tab *Table) bool { return source(tab, preferred) == 9 }},
		"last sent": {vetchtrail.MechanismTransferFromLastSent, func(tab *Table) bool {
			tab.Acquire(third, request("before", session, 0), now)
			return source(tab, other) == third[0]-'a'+1
		}},
		"backlog": {vetchtrail.MechanismPromptBacklog, func(tab *Table) bool {
			tab.Acquire("a", request("x", session, 0), now)
			return views(tab, request("y", session, 0))["a"].Backlog > 0
		}},
		"silence": {vetchtrail.MechanismSilence, func(tab *Table) bool {
			r := request("x", session, 0)
			r.Stream = true
			tab.Acquire("a", r, now)
			tab.ResponseStarted(vetchtrail.Endpoint{Name: "a"}, r, now)
			_, silent := tab.Silent(vetchtrail.Endpoint{Name: "a"}, now.Add(time.Minute))
			return silent
		}},
		"ejection": {vetchtrail.MechanismEjection, func(tab *Table) bool {
			for range failuresToEject {
				tab.Acquire("a", request("x", session, 0), now)
				tab.Release("a", lost, now)
			}
			return views(tab, request("x", session, 0))["a"].Unavailable
		}},
		"adaptive limits": {vetchtrail.MechanismAdaptiveLimits, func(tab *Table) bool {
			before := views(tab, request("x", session, 0))["a"].InFlightLimit
			tab.Acquire("a", request("x", session, 0), now)
			tab.Release("a", vetchtrail.Observation{Outcome: vetchtrail.Outcome{Reason: vetchtrail.ReasonEndpointRefused, RetryAt: now}}, now)
			return views(tab, request("x", session, 0))["a"].InFlightLimit < before
		}},
		"uneven endpoints": {vetchtrail.MechanismUnevenEndpoints, func(tab *Table) bool {
			tab.SetPlacesBySpeed(true)
			before := views(tab, request("x", session, 0))["a"].Prefill
			tab.LoadReported(vetchtrail.Endpoint{Name: "a"}, vetchtrail.LoadReport{TakenAt: now, Slowdown: 2})
			return views(tab, request("x", session, 0))["a"].Prefill > before
		}},
		"warm up": {vetchtrail.MechanismWarmUp, func(tab *Table) bool {
			before := views(tab, request("x", session, 0))["a"].InFlightLimit
			tab.MarkUnreachable("a", now, nil)
			return views(tab, request("x", session, 0))["a"].InFlightLimit < before
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			on, off := twoRegions(1e-7), twoRegions(1e-7)
			off.SetSwitchedOff(vetchtrail.MechanismsOf(c.off))
			for _, tab := range []*Table{on, off} {
				for i := range minFitObservations {
					tab.serviceStats["s"].prefillFit.observe(float64(1000*(i+1)), 0.01*float64(i+1))
				}
			}
			assert.Assert(t, c.hasEffect(on), "no effect while on")
			assert.Assert(t, !c.hasEffect(off), "an effect while off")
		})
	}
}
