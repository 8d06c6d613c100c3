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

// TestKept: what a host keeps of the endpoints of a fleet. It may have 32 MB for all of its control with
// twenty thousand endpoints; half of that is for this, where half of them are near.
func TestKept(t *testing.T) {
	const most = 16 << 20 / 10_000 // bytes for one near and one far
	for _, n := range []int{2000, 4000} {
		t.Run(fmt.Sprint(n, " near and as many far"), func(t *testing.T) {
			var placed []Placed
			for i := range n {
				placed = append(placed, Placed{Endpoint: vetchtrail.Endpoint{Name: fmt.Sprintf("i-%010x", i), Service: "s", Slots: 24, MoveToken: 1e-6}})
			}
			before := meter.Heap()
			tab := New()
			tab.Configure(placed)
			near := meter.Heap()
			tab.SetFar(slices.Values(placed))
			far := meter.Heap()
			runtime.KeepAlive(placed)
			t.Logf("%d bytes for each near, %d for each far", int(near-before)/n, int(far-near)/n)
			assert.Assert(t, int(far-before)/n < most, "%d bytes", int(far-before)/n)
			assert.Equal(t, len(tab.Endpoints()), n)
		})
	}
}
