package idempotency

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"vetchtrail"
	_ "vetchtrail/standin/seeded"
)

var now = time.Unix(1_800_000_000, 0)

// discard is a ResponseWriter that discards the response. If disconnected is set, it
// returns errors as if the caller had disconnected.
type discard struct{ disconnected bool }

func (d discard) Begin(int, []vetchtrail.HeaderField) error { return d.err() }
func (d discard) Write([]byte) error                        { return d.err() }
func (d discard) err() error {
	if d.disconnected {
		return errors.New("the caller has disconnected")
	}
	return nil
}

func newTestRegistry(maxBytes int) *Registry {
	return New(Config{Host: "h", Incarnation: 7, KeyTime: time.Minute, MaxBytes: maxBytes})
}

// TestParse checks that Parse returns the key that was issued and rejects other texts.
// Callers may send any value in the header, and a damaged key must not start a request.
func TestParse(t *testing.T) {
	issued := newTestRegistry(1).Issue(now)
	cases := map[string]struct {
		text string
		ok   bool
	}{
		"issued key":               {issued.String(), true},
		"key chosen by the caller": {"booking-4711", false},
		"empty":                    {"", false},
		"no host":                  {"v1..7.1800000000.aa", false},
		"no incarnation":           {"v1.h.x.1800000000.aa", false},
		"no time":                  {"v1.h.7.soon.aa", false},
		"no nonce":                 {"v1.h.7.1800000000.", false},
		"unknown version":          {"v9.h.7.1800000000.aa", false},
		"too many parts":           {"v1.h.h.7.1800000000.aa", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			k, err := Parse(c.text)
			assert.Equal(t, err == nil, c.ok)
			if c.ok {
				assert.Equal(t, k, issued)
			}
		})
	}
}

// TestRegistryRunsOnce guards against a second run of a request with a key. It checks with
// random sequences of calls that a request is started again only if it did not run before,
// that a repeated request has the outcome of the first unless the response was not stored,
// and that the records stay within their memory limit.
func TestRegistryRunsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		registry := newTestRegistry(8 * recordBytes)
		clock := now
		type state struct {
			key  Key
			rec  *Record
			runs int // times the request may have run
		}
		var states []*state
		pick := func() *state {
			if len(states) == 0 {
				rt.Skip("no keys")
			}
			return states[rapid.IntRange(0, len(states)-1).Draw(rt, "key")]
		}
		rt.Repeat(map[string]func(*rapid.T){
			"issue": func(*rapid.T) { states = append(states, &state{key: registry.Issue(clock)}) },
			"wait": func(rt *rapid.T) {
				clock = clock.Add(time.Duration(rapid.IntRange(1, 400).Draw(rt, "s")) * time.Second)
			},
			"begin": func(rt *rapid.T) {
				s := pick()
				rec, first, err := registry.Begin(s.key, 1, clock)
				if err != nil {
					assert.Assert(rt, errors.Is(err, ErrFull) || errors.Is(err, ErrExpired))
					return
				}
				if first {
					assert.Assert(rt, s.rec == nil && s.runs == 0, "started twice")
					assert.Assert(rt, clock.Before(s.key.Expires), "started after its expiry")
					s.rec = rec
					s.runs++
					return
				}
				assert.Assert(rt, s.runs == 1)
				_, _, err = registry.Begin(s.key, 2, clock)
				assert.Assert(rt, errors.Is(err, ErrReused))
			},
			"finish": func(rt *rapid.T) {
				s := pick()
				if s.rec == nil {
					rt.Skip("not running")
				}
				tee := &Tee{To: discard{disconnected: rapid.Bool().Draw(rt, "gone")}}
				o := vetchtrail.Outcome{Kind: vetchtrail.OutcomeKind(rapid.IntRange(0, 2).Draw(rt, "kind"))}
				if o.Kind == vetchtrail.OutcomeAnswered {
					assert.NilError(rt, tee.Begin(200, nil))
					assert.NilError(rt, tee.Write(make([]byte, rapid.IntRange(0, 3*recordBytes).Draw(rt, "size"))))
				}
				registry.Finish(s.key, s.rec, tee, o)
				got := s.rec.Replay(discard{})
				assert.Assert(rt, got.Kind == o.Kind || got.Reason == vetchtrail.ReasonResponseNotStored)
				if o.Kind == vetchtrail.OutcomeNotRun {
					s.runs = 0
				}
				s.rec = nil
			},
			"": func(rt *rapid.T) { assert.Assert(rt, registry.Stats().Bytes <= 8*recordBytes+1) },
		})
	})
}

// BenchmarkKeeper measures the memory that a number of records takes.
func BenchmarkKeeper(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				registry := newTestRegistry(1 << 30)
				for range n {
					key := registry.Issue(now)
					rec, _, err := registry.Begin(key, 1, now)
					assert.NilError(b, err)
					tee := &Tee{To: discard{}}
					_ = tee.Write(make([]byte, 256))
					registry.Finish(key, rec, tee, vetchtrail.Outcome{Kind: vetchtrail.OutcomeAnswered})
				}
			}
		})
	}
}
