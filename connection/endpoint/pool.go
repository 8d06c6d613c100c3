package endpoint

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/connection/probe"
)

const (
	idleKept   = 64               // idle connections kept for an endpoint
	idleFor    = 30 * time.Second // how long one is kept if the endpoint doesn't say
	readBuffer = 8 << 10          // bytes
	dialTime   = 700 * time.Millisecond
	// idleMargin is how long before the announced end of an idle connection it is
	// no longer used: the endpoint may close it while a request is on its way.
	idleMargin = 500 * time.Millisecond
	// onceIdle is how long a connection may have rested when it takes a request
	// that may not run twice: endpoints forget idle connections without a word,
	// and such a request is then lost.
	onceIdle = 3 * time.Second
	// silenceLook is how often a waiting attempt asks whether its endpoint has gone
	// silent.
	silenceLook = 200 * time.Millisecond
)

// place is an endpoint's process at an address: addresses are used again.
type place struct {
	addr     netip.AddrPort
	instance string
	born     int64 // Unix nanoseconds of its life's start; 0: not told
}

func placeOf(e vetchtrail.Endpoint) place {
	p := place{addr: e.Addr, instance: e.Instance}
	if !e.Born.IsZero() {
		p.born = e.Born.UnixNano()
	}
	return p
}

// conn is a connection to an endpoint that counts what was written for the
// request in hand, so that "no byte left" can be said truthfully.
type conn struct {
	net.Conn
	in      *bufio.Reader
	written int
	idleFor time.Duration // as the endpoint announced it
	rested  time.Time     // since when it is idle

	deadline time.Time   // of reads
	silent   func() bool // nil: reads wait to their deadline
}

// errSilent says that the endpoint says nothing on any of its connections.
var errSilent = errors.New("the endpoint has gone silent")

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetDeadline(t)
}

// Read implements io.Reader. While it waits it asks now and then whether waiting
// is of use.
func (c *conn) Read(p []byte) (int, error) {
	if c.silent == nil {
		return c.Conn.Read(p)
	}
	defer func() { _ = c.SetReadDeadline(c.deadline) }()
	for {
		_ = c.SetReadDeadline(vetchtrail.Earlier(time.Now().Add(silenceLook), c.deadline))
		n, err := c.Conn.Read(p)
		switch {
		case n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(c.deadline):
			return n, err
		case c.silent():
			return 0, errSilent
		}
	}
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// learnIdle reads the endpoint's Keep-Alive field.
func (c *conn) learnIdle(field string) {
	_, after, ok := strings.Cut(field, "timeout=")
	if !ok {
		return
	}
	digits, _, _ := strings.Cut(after, ",")
	if n, err := strconv.Atoi(strings.TrimSpace(digits)); err == nil && n > 0 {
		c.idleFor = time.Duration(n) * time.Second
	}
}

// usable says whether a connection that rested may take a request now.
func (c *conn) usable(repeats bool, now time.Time) bool {
	rest := now.Sub(c.rested)
	if rest > c.idleFor-idleMargin || (!repeats && rest > onceIdle) {
		return false
	}
	return probe.Idle(c.Conn)
}

// pool keeps idle connections to the endpoints.
type pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[place][]*conn
}

// get returns an idle connection that the endpoint hasn't closed, or a new one.
// A request that may not run twice only gets one that rested shortly.
func (p *pool) get(ctx context.Context, at place, repeats bool) (*conn, error) {
	for {
		c := p.take(at)
		if c == nil {
			break
		}
		if c.usable(repeats, time.Now()) {
			c.written = 0
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", at.addr.String())
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, idleFor: idleFor}
	c.in = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

func (p *pool) take(at place) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[at]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[at] = list[:len(list)-1]
	return c
}

// put keeps a connection whose answer was read to its end.
func (p *pool) put(at place, c *conn) {
	if c.in.Buffered() > 0 {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.rested = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[at]) >= idleKept {
		_ = c.Close()
		return
	}
	p.idle[at] = append(p.idle[at], c)
}

// Keep closes the idle connections but for those to the lives of some endpoints.
func (k *Caller) Keep(endpoints []*vetchtrail.Endpoint) {
	known := make(map[place]bool, len(endpoints))
	for _, e := range endpoints {
		known[placeOf(*e)] = true
	}
	k.pool.mu.Lock()
	defer k.pool.mu.Unlock()
	for at, list := range k.pool.idle {
		if known[at] {
			continue
		}
		for _, c := range list {
			_ = c.Close()
		}
		delete(k.pool.idle, at)
	}
}
