package endpoint

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/connection/buffer"
	"vetchtrail/standin/wire"
)

// countingWriter counts the bytes of a response's body.
type countingWriter struct{ bytes int }

func (*countingWriter) Begin(int, []vetchtrail.HeaderField) error { return nil }
func (w *countingWriter) Write(part []byte) error                 { w.bytes += len(part); return nil }

// TestSmallResponsesNeedNoRoom guards against small responses that wait for the memory that large ones hold.
func TestSmallResponsesNeedNoRoom(t *testing.T) {
	const stream = "text/event-stream"
	cases := map[string]struct {
		bytes       int
		contentType string
		answered    bool
	}{
		"small body":  {maxUncountedBytes, "text/plain", true},
		"large body":  {maxUncountedBytes + 1, "text/plain", false},
		"small event": {maxUncountedBytes, stream, true},
		"large event": {2 * maxUncountedBytes, stream, false},
	}
	for name, c := range cases {
		for _, full := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, no room %t", name, full), func(t *testing.T) {
				budget := buffer.NewResponseBudget(1 << 20)
				if full {
					other := budget.NewAccount()
					defer other.Close()
					assert.NilError(t, other.Reserve(t.Context(), 1<<20))
				}
				body := strings.Repeat("x", c.bytes-2) + "\n\n"
				e := wire.Serve(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", c.contentType, len(body), body))
				k := New(Config{Responses: budget, Guard: func(context.Context, vetchtrail.Endpoint, *vetchtrail.Request) vetchtrail.Reason { return "" }})
				timeout := 10 * time.Second
				if full && !c.answered {
					timeout = 300 * time.Millisecond
				}
				r := &vetchtrail.Request{ID: "r", Route: "p", Method: "GET", Path: "/", Stream: true, Deadline: time.Now().Add(timeout)}
				w := &countingWriter{}
				o, _ := k.Call(t.Context(), vetchtrail.Endpoint{Name: "e", Addr: e.Addr}, r, w)
				if c.answered || !full {
					assert.Equal(t, o.Kind, vetchtrail.OutcomeAnswered, "%v", o)
					assert.Equal(t, w.bytes, len(body))
				} else {
					assert.Equal(t, o.Kind, vetchtrail.OutcomeUnknown, "%v", o)
					assert.Equal(t, w.bytes, 0)
				}
				if !full {
					assert.Equal(t, budget.Stats().Used, 0)
				}
			})
		}
	}
}
