package endpoint

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"vetchtrail/connection/probe"
)

const (
	idleKept   = 64               // idle connections kept for an endpoint
	idleFor    = 30 * time.Second // how long one is kept
	readBuffer = 8 << 10          // bytes
)

// conn is a connection to an endpoint that counts what was written for the
// request in hand, so that "no byte left" can be said truthfully.
type conn struct {
	net.Conn
	in      *bufio.Reader
	written int
	expires time.Time // idle connections only
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// pool keeps idle connections to the endpoints.
type pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[netip.AddrPort][]*conn
}

// get returns an idle connection that the endpoint hasn't closed, or a new one.
// With fresh it is always a new one.
func (p *pool) get(ctx context.Context, addr netip.AddrPort, fresh bool) (*conn, error) {
	for !fresh {
		c := p.take(addr)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && probe.Idle(c.Conn) {
			c.written = 0
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, in: bufio.NewReaderSize(nc, readBuffer)}, nil
}

func (p *pool) take(addr netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// put keeps a connection whose answer was read to its end.
func (p *pool) put(addr netip.AddrPort, c *conn) {
	if c.in.Buffered() > 0 {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.expires = time.Now().Add(idleFor)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= idleKept {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}
