// Package link is a stand-in for the slow network links between regions. It
// relays TCP connections, delays the bytes in both directions and injects faults.
// While a link is cut, the relay refuses new connections and buffers the bytes of open
// connections; once the link is restored, the relay delivers these bytes.
package link

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"vetchtrail/standin/listen"
)

// Pipe relays the connections to one address to another address.
type Pipe struct {
	Link   string         `json:"link"`   // name of the link that the pipe belongs to; a link may have several pipes
	Listen netip.AddrPort `json:"listen"` // where callers connect
	To     netip.AddrPort `json:"to"`     // where the relay connects
	Delay  time.Duration  `json:"delay"`  // in each direction, in nanoseconds
}

// Fault is the fault of a link; the zero value is a healthy link.
type Fault struct {
	Cut          bool          `json:"cut"`   // buffer the bytes of both directions and refuse new connections
	HoldOutbound bool          `json:"forth"` // buffer only the bytes from the side that opened a connection
	Reset        bool          `json:"reset"` // reset the connections that are open now
	Delay        time.Duration `json:"delay"` // in each direction, in addition to the pipe's own, in nanoseconds
}

// Relay serves all pipes of all links.
type Relay struct {
	pipes []Pipe

	mu            sync.Mutex
	faults        map[string]Fault             // by link
	conns         map[string]map[net.Conn]bool // open connections, by link
	faultsChanged chan struct{}                // closed and replaced when a fault is set
}

// New returns a relay that does not listen yet.
func New(pipes []Pipe) *Relay {
	return &Relay{
		pipes: pipes, faults: map[string]Fault{}, conns: map[string]map[net.Conn]bool{}, faultsChanged: make(chan struct{}),
	}
}

// Start opens the listeners of all pipes; they are served until ctx ends.
func (r *Relay) Start(ctx context.Context) error {
	for _, p := range r.pipes {
		if err := r.openListener(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// openListener opens a pipe's listener and accepts connections in the background.
func (r *Relay) openListener(ctx context.Context, p Pipe) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", p.Listen.String())
	if err != nil {
		return err
	}
	go r.acceptConns(ctx, p, l)
	return nil
}

// acceptConns accepts a pipe's connections until its link is cut, which closes the
// listener. When the link is restored, it opens a new listener with a new acceptConns,
// and retries if that fails.
func (r *Relay) acceptConns(ctx context.Context, p Pipe, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	go r.closeWhenCut(ctx, p, l)
	for {
		c, err := l.Accept()
		if err != nil {
			break
		}
		go r.forwardConn(ctx, p, c)
	}
	for ctx.Err() == nil {
		if r.waitUntil(ctx, p.Link, isOpen) && r.openListener(ctx, p) == nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// closeWhenCut closes a pipe's listener when its link is cut or ctx ends.
func (r *Relay) closeWhenCut(ctx context.Context, p Pipe, l net.Listener) {
	r.waitUntil(ctx, p.Link, func(f Fault) bool { return f.Cut })
	_ = l.Close()
}

// isOpen reports whether the link is not cut. Such a link accepts new connections, and
// delivers bytes to the side that opened a connection.
func isOpen(f Fault) bool { return !f.Cut }

// isOutboundOpen reports whether the link delivers bytes from the side that opened a
// connection.
func isOutboundOpen(f Fault) bool { return !f.Cut && !f.HoldOutbound }

// waitUntil waits until a link's fault satisfies the condition. It returns false if ctx
// ends first.
func (r *Relay) waitUntil(ctx context.Context, link string, condition func(Fault) bool) bool {
	for {
		r.mu.Lock()
		fault, changed := r.faults[link], r.faultsChanged
		r.mu.Unlock()
		if condition(fault) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// Cut cuts a link or removes all its faults.
func (r *Relay) Cut(link string, cut bool) { r.SetFault(link, Fault{Cut: cut}) }

// SetFault replaces the fault of a link. Reset applies once, to the connections
// that are open now.
func (r *Relay) SetFault(link string, f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Reset {
		for c := range r.conns[link] {
			_ = c.(*net.TCPConn).SetLinger(0) // makes Close send a reset
			_ = c.Close()
		}
		f.Reset = false
	}
	r.faults[link] = f
	close(r.faultsChanged)
	r.faultsChanged = make(chan struct{})
}

// trackConn adds or removes one of the open connections of a link, which SetFault can
// reset.
func (r *Relay) trackConn(link string, c net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns[link] == nil {
		r.conns[link] = map[net.Conn]bool{}
	}
	if open {
		r.conns[link][c] = true
	} else {
		delete(r.conns[link], c)
	}
}

// currentDelay returns the delay in each direction of a pipe.
func (r *Relay) currentDelay(p Pipe) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.Delay + r.faults[p.Link].Delay
}

// forwardConn relays an accepted connection until one of its directions ends, and
// then closes both connections.
func (r *Relay) forwardConn(ctx context.Context, p Pipe, in net.Conn) {
	defer func() { _ = in.Close() }()
	out, err := new(net.Dialer).DialContext(ctx, "tcp", p.To.String())
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	for _, c := range []net.Conn{in, out} {
		r.trackConn(p.Link, c, true)
		defer r.trackConn(p.Link, c, false)
	}
	stop := context.AfterFunc(ctx, func() { _, _ = in.Close(), out.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	go r.copyDelayed(ctx, p, in, out, isOutboundOpen, done)
	go r.copyDelayed(ctx, p, out, in, isOpen, done)
	<-done
}

// chunk contains the bytes of one read, and the time from which they may be delivered.
type chunk struct {
	due  time.Time
	data []byte
}

const (
	chunkBytes    = 32 << 10 // most bytes of one read
	maxChunksHeld = 256      // read ahead in each direction of a connection
)

// copyDelayed copies one direction of a connection. It reads ahead, and writes each
// chunk when its delay is over and mayPass returns true for the link's fault. It sends
// to done after the last chunk.
func (r *Relay) copyDelayed(ctx context.Context, p Pipe, from, to net.Conn, mayPass func(Fault) bool, done chan<- struct{}) {
	chunks := make(chan chunk, maxChunksHeld)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, chunkBytes)
			n, err := from.Read(b)
			if n > 0 {
				chunks <- chunk{due: time.Now().Add(r.currentDelay(p)), data: b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if !r.waitUntil(ctx, p.Link, mayPass) {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	r.waitUntil(ctx, p.Link, mayPass) // a cut link delays the end of a connection too
	done <- struct{}{}
	for range chunks { //nolint:revive // drains the channel, so that the reading goroutine ends
	}
}

// faultRequest is the body of PUT /cut: the name of a link and its fault.
type faultRequest struct {
	Link string `json:"link"`
	Fault
}

// Serve sets faults by PUT /cut until ctx ends. It does not relay: see Start.
func (r *Relay) Serve(ctx context.Context, l net.Listener) error {
	return listen.Serve(ctx, l, func(c *fasthttp.RequestCtx) {
		var req faultRequest
		if err := json.Unmarshal(c.PostBody(), &req); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		r.SetFault(req.Link, req.Fault)
	})
}
