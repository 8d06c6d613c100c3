package load

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestRestartedEndpoint guards against state that survives a restart. An endpoint that starts again under its
// name keeps neither the load of the earlier process instance nor its state as leaving. The outcome of a request to
// the earlier instance doesn't change the requests in flight at the present one.
func TestRestartedEndpoint(t *testing.T) {
	first, second := now.Add(-time.Minute), now
	configure := func(tab *Table, startedAt time.Time) {
		tab.Configure([]EndpointInRegion{{Endpoint: vetchtrail.Endpoint{Name: "e000", Service: "s", Slots: 4, Born: startedAt}}})
	}
	cases := map[string]struct {
		next time.Time // start of the instance that is configured next
		kept bool      // the state of the first instance is kept
		late int       // requests in flight after a late response of the first instance
	}{
		"the same instance":        {first, true, 0},
		"a new instance":           {second, false, 1},
		"start not known any more": {time.Time{}, true, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := New()
			configure(tab, first)
			r := &vetchtrail.Request{ID: "a", Service: "s"}
			assert.Assert(t, tab.Acquire("e000", r, now))
			tab.MarkLeaving("e000", now.Add(time.Hour))
			tab.RecordReport("e000", vetchtrail.LoadReport{TakenAt: now, Running: 9}, now)
			configure(tab, c.next)
			reason, _ := tab.Blocked("e000", now)
			assert.Equal(t, reason == "", !c.kept, "only the first instance was leaving")
			assert.Equal(t, viewOf(tab, now).Running == 9, c.kept)
			if !c.kept {
				assert.Assert(t, tab.Acquire("e000", &vetchtrail.Request{ID: "b", Service: "s"}, now))
			}
			o := answered(now)
			o.Request, o.StartedAt = "a", first
			tab.Release("e000", o, now)
			assert.Equal(t, viewOf(tab, now).InFlight, c.late)
			tab.ResponseStarted(vetchtrail.Endpoint{Name: "e000", Born: first}, r, now)
			assert.Equal(t, len(tab.endpoints["e000"].startedStreams) > 0, false)
		})
	}
}
