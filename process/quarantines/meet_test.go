//go:build !race

package quarantines

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHostsThatMeet: a region was cut off before its hosts had met, each counted for itself, and 30 s after it was
// reached again some host did not hold a request back under which endpoints had ended there. Nobody held it: each
// of the two had seen too few ends to judge by, the caller had stopped asking, and nothing of what they had seen
// was told again when they met. The evidence: whichever message of the asking for holds is lost, all know of a hold
// within that time (TestSwapLost, TestSwapsLostBetween), so that there was none to tell of; with hosts kept apart
// and a caller who asks every second or two, 8 to 68 of a hundred plays end so.
func TestHostsThatMeet(t *testing.T) {
	cases := map[string]time.Duration{"every second": time.Second, "every 1.5 s": 1500 * time.Millisecond, "every 2 s": 2 * time.Second}
	for name, every := range cases {
		t.Run(name, func(t *testing.T) {
			counted := 0
			for seed := range uint64(30) {
				without, ends := apart(t, seed, every)
				if ends < 3 {
					continue
				}
				counted++
				assert.Equal(t, len(without), 0, "seed %d: %v, %d ends", seed, without, ends)
			}
			assert.Assert(t, counted > 10, "%d plays with three ends", counted)
		})
	}
}

// apart has the deadly request come to the two hosts of a region that is cut off and that have not met. They meet when
// it is reached again. It returns the hosts that don't hold the request back in the end.
func apart(t *testing.T, seed uint64, every time.Duration) (without []string, ends int) {
	t.Helper()
	withFleet(t, "nothing outlasts the hosts", seed, func(_ *testing.T, f *fleet) {
		none := func(string, string) (bool, bool) { return false, false }
		f.locked(func() { f.loses, f.cut[regionsOf-1], f.apart = none, true, true })
		inside := f.hosts[len(f.hosts)-hostsOf:]
		gone := inside[hostsOf-1]
		gone.kill()
		time.Sleep(deadAfter + time.Second)
		for began := time.Now(); time.Since(began) < 6*time.Second; {
			inside[f.draw(hostsOf-1)].ask(deadlyRequest(), true)
			time.Sleep(every)
		}
		f.locked(func() { f.cut[regionsOf-1], f.apart = false, false })
		time.Sleep(knownAfter)
		for _, h := range f.hosts {
			if _, held := h.q.Held(deadlyRequest()); !held && h != gone {
				without = append(without, h.host.Name)
			}
		}
		ends = len(f.ends)
	})
	return without, ends
}
