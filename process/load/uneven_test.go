package load

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestExpectedSlowdown guards against work that is predicted by an outdated report, or by a short period that it
// outlasts.
func TestExpectedSlowdown(t *testing.T) {
	cases := map[string]struct {
		age      time.Duration
		seconds  float64
		min, max float64
	}{
		"short work, a new report": {0, 0, 2.5, 2.5},
		"short work, some age":     {500 * time.Millisecond, 0, 1.6, 1.7}, // 1.2 + 1.3/e
		"an old report":            {time.Minute, 0, 1.2, 1.201},
		"work of a period":         {0, 0.5, 2.0, 2.05}, // 1.2 + 1.3(1-1/e)
		"work of many periods":     {0, 50, 1.2, 1.22},
		"a report from the future": {-time.Second, 0, 2.5, 2.5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := slowdown{reported: 2.5, at: now.Add(-c.age), mean: 1.2}
			got := s.expected(c.seconds, 0.5, now)
			assert.Assert(t, got >= c.min && got <= c.max, "%.3f", got)
		})
	}
}

// TestSpeedAfterRestart guards against the speed of an earlier process instance that still counts after a restart,
// from this host's observations or in late messages of other hosts.
func TestSpeedAfterRestart(t *testing.T) {
	listed := func(born time.Time) []EndpointInRegion {
		return []EndpointInRegion{{Endpoint: vetchtrail.Endpoint{Name: "a", Service: "s", Slots: 4, Born: born}}}
	}
	tab := New()
	tab.SetPlacesBySpeed(true)
	report := func(at time.Time) {
		tab.RecordReport("a", vetchtrail.LoadReport{TakenAt: at, Slowdown: 1}, time.Time{})
	}
	speed := func() float64 { return tab.endpoints["a"].uneven.speed.value }
	tab.Configure(listed(now))
	report(now)
	for i := range 12 {
		tab.RecordPeerSpeed(fmt.Sprint("h", i), NameHash("a"), 0.5, 50, now)
	}
	assert.Assert(t, math.Abs(speed()-0.5) < 0.05, "%.2f", speed())
	restart := now.Add(time.Minute)
	tab.Configure(listed(restart))
	report(restart)
	assert.Equal(t, speed(), 1.0, "the earlier instance's")
	tab.RecordPeerSpeed("h1", NameHash("a"), 0.5, 50, restart)
	assert.Equal(t, speed(), 1.0, "a late message")
	tab.RecordPeerSpeed("h1", NameHash("a"), 2, 50, restart.Add(2*restartGrace))
	assert.Assert(t, speed() > 1.5, "%.2f", speed())
}

// TestPeerSpeeds guards against memory that grows with the hosts, bad values of other hosts, and few observations
// that count as much as many.
func TestPeerSpeeds(t *testing.T) {
	s := speed{value: 1}
	for i := range uint32(10 * maxPeerSpeeds) {
		s.recordPeer(peerSpeed{from: i, count: 1, logMean: math.Log(2), receivedAt: now})
	}
	assert.Equal(t, len(s.peers), maxPeerSpeeds)
	few := speed{value: 1}
	few.observe(2, now)
	assert.Assert(t, few.value > 1 && few.value < math.Sqrt2, "%.2f: one observation counts as much as the service's speed", few.value)
	tab := twoRegions(0)
	tab.LoadReported(vetchtrail.Endpoint{Name: "a"}, vetchtrail.LoadReport{TakenAt: now, Slowdown: 1})
	for _, bad := range []float64{0, -1, math.NaN()} {
		tab.RecordPeerSpeed("h", NameHash("a"), bad, 50, now)
	}
	assert.Equal(t, tab.endpoints["a"].uneven.speed.value, 1.0)
	tab.RecordPeerSpeed("h", NameHash("a"), math.Inf(1), 1<<30, now)
	assert.Assert(t, tab.endpoints["a"].uneven.speed.value <= maxSpeed)
}

// TestQueueIntervals guards against the event interval of an idle endpoint that is assumed at one with a queue, where
// this host has no streams, and against a change where it isn't in force.
func TestQueueIntervals(t *testing.T) {
	cases := map[string]struct {
		setUp    func(tab *Table)
		queued   int
		min, max float64 // expected interval in seconds
	}{
		"in force, a queue":       {func(tab *Table) { tab.SetQueueIntervals("s", true) }, 5, 0.16, 0.18},
		"in force, no queue":      {func(tab *Table) { tab.SetQueueIntervals("s", true) }, 0, 0.02, 0.04},
		"in force, a short queue": {func(tab *Table) { tab.SetQueueIntervals("s", true) }, 1, 0.02, 0.18}, // never observed
		"not in force":            {func(*Table) {}, 5, 0.05, 0.15},
		"no longer in force":      {func(tab *Table) { tab.SetQueueIntervals("s", true); tab.SetQueueIntervals("s", false) }, 5, 0.05, 0.15},
		"an endpoint's slowdown": {func(tab *Table) {
			tab.LoadReported(vetchtrail.Endpoint{Name: "b"}, vetchtrail.LoadReport{TakenAt: now, Slowdown: 1})
		}, 5, 0.16, 0.18},
		"the mechanism is switched off": {func(tab *Table) {
			tab.SetQueueIntervals("s", true)
			tab.SetSwitchedOff(vetchtrail.MechanismsOf(vetchtrail.MechanismUnevenEndpoints))
		}, 5, 0.05, 0.15},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := twoRegions(0)
			c.setUp(tab)
			observed := vetchtrail.Endpoint{Name: "a"}
			for i := range 200 {
				at := now.Add(time.Duration(i) * 10 * time.Millisecond)
				queued, interval := 0, 30*time.Millisecond
				if i%2 == 1 {
					queued, interval = 6, 170*time.Millisecond
				}
				tab.LoadReported(observed, vetchtrail.LoadReport{TakenAt: at, Running: 4, Queued: queued})
				tab.EventReceived(observed, interval, at)
			}
			at := now.Add(3 * time.Second)
			tab.LoadReported(vetchtrail.Endpoint{Name: "c"}, vetchtrail.LoadReport{TakenAt: at, Running: 4, Queued: c.queued})
			var v vetchtrail.View
			tab.Fill(&v, request("y", 1, 0), at)
			for i := range v.Endpoints {
				if e := &v.Endpoints[i]; e.Name == "c" {
					assert.Assert(t, e.EventInterval >= c.min && e.EventInterval <= c.max, "%.3f", e.EventInterval)
				}
			}
		})
	}
}
