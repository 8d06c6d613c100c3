// Package engine is a stand-in for a model engine: it batches continuously,
// caches prompt prefixes in limited memory, slows as its batch fills, reports
// its load with a lag, resumes and cancels streams. Its answers follow from the
// prompt, so that a check can tell a wrong or cut one. Faults are set by PUT
// /faults with a JSON Faults, the rate that it names by PUT /rate with a JSON text, and what else
// it says of itself by PUT /words with a JSON Words.
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
	Queue   int           // requests held back beyond them
	Prefill time.Duration // for one uncached prompt token
	Step    time.Duration // between two tokens of one request, alone
	Drag    float64       // share by which a full batch lengthens a step
	Cache   int           // prompt tokens cached
	Lag     time.Duration // of load reports
	// Mortality is how it ends under a request.
	Mortality Mortality
}

// Faults are what can go wrong.
type Faults struct {
	Slow      float64       `json:"slow"`       // factor on all times; 0: 1
	Refuse    bool          `json:"refuse"`     // 503 before starting, said so
	Reset     int           `json:"reset"`      // next requests: close the connection unread answers
	CutAfter  int           `json:"cut_after"`  // events after which streams break off; 0: never
	EndEarly  int           `json:"end_early"`  // events after which streams end as if whole
	Nonsense  bool          `json:"nonsense"`   // answer bytes that are no HTTP
	Silent    bool          `json:"silent"`     // take requests and never answer
	NoReports bool          `json:"no_reports"` // load reports stop
	Leaving   bool          `json:"leaving"`    // say so in reports, refuse nothing
	Delay     time.Duration `json:"delay"`      // before a request is started
}

// Server is the stand-in.
type Server struct {
	cfg  Config
	runs ledger.Ledger
	// arrivals are all requests, those too that it turns away.
	arrivals ledger.Ledger

	mu      sync.Mutex
	faults  Faults
	rate    string // requests a second that it names in its answers; empty: none
	words   Words
	started time.Time // of its process, or its last life
	running int
	waiting []chan struct{}
	cache   prefixCache
	streams map[string]*stream
	reports []report
	stats   Stats
	life    Life
	die     func() // ends this life; nil: it is over
}

// Stats are an engine's totals.
type Stats struct {
	Started   int           `json:"started"`
	Cancelled int           `json:"cancelled"`
	Prompt    int           `json:"prompt"` // tokens
	Cached    int           `json:"cached"` // of them
	Busy      time.Duration `json:"busy"`   // slot time
}

// New returns an engine with empty caches.
func New(c Config) *Server {
	return &Server{cfg: c, streams: map[string]*stream{}, cache: prefixCache{capacity: c.Cache}, started: time.Now()}
}

// Serve answers on the listener until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	go s.report(ctx)
	if s.cfg.Mortality.Prompt != "" {
		return s.serveLives(ctx, l)
	}
	return listen.Serve(ctx, l, s.handle)
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults set.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Executions returns what was started.
func (s *Server) Executions() []ledger.Execution { return s.runs.All() }

// Stats returns the totals so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/faults":
		s.handleFaults(ctx)
	case path == "/rate":
		s.handleRate(ctx)
	case path == "/words":
		s.handleWords(ctx)
	case path == "/arrivals":
		s.arrivals.WriteJSON(ctx)
	case path == "/load":
		s.handleLoad(ctx)
	case path == "/executions":
		s.runs.WriteJSON(ctx)
	case path == "/life":
		writeJSON(ctx, s.Life())
	case path == "/stats":
		writeJSON(ctx, s.Stats())
	case strings.HasPrefix(path, "/v1/streams/"):
		s.say(ctx)
		s.handleResume(ctx, strings.TrimPrefix(path, "/v1/streams/"))
	case strings.HasPrefix(path, "/v1/"):
		s.arrivals.Record(&ctx.Request.Header)
		s.say(ctx)
		s.handleCompletion(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) handleRate(ctx *fasthttp.RequestCtx) {
	var rate string
	if err := json.Unmarshal(ctx.PostBody(), &rate); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = rate
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, _ := json.Marshal(v)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// report is a load report as the gateway reads it.
type report struct {
	At      int64 `json:"at"`
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	Slots   int   `json:"slots"`
	StepUS  int64 `json:"step_us"`
	Leaving bool  `json:"leaving"`
	Up      int64 `json:"up"` // milliseconds since it started
}

const reportEvery = 20 * time.Millisecond

// report notes the load now and then; callers get it once the lag is over.
func (s *Server) report(ctx context.Context) {
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	for ctx.Err() == nil {
		s.mu.Lock()
		s.reports = append(s.reports, report{
			At: time.Now().UnixMilli(), Running: s.running, Queued: len(s.waiting), Slots: s.cfg.Slots,
			StepUS: s.step().Microseconds(), Leaving: s.faults.Leaving,
		})
		if n := len(s.reports); n > 1024 {
			s.reports = append([]report(nil), s.reports[n-512:]...)
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

func (s *Server) handleLoad(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.NoReports {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	limit := time.Now().Add(-s.cfg.Lag).UnixMilli()
	for i := len(s.reports) - 1; i >= 0; i-- {
		if r := s.reports[i]; r.At <= limit {
			r.Leaving, r.Up = s.faults.Leaving, s.up()
			writeJSON(ctx, r)
			return
		}
	}
	writeJSON(ctx, report{At: limit, Slots: s.cfg.Slots, Leaving: s.faults.Leaving, Up: s.up()})
}

// step is the time between tokens now. The caller holds the lock.
func (s *Server) step() time.Duration {
	full := float64(s.running) / float64(max(s.cfg.Slots, 1))
	return time.Duration(float64(s.cfg.Step) * (1 + s.cfg.Drag*full) * s.slow())
}

func (s *Server) slow() float64 {
	if s.faults.Slow > 0 {
		return s.faults.Slow
	}
	return 1
}
