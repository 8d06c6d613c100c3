// Package ledger records which requests a stand-in executed. Tests compare these
// records with the outcomes that the hosts report to callers. The comparison shows
// requests that ran twice, or that ran although a host reported that they did not.
package ledger

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"encoding/json"
)

// Execution is one started request.
type Execution struct {
	Request   string    `json:"request"`   // request id, from X-Request-Id
	Key       string    `json:"key"`       // idempotency key; empty: none
	Workspace string    `json:"workspace"` // empty: none
	At        time.Time `json:"at"`        // when it was started
}

// Ledger is a list of executions, or of arrivals if the stand-in records each request
// when it arrives. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	executions []Execution
}

// Record adds the execution of a request with these headers, started now.
func (l *Ledger) Record(h *fasthttp.RequestHeader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, Execution{
		Request: string(h.Peek("X-Request-Id")), Key: string(h.Peek("Idempotency-Key")), Workspace: string(h.Peek("X-Workspace")),
		At: time.Now(),
	})
}

// All returns a copy of the executions so far.
func (l *Ledger) All() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// WriteJSON responds to an HTTP request with the executions.
func (l *Ledger) WriteJSON(ctx *fasthttp.RequestCtx) {
	body, _ := json.Marshal(l.All())
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
