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

// Relay carries all pipes.
type Relay struct {
	pipes []Pipe

	mu     sync.Mutex
	cut    map[string]bool
	healed chan struct{} // closed at each change
}

// New returns a relay that carries nothing yet.
func New(pipes []Pipe) *Relay {
	return &Relay{pipes: pipes, cut: map[string]bool{}, healed: make(chan struct{})}
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
		if r.await(ctx, p.Link, false) && r.listen(ctx, p) == nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (r *Relay) closeWhenCut(ctx context.Context, p Pipe, l net.Listener) {
	r.await(ctx, p.Link, true)
	_ = l.Close()
}

// await returns when the link is cut or not as wanted; false: ctx ended.
func (r *Relay) await(ctx context.Context, link string, cut bool) bool {
	for {
		r.mu.Lock()
		now, changed := r.cut[link], r.healed
		r.mu.Unlock()
		if now == cut {
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
func (r *Relay) Cut(link string, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[link] = cut
	close(r.healed)
	r.healed = make(chan struct{})
}

func (r *Relay) carry(ctx context.Context, p Pipe, in net.Conn) {
	defer func() { _ = in.Close() }()
	out, err := new(net.Dialer).DialContext(ctx, "tcp", p.To.String())
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	stop := context.AfterFunc(ctx, func() { _, _ = in.Close(), out.Close() })
	defer stop()
	done := make(chan struct{}, 2)
	go r.pass(ctx, p, in, out, done)
	go r.pass(ctx, p, out, in, done)
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

func (r *Relay) pass(ctx context.Context, p Pipe, from, to net.Conn, done chan<- struct{}) {
	parts := make(chan part, partsHeld)
	go func() {
		defer close(parts)
		for {
			b := make([]byte, partSize)
			n, err := from.Read(b)
			if n > 0 {
				parts <- part{due: time.Now().Add(p.Delay), data: b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for q := range parts {
		time.Sleep(time.Until(q.due))
		if !r.await(ctx, p.Link, false) {
			break
		}
		if _, err := to.Write(q.data); err != nil {
			break
		}
	}
	r.await(ctx, p.Link, false) // an end of the connection is held as well
	done <- struct{}{}
	for range parts { //nolint:revive // lets the reading thread end
	}
}

// cutCall is the body of PUT /cut.
type cutCall struct {
	Link string `json:"link"`
	Cut  bool   `json:"cut"`
}

// Serve answers PUT /cut until ctx ends.
func (r *Relay) Serve(ctx context.Context, l net.Listener) error {
	return listen.Serve(ctx, l, func(c *fasthttp.RequestCtx) {
		var q cutCall
		if err := json.Unmarshal(c.PostBody(), &q); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		r.Cut(q.Link, q.Cut)
	})
}
