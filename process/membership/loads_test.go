package membership

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
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
