package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
)

// TestDigestsReachAll: every host of a data centre can reach the others by digests that are new, though one host
// swaps for each: also where it is one of hundreds.
func TestDigestsReachAll(t *testing.T) {
	const (
		settle    = 12 * time.Second
		length    = 10 * time.Second
		startMost = 4096 // bytes a second while all start, as for all control
	)
	for _, hosts := range []int{20, 80, 160} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			f := newGossip(hosts, 10)
			other := newMember("x", "other", 250)
			for n := range hosts - 1 { // as many hosts as here
				y := newMember(fmt.Sprintf("y%03d", n), "other", byte(n))
				other.merge(y.heartbeat(other.self.Peers, f.now), f.now)
			}
			other.cfg.Load.Configure([]load.Placed{{Endpoint: vetchtrail.Endpoint{Name: "far", Service: "s", Slots: 4}}})
			late, looks := 0, 0
			starts := f.digestBytes
			for n := range int((settle + length) / Tick) {
				f.tick()
				if n%int(SwapTick/Tick) == 0 {
					for _, m := range f.hosts {
						if m.OnDuty("digest other", 1, f.now) {
							m.mu.Lock()
							m.mergeDigest(other.ownDigest(f.now), f.now, f.now)
							m.mu.Unlock()
						}
					}
				}
				if n < int(settle/Tick) {
					f.digests, starts = 0, f.digestBytes
					continue
				}
				for _, m := range f.hosts {
					looks++
					if c := m.DataCentres(f.now); len(c) != 1 || !c[0].Reachable {
						late++
					}
				}
			}
			each := float64(f.digests) / float64(hosts) / length.Seconds()
			start := float64(starts) / float64(hosts) / settle.Seconds()
			t.Logf("%d of %d looks found no new digest, %.1f passed on a second and host, %.0f bytes while they start", late, looks, each, start)
			assert.Assert(t, start <= startMost, "%.0f bytes a second and host", start)
			assert.Assert(t, late*100 <= looks, "%d of %d looks", late, looks)
			assert.Assert(t, each <= PassEach+1, "%.1f digests a second and host", each)
		})
	}
}
