//go:build race

package ratelimits

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFleetRaces guards against data races. It runs the simulation in real time under the race
// detector. The tests on virtual time are not built with the detector, which has crashed them
// ("slot_locked") without reporting a race.
func TestFleetRaces(t *testing.T) {
	f := newFleet(1, 6, "")
	f.advertise(7)
	var wg sync.WaitGroup
	end := time.Now().Add(6 * time.Second)
	for _, h := range f.hosts {
		wg.Go(func() { f.generateLoad(h, 8, end, &wg) })
	}
	time.Sleep(2 * time.Second)
	f.restartHost(1)
	f.advertise(2)
	time.Sleep(time.Second)
	f.restartEndpoint()
	f.advertise(20)
	f.drain(&wg)
	ratio, description := f.worstWindow()
	assert.Assert(t, ratio <= 1, "%s", description)
}
