package load

import (
	"io"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// addrOf is an address whose last byte is given.
func addrOf(last byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, last}), 80)
}

// twoRegions is a table with the local endpoints a, b and c at the addresses 1 to 3, and a remote one at the
// address 9. If moveToken isn't 0, they can transfer prompts from each other.
func twoRegions(moveToken float64) *Table {
	t := New()
	var local []EndpointInRegion
	for i := range 3 {
		local = append(local, EndpointInRegion{Endpoint: vetchtrail.Endpoint{
			Name: string(rune('a' + i)), Service: "s", Slots: 8, Addr: addrOf(byte(i + 1)), MoveToken: moveToken,
		}})
	}
	t.Configure(local)
	t.SetRemote(slices.Values([]EndpointInRegion{{RegionID: 2, Endpoint: vetchtrail.Endpoint{Name: "remote", Service: "s", Slots: 8, Addr: addrOf(9), MoveToken: moveToken}}}))
	return t
}

// request is a request whose prompt shares 4500 tokens with others of its session, and has 6000 of its own.
func request(id string, session uint64, priority int8) *vetchtrail.Request {
	return &vetchtrail.Request{
		ID: id, Service: "s", AllowedRegions: vetchtrail.AllRegions, Priority: priority,
		Prompt: []vetchtrail.PromptPart{{ID: 1, Tokens: 500}, {ID: session, Tokens: 4000}, {ID: 77, Tokens: 6000}},
	}
}

// views is the view of each endpoint, by name.
func views(t *Table, r *vetchtrail.Request) map[string]vetchtrail.EndpointView {
	var v vetchtrail.View
	t.Fill(&v, r, now)
	out := map[string]vetchtrail.EndpointView{}
	for _, e := range v.Endpoints {
		out[e.Name] = e
	}
	return out
}

// preferredName is the name of a session's preferred endpoint among the local ones.
func preferredName(t *Table, session uint64) string {
	for name, e := range views(t, request("x", session, 0)) {
		if e.CachedTokens == 4500 {
			return name
		}
	}
	return ""
}

// TestTransferFrom guards against a KV cache transfer from an endpoint that is unlikely to have the prompt,
// from a region that isn't allowed, or to an endpoint that has the prompt or can't transfer it.
func TestTransferFrom(t *testing.T) {
	const session = 5
	preferred := preferredName(twoRegions(1e-7), session)
	other := "a"
	if preferred == "a" {
		other = "b"
	}
	third := string(rune('a' + 'b' + 'c' - int(preferred[0]) - int(other[0])))
	cases := map[string]struct {
		moveToken float64
		target    string // endpoint that gets the request
		allowed   vetchtrail.RegionSet
		lastSent  string // endpoint to which the session was sent just before; empty: none
		want      netip.AddrPort
	}{
		"not at the home: from the home":               {1e-7, other, vetchtrail.AllRegions, "", addrOf(preferred[0] - 'a' + 1)},
		"at the home: from the remote endpoint":        {1e-7, preferred, vetchtrail.AllRegions, "", addrOf(9)},
		"last sent elsewhere: from there":              {1e-7, other, vetchtrail.AllRegions, third, addrOf(third[0] - 'a' + 1)},
		"at the home, last sent elsewhere: from there": {1e-7, preferred, vetchtrail.AllRegions, third, addrOf(third[0] - 'a' + 1)},
		"remote region not allowed: none":              {1e-7, preferred, vetchtrail.RegionsOf(0), "", netip.AddrPort{}},
		"last sent here: none":                         {1e-7, preferred, vetchtrail.AllRegions, preferred, netip.AddrPort{}},
		"transfer not possible: none":                  {0, other, vetchtrail.AllRegions, "", netip.AddrPort{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := twoRegions(c.moveToken)
			if c.lastSent != "" {
				assert.Assert(t, tab.Acquire(c.lastSent, request("before", session, 0), now))
			}
			r := request("r", session, 0)
			r.AllowedRegions = c.allowed
			assert.Assert(t, tab.Acquire(c.target, r, now))
			assert.Equal(t, r.TransferFrom, c.want)
		})
	}
}

// TestTransferWithinVersion guards against a KV cache transfer from an endpoint of another software version.
func TestTransferWithinVersion(t *testing.T) {
	const session = 5
	cases := map[string]struct {
		versions string // of the local endpoints a, b and c, and of the remote one
		lastSent string // endpoint to which the session was sent just before; empty: none
		sources  []netip.AddrPort
	}{
		"all of one version":                 {"1111", "b", []netip.AddrPort{addrOf(2)}},
		"last sent to the other version":     {"1211", "b", []netip.AddrPort{addrOf(3), addrOf(9)}},
		"only the remote one of its version": {"1221", "", []netip.AddrPort{addrOf(9)}},
		"none of its version":                {"1222", "c", []netip.AddrPort{{}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var local []EndpointInRegion
			for i := range 3 {
				local = append(local, EndpointInRegion{Endpoint: vetchtrail.Endpoint{
					Name: string(rune('a' + i)), Service: "s", Slots: 8, Addr: addrOf(byte(i + 1)), MoveToken: 1e-7, SoftwareVersion: c.versions[i : i+1],
				}})
			}
			tab := New()
			tab.Configure(local)
			tab.SetRemote(slices.Values([]EndpointInRegion{{RegionID: 2, Endpoint: vetchtrail.Endpoint{
				Name: "remote", Service: "s", Slots: 8, Addr: addrOf(9), MoveToken: 1e-7, SoftwareVersion: c.versions[3:],
			}}}))
			if c.lastSent != "" {
				assert.Assert(t, tab.Acquire(c.lastSent, request("before", session, 0), now))
			}
			r := request("r", session, 0)
			assert.Assert(t, tab.Acquire("a", r, now))
			assert.Assert(t, slices.Contains(c.sources, r.TransferFrom), "from %v", r.TransferFrom)
		})
	}
}

// TestPreferredEndpoint guards against hosts that prefer different endpoints for a session though they have the same
// endpoints, and against sessions that are unevenly spread over the endpoints.
func TestPreferredEndpoint(t *testing.T) {
	sessions := map[string]int{} // by preferred endpoint
	for session := range uint64(300) {
		preferred := preferredName(twoRegions(1e-7), session+10)
		assert.Equal(t, preferred, preferredName(twoRegions(1e-7), session+10))
		sessions[preferred]++
	}
	for name, n := range sessions {
		assert.Assert(t, n > 60, "%s is home to %d of 300", name, n)
	}
	assert.Equal(t, len(sessions), 3)
}

// TestBacklog guards against a backlog that leaves out prompts that the endpoint processes before a request, or
// that includes prompts that are less urgent, already processed, or of requests that have ended. Other hosts'
// prompts are estimated from the load reports.
func TestBacklog(t *testing.T) {
	e := vetchtrail.Endpoint{Name: "a"}
	cases := map[string]struct {
		do       func(t *Table)
		priority int8
		waits    bool // the request has a backlog
	}{
		"idle":               {func(*Table) {}, 0, false},
		"one as urgent":      {func(t *Table) { t.Acquire("a", request("x", 3, 0), now) }, 0, true},
		"one more urgent":    {func(t *Table) { t.Acquire("a", request("x", 3, 1), now) }, 0, true},
		"one less urgent":    {func(t *Table) { t.Acquire("a", request("x", 3, -1), now) }, 0, false},
		"its response began": {func(t *Table) { t.Acquire("a", request("x", 3, 0), now); t.ResponseStarted(e, request("x", 3, 0), now) }, 0, false},
		"it has ended": {func(t *Table) {
			t.Acquire("a", request("x", 3, 0), now)
			t.Release("a", vetchtrail.Observation{Request: "x"}, now)
		}, 0, false},
		"other hosts' prompts, by its report": {func(t *Table) { t.LoadReported(e, vetchtrail.LoadReport{TakenAt: now, Queued: 4}) }, 0, true},
		"other hosts' prompts, by the mean without a report": {func(t *Table) {
			t.LoadReported(vetchtrail.Endpoint{Name: "b"}, vetchtrail.LoadReport{TakenAt: now, Queued: 4})
		}, 0, true},
		"other hosts' prompts, by an old report": {func(t *Table) {
			t.LoadReported(e, vetchtrail.LoadReport{TakenAt: now.Add(-time.Minute), Queued: 4})
		}, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := twoRegions(0)
			for i := range minFitObservations { // so that the time for a token is known
				tab.serviceStats["s"].prefillFit.observe(float64(1000*(i+1)), 0.01*float64(i+1))
			}
			tab.serviceStats["s"].uncachedTokens.observe(5000)
			c.do(tab)
			assert.Equal(t, views(tab, request("r", 4, c.priority))["a"].Backlog > 0.001, c.waits)
		})
	}
}

// TestPrefillFit guards against a time for a token that includes the wait in a queue. The seconds to a first
// byte are fitted to all tokens that were processed until then, those of the prompts ahead included.
func TestPrefillFit(t *testing.T) {
	const token = 2e-5 // seconds
	tab := twoRegions(0)
	for round := range 100 {
		at := now.Add(time.Duration(round) * 10 * time.Second)
		for i := range 5 { // five prompts that are processed one after the other
			r := request(string(rune('p'+i)), 4, 0)
			assert.Assert(t, tab.Acquire("a", r, at))
		}
		processed := 0
		for i := range 5 {
			r := request(string(rune('p'+i)), 4, 0)
			processed += tab.endpoints["a"].pendingPrompts[r.ID].tokens
			tab.ResponseStarted(vetchtrail.Endpoint{Name: "a"}, r, at.Add(time.Duration(float64(processed)*token*float64(time.Second))))
			tab.Release("a", vetchtrail.Observation{Request: r.ID, Outcome: vetchtrail.Outcome{Kind: vetchtrail.OutcomeAnswered}}, at.Add(9*time.Second))
		}
	}
	_, got := tab.serviceStats["s"].prefillFit.line()
	assert.Assert(t, got > 0.8*token && got < 1.2*token, "%g", got)
}

// TestSummaryWait guards against a summary whose wait ignores the queues of the endpoints.
func TestSummaryWait(t *testing.T) {
	tab := twoRegions(0)
	for i := range minFitObservations {
		tab.serviceStats["s"].prefillFit.observe(float64(1000*(i+1)), 0.01*float64(i+1))
	}
	tab.serviceStats["s"].uncachedTokens.observe(5000)
	idle := tab.Summaries(now)[0].Wait
	for name := range tab.endpoints {
		tab.LoadReported(vetchtrail.Endpoint{Name: name}, vetchtrail.LoadReport{TakenAt: now, Queued: 10})
	}
	busy := tab.Summaries(now)[0].Wait
	assert.Assert(t, busy > idle+200*time.Millisecond, "%s idle, %s busy", idle, busy)
}

// TestLinearFit guards against a line that attributes constant time to the tokens.
func TestLinearFit(t *testing.T) {
	f := newPrefillFit()
	for i := range 400 {
		tokens := float64(1000 + i%10*1000)
		f.observe(tokens, 0.05+tokens*9e-6)
	}
	base, token := f.line()
	assert.Assert(t, base > 0.045 && base < 0.055, "%g", base)
	assert.Assert(t, token > 8.5e-6 && token < 9.5e-6, "%g", token)
}

// TestEventInterval guards against a mean interval that doesn't follow the observations, or stays after the
// streams have ended.
func TestEventInterval(t *testing.T) {
	var interval eventInterval
	assert.Equal(t, interval.decayedMean(now), 0.0)
	at := now
	for range 200 {
		at = at.Add(10 * time.Millisecond)
		interval.observe(100*time.Millisecond, at)
	}
	assert.Assert(t, interval.decayedMean(at) > 0.08 && interval.decayedMean(at) <= 0.1, "%g", interval.decayedMean(at))
	assert.Assert(t, interval.decayedMean(at.Add(5*time.Second)) < 0.002)
}

// TestColdStartLimiter guards against more requests to an endpoint during its cold start than this host's share
// of its rate.
func TestColdStartLimiter(t *testing.T) {
	cases := map[string]struct {
		rate float64
		want int // requests sent of 100 a second for 4 s, of which 3 s are the cold start
	}{
		"not bounded": {0, 400},
		"a share":     {1, 3 + 100},
		"no share":    {-1, 100},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var limiter coldStartLimiter
			limiter.configure(now.Add(3*time.Second), c.rate)
			n := 0
			for i := range 400 {
				if limiter.acquire(now.Add(time.Duration(i) * 10 * time.Millisecond)) {
					n++
				}
			}
			assert.Equal(t, n, c.want)
		})
	}
}

// TestExpectedEventInterval guards against an interval of 0 for an endpoint without recent streams of this host. If
// the endpoint has a recent report, the interval is estimated from other endpoints with as many running requests.
func TestExpectedEventInterval(t *testing.T) {
	const perRequest = 0.003
	tab := twoRegions(0)
	observed, other := vetchtrail.Endpoint{Name: "a"}, vetchtrail.Endpoint{Name: "b"}
	for running := range 40 {
		at := now.Add(time.Duration(running) * time.Millisecond)
		tab.LoadReported(observed, vetchtrail.LoadReport{TakenAt: at, Running: running})
		tab.EventReceived(observed, time.Duration((0.02+perRequest*float64(running))*float64(time.Second)), at)
	}
	cases := map[string]struct {
		report vetchtrail.LoadReport
		least  float64
		most   float64
	}{
		"few run":       {vetchtrail.LoadReport{TakenAt: now, Running: 2}, 0.02, 0.035},
		"many run":      {vetchtrail.LoadReport{TakenAt: now, Running: 50}, 0.15, 0.19},
		"an old report": {vetchtrail.LoadReport{TakenAt: now.Add(-time.Minute), Running: 50}, 0, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab.endpoints["b"].hasReport = false
			tab.LoadReported(other, c.report)
			got := views(tab, request("r", 4, 0))["b"].EventInterval
			assert.Assert(t, got >= c.least && got <= c.most, "%g", got)
		})
	}
}

// TestSilent guards against an endpoint that stays in use although nothing arrives on its started streams, and
// against an endpoint that counts as silent without such a stream, or because this host's process was stopped. A
// resumed stream isn't in flight and doesn't count.
func TestSilent(t *testing.T) {
	e := vetchtrail.Endpoint{Name: "a"}
	stream := request("x", 3, 0)
	stream.Stream = true
	long := now.Add(time.Minute)
	stopped := func(t *Table, wentOn, last time.Time) {
		t.Acquire("a", stream, now)
		t.ResponseStarted(e, stream, now)
		t.RecordRunning(now)
		for at := wentOn; !at.After(last); at = at.Add(runningInterval) {
			t.RecordRunning(at)
		}
	}
	cases := map[string]struct {
		do     func(t *Table)
		silent bool
	}{
		"this host runs":             {func(t *Table) { stopped(t, now, long) }, true},
		"this host was stopped":      {func(t *Table) { stopped(t, long.Add(time.Second), long) }, false},
		"this host has just gone on": {func(t *Table) { stopped(t, long.Add(-minSilence), long) }, false},
		"this host went on before":   {func(t *Table) { stopped(t, long.Add(-minSilence-runningInterval), long) }, true},
		"nothing runs":               {func(*Table) {}, false},
		"a stream stopped":           {func(t *Table) { t.Acquire("a", stream, now); t.ResponseStarted(e, stream, now) }, true},
		"an event arrived": {func(t *Table) {
			t.Acquire("a", stream, now)
			t.ResponseStarted(e, stream, now)
			t.EventReceived(e, time.Second, long)
		}, false},
		"it has ended": {func(t *Table) {
			t.Acquire("a", stream, now)
			t.ResponseStarted(e, stream, now)
			t.Release("a", vetchtrail.Observation{Request: "x"}, now)
		}, false},
		"not read by this host": {func(t *Table) {
			t.Acquire("a", stream, now)
			t.ResponseStarted(e, stream, now)
			t.StreamPaused(e, stream)
		}, false},
		"read again, and nothing came": {func(t *Table) {
			t.Acquire("a", stream, now)
			t.ResponseStarted(e, stream, now)
			t.StreamPaused(e, stream)
			t.StreamResumed(e, stream, now)
		}, true},
		"one stopped beside one that is not read": {func(t *Table) {
			unread := request("y", 3, 0)
			unread.Stream = true
			for _, r := range []*vetchtrail.Request{stream, unread} {
				t.Acquire("a", r, now)
				t.ResponseStarted(e, r, now)
			}
			t.StreamPaused(e, unread)
		}, true},
		"one stopped after one ended that was not read": {func(t *Table) {
			unread := request("y", 3, 0)
			unread.Stream = true
			for _, r := range []*vetchtrail.Request{stream, unread} {
				t.Acquire("a", r, now)
				t.ResponseStarted(e, r, now)
			}
			t.StreamPaused(e, unread)
			t.Release("a", vetchtrail.Observation{Request: "y"}, now)
		}, true},
		"a resumed stream":  {func(t *Table) { t.ResponseStarted(e, stream, now) }, false},
		"no first byte yet": {func(t *Table) { t.Acquire("a", stream, now) }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := twoRegions(0)
			c.do(tab)
			_, silent := tab.Silent(e, long)
			assert.Equal(t, silent, c.silent)
		})
	}
}

// TestSilenceOfService guards against a silence of one endpoint that is taken for one of all, and against one
// whose connections still succeed or not.
func TestSilenceOfService(t *testing.T) {
	e, other := vetchtrail.Endpoint{Name: "a", Service: "s"}, vetchtrail.Endpoint{Name: "b", Service: "s"}
	now := time.Unix(1000, 0)
	long := now.Add(time.Minute)
	start := func(t *Table, e vetchtrail.Endpoint, id string) *vetchtrail.Request {
		r := request(id, 2, 0)
		r.Stream = true
		t.Acquire(e.Name, r, now)
		t.ResponseStarted(e, r, now)
		return r
	}
	cases := map[string]struct {
		do   func(t *Table)
		want vetchtrail.Silence
	}{
		"only its streams are read": {func(*Table) {}, vetchtrail.Silence{}},
		"another is silent too":     {func(t *Table) { start(t, other, "y") }, vetchtrail.Silence{Standstill: true}},
		"another goes on":           {func(t *Table) { start(t, other, "y"); t.EventReceived(other, time.Second, long) }, vetchtrail.Silence{}},
		"another's caller is slow":  {func(t *Table) { t.StreamPaused(other, start(t, other, "y")) }, vetchtrail.Silence{}},
		"it accepts connections":    {func(t *Table) { t.RecordConnected(e, long) }, vetchtrail.Silence{Connected: true}},
		"it accepted one before":    {func(t *Table) { t.RecordConnected(e, now.Add(-time.Second)) }, vetchtrail.Silence{}},
		"it refuses connections":    {func(t *Table) { t.RecordConnectFailure(e, long, io.EOF) }, vetchtrail.Silence{}},
		"both, and it accepts them": {func(t *Table) { start(t, other, "y"); t.RecordConnected(e, long) }, vetchtrail.Silence{Connected: true, Standstill: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := twoRegions(0)
			start(tab, e, "x")
			c.do(tab)
			got, silent := tab.Silent(e, long)
			assert.Assert(t, silent)
			c.want.Endpoint = "a"
			assert.Equal(t, got, c.want)
		})
	}
}
