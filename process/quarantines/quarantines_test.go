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

var faultKinds = []string{"partition", "kill", "suspend", "kill all", "nothing"}

func drawFaults(rt *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
		return fault{
			After: time.Duration(rapid.IntRange(100, 6000).Draw(rt, "after")) * time.Millisecond,
			Kind:  rapid.SampledFrom(faultKinds).Draw(rt, "kind"),
			Host:  rapid.IntRange(0, regionCount*hostsPerRegion-1).Draw(rt, "host"),
			For:   time.Duration(rapid.IntRange(500, 6000).Draw(rt, "for")) * time.Millisecond,
		}
	}), 0, 6).Draw(rt, "faults")
}

// runFleet runs a fleet with faults and returns it in its final state.
func runFleet(t *testing.T, disabled string, seed uint64, faults []fault, interval, length time.Duration) *fleet {
	t.Helper()
	var out *fleet
	withFleet(t, disabled, seed, func(_ *testing.T, f *fleet) {
		out = f
		time.Sleep(healthyAfter + time.Second)
		f.run(faults, interval, length)
	})
	return out
}

// withFleet calls do with a fleet on virtual time.
func withFleet(t *testing.T, disabled string, seed uint64, do func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(disabled, seed)
		defer func() {
			f.close()
			time.Sleep(30 * time.Second) // time for messages in flight to end
		}()
		do(t, f)
	})
}

// TestPoisonArrivalsBounded checks that a poison request reaches only a few more endpoints after it
// has crashed three, whatever faults affect hosts and links. It counts arrivals from healthy hosts.
func TestPoisonArrivalsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt)
		interval := time.Duration(rapid.IntRange(50, 3000).Draw(rt, "interval")) * time.Millisecond
		f := runFleet(t, "", rapid.Uint64().Draw(rt, "seed"), faults, interval, 40*time.Second)
		if lateArrivals := f.lateArrivals(); lateArrivals > 3 {
			rt.Fatalf("%d late arrivals: %d crashes, %d arrivals", lateArrivals, len(f.crashes), len(f.arrivals))
		}
	})
}

// TestEachMechanismNeeded checks that the bound of TestPoisonArrivalsBounded is exceeded if any of
// the mechanisms is disabled, so that the test would fail if one stopped working.
func TestEachMechanismNeeded(t *testing.T) {
	killAll := fault{After: 10 * time.Second, Kind: "kill all"}
	killed := []fault{killAll, killAll, killAll, killAll, killAll, killAll}
	tests := map[string]struct {
		disabled     string
		faults       []fault
		interval     time.Duration
		lateArrivals bool
	}{
		"all mechanisms":                   {"", nil, 700 * time.Millisecond, false},
		"all mechanisms, all hosts killed": {"", killed, 2500 * time.Millisecond, false},
		"no crash reports":                 {"no crash reports", nil, 3 * time.Second, true},
		"no propagation":                   {"no propagation", nil, 700 * time.Millisecond, true},
		"no persistence, all hosts killed": {"no persistence", killed, 2500 * time.Millisecond, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := runFleet(t, tt.disabled, 1, tt.faults, tt.interval, 70*time.Second)
			logFleet(t, f)
			assert.Equal(t, f.lateArrivals() > 3, tt.lateArrivals, "%d late arrivals", f.lateArrivals())
		})
	}
}

// TestAggregatorsLost guards against a region that detects nothing after both its aggregators are
// lost for good. The other hosts must take over, also in a partition.
func TestAggregatorsLost(t *testing.T) {
	withFleet(t, "", 5, func(t *testing.T, f *fleet) {
		time.Sleep(healthyAfter)
		f.hosts[0].kill()
		f.hosts[1].kill()
		f.locked(func() { f.partitioned[0] = true })
		time.Sleep(2 * hostTimeout)
		for range 20 {
			f.hosts[2].request(poisonRequest(), true)
			time.Sleep(time.Second)
		}
		assert.Assert(t, len(f.arrivals) <= 6, "%d", len(f.arrivals))
		_, quarantined := f.hosts[2].request(poisonRequest(), true)
		assert.Assert(t, quarantined)
	})
}

// TestEntryExpires guards against a request that stays quarantined for too long on a host that was
// suspended meanwhile, because the host's clock stopped. The case with such a clock shows that the
// test can fail.
func TestEntryExpires(t *testing.T) {
	for disabled, want := range map[string]bool{"": true, "clock that stops during suspension": false} {
		t.Run(disabled, func(t *testing.T) {
			withFleet(t, disabled, 3, func(t *testing.T, f *fleet) {
				f.run(nil, 300*time.Millisecond, 6*time.Second)
				_, quarantined := f.hosts[0].request(poisonRequest(), false)
				assert.Assert(t, quarantined)
				f.hosts[0].suspend(5 * time.Minute)
				time.Sleep(10 * time.Minute)
				sent, _ := f.hosts[0].request(poisonRequest(), false)
				assert.Equal(t, sent, want)
			})
		})
	}
}

// TestHarmlessNotQuarantined checks that requests that were in flight at crashed endpoints, and
// were answered after a retry, aren't quarantined.
func TestHarmlessNotQuarantined(t *testing.T) {
	withFleet(t, "", 9, func(t *testing.T, f *fleet) {
		f.run(nil, 100*time.Millisecond, 20*time.Second)
		entries, _ := f.hosts[4].q.Entries()
		assert.Equal(t, len(entries), 1)
		assert.Equal(t, entries[0].ContentHash, poisonRequest().ContentHash())
	})
}

// TestRelease checks that a request that an operator releases on one host runs on all hosts.
func TestRelease(t *testing.T) {
	withFleet(t, "", 4, func(t *testing.T, f *fleet) {
		f.run(nil, 300*time.Millisecond, 8*time.Second)
		_, released := f.hosts[5].q.Release(poisonRequest().ContentHash())
		assert.Assert(t, released)
		_, again := f.hosts[5].q.Release(poisonRequest().ContentHash())
		assert.Assert(t, !again, "released twice")
		time.Sleep(3 * syncInterval)
		for i, h := range f.hosts {
			_, quarantined := h.request(poisonRequest(), false)
			assert.Assert(t, !quarantined, "host %d", i)
		}
		_, released = f.hosts[0].q.Release(vetchtrail.ContentHash{1})
		assert.Assert(t, !released, "released, but not quarantined")
	})
}

// TestSuspectsExpire guards against suspects that hosts send each other without end. Only aggregators
// send suspects, as long as these are in their own history, and all hosts drop them afterwards.
func TestSuspectsExpire(t *testing.T) {
	withFleet(t, "", 6, func(t *testing.T, f *fleet) {
		count := func() (suspects, watched int) {
			for _, h := range f.hosts {
				_, listed := h.q.Entries()
				h.q.mu.Lock()
				watched += len(h.q.watched.expiresAt)
				h.q.mu.Unlock()
				suspects += len(listed)
			}
			return suspects, watched
		}
		for range 2 {
			f.hosts[4].request(poisonRequest(), true)
			time.Sleep(time.Second)
		}
		time.Sleep(3 * syncInterval)
		suspects, watched := count()
		assert.Equal(t, suspects, len(f.hosts))
		assert.Assert(t, watched >= len(f.hosts))
		f.hosts[1].request(poisonRequest(), false) // served after all, by another host
		time.Sleep(suspectsTTL + watchedTTL)
		for _, h := range f.hosts {
			h.q.Answered(harmlessRequest(7), vetchtrail.Timing{})
		}
		suspects, watched = count()
		assert.Equal(t, suspects, 0)
		assert.Equal(t, watched, 0)
	})
}

// TestPersistsAgain checks that entries that were deleted from the platform are written there
// again.
func TestPersistsAgain(t *testing.T) {
	withFleet(t, "", 8, func(t *testing.T, f *fleet) {
		f.run(nil, 300*time.Millisecond, 8*time.Second)
		assert.Equal(t, len(f.listing().Quarantined), 1)
		f.locked(func() { f.persisted = quarantine.PersistedEntries{} })
		time.Sleep(2*listingInterval + 2*syncInterval)
		assert.Equal(t, len(f.listing().Quarantined), 1)
	})
}

// TestNoLookupAfterExpiry guards against content hashes that are computed for each request after
// the last entry has expired.
func TestNoLookupAfterExpiry(t *testing.T) {
	withFleet(t, "", 8, func(t *testing.T, f *fleet) {
		f.run(nil, 300*time.Millisecond, 8*time.Second)
		for _, h := range f.hosts {
			assert.Assert(t, h.q.entries.AnyActive())
		}
		time.Sleep(quarantine.EntryDuration(1) + 2*syncInterval)
		for i, h := range f.hosts {
			assert.Assert(t, !h.q.entries.AnyActive(), "host %d", i)
		}
	})
}

// TestBoundedMemory checks that memory stays bounded however many requests are lost.
func TestBoundedMemory(t *testing.T) {
	withFleet(t, "", 2, func(t *testing.T, f *fleet) {
		q := f.hosts[0].q
		e := vetchtrail.Endpoint{Name: "e-0-0"}
		lost := vetchtrail.Outcome{Kind: vetchtrail.OutcomeUnknown, Reason: vetchtrail.ReasonResponseLost}
		for n := range 10 * maxWatched {
			q.ResponseLost(e, &vetchtrail.Request{Path: fmt.Sprint(n)}, lost, vetchtrail.Timing{Sent: time.Now()})
		}
		q.lossTracker.mu.Lock()
		assert.Assert(t, len(q.lossTracker.endpoints["e-0-0"].lost) <= maxLossesPerEndpoint)
		q.lossTracker.mu.Unlock()
		q.mu.Lock()
		assert.Assert(t, len(q.watched.expiresAt) <= maxWatched && len(q.watched.order) <= maxWatched)
		q.mu.Unlock()
	})
}

// BenchmarkQuarantined measures the look-up that is made for each request, and what is stored of each answered one.
// The content hash isn't included: it is computed by the first look-up and cached.
func BenchmarkQuarantined(b *testing.B) {
	q := New(Config{Clock: time.Now})
	r := harmlessRequest(1)
	b.Run("nothing", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			q.Quarantined(r)
		}
	})
	now := time.Now()
	for n := range 1000 {
		q.entries.Add(harmlessRequest(uint64(n)).ContentHash(), 3, now)
	}
	b.Run("1000", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			q.Quarantined(r)
		}
	})
	for _, parts := range []int{4, 64} {
		b.Run(fmt.Sprintf("1000, %d parts", parts), func(b *testing.B) {
			long := harmlessRequest(5000)
			long.Prompt = make([]vetchtrail.PromptPart, parts)
			b.ReportAllocs()
			for b.Loop() {
				q.Quarantined(long)
			}
		})
	}
	b.Run("answered, 64 parts", func(b *testing.B) {
		long := harmlessRequest(1)
		long.Prompt = make([]vetchtrail.PromptPart, 64)
		for i := range long.Prompt {
			long.Prompt[i].ID = uint64(i)
		}
		b.ReportAllocs()
		for b.Loop() {
			q.Answered(long, vetchtrail.Timing{})
		}
	})
}
