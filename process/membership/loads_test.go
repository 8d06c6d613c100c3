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

// TestLoadsTold: a host that is met again is told only of the loads that were taken since, whatever of them it has
// been told by others.
func TestLoadsTold(t *testing.T) {
	a, b := newMember("a", "dc", 1), newMember("b", "dc", 2)
	a.cfg.WholeRegion = true
	var placed []load.Placed
	for n := range 100 {
		placed = append(placed, load.Placed{Endpoint: vetchtrail.Endpoint{Name: fmt.Sprint("e", n), Service: "s", Slots: 4}})
	}
	a.cfg.Load.Configure(placed)
	swap(a, b, now)
	for n := range 100 {
		a.cfg.Load.Told(placed[n].Endpoint, vetchtrail.LoadReport{At: now, Running: n})
	}
	assert.Equal(t, len(a.heartbeat(b.self.Peers, now).GetLoads()), 100)
	assert.Equal(t, len(a.heartbeat(b.self.Peers, now).GetLoads()), 0)
	a.cfg.Load.Told(placed[7].Endpoint, vetchtrail.LoadReport{At: now.Add(time.Second), Running: 1})
	h := a.heartbeat(b.self.Peers, now.Add(time.Second))
	assert.Equal(t, len(h.GetLoads()), 1)
	assert.Equal(t, h.GetLoads()[0].GetEndpoint(), load.Short("e7"))
	a.notTold(b.self.Peers)
	assert.Equal(t, len(a.heartbeat(b.self.Peers, now.Add(time.Second)).GetLoads()), 100, "a message was lost")
	assert.Assert(t, proto.Size(a.heartbeat(b.self.Peers, now.Add(time.Second))) < 100)
}
