package membership

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/schema"
)

// TestLoadsSentOnce guards against heartbeats that carry the load reports of all endpoints
// each time. A host must be sent only the reports taken since the last heartbeat to it,
// and all again after one was lost.
func TestLoadsSentOnce(t *testing.T) {
	a, b := newMembership("a", "dc", 1), newMembership("b", "dc", 2)
	a.cfg.CallsWholeRegion = true
	var placed []load.EndpointInRegion
	for n := range 100 {
		placed = append(placed, load.EndpointInRegion{Endpoint: vetchtrail.Endpoint{Name: fmt.Sprint("e", n), Service: "s", Slots: 4}})
	}
	a.cfg.Load.Configure(placed)
	exchange(a, b, now)
	for n := range 100 {
		a.cfg.Load.LoadReported(placed[n].Endpoint, vetchtrail.LoadReport{TakenAt: now, Running: n})
	}
	assert.Equal(t, len(a.heartbeatTo(b.self.PeerAddr, now).GetLoads()), 100)
	assert.Equal(t, len(a.heartbeatTo(b.self.PeerAddr, now).GetLoads()), 0)
	a.cfg.Load.LoadReported(placed[7].Endpoint, vetchtrail.LoadReport{TakenAt: now.Add(time.Second), Running: 1})
	h := a.heartbeatTo(b.self.PeerAddr, now.Add(time.Second))
	assert.Equal(t, len(h.GetLoads()), 1)
	assert.Equal(t, h.GetLoads()[0].GetEndpoint(), load.NameHash("e7"))
	a.sendInFull(b.self.PeerAddr)
	assert.Equal(t, len(a.heartbeatTo(b.self.PeerAddr, now.Add(time.Second)).GetLoads()), 100, "not all sent again after a lost heartbeat")
	assert.Assert(t, proto.Size(a.heartbeatTo(b.self.PeerAddr, now.Add(time.Second))) < 100)
}

// TestUnevenEndpointsSent guards against slowdowns and speeds that other hosts don't get, and against bytes for
// endpoints that report none.
func TestUnevenEndpointsSent(t *testing.T) {
	cases := map[string]struct {
		slowdown float64
		want     *schema.Load
	}{
		"a slowdown":  {2.5, &schema.Load{Slowdown: 250, Speed: 50, SpeedCount: 1}},
		"no slowdown": {0, &schema.Load{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, b := newMembership("a", "dc", 1), newMembership("b", "dc", 2)
			e := vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 4}
			for _, m := range []*Membership{a, b} {
				m.cfg.Load.Configure([]load.EndpointInRegion{{Endpoint: e}})
			}
			exchange(a, b, now)
			at := now
			const usual = 30 // observations that show how long work usually takes; the next one shows half of the speed
			for i := range usual + 1 {
				r := &vetchtrail.Request{ID: fmt.Sprint(i), Service: "s", Prompt: []vetchtrail.PromptPart{{Tokens: 2000}}}
				a.cfg.Load.LoadReported(e, vetchtrail.LoadReport{TakenAt: at, Slowdown: c.slowdown})
				assert.Assert(t, a.cfg.Load.Acquire("e", r, at))
				at = at.Add(100 * time.Millisecond * time.Duration(1+i/usual))
				a.cfg.Load.ResponseStarted(e, r, at)
				a.cfg.Load.Release("e", vetchtrail.Observation{Request: r.ID, Cancelled: true}, at)
			}
			a.cfg.Load.LoadReported(e, vetchtrail.LoadReport{TakenAt: at, Slowdown: c.slowdown})
			h := a.heartbeatTo(b.self.PeerAddr, at)
			assert.Equal(t, len(h.GetLoads()), 1)
			got := h.GetLoads()[0]
			assert.Equal(t, got.GetSlowdown(), c.want.GetSlowdown())
			assert.Assert(t, math.Abs(float64(got.GetSpeed())-float64(c.want.GetSpeed())) <= 10, "%d", got.GetSpeed())
			assert.Equal(t, got.GetSpeedCount(), c.want.GetSpeedCount())
			b.merge(h, at)
			for _, s := range b.cfg.Load.EndpointStatuses(at) {
				assert.Equal(t, s.Report.Slowdown, c.slowdown)
			}
		})
	}
}
