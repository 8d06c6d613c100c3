//go:build !race

package quarantines

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// knownAfter is how long after a region that was cut off is reached again all hosts know what it holds back.
const knownAfter = 30 * time.Second

// afterCut has a region that is cut off hold the deadly request back, heals it, and loses swaps of holds from
// then on. It returns the hosts that don't hold the request back in the end. No list tells of holds.
func afterCut(t *testing.T, seed uint64, loses func(from, to string) (there, back bool)) (without []string) {
	t.Helper()
	withFleet(t, "nothing outlasts the hosts", seed, func(t *testing.T, f *fleet) {
		healed := false
		f.locked(func() {
			f.loses = func(from, to string) (bool, bool) {
				if !healed {
					return false, false
				}
				return loses(from, to)
			}
			f.cut[regionsOf-1] = true
		})
		time.Sleep(inTouchFor)
		inside := f.hosts[len(f.hosts)-hostsOf:]
		for range 60 {
			inside[f.draw(hostsOf)].ask(deadlyRequest(), true)
			time.Sleep(100 * time.Millisecond)
		}
		for _, h := range inside {
			_, held := h.q.Held(deadlyRequest())
			assert.Assert(t, held, "%s doesn't hold it back by itself", h.host.Name)
		}
		f.locked(func() { f.cut[regionsOf-1], healed = false, true })
		time.Sleep(knownAfter)
		for _, h := range f.hosts {
			if _, held := h.q.Held(deadlyRequest()); !held {
				without = append(without, h.host.Name)
			}
		}
	})
	return without
}

// TestSwapLost: whichever one swap of holds is lost on its way there or back, all hosts know what a region
// holds back that was cut off.
func TestSwapLost(t *testing.T) {
	swaps := 0
	count := func(string, string) (bool, bool) { swaps++; return false, false }
	assert.Equal(t, len(afterCut(t, 1, count)), 0)
	t.Logf("%d swaps in %s", swaps, knownAfter)
	for lost := range swaps {
		for _, back := range []bool{false, true} {
			n := 0
			without := afterCut(t, 1, func(string, string) (bool, bool) {
				n++
				return n-1 == lost && !back, n-1 == lost && back
			})
			assert.Equal(t, len(without), 0, "swap %d lost, on its way back: %t: %v", lost, back, without)
		}
	}
}

// TestSwapsLostBetween: whichever two hosts lose all that they ask each other, or whichever host loses all
// that it asks, all know what a region holds back that was cut off.
func TestSwapsLostBetween(t *testing.T) {
	var names []string
	for r := range regionsOf {
		for n := range hostsOf {
			names = append(names, fmt.Sprintf("h-%d-%d", r, n))
		}
	}
	for _, a := range names {
		for _, b := range append(names, "") {
			if a == b {
				continue
			}
			without := afterCut(t, 1, func(from, to string) (bool, bool) { return from == a && (b == "" || to == b), false })
			assert.Equal(t, len(without), 0, "%s asks %q in vain: %v", a, b, without)
		}
	}
}
