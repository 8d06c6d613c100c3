// Package plain is a stand-in for a plain HTTP service, one that is not a model
// engine. It records each request as an execution and responds with a JSON
// Echo. GET /load returns its load report and GET /executions its executions. PUT
// /faults with a JSON Faults injects faults.
package plain

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"vetchtrail/standin/ledger"
	"vetchtrail/standin/listen"
)

// Faults are the faults that the service injects into its requests.
type Faults struct {
	LoseResponses int           `json:"lose_answers"` // number of further requests that are executed, but whose connection is closed without a response
	Refuse        bool          `json:"refuse"`       // respond with status 503, and X-Not-Started, as nothing was executed
	Delay         time.Duration `json:"delay"`        // how long an execution takes, in nanoseconds
	Leaving       bool          `json:"leaving"`      // report in /load that the service is leaving; it still executes requests
}

// Echo is the response to an executed request.
type Echo struct {
	Method          string `json:"method"`
	Path            string `json:"path"` // with the query
	Key             string `json:"key"`  // idempotency key; empty: none
	Body            string `json:"body"`
	ExecutionNumber int    `json:"run"` // counts this process's executions from 1
}

// Server is the plain service.
type Server struct {
	executions ledger.Ledger

	mu       sync.Mutex
	faults   Faults
	running  int // executions in progress
	executed int // executions started
}

// New returns a service without faults.
func New() *Server { return &Server{} }

// Serve handles the requests on a listener until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	return listen.Serve(ctx, l, s.handle)
}

// Executions returns the requests that were started.
func (s *Server) Executions() []ledger.Execution { return s.executions.All() }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// handle serves a request by its path. Requests to all paths but /faults, /load and
// /executions are executed.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/faults":
		var f Faults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	case "/load":
		s.handleLoad(ctx)
	case "/executions":
		s.executions.WriteJSON(ctx)
	default:
		s.execute(ctx)
	}
}

// loadReport is the response to GET /load.
type loadReport struct {
	At      int64 `json:"at"` // Unix time in milliseconds
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
	Leaving bool  `json:"leaving"`
}

// reportedSlots is the number of slots in load reports. The service executes any
// number of requests at once.
const reportedSlots = 64

// handleLoad returns the load report.
func (s *Server) handleLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, _ := json.Marshal(loadReport{At: time.Now().UnixMilli(), Running: s.running, Slots: reportedSlots, Leaving: s.faults.Leaving})
	ctx.SetBody(body)
}

// execute records a request and responds to it. With the fault Refuse, it rejects the
// request instead.
func (s *Server) execute(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	f := s.faults
	if f.Refuse {
		s.mu.Unlock()
		ctx.Response.Header.Set("X-Not-Started", "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.running++
	s.executed++
	number := s.executed
	loseResponse := f.LoseResponses > 0
	if loseResponse {
		s.faults.LoseResponses--
	}
	s.mu.Unlock()
	s.executions.Record(&ctx.Request.Header)
	time.Sleep(f.Delay)
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	if loseResponse {
		_ = ctx.Conn().Close()
		return
	}
	body, _ := json.Marshal(Echo{
		Method: string(ctx.Method()), Path: string(ctx.RequestURI()), Key: string(ctx.Request.Header.Peek("Idempotency-Key")),
		Body: string(ctx.PostBody()), ExecutionNumber: number,
	})
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
