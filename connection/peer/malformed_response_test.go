package peer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestMalformedForwardedResponse guards against a malformed response that another host forwards and a caller gets.
func TestMalformedForwardedResponse(t *testing.T) {
	type writer = vetchtrail.ResponseWriter
	begin := func(status int, name, value string) func(w writer) {
		return func(w writer) {
			_ = w.Begin(status, []vetchtrail.HeaderField{{Name: "X-Name", Value: "1"}, {Name: name, Value: value}})
			_ = w.Write([]byte("ok"))
		}
	}
	body := func(w writer) { _ = w.Write([]byte("ok")) }
	cases := map[string]struct {
		respond func(w writer)
		ok      bool
		started bool // the caller has the beginning of the response from an earlier attempt
	}{
		"status 0":                 {begin(0, "X-A", "1"), false, false},
		"negative status":          {begin(-1, "X-A", "1"), false, false},
		"status 99":                {begin(99, "X-A", "1"), false, false},
		"interim status":           {begin(103, "X-A", "1"), false, false},
		"status 1000":              {begin(1000, "X-A", "1"), false, false},
		"blank in a name":          {begin(200, "X A", "1"), false, false},
		"control byte in a name":   {begin(200, "X-\x01", "1"), false, false},
		"no name":                  {begin(200, "", "1"), false, false},
		"line break in a value":    {begin(200, "X-A", "1\r\nX-B: 2"), false, false},
		"control byte in a value":  {begin(200, "X-A", "\x00"), false, false},
		"body without a beginning": {body, false, false},
		"end without a beginning":  {func(writer) {}, false, false},
		"rest of a response":       {body, true, true},
		"status 0, begun before":   {begin(0, "X-A", "1"), false, true},
		"odd but valid":            {begin(799, "!#$%&'*+-.^_`|~9", "\xe9 \t"), true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr, _ := serve(t, fakeHost{run: func(_ context.Context, _ *vetchtrail.Request, w writer) vetchtrail.Outcome {
				c.respond(w)
				return vetchtrail.Outcome{Kind: vetchtrail.OutcomeAnswered, Status: 200}
			}})
			client := New(Config{})
			defer client.Close()
			var got responseRecorder
			r := &vetchtrail.Request{ID: "r", ResponseStarted: c.started, Deadline: time.Now().Add(5 * time.Second)}
			o := client.Forward(t.Context(), vetchtrail.Host{Name: "h", PeerAddr: addr}, r, &got)
			if c.ok {
				assert.Equal(t, o.Kind, vetchtrail.OutcomeAnswered)
				assert.Equal(t, string(got.body), "ok")
				return
			}
			assert.Equal(t, o.Kind, vetchtrail.OutcomeUnknown, "%v", o)
			assert.Equal(t, o.Reason, vetchtrail.ReasonResponseBroken, "%v", o)
			assert.Equal(t, o.Status, 502)
			assert.Assert(t, !o.ResponseStarted && !o.HostLost, "%+v", o)
			assert.Equal(t, got.status, 0)
			assert.Equal(t, len(got.body), 0)
		})
	}
}

// TestForwardedFailureHasFailureStatus guards against a failure reported by another host that a caller gets with the status of a success.
func TestForwardedFailureHasFailureStatus(t *testing.T) {
	cases := map[string]struct {
		o      vetchtrail.Outcome
		kind   vetchtrail.OutcomeKind
		status int
	}{
		"unknown, no status":   {vetchtrail.Outcome{Kind: vetchtrail.OutcomeUnknown}, vetchtrail.OutcomeUnknown, 502},
		"unknown, 200":         {vetchtrail.Outcome{Kind: vetchtrail.OutcomeUnknown, Status: 200}, vetchtrail.OutcomeUnknown, 502},
		"unknown, 504":         {vetchtrail.Outcome{Kind: vetchtrail.OutcomeUnknown, Status: 504}, vetchtrail.OutcomeUnknown, 504},
		"not run, no status":   {vetchtrail.Outcome{Kind: vetchtrail.OutcomeNotRun}, vetchtrail.OutcomeNotRun, 503},
		"not run, 299":         {vetchtrail.Outcome{Kind: vetchtrail.OutcomeNotRun, Status: 299}, vetchtrail.OutcomeNotRun, 503},
		"not run, 403":         {vetchtrail.Outcome{Kind: vetchtrail.OutcomeNotRun, Status: 403}, vetchtrail.OutcomeNotRun, 403},
		"a kind of no outcome": {vetchtrail.Outcome{Kind: 7, Status: 200}, vetchtrail.OutcomeUnknown, 502},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr, _ := serve(t, fakeHost{run: func(context.Context, *vetchtrail.Request, vetchtrail.ResponseWriter) vetchtrail.Outcome { return c.o }})
			client := New(Config{})
			defer client.Close()
			r := &vetchtrail.Request{ID: "r", Deadline: time.Now().Add(5 * time.Second)}
			o := client.Forward(t.Context(), vetchtrail.Host{Name: "h", PeerAddr: addr}, r, &responseRecorder{})
			assert.Equal(t, o.Kind, c.kind)
			assert.Equal(t, o.Status, c.status)
		})
	}
}
