package engine

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"vetchtrail/standin/listen"
)

// CrashConfig sets which requests crash an engine (poison requests), when the engine
// crashes and when it restarts.
type CrashConfig struct {
	PoisonText   string        // a request is a poison request if its prompt contains this text; empty: none is
	CrashDelay   time.Duration // from the start of the request to the crash
	RestartDelay time.Duration // from the crash until the engine listens again, with empty state
}

// CrashHistory is the history of an engine's crashes.
type CrashHistory struct {
	Crashes []time.Time `json:"ends"` // time of each crash
	// InFlight contains the number of requests at each crash, running and queued, the
	// poison request included.
	InFlight []int `json:"beside"`
	// PoisonRequests contains the time at which each poison request was started. Not every
	// one caused a crash: a crash that another poison request caused may have ended it first.
	PoisonRequests []time.Time `json:"deadly"`
}

// serveWithCrashes handles the requests on a listener. After each crash it waits,
// listens on the same address again and starts with empty state.
func (s *Server) serveWithCrashes(ctx context.Context, l net.Listener) error {
	for {
		tracking := &trackingListener{Listener: l, conns: map[net.Conn]bool{}}
		instanceCtx, cancel := context.WithCancel(ctx)
		s.mu.Lock()
		s.abort = func() {
			tracking.resetAll()
			cancel()
		}
		s.mu.Unlock()
		err := listen.Serve(instanceCtx, tracking, s.handle)
		cancel()
		if ctx.Err() != nil || err != nil {
			return err
		}
		sleep(ctx, s.cfg.Crash.RestartDelay)
		var lc net.ListenConfig
		if l, err = lc.Listen(ctx, "tcp", l.Addr().String()); err != nil {
			return err
		}
		s.resetState()
	}
}

// resetState gives the engine the state of a process that has just started. The
// injected faults, the advertised rate limit, the records of requests, the totals and the
// history of crashes stay.
func (s *Server) resetState() {
	s.ClearCache()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced, s.startedAt = Announcement{}, time.Now()
	s.streams, s.reports, s.waiting, s.running = map[string]*stream{}, nil, nil, 0
}

// crashIfPoison schedules a crash if the prompt is that of a poison request, and reports whether it is.
func (s *Server) crashIfPoison(prompt string) bool {
	if s.cfg.Crash.PoisonText == "" || !strings.Contains(prompt, s.cfg.Crash.PoisonText) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashHistory.PoisonRequests = append(s.crashHistory.PoisonRequests, time.Now())
	instance := len(s.crashHistory.Crashes)
	time.AfterFunc(s.cfg.Crash.CrashDelay, func() { s.crash(instance) })
	return true
}

// crash simulates the crash of a process instance, unless the instance has already
// crashed. An instance's number is the number of crashes before it.
func (s *Server) crash(instance int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if instance != len(s.crashHistory.Crashes) || s.abort == nil {
		return
	}
	s.crashHistory.Crashes = append(s.crashHistory.Crashes, time.Now())
	s.crashHistory.InFlight = append(s.crashHistory.InFlight, s.running+len(s.waiting))
	go s.abort()
	s.abort = nil
}

// CrashHistory returns a copy of the history of crashes.
func (s *Server) CrashHistory() CrashHistory {
	s.mu.Lock()
	defer s.mu.Unlock()
	return CrashHistory{
		Crashes: append([]time.Time{}, s.crashHistory.Crashes...), InFlight: append([]int{}, s.crashHistory.InFlight...),
		PoisonRequests: append([]time.Time{}, s.crashHistory.PoisonRequests...),
	}
}

// trackingListener records the connections that it accepts, so that resetAll can reset them.
type trackingListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Accept implements net.Listener.
func (t *trackingListener) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = true
	return c, nil
}

// resetAll closes the listener and resets all connections, as the kernel does when
// a process crashes.
func (t *trackingListener) resetAll() {
	_ = t.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0) // makes Close send a reset
		}
		_ = c.Close()
	}
}
