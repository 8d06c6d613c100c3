package engine

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"vetchtrail/connection/dialect"
)

// Announcement is what an engine announces about its availability in its responses, in
// addition to its rate limit.
type Announcement struct {
	Leaving       string `json:"leaving"` // value of the header X-Leaving in all responses; empty: no header
	RejectSeconds string `json:"away"`    // Retry-After, in seconds, with which it rejects all requests; empty: it accepts them
	// NewInstance makes the engine report the uptime of a process that has just started.
	NewInstance bool `json:"anew"`
}

// uptimeMillis returns the time since the process instance started, at least 1
// millisecond. The caller holds the lock.
func (s *Server) uptimeMillis() int64 { return max(1, time.Since(s.startedAt).Milliseconds()) }

// handleAnnouncement returns or replaces what the engine announces.
func (s *Server) handleAnnouncement(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(ctx, s.announced)
		return
	}
	var announcement Announcement
	if err := json.Unmarshal(ctx.PostBody(), &announcement); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced = announcement
	if announcement.NewInstance {
		s.startedAt = time.Now()
	}
}

// announce sets the headers of a response that announce the rate limit and the
// availability.
func (s *Server) announce(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rateLimit != "" {
		ctx.Response.Header.Set(dialect.HeaderRateLimit, s.rateLimit)
	}
	if s.announced.Leaving != "" {
		ctx.Response.Header.Set(dialect.HeaderLeaving, s.announced.Leaving)
	}
}

// reject responds to a request that the engine does not start. Retry-After contains the
// seconds for which hosts must send no requests.
func reject(ctx *fasthttp.RequestCtx, seconds string) {
	ctx.Response.Header.Set("X-Not-Started", "1")
	ctx.Response.Header.Set("Retry-After", seconds)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// rejectSeconds returns the Retry-After with which the engine rejects all requests;
// empty: it accepts them.
func (s *Server) rejectSeconds() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced.RejectSeconds
}
