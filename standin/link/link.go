// Package link is a stand-in for the slow links between regions: a relay of
// TCP connections that delays what passes and can be cut. While it is cut, new
// connections are refused and what is under way is held; after healing it
// arrives, late.
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

// Pipe is one address that the link answers for another.
type Pipe struct {
	Link   string         `json:"link"` // name; several pipes may share it
	Listen netip.AddrPort `json:"listen"`
	To     netip.AddrPort `json:"to"`
	Delay  time.Duration  `json:"delay"` // one way
}

// Trouble is what is wrong with a link.
type Trouble struct {
	Cut   bool          `json:"cut"`   // nothing passes, and nobody connects
	Forth bool          `json:"forth"` // what the opener of a connection sends is held, what it gets passes
	Reset bool          `json:"reset"` // connections are reset, once
	Delay time.Duration `json:"delay"` // on top of the pipe's own
}

// Relay carries all pipes.
type Relay struct {
	pipes []Pipe

	mu      sync.Mutex
	trouble map[string]Trouble
	carried map[string]map[net.Conn]bool // open connections, by link
	healed  chan struct{}                // closed at each change
}

// New returns a relay that carries nothing yet.
func New(pipes []Pipe) *Relay {
	return &Relay{
		pipes: pipes, trouble: map[string]Trouble{}, carried: map[string]map[net.Conn]bool{}, healed: make(chan struct{}),
	}
}

// Start listens for all pipes until ctx ends.
func (r *Relay) Start(ctx context.Context) error {
	for _, p := range r.pipes {
		if err := r.listen(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// listen keeps a pipe's listener open while the link is not cut.
func (r *Relay) listen(ctx context.Context, p Pipe) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", p.Listen.String())
	if err != nil {
		return err
	}
	go r.accept(ctx, p, l)
	return nil
}

func (r *Relay) accept(ctx context.Context, p Pipe, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	go r.closeWhenCut(ctx, p, l)
	for {
		c, err := l.Accept()
		if err != nil {
			break
		}
		go r.carry(ctx, p, c)
	}
	for ctx.Err() == nil {
		if r.await(ctx, p.Link, open) && r.listen(ctx, p) == nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (r *Relay) closeWhenCut(ctx context.Context, p Pipe, l net.Listener) {
	r.await(ctx, p.Link, func(t Trouble) bool { return t.Cut })
	_ = l.Close()
}

func open(t Trouble) bool { return !t.Cut }

// passesForth says whether what the opener of a connection sends passes.
func passesForth(t Trouble) bool { return !t.Cut && !t.Forth }

// await returns when the link is as wanted; false: ctx ended.
func (r *Relay) await(ctx context.Context, link string, wanted func(Trouble) bool) bool {
	for {
		r.mu.Lock()
		now, changed := r.trouble[link], r.healed
		r.mu.Unlock()
		if wanted(now) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// Cut cuts or heals a link.
func (r *Relay) Cut(link string, cut bool) { r.Set(link, Trouble{Cut: cut}) }

// Set sets what is wrong with a link.
func (r *Relay) Set(link string, t Trouble) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Reset {
		for c := range r.carried[link] {
			_ = c.(*net.TCPConn).SetLinger(0) // so that its end is a reset
			_ = c.Close()
		}
		t.Reset = false
	}
	r.trouble[link] = t
	close(r.healed)
	r.healed = make(chan struct{})
}

// note keeps a connection while it is open, so that it can be reset.
func (r *Relay) note(link string, c net.Conn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.carried[link] == nil {
		r.carried[link] = map[net.Conn]bool{}
	}
	if open {
		r.carried[link][c] = true
	} else {
		delete(r.carried[link], c)
	}
}

func (r *Relay) delay(p Pipe) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.Delay + r.trouble[p.Link].Delay
}

func (r *Relay) carry(ctx context.Context, p Pipe, in net.Conn) {
	defer func() { _ = in.Close() }()
	out, err := new(net.Dialer).DialContext(ctx, "tcp", p.To.String())
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	for _, c := range []net.Conn{in, out} {
		r.note(p.Link, c, true)
		defer r.note(p.Link, c, false)
	}
	stop := context.AfterFunc(ctx, func() { _, _ = in.Close(), out.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	go r.pass(ctx, p, in, out, passesForth, done)
	go r.pass(ctx, p, out, in, open, done)
	<-done
}

// part is what was read at one time, with when it is due.
type part struct {
	due  time.Time
	data []byte
}

const (
	partSize  = 32 << 10 // bytes
	partsHeld = 256
)

func (r *Relay) pass(ctx context.Context, p Pipe, from, to net.Conn, passes func(Trouble) bool, done chan<- struct{}) {
	parts := make(chan part, partsHeld)
	go func() {
		defer close(parts)
		for {
			b := make([]byte, partSize)
			n, err := from.Read(b)
			if n > 0 {
				parts <- part{due: time.Now().Add(r.delay(p)), data: b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for q := range parts {
		time.Sleep(time.Until(q.due))
		if !r.await(ctx, p.Link, passes) {
			break
		}
		if _, err := to.Write(q.data); err != nil {
			break
		}
	}
	r.await(ctx, p.Link, passes) // an end of the connection is held as well
	done <- struct{}{}
	for range parts { //nolint:revive // lets the reading thread end
	}
}

// cutCall is the body of PUT /cut.
type cutCall struct {
	Link string `json:"link"`
	Trouble
}

// Serve answers PUT /cut until ctx ends.
func (r *Relay) Serve(ctx context.Context, l net.Listener) error {
	return listen.Serve(ctx, l, func(c *fasthttp.RequestCtx) {
		var q cutCall
		if err := json.Unmarshal(c.PostBody(), &q); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		r.Set(q.Link, q.Trouble)
	})
}
