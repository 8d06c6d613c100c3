package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"vetchtrail"
	_ "vetchtrail/standin/seeded"
)

// fixedClock returns a clock that always returns now.
func fixedClock(now time.Time) func() time.Time { return func() time.Time { return now } }

// crashOf returns a report that an endpoint crashed at a second, with requests whose responses were
// not streaming yet.
func crashOf(endpoint string, second float64, requests ...uint64) Crash {
	c := Crash{Endpoint: endpoint, At: simStart.Add(time.Duration(second * float64(time.Second)))}
	for _, n := range requests {
		c.InFlight = append(c.InFlight, InFlight{ContentHash: hashOf(n)})
	}
	return c
}

// midStream marks the responses of all requests in a report as streaming.
func midStream(c Crash) Crash {
	for i := range c.InFlight {
		c.InFlight[i].Streaming = true
	}
	return c
}

// TestDetect checks which requests are quarantined after which crashes: poison requests, but
// neither the requests that were in flight with them nor those that were present at unrelated
// crashes.
func TestDetect(t *testing.T) {
	const poison, other, third = 1, 2, 3
	cases := map[string]struct {
		crashes     []Crash
		served      map[uint64]float64 // second at which each request was served
		quarantined []uint64           // quarantined at second 0, for ten minutes
		want        []uint64
	}{
		"no crash":                      {nil, nil, nil, nil},
		"two crashes":                   {[]Crash{crashOf("a", 1, poison), crashOf("b", 2, poison)}, nil, nil, nil},
		"three crashes":                 {[]Crash{crashOf("a", 1, poison), crashOf("b", 2, poison), crashOf("c", 3, poison)}, nil, nil, []uint64{poison}},
		"three crashes of one endpoint": {[]Crash{crashOf("a", 1, poison), crashOf("a", 4, poison), crashOf("a", 7, poison)}, nil, nil, []uint64{poison}},
		"one crash reported twice":      {[]Crash{crashOf("a", 1, poison), crashOf("a", 1.1, poison), crashOf("b", 2, poison)}, nil, nil, nil},
		"crashed together":              {[]Crash{crashOf("a", 1, poison), crashOf("b", 1.05, poison), crashOf("c", 1.1, poison)}, nil, nil, nil},
		"other request at two of three crashes": {
			[]Crash{crashOf("a", 1, poison, other), crashOf("b", 2, poison, other), crashOf("c", 3, poison, third)}, nil, nil, []uint64{poison},
		},
		"other request at all crashes, streaming": {
			append([]Crash{midStream(crashOf("a", 1, other)), midStream(crashOf("b", 2, other)), midStream(crashOf("c", 3, other))},
				crashOf("a", 1, poison), crashOf("b", 2, poison), crashOf("c", 3, poison)), nil, nil, []uint64{poison},
		},
		"two requests with equal evidence": {
			[]Crash{crashOf("a", 1, poison, other), crashOf("b", 2, poison, other), crashOf("c", 3, poison, other)}, nil, nil, []uint64{poison, other},
		},
		"other request at three crashes, two of them explained": {
			[]Crash{crashOf("a", 1, poison), crashOf("b", 2, poison, other), crashOf("c", 3, poison, other), crashOf("d", 4, poison, other)}, nil, nil, []uint64{poison},
		},
		"two poison requests": {
			[]Crash{crashOf("a", 1, poison), crashOf("b", 2, other), crashOf("c", 3, poison), crashOf("d", 4, other), crashOf("e", 5, poison), crashOf("f", 6, other), crashOf("g", 7, poison), crashOf("h", 8, other)},
			nil, nil, []uint64{poison, other},
		},
		"served after the crashes":                   {[]Crash{crashOf("a", 1, poison), crashOf("b", 2, poison), crashOf("c", 3, poison)}, map[uint64]float64{poison: 4}, nil, nil},
		"served between the crashes":                 {[]Crash{crashOf("a", 1, poison), crashOf("b", 2, poison), crashOf("c", 3, poison)}, map[uint64]float64{poison: 2.5}, nil, nil},
		"three crashes while streaming":              {[]Crash{midStream(crashOf("a", 1, poison)), midStream(crashOf("b", 2, poison)), midStream(crashOf("c", 3, poison))}, nil, nil, nil},
		"unrelated crashes in the same period":       {[]Crash{crashOf("a", 1, poison), crashOf("p", 1.3), crashOf("b", 2, poison), crashOf("q", 2.3), crashOf("c", 3, poison)}, nil, nil, nil},
		"already quarantined":                        {[]Crash{crashOf("a", 1, poison), crashOf("b", 2, poison), crashOf("c", 3, poison)}, nil, []uint64{poison}, nil},
		"crashes explained by a quarantined request": {[]Crash{crashOf("a", 1, poison, other), crashOf("b", 2, poison, other), crashOf("c", 3, poison, other)}, nil, []uint64{poison}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			history, entries := NewCrashHistory(), NewEntries()
			for _, n := range c.quarantined {
				entries.Add(hashOf(n), 3, simStart)
			}
			now := simStart.Add(30 * time.Second)
			for _, crash := range c.crashes {
				history.RecordCrash(crash, crash.At.Add(100*time.Millisecond))
			}
			for n, second := range c.served {
				history.RecordServed(hashOf(n), simStart.Add(time.Duration(second*float64(time.Second))))
			}
			var got []uint64
			for _, s := range history.Detect(StrategyGreedy, entries, now) {
				for n := uint64(1); n <= third; n++ {
					if s.ContentHash == hashOf(n) {
						got = append(got, n)
					}
				}
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestDetectAwaitsReports guards against quarantining the wrong request because some hosts have not
// reported a crash yet. Until the late reports arrive, request 2 has more crashes than request 1.
func TestDetectAwaitsReports(t *testing.T) {
	history, entries := NewCrashHistory(), NewEntries()
	now := simStart.Add(10 * time.Second)
	for _, c := range []Crash{crashOf("a", 1, 1, 2), crashOf("b", 3, 1, 2), crashOf("c", 10, 2)} {
		history.RecordCrash(c, c.At)
	}
	assert.Assert(t, history.AwaitingReports(now))
	assert.Equal(t, len(history.Detect(StrategyGreedy, entries, now)), 0)
	history.RecordCrash(crashOf("c", 10.1, 1), now.Add(200*time.Millisecond)) // from another host, which noticed the crash later
	history.RecordCrash(crashOf("d", 8, 1), now.Add(200*time.Millisecond))
	got := history.Detect(StrategyGreedy, entries, now.Add(time.Second))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].ContentHash, hashOf(1))
	assert.Assert(t, !history.AwaitingReports(now.Add(time.Second)))
}

// TestEntryDuration checks how long a request is quarantined the first and the second time, that
// one crash is enough the second time, and that a release ends it.
func TestEntryDuration(t *testing.T) {
	entries, hash, now := NewEntries(), hashOf(7), simStart
	_, active := entries.Lookup(hash, fixedClock(now))
	assert.Assert(t, !active && !entries.AnyActive())
	entry := entries.Add(hash, 3, now)
	assert.Equal(t, entry.Until.Sub(now), initialDuration)
	_, active = entries.Lookup(hash, fixedClock(now.Add(initialDuration-1)))
	assert.Assert(t, active && entries.AnyActive())
	_, active = entries.Lookup(hash, fixedClock(now.Add(initialDuration)))
	assert.Assert(t, !active, "quarantined for longer than stated")

	now = now.Add(initialDuration + time.Minute)
	history := NewCrashHistory()
	history.RecordCrash(Crash{Endpoint: "a", At: now, InFlight: []InFlight{{ContentHash: hash}}}, now)
	now = now.Add(time.Second)
	again := history.Detect(StrategyGreedy, entries, now)
	assert.Equal(t, len(again), 1, "one crash should be enough the second time")
	assert.Equal(t, entries.Add(hash, 1, now).Until.Sub(now), 2*initialDuration)
	assert.Equal(t, EntryDuration(1000), maxDuration)

	_, released := entries.Release(hash, now)
	assert.Assert(t, released)
	_, active = entries.Lookup(hash, fixedClock(now))
	assert.Assert(t, !active)
	_, released = entries.Release(hash, now)
	assert.Assert(t, !released)
}

// TestMergeInAnyOrder guards against hosts whose entries never become equal. Hosts that received
// the same entries, in any order and any number of times, must have the same list.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		reported := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) vetchtrail.QuarantineEntry {
			count := uint32(rapid.IntRange(1, 3).Draw(rt, "count"))
			return vetchtrail.QuarantineEntry{
				ContentHash: hashOf(uint64(rapid.IntRange(1, 3).Draw(rt, "request"))), Count: count, Crashes: 3,
				Until: simStart.Add(time.Duration(rapid.IntRange(1, 600).Draw(rt, "until")) * time.Second), Released: rapid.Bool().Draw(rt, "released"),
			}
		}), 1, 12).Draw(rt, "reported")
		a, b := NewEntries(), NewEntries()
		for _, entry := range reported {
			a.Merge(entry, simStart)
		}
		for _, entry := range rapid.Permutation(append(reported, reported...)).Draw(rt, "again") {
			b.Merge(entry, simStart)
		}
		assert.DeepEqual(rt, a.All(simStart), b.All(simStart))
		assert.Equal(rt, a.Version(simStart), b.Version(simStart))
	})
}

// TestBoundedMemory checks that memory stays bounded whatever callers send and however many
// endpoints crash.
func TestBoundedMemory(t *testing.T) {
	entries, history, now := NewEntries(), NewCrashHistory(), simStart
	for n := range uint64(3 * maxEntries) {
		entries.Add(hashOf(n+1), 3, now.Add(time.Duration(n)))
	}
	assert.Equal(t, len(entries.All(now)), maxEntries)
	_, active := entries.Lookup(hashOf(3*maxEntries), fixedClock(now))
	assert.Assert(t, active, "the newest entry was removed")
	for n := range uint64(3 * maxCrashes) {
		c := Crash{Endpoint: fmt.Sprint(n), At: now}
		for k := range uint64(2 * maxRequestsPerCrash) {
			c.InFlight = append(c.InFlight, InFlight{ContentHash: hashOf(1000*n + k)})
		}
		history.RecordCrash(c, now)
	}
	assert.Equal(t, len(history.crashes), maxCrashes)
	assert.Equal(t, len(history.requests), maxCrashes*maxRequestsPerCrash)
	history.RecordCrash(Crash{Endpoint: "late", At: now}, now.Add(2*crashRetention))
	assert.Equal(t, len(history.requests), 0)
}

// TestPersistedEntries checks what is persisted after a second host has written: higher counts and
// releases win, whichever host wrote them.
func TestPersistedEntries(t *testing.T) {
	entry := func(n uint64, count uint32, released bool) vetchtrail.QuarantineEntry {
		return vetchtrail.QuarantineEntry{ContentHash: hashOf(n), Count: count, Crashes: 3, Released: released}
	}
	cases := map[string]struct {
		persisted []vetchtrail.QuarantineEntry
		put       []vetchtrail.QuarantineEntry
		drop      []vetchtrail.ContentHash
		want      []PersistedEntry
	}{
		"none":                     {nil, nil, nil, nil},
		"one":                      {nil, []vetchtrail.QuarantineEntry{entry(1, 1, false)}, nil, []PersistedEntry{{hashOf(1).String(), 1, 3, false, false}}},
		"second request":           {[]vetchtrail.QuarantineEntry{entry(1, 1, false)}, []vetchtrail.QuarantineEntry{entry(2, 1, false)}, nil, []PersistedEntry{{hashOf(1).String(), 1, 3, false, false}, {hashOf(2).String(), 1, 3, false, false}}},
		"higher count":             {[]vetchtrail.QuarantineEntry{entry(1, 1, true)}, []vetchtrail.QuarantineEntry{entry(1, 2, false)}, nil, []PersistedEntry{{hashOf(1).String(), 2, 3, false, false}}},
		"lower count":              {[]vetchtrail.QuarantineEntry{entry(1, 2, false)}, []vetchtrail.QuarantineEntry{entry(1, 1, false)}, nil, []PersistedEntry{{hashOf(1).String(), 2, 3, false, false}}},
		"released":                 {[]vetchtrail.QuarantineEntry{entry(1, 1, false)}, []vetchtrail.QuarantineEntry{entry(1, 1, true)}, nil, []PersistedEntry{{hashOf(1).String(), 1, 3, true, false}}},
		"released by another host": {[]vetchtrail.QuarantineEntry{entry(1, 1, true)}, []vetchtrail.QuarantineEntry{entry(1, 1, false)}, nil, []PersistedEntry{{hashOf(1).String(), 1, 3, true, false}}},
		"expired":                  {[]vetchtrail.QuarantineEntry{entry(1, 1, false)}, nil, []vetchtrail.ContentHash{hashOf(1)}, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var persisted PersistedEntries
			persisted.Update(c.persisted, nil)
			persisted.Update(c.put, c.drop)
			text, err := persisted.Encode()
			assert.NilError(t, err)
			read, err := ParsePersistedEntries(text)
			assert.NilError(t, err)
			assert.DeepEqual(t, read.Entries, c.want)
			assert.Equal(t, len(read.EntriesAt(simStart)), len(c.want))
		})
	}
}

// FuzzParsePersistedEntries checks that any stored bytes yield only valid entries, none of which is
// in force for longer than the maximum.
func FuzzParsePersistedEntries(f *testing.F) {
	for _, seed := range []string{"", "{}", `{"holds":[{"digest":"00000000000000010000000000000000","strike":1,"ends":3}]}`, `{"holds":[{"digest":"zz","strike":1}]}`, `{"holds":7}`, `[]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		persisted, err := ParsePersistedEntries(text)
		for _, entry := range persisted.EntriesAt(simStart) {
			assert.Assert(t, entry.Count > 0 && entry.Until.After(simStart) && entry.Until.Sub(simStart) <= maxDuration, "%v %v", entry, err)
		}
	})
}
