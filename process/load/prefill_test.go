package load

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

func addrOf(last byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 80)
}

// models is a table with endpoints here and elsewhere that take prompts from
// each other.
func models(moveToken float64) *Table {
	t := New()
	var near []Placed
	for i := range 3 {
		near = append(near, Placed{Endpoint: vetchtrail.Endpoint{
			Name: string(rune('a' + i)), Service: "s", Slots: 8, Addr: addrOf(byte(i + 1)), MoveToken: moveToken,
		}})
	}
	t.Configure(near)
	t.SetFar(slices.Values([]Placed{{RegionID: 2, Endpoint: vetchtrail.Endpoint{Name: "far", Service: "s", Slots: 8, Addr: addrOf(9), MoveToken: moveToken}}}))
	return t
}

func asking(id string, session uint64, priority int8) *vetchtrail.Request {
	return &vetchtrail.Request{
		ID: id, Service: "s", Allowed: vetchtrail.AllRegions, Priority: priority,
		Prompt: []vetchtrail.PromptPart{{ID: 1, Tokens: 500}, {ID: session, Tokens: 4000}, {ID: 77, Tokens: 6000}},
	}
}

func views(t *Table, r *vetchtrail.Request) map[string]vetchtrail.EndpointView {
	var v vetchtrail.View
	t.Fill(&v, r, now)
	out := map[string]vetchtrail.EndpointView{}
	for _, e := range v.Endpoints {
		out[e.Name] = e
	}
	return out
}

// home is the endpoint here that is believed to hold all that a session shares.
func home(t *Table, session uint64) string {
	for name, e := range views(t, asking("look", session, 0)) {
		if e.Kept == 4500 {
			return name
		}
	}
	return ""
}

// TestPromptFrom: where an endpoint is told to take a kept prompt from.
func TestPromptFrom(t *testing.T) {
	const session = 5
	at := home(models(1e-7), session)
	other := "a"
	if at == "a" {
		other = "b"
	}
	third := string(rune('a' + 'b' + 'c' - int(at[0]) - int(other[0])))
	cases := map[string]struct {
		move    float64
		target  string
		allowed vetchtrail.RegionSet
		before  string // endpoint that was sent the session a moment ago
		want    netip.AddrPort
	}{
		"beside the home: from it":           {1e-7, other, vetchtrail.AllRegions, "", addrOf(at[0] - 'a' + 1)},
		"at the home: from elsewhere":        {1e-7, at, vetchtrail.AllRegions, "", addrOf(9)},
		"from where it was sent, not home":   {1e-7, other, vetchtrail.AllRegions, third, addrOf(third[0] - 'a' + 1)},
		"at the home, from where it was":     {1e-7, at, vetchtrail.AllRegions, third, addrOf(third[0] - 'a' + 1)},
		"not from where it may not be kept":  {1e-7, at, vetchtrail.RegionsOf(0), "", netip.AddrPort{}},
		"not where it was sent a moment ago": {1e-7, at, vetchtrail.AllRegions, at, netip.AddrPort{}},
		"not by endpoints that can't":        {0, other, vetchtrail.AllRegions, "", netip.AddrPort{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := models(c.move)
			if c.before != "" {
				assert.Assert(t, tab.Acquire(c.before, asking("before", session, 0), now))
			}
			r := asking("r", session, 0)
			r.Allowed = c.allowed
			assert.Assert(t, tab.Acquire(c.target, r, now))
			assert.Equal(t, r.PromptFrom, c.want)
		})
	}
}

// TestHomesAgree: hosts with the same list give a session the same home, and
// sessions spread over the endpoints.
func TestHomesAgree(t *testing.T) {
	seen := map[string]int{}
	for session := range uint64(300) {
		at := home(models(1e-7), session+10)
		assert.Equal(t, at, home(models(1e-7), session+10))
		seen[at]++
	}
	for name, n := range seen {
		assert.Assert(t, n > 60, "%s is home to %d of 300", name, n)
	}
	assert.Equal(t, len(seen), 3)
}

// TestBacklog: a request waits for the prompts that its endpoint reads before
// it, no longer once their answers have begun or they have ended.
func TestBacklog(t *testing.T) {
	e := vetchtrail.Endpoint{Name: "a"}
	cases := map[string]struct {
		do       func(t *Table)
		priority int8
		waits    bool
	}{
		"idle":             {func(*Table) {}, 0, false},
		"one of its rank":  {func(t *Table) { t.Acquire("a", asking("x", 3, 0), now) }, 0, true},
		"one more urgent":  {func(t *Table) { t.Acquire("a", asking("x", 3, 1), now) }, 0, true},
		"one less urgent":  {func(t *Table) { t.Acquire("a", asking("x", 3, -1), now) }, 0, false},
		"its answer began": {func(t *Table) { t.Acquire("a", asking("x", 3, 0), now); t.Started(e, asking("x", 3, 0), now) }, 0, false},
		"it ended": {func(t *Table) {
			t.Acquire("a", asking("x", 3, 0), now)
			t.Release("a", vetchtrail.Observation{Request: "x"}, now)
		}, 0, false},
		"others' by its word": {func(t *Table) { t.Told(e, vetchtrail.LoadReport{At: now, Queued: 4}) }, 0, true},
		"others' elsewhere, unheard of itself": {func(t *Table) {
			t.Told(vetchtrail.Endpoint{Name: "b"}, vetchtrail.LoadReport{At: now, Queued: 4})
		}, 0, true},
		"others' long ago": {func(t *Table) {
			t.Told(e, vetchtrail.LoadReport{At: now.Add(-time.Minute), Queued: 4})
		}, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := models(0)
			for i := range fitFew { // so that reading times are known
				tab.means["s"].prefill.observe(float64(1000*(i+1)), 0.01*float64(i+1))
			}
			tab.means["s"].prompt.observe(5000)
			c.do(tab)
			assert.Equal(t, views(tab, asking("r", 4, c.priority))["a"].Backlog > 0.001, c.waits)
		})
	}
}

// TestPrefillLearnt: the time to read is learnt from all that was to be read before
// an answer began, so that what a queue means in seconds is known.
func TestPrefillLearnt(t *testing.T) {
	const token = 2e-5 // seconds, of a busy endpoint
	tab := models(0)
	for round := range 100 {
		at := now.Add(time.Duration(round) * 10 * time.Second)
		for i := range 5 { // five prompts that wait for each other
			r := asking(string(rune('p'+i)), 4, 0)
			assert.Assert(t, tab.Acquire("a", r, at))
		}
		read := 0
		for i := range 5 {
			r := asking(string(rune('p'+i)), 4, 0)
			read += tab.endpoints["a"].reading[r.ID].tokens
			tab.Started(vetchtrail.Endpoint{Name: "a"}, r, at.Add(time.Duration(float64(read)*token*float64(time.Second))))
			tab.Release("a", vetchtrail.Observation{Request: r.ID, Outcome: vetchtrail.Outcome{Kind: vetchtrail.Answered}}, at.Add(9*time.Second))
		}
	}
	_, got := tab.means["s"].prefill.line()
	assert.Assert(t, got > 0.8*token && got < 1.2*token, "%g", got)
}

// TestSummaryWait: another data centre is told how long what waits here takes.
func TestSummaryWait(t *testing.T) {
	tab := models(0)
	for i := range fitFew {
		tab.means["s"].prefill.observe(float64(1000*(i+1)), 0.01*float64(i+1))
	}
	tab.means["s"].prompt.observe(5000)
	idle := tab.Summaries(now)[0].Wait
	for name := range tab.endpoints {
		tab.Told(vetchtrail.Endpoint{Name: name}, vetchtrail.LoadReport{At: now, Queued: 10})
	}
	busy := tab.Summaries(now)[0].Wait
	assert.Assert(t, busy > idle+200*time.Millisecond, "%s idle, %s busy", idle, busy)
}

// TestFit: seconds are told apart into those of the tokens and the rest.
func TestFit(t *testing.T) {
	f := newPrefill()
	for i := range 400 {
		tokens := float64(1000 + i%10*1000)
		f.observe(tokens, 0.05+tokens*9e-6)
	}
	base, token := f.line()
	assert.Assert(t, base > 0.045 && base < 0.055, "%g", base)
	assert.Assert(t, token > 8.5e-6 && token < 9.5e-6, "%g", token)
}

// TestGap: the time between events follows what is seen and fades when nothing
// is.
func TestGap(t *testing.T) {
	var g gap
	assert.Equal(t, g.at(now), 0.0)
	at := now
	for range 200 {
		at = at.Add(10 * time.Millisecond)
		g.observe(100*time.Millisecond, at)
	}
	assert.Assert(t, g.at(at) > 0.08 && g.at(at) <= 0.1, "%g", g.at(at))
	assert.Assert(t, g.at(at.Add(5*time.Second)) < 0.002)
}

// TestColdGate: a cold endpoint gets no more than this host's part.
func TestColdGate(t *testing.T) {
	cases := map[string]struct {
		rate float64
		want int // requests let through in 4 s of trying, of which 3 s are cold
	}{
		"not bounded":    {0, 400},
		"a part":         {1, 3 + 100},
		"no part at all": {-1, 100},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var g coldGate
			g.configure(now.Add(3*time.Second), c.rate)
			n := 0
			for i := range 400 {
				if g.take(now.Add(time.Duration(i) * 10 * time.Millisecond)) {
					n++
				}
			}
			assert.Equal(t, n, c.want)
		})
	}
}

// TestGapNow: an endpoint that no stream of this host has shown lately is taken
// to be as quick as others with as many requests.
func TestGapNow(t *testing.T) {
	const perRequest = 0.003
	tab := models(0)
	seen, other := vetchtrail.Endpoint{Name: "a"}, vetchtrail.Endpoint{Name: "b"}
	for running := range 40 {
		at := now.Add(time.Duration(running) * time.Millisecond)
		tab.Told(seen, vetchtrail.LoadReport{At: at, Running: running})
		tab.Paced(seen, time.Duration((0.02+perRequest*float64(running))*float64(time.Second)), at)
	}
	cases := map[string]struct {
		report vetchtrail.LoadReport
		low    float64
		high   float64
	}{
		"few run":       {vetchtrail.LoadReport{At: now, Running: 2}, 0.02, 0.035},
		"many run":      {vetchtrail.LoadReport{At: now, Running: 50}, 0.15, 0.19},
		"said long ago": {vetchtrail.LoadReport{At: now.Add(-time.Minute), Running: 50}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab.endpoints["b"].reported = false
			tab.Told(other, c.report)
			got := views(tab, asking("r", 4, 0))["b"].Gap
			assert.Assert(t, got >= c.low && got <= c.high, "%g", got)
		})
	}
}

// TestSilent: an endpoint is left when it says nothing on streams that took room
// here; one whose streams ended, or were only fetched again, is not.
func TestSilent(t *testing.T) {
	e := vetchtrail.Endpoint{Name: "a"}
	stream := asking("x", 3, 0)
	stream.Stream = true
	long := now.Add(time.Minute)
	cases := map[string]struct {
		do     func(t *Table)
		silent bool
	}{
		"nothing runs":     {func(*Table) {}, false},
		"a stream stopped": {func(t *Table) { t.Acquire("a", stream, now); t.Started(e, stream, now) }, true},
		"it was heard": {func(t *Table) {
			t.Acquire("a", stream, now)
			t.Started(e, stream, now)
			t.Paced(e, time.Second, long)
		}, false},
		"it ended": {func(t *Table) {
			t.Acquire("a", stream, now)
			t.Started(e, stream, now)
			t.Release("a", vetchtrail.Observation{Request: "x"}, now)
		}, false},
		"it took no room":    {func(t *Table) { t.Started(e, stream, now) }, false},
		"it has not started": {func(t *Table) { t.Acquire("a", stream, now) }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := models(0)
			c.do(tab)
			assert.Equal(t, tab.Silent(e, long), c.silent)
		})
	}
}
