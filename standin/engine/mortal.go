package engine

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"vetchtrail/standin/listen"
)

// Mortality is how an engine ends under a request, and comes back.
type Mortality struct {
	Prompt string        // an engine that begins a request whose prompt holds it ends; empty: never
	After  time.Duration // from the beginning of the request to the end
	Back   time.Duration // until it listens again, knowing nothing
}

// Life is what a mortal engine went through.
type Life struct {
	Ends []time.Time `json:"ends"`
	// Beside is how many requests there were at each end, the deadly one among them.
	Beside []int `json:"beside"`
	// Deadly is when each deadly request arrived, those too that it ended before.
	Deadly []time.Time `json:"deadly"`
}

// serveLives answers on the listener; each time the engine ends it comes back on the same
// address after a while.
func (s *Server) serveLives(ctx context.Context, l net.Listener) error {
	for {
		open := &openConns{Listener: l, conns: map[net.Conn]bool{}}
		life, end := context.WithCancel(ctx)
		s.mu.Lock()
		s.die = func() {
			open.reset()
			end()
		}
		s.mu.Unlock()
		err := listen.Serve(life, open, s.handle)
		end()
		if ctx.Err() != nil || err != nil {
			return err
		}
		sleep(ctx, s.cfg.Mortality.Back)
		var lc net.ListenConfig
		if l, err = lc.Listen(ctx, "tcp", l.Addr().String()); err != nil {
			return err
		}
		s.forget()
	}
}

// forget makes the engine one that has just started.
func (s *Server) forget() {
	s.ClearCache()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.words, s.started = Words{}, time.Now()
	s.streams, s.reports, s.waiting, s.running = map[string]*stream{}, nil, nil, 0
}

// deadly ends the engine if that is what a prompt does to it.
func (s *Server) deadly(prompt string) {
	if s.cfg.Mortality.Prompt == "" || !strings.Contains(prompt, s.cfg.Mortality.Prompt) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life.Deadly = append(s.life.Deadly, time.Now())
	number := len(s.life.Ends)
	time.AfterFunc(s.cfg.Mortality.After, func() { s.end(number) })
}

// end ends the engine's life of a number, unless it is over.
func (s *Server) end(number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number != len(s.life.Ends) || s.die == nil {
		return
	}
	s.life.Ends = append(s.life.Ends, time.Now())
	s.life.Beside = append(s.life.Beside, s.running+len(s.waiting))
	go s.die()
	s.die = nil
}

// Life returns what the engine went through.
func (s *Server) Life() Life {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Life{
		Ends: append([]time.Time{}, s.life.Ends...), Beside: append([]int{}, s.life.Beside...),
		Deadly: append([]time.Time{}, s.life.Deadly...),
	}
}

// openConns knows the connections of a listener, so that all can be reset.
type openConns struct {
	net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Accept implements net.Listener.
func (o *openConns) Accept() (net.Conn, error) {
	c, err := o.Listener.Accept()
	if err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.conns[c] = true
	return c, nil
}

// reset closes the listener and all connections as the end of a process does.
func (o *openConns) reset() {
	_ = o.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
	}
}
