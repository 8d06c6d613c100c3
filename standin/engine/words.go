package engine

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"vetchtrail/connection/dialect"
)

// Words are what an engine says of itself in its answers, beside its rate.
type Words struct {
	Leaving string `json:"leaving"` // in all: whether it leaves; empty: nothing
	Away    string `json:"away"`    // it turns all away for so many seconds; empty: it doesn't
	// Anew says that it says so as a process that has just started.
	Anew bool `json:"anew"`
}

// up is how long the engine has been up, in milliseconds. The caller holds the lock.
func (s *Server) up() int64 { return max(1, time.Since(s.started).Milliseconds()) }

// handleWords sets what the engine says, or tells it.
func (s *Server) handleWords(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(ctx, s.words)
		return
	}
	var w Words
	if err := json.Unmarshal(ctx.PostBody(), &w); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.words = w
	if w.Anew {
		s.started = time.Now()
	}
}

// say puts into an answer what the engine says of itself.
func (s *Server) say(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate != "" {
		ctx.Response.Header.Set(dialect.HeaderRate, s.rate)
	}
	if s.words.Leaving != "" {
		ctx.Response.Header.Set(dialect.HeaderLeaving, s.words.Leaving)
	}
}

// turnAway answers a request that the engine does not run, and names a time for which it wants none.
func turnAway(ctx *fasthttp.RequestCtx, seconds string) {
	ctx.Response.Header.Set("X-Not-Started", "1")
	ctx.Response.Header.Set("Retry-After", seconds)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// away is the time for which the engine turns all requests away; empty: it doesn't.
func (s *Server) away() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.words.Away
}
