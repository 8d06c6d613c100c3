// Package engine is a stand-in for a model engine: it simulates the timing of an engine
// and runs no model. It decodes several requests at once, caches prompt prefixes in
// limited memory, slows down as its batch fills, reports its load with a lag, and
// resumes and cancels streams. Its responses are a function of the prompt, so that a test
// can detect a wrong or truncated response.
//
// Its paths besides /v1/ are:
//
//	PUT /faults       injects faults, a JSON Faults
//	PUT /rate         sets the rate limit that it advertises, a JSON string
//	GET, PUT /words   the availability that it announces, a JSON Announcement
//	GET /load         its load report
//	GET /arrivals     completion requests that arrived, rejected ones included
//	GET /executions   completion requests that it started
//	GET /life         its crashes, a JSON CrashHistory
//	GET /stats        totals, a JSON Stats
package engine

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"vetchtrail/standin/ledger"
	"vetchtrail/standin/listen"
)

// Config is an engine's size and speed.
type Config struct {
	Slots   int           // requests decoded at once
	Queue   int           // requests that may wait for a slot; further ones are rejected
	Prefill time.Duration // for each prompt token that is not cached
	Step    time.Duration // between two tokens of a request, before the slowdown by Drag
	Drag    float64       // share by which a step takes longer if all slots are in use; proportional to the slots in use
	Cache   int           // capacity of the prefix cache, in prompt tokens
	Lag     time.Duration // minimum age of the load reports that it returns
	// Crash sets when it crashes under a poison request.
	Crash CrashConfig
}

// Faults are the faults that the engine injects into its requests.
type Faults struct {
	Slow      float64       `json:"slow"`       // factor on all times; 0: 1
	Refuse    bool          `json:"refuse"`     // respond with status 503, and X-Not-Started, as nothing was executed
	Reset     int           `json:"reset"`      // number of further requests whose connection is closed without a response
	CutAfter  int           `json:"cut_after"`  // events after which the connection of a stream is closed; 0: never
	EndEarly  int           `json:"end_early"`  // events after which a stream ends without an error and without its last event; 0: never
	Nonsense  bool          `json:"nonsense"`   // respond with bytes that are not HTTP
	Silent    bool          `json:"silent"`     // start requests and never respond, until the caller closes the connection
	NoReports bool          `json:"no_reports"` // respond to /load with status 503
	Leaving   bool          `json:"leaving"`    // report in /load that the engine is leaving; it still executes requests
	Delay     time.Duration `json:"delay"`      // before a request is started, in nanoseconds
}

// Server is the engine.
type Server struct {
	cfg        Config
	executions ledger.Ledger // completion requests that it started
	arrivals   ledger.Ledger // completion requests that arrived, rejected ones included

	mu           sync.Mutex
	faults       Faults
	rateLimit    string // requests a second, as advertised in its responses; empty: not advertised
	announced    Announcement
	startedAt    time.Time       // of the process instance; reset after a crash
	running      int             // slots in use
	waiting      []chan struct{} // queue for a slot, oldest first; a channel is closed when its request gets one
	cache        prefixCache
	streams      map[string]*stream // by request id
	reports      []loadReport       // oldest first
	stats        Stats
	crashHistory CrashHistory
	abort        func() // closes the listener and resets its connections; nil once it was called
}

// Stats are an engine's totals since its first start.
type Stats struct {
	Started   int           `json:"started"`   // generations
	Cancelled int           `json:"cancelled"` // generations that were cancelled because they had no reader
	Prompt    int           `json:"prompt"`    // prompt tokens
	Cached    int           `json:"cached"`    // prompt tokens found in the prefix cache
	SlotTime  time.Duration `json:"busy"`      // sum over all slots of the time in use, in nanoseconds
}

// New returns an engine with an empty cache.
func New(c Config) *Server {
	return &Server{cfg: c, streams: map[string]*stream{}, cache: prefixCache{capacityTokens: c.Cache}, startedAt: time.Now()}
}

// Serve handles the requests on a listener until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	go s.recordLoad(ctx)
	if s.cfg.Crash.PoisonText != "" {
		return s.serveWithCrashes(ctx, l)
	}
	return listen.Serve(ctx, l, s.handle)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Executions returns the requests that were started.
func (s *Server) Executions() []ledger.Execution { return s.executions.All() }

// Stats returns the totals so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// handle serves a request by its path; the package comment lists the paths.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/faults":
		s.handleFaults(ctx)
	case path == "/rate":
		s.handleRateLimit(ctx)
	case path == "/words":
		s.handleAnnouncement(ctx)
	case path == "/arrivals":
		s.arrivals.WriteJSON(ctx)
	case path == "/load":
		s.handleLoad(ctx)
	case path == "/executions":
		s.executions.WriteJSON(ctx)
	case path == "/life":
		writeJSON(ctx, s.CrashHistory())
	case path == "/stats":
		writeJSON(ctx, s.Stats())
	case strings.HasPrefix(path, "/v1/streams/"):
		s.announce(ctx)
		s.handleResume(ctx, strings.TrimPrefix(path, "/v1/streams/"))
	case strings.HasPrefix(path, "/v1/"):
		s.arrivals.Record(&ctx.Request.Header)
		s.announce(ctx)
		s.handleCompletion(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// handleFaults replaces the faults by those in the body.
func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// handleRateLimit replaces the advertised rate limit by the one in the body.
func (s *Server) handleRateLimit(ctx *fasthttp.RequestCtx) {
	var rateLimit string
	if err := json.Unmarshal(ctx.PostBody(), &rateLimit); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimit = rateLimit
}

// writeJSON responds to a request with a value as JSON.
func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, _ := json.Marshal(v)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// loadReport is the response to GET /load.
type loadReport struct {
	At      int64 `json:"at"`      // Unix time of the figures, in milliseconds
	Running int   `json:"running"` // slots in use
	Queued  int   `json:"queued"`  // requests that wait for a slot
	Slots   int   `json:"slots"`
	StepUS  int64 `json:"step_us"` // time between two tokens of a request, in microseconds
	Leaving bool  `json:"leaving"`
	Up      int64 `json:"up"` // time since the process instance started, in milliseconds
}

// reportInterval is the time between two recorded load reports.
const reportInterval = 20 * time.Millisecond

// recordLoad records a load report at each interval until ctx ends. It keeps the
// newest ones only.
func (s *Server) recordLoad(ctx context.Context) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		s.mu.Lock()
		s.reports = append(s.reports, loadReport{
			At: time.Now().UnixMilli(), Running: s.running, Queued: len(s.waiting), Slots: s.cfg.Slots,
			StepUS: s.stepTime().Microseconds(), Leaving: s.faults.Leaving,
		})
		if n := len(s.reports); n > 1024 {
			s.reports = append([]loadReport(nil), s.reports[n-512:]...)
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// handleLoad returns the newest load report that is at least as old as the lag, with
// the current values of Leaving and Up. If none is old enough, it reports an idle
// engine.
func (s *Server) handleLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.NoReports {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	newestAt := time.Now().Add(-s.cfg.Lag).UnixMilli()
	for i := len(s.reports) - 1; i >= 0; i-- {
		if r := s.reports[i]; r.At <= newestAt {
			r.Leaving, r.Up = s.faults.Leaving, s.uptimeMillis()
			writeJSON(ctx, r)
			return
		}
	}
	writeJSON(ctx, loadReport{At: newestAt, Slots: s.cfg.Slots, Leaving: s.faults.Leaving, Up: s.uptimeMillis()})
}

// stepTime returns the time between two tokens of a request at the current load.
// The caller holds the lock.
func (s *Server) stepTime() time.Duration {
	usedShare := float64(s.running) / float64(max(s.cfg.Slots, 1))
	return time.Duration(float64(s.cfg.Step) * (1 + s.cfg.Drag*usedShare) * s.slowFactor())
}

// slowFactor returns the factor by which Faults.Slow lengthens all times. The caller holds the lock.
func (s *Server) slowFactor() float64 {
	if s.faults.Slow > 0 {
		return s.faults.Slow
	}
	return 1
}
