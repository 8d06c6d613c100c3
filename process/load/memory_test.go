package load

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/standin/meter"
)

// TestMemoryPerEndpoint guards against a table that needs too much memory in a large fleet. With twenty thousand
// endpoints, half of them local, the table may take 16 MB: half of what a host may use for coordination.
func TestMemoryPerEndpoint(t *testing.T) {
	const most = 16 << 20 / 10_000 // bytes for one local and one remote endpoint
	for _, n := range []int{2000, 4000} {
		t.Run(fmt.Sprint(n, " local and as many remote"), func(t *testing.T) {
			var endpoints []EndpointInRegion
			for i := range n {
				endpoints = append(endpoints, EndpointInRegion{Endpoint: vetchtrail.Endpoint{Name: fmt.Sprintf("i-%010x", i), Service: "s", Slots: 24, MoveToken: 1e-6}})
			}
			before := meter.Heap()
			tab := New()
			tab.Configure(endpoints)
			local := meter.Heap()
			tab.SetRemote(slices.Values(endpoints))
			remote := meter.Heap()
			runtime.KeepAlive(endpoints)
			t.Logf("%d bytes for each local endpoint, %d for each remote one", int(local-before)/n, int(remote-local)/n)
			assert.Assert(t, int(remote-before)/n < most, "%d bytes", int(remote-before)/n)
			assert.Equal(t, len(tab.Endpoints()), n)
		})
	}
}
