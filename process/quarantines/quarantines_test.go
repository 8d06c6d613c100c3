//go:build !race

package quarantines

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"vetchtrail"
	"vetchtrail/request/quarantine"
	_ "vetchtrail/standin/seeded"
)

var kindsOfTrouble = []string{"cut", "kill", "suspend", "kill all", "nothing"}

func drawTroubles(rt *rapid.T) []trouble {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) trouble {
		return trouble{
			After: time.Duration(rapid.IntRange(100, 6000).Draw(rt, "after")) * time.Millisecond,
			Kind:  rapid.SampledFrom(kindsOfTrouble).Draw(rt, "kind"),
			At:    rapid.IntRange(0, regionsOf*hostsOf-1).Draw(rt, "at"),
			For:   time.Duration(rapid.IntRange(500, 6000).Draw(rt, "for")) * time.Millisecond,
		}
	}), 0, 6).Draw(rt, "troubles")
}

// playFleet plays a fleet and returns it as it is in the end.
func playFleet(t *testing.T, broken string, seed uint64, troubles []trouble, every, length time.Duration) *fleet {
	t.Helper()
	var out *fleet
	withFleet(t, broken, seed, func(_ *testing.T, f *fleet) {
		out = f
		time.Sleep(inTouchFor + time.Second)
		f.play(troubles, every, length)
	})
	return out
}

// withFleet does something with a fleet on virtual time.
func withFleet(t *testing.T, broken string, seed uint64, do func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(broken, seed)
		defer func() {
			f.close()
			time.Sleep(30 * time.Second) // messages under way end
		}()
		do(t, f)
	})
}

// TestBound: whatever happens to hosts and links, hosts in touch send a request under which
// three endpoints have ended to endpoints a few times more at most.
func TestBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		troubles := drawTroubles(rt)
		every := time.Duration(rapid.IntRange(50, 3000).Draw(rt, "every")) * time.Millisecond
		f := playFleet(t, "", rapid.Uint64().Draw(rt, "seed"), troubles, every, 40*time.Second)
		if over := f.over(); over > 3 {
			rt.Fatalf("%d times more: %d ends, %d arrivals", over, len(f.ends), len(f.arrivals))
		}
	})
}

// TestBoundNeeds: each mechanism is seen to be needed.
func TestBoundNeeds(t *testing.T) {
	kill := trouble{After: 10 * time.Second, Kind: "kill all"}
	killed := []trouble{kill, kill, kill, kill, kill, kill}
	tests := map[string]struct {
		broken   string
		troubles []trouble
		every    time.Duration
		over     bool
	}{
		"whole":                      {"", nil, 700 * time.Millisecond, false},
		"whole, all are killed":      {"", killed, 2500 * time.Millisecond, false},
		"hosts count for themselves": {"hosts count for themselves", nil, 3 * time.Second, true},
		"nobody else is told":        {"nobody else is told", nil, 700 * time.Millisecond, true},
		"nothing outlasts the hosts, all are killed": {"nothing outlasts the hosts", killed, 2500 * time.Millisecond, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := playFleet(t, tt.broken, 1, tt.troubles, tt.every, 70*time.Second)
			logFleet(t, f)
			assert.Equal(t, f.over() > 3, tt.over, "%d times more", f.over())
		})
	}
}

// TestCountersGone: where the hosts that counted are gone for good, others of the region count,
// also while it reaches no other.
func TestCountersGone(t *testing.T) {
	withFleet(t, "", 5, func(t *testing.T, f *fleet) {
		time.Sleep(inTouchFor)
		f.hosts[0].kill()
		f.hosts[1].kill()
		f.locked(func() { f.cut[0] = true })
		time.Sleep(2 * deadAfter)
		for range 20 {
			f.hosts[2].ask(deadlyRequest(), true)
			time.Sleep(time.Second)
		}
		assert.Assert(t, len(f.arrivals) <= 6, "%d", len(f.arrivals))
		_, held := f.hosts[2].ask(deadlyRequest(), true)
		assert.Assert(t, held)
	})
}

// TestServedAgain: a request that was held back is served again after the stated time on each
// host, also on one that was suspended for a part of it.
func TestServedAgain(t *testing.T) {
	for broken, want := range map[string]bool{"": true, "a clock that a suspension fools": false} {
		t.Run(broken, func(t *testing.T) {
			withFleet(t, broken, 3, func(t *testing.T, f *fleet) {
				f.play(nil, 300*time.Millisecond, 6*time.Second)
				_, held := f.hosts[0].ask(deadlyRequest(), false)
				assert.Assert(t, held)
				f.hosts[0].suspend(5 * time.Minute)
				time.Sleep(10 * time.Minute)
				ran, _ := f.hosts[0].ask(deadlyRequest(), false)
				assert.Equal(t, ran, want)
			})
		})
	}
}

// TestNobodyElse: requests that were at endpoints that ended, and are answered then, are not
// held back, whoever else ends endpoints beside them.
func TestNobodyElse(t *testing.T) {
	withFleet(t, "", 9, func(t *testing.T, f *fleet) {
		f.play(nil, 100*time.Millisecond, 20*time.Second)
		holds, _ := f.hosts[4].q.Holds()
		assert.Equal(t, len(holds), 1)
		assert.Equal(t, holds[0].Digest, deadlyRequest().Digest())
	})
}

// TestLetGo: a request that an operator lets go at one host runs at all.
func TestLetGo(t *testing.T) {
	withFleet(t, "", 4, func(t *testing.T, f *fleet) {
		f.play(nil, 300*time.Millisecond, 8*time.Second)
		_, ok := f.hosts[5].q.Release(deadlyRequest().Digest())
		assert.Assert(t, ok)
		_, again := f.hosts[5].q.Release(deadlyRequest().Digest())
		assert.Assert(t, !again, "let go twice")
		time.Sleep(3 * syncEvery)
		for i, h := range f.hosts {
			_, held := h.ask(deadlyRequest(), false)
			assert.Assert(t, !held, "host %d", i)
		}
		_, ok = f.hosts[0].q.Release(vetchtrail.Digest{1})
		assert.Assert(t, !ok, "one that is not held back")
	})
}

// TestSuspectsFade: who is suspected is told while counters suspect it, by these alone, and is
// forgotten by all hosts after.
func TestSuspectsFade(t *testing.T) {
	withFleet(t, "", 6, func(t *testing.T, f *fleet) {
		suspected := func() (told, remembered int) {
			for _, h := range f.hosts {
				_, suspects := h.q.Holds()
				h.q.mu.Lock()
				remembered += len(h.q.suspected.all)
				h.q.mu.Unlock()
				told += len(suspects)
			}
			return told, remembered
		}
		for range 2 {
			f.hosts[4].ask(deadlyRequest(), true)
			time.Sleep(time.Second)
		}
		time.Sleep(3 * syncEvery)
		told, remembered := suspected()
		assert.Equal(t, told, len(f.hosts))
		assert.Assert(t, remembered >= len(f.hosts))
		f.hosts[1].ask(deadlyRequest(), false) // it is served after all, by another host
		time.Sleep(suspectsFor + suspectedFor)
		for _, h := range f.hosts {
			h.q.Answered(innocent(7))
		}
		told, remembered = suspected()
		assert.Equal(t, told, 0)
		assert.Equal(t, remembered, 0)
	})
}

// TestKeptAgain: holds that are deleted where they outlast the hosts are written there again.
func TestKeptAgain(t *testing.T) {
	withFleet(t, "", 8, func(t *testing.T, f *fleet) {
		f.play(nil, 300*time.Millisecond, 8*time.Second)
		assert.Equal(t, len(f.listing().Holds), 1)
		f.locked(func() { f.kept = quarantine.Kept{} })
		time.Sleep(2*listsEvery + 2*syncEvery)
		assert.Equal(t, len(f.listing().Holds), 1)
	})
}

// TestNothingHeld: once the last hold is over, requests don't pay for a look-up any more.
func TestNothingHeld(t *testing.T) {
	withFleet(t, "", 8, func(t *testing.T, f *fleet) {
		f.play(nil, 300*time.Millisecond, 8*time.Second)
		for _, h := range f.hosts {
			assert.Assert(t, h.q.holds.AnyActive())
		}
		time.Sleep(quarantine.HoldTime(1) + 2*syncEvery)
		for i, h := range f.hosts {
			assert.Assert(t, !h.q.holds.AnyActive(), "host %d", i)
		}
	})
}

func TestBoundedMemory(t *testing.T) {
	withFleet(t, "", 2, func(t *testing.T, f *fleet) {
		q := f.hosts[0].q
		e := vetchtrail.Endpoint{Name: "e-0-0"}
		lost := vetchtrail.Outcome{Kind: vetchtrail.Unknown, Reason: vetchtrail.ReasonLost}
		for n := range 10 * mostSuspected {
			q.Lost(e, &vetchtrail.Request{Path: fmt.Sprint(n)}, lost, vetchtrail.Timing{Sent: time.Now()})
		}
		q.watch.mu.Lock()
		assert.Assert(t, len(q.watch.places["e-0-0"].lost) <= mostLost)
		q.watch.mu.Unlock()
		q.mu.Lock()
		assert.Assert(t, len(q.suspected.all) <= mostSuspected && len(q.suspected.order) <= mostSuspected)
		q.mu.Unlock()
	})
}

// BenchmarkHeld is the look-up on the path of each request: 22 ns where nothing is held back,
// 146 ns with 1,000 holds and the digest taken; neither allocates.
func BenchmarkHeld(b *testing.B) {
	q := New(Config{Clock: time.Now})
	r := innocent(1)
	b.Run("nothing", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			q.Held(r)
		}
	})
	now := time.Now()
	for n := range 1000 {
		q.holds.Add(innocent(uint64(n)).Digest(), 3, now)
	}
	b.Run("1000", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			q.Held(r)
		}
	})
}
