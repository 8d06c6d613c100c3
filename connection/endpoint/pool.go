package endpoint

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/connection/dial"
	"vetchtrail/connection/probe"
)

const (
	maxIdlePerEndpoint = 64               // connections
	idleTimeout        = 30 * time.Second // of a connection whose endpoint announces no other
	readBufferBytes    = 8 << 10
	dialTimeout        = 700 * time.Millisecond
	// idleMargin is how long before its announced idle timeout a connection is no longer used:
	// the endpoint may close it while a request is in transit.
	idleMargin = 500 * time.Millisecond
	// unrepeatableMaxIdle is the idle time up to which a connection may be used for a request
	// that may not run twice. Endpoints may drop idle connections without notice, and such a
	// request would then be lost.
	unrepeatableMaxIdle = 3 * time.Second
	// silenceCheckInterval is how often a waiting attempt checks whether its endpoint is
	// silent.
	silenceCheckInterval = 200 * time.Millisecond
)

// poolKey identifies an endpoint's process instance, as addresses are reused.
type poolKey struct {
	addr      netip.AddrPort
	instance  string
	startedAt int64 // Unix nanoseconds; 0: unknown
}

func poolKeyOf(e vetchtrail.Endpoint) poolKey {
	k := poolKey{addr: e.Addr, instance: e.Instance}
	if !e.Born.IsZero() {
		k.startedAt = e.Born.UnixNano()
	}
	return k
}

// conn is a connection to an endpoint. It counts the bytes written for the current
// request, so that OutcomeNotRun is reported only if none was sent.
type conn struct {
	net.Conn
	reader      *bufio.Reader
	written     int
	received    int           // bytes for the current request
	receiveMax  int           // bound of received; 0: none
	idleTimeout time.Duration // as announced by the endpoint
	lastUsed    time.Time     // end of the last request

	readDeadline time.Time
	silenceCheck func() // polled by waiting reads; nil: none
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline = t
	return c.Conn.SetDeadline(t)
}

// Read implements io.Reader. It fails beyond the bound of bytes to receive.
func (c *conn) Read(p []byte) (int, error) {
	if c.receiveMax > 0 && c.received >= c.receiveMax {
		return 0, errors.Errorf("received %d bytes without a whole response", c.received)
	}
	n, err := c.waitAndRead(p)
	c.received += n
	return n, err
}

// limitReceived bounds what may be received from now on to n bytes; 0: no bound.
func (c *conn) limitReceived(n int) {
	c.receiveMax = 0
	if n > 0 {
		c.receiveMax = c.received + n
	}
}

// waitAndRead reads from the connection. While it waits, it polls silenceCheck.
func (c *conn) waitAndRead(p []byte) (int, error) {
	if c.silenceCheck == nil {
		return c.Conn.Read(p)
	}
	defer func() { _ = c.SetReadDeadline(c.readDeadline) }()
	for {
		_ = c.SetReadDeadline(vetchtrail.Earlier(time.Now().Add(silenceCheckInterval), c.readDeadline))
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(c.readDeadline) {
			return n, err
		}
		c.silenceCheck()
	}
}

// Write implements io.Writer.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// readKeepAlive reads the idle timeout from the endpoint's Keep-Alive field.
func (c *conn) readKeepAlive(field string) {
	_, after, ok := strings.Cut(field, "timeout=")
	if !ok {
		return
	}
	digits, _, _ := strings.Cut(after, ",")
	if n, err := strconv.Atoi(strings.TrimSpace(digits)); err == nil && n > 0 {
		c.idleTimeout = time.Duration(n) * time.Second
	}
}

// usable reports whether an idle connection may be used for a request now.
func (c *conn) usable(repeatable bool, now time.Time) bool {
	idle := now.Sub(c.lastUsed)
	if idle > c.idleTimeout-idleMargin || (!repeatable && idle > unrepeatableMaxIdle) {
		return false
	}
	return probe.Idle(c.Conn)
}

// pool holds the idle connections to all endpoints.
type pool struct {
	dialer      net.Dialer
	connector   *dial.Connector
	socketBytes int // bound of the kernel's buffers of a connection; 0: none

	mu   sync.Mutex
	idle map[poolKey][]*conn
}

// get returns an idle connection that is still usable, or opens a new one. A request that may
// not run twice (repeatable is false) gets an idle connection only if that was used shortly
// before.
func (p *pool) get(ctx context.Context, key poolKey, repeatable bool) (c *conn, opened bool, err error) {
	for {
		c := p.pop(key)
		if c == nil {
			break
		}
		if c.usable(repeatable, time.Now()) {
			c.written, c.received = 0, 0
			return c, false, nil
		}
		_ = c.Close()
	}
	nc, err := p.connector.Dial(ctx, &p.dialer, key.addr)
	if err != nil {
		return nil, false, err
	}
	return p.newConn(nc), true, nil
}

// open opens a new connection whatever the bounds.
func (p *pool) open(ctx context.Context, key poolKey) (*conn, error) {
	nc, err := p.connector.DialAlways(ctx, &p.dialer, key.addr)
	if err != nil {
		return nil, err
	}
	return p.newConn(nc), nil
}

// newConn returns a connection that has just been opened.
func (p *pool) newConn(nc net.Conn) *conn {
	if tc, ok := nc.(socketBuffers); ok && p.socketBytes > 0 {
		_ = tc.SetReadBuffer(p.socketBytes)
		_ = tc.SetWriteBuffer(p.socketBytes)
	}
	c := &conn{Conn: nc, idleTimeout: idleTimeout}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// socketBuffers is a connection whose kernel buffers can be bounded.
type socketBuffers interface {
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
}

// CloseOldest closes the connection that has been idle for longest. It reports whether there was one.
func (c *Client) CloseOldest() bool { return c.pool.closeOldest() }

func (p *pool) closeOldest() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest poolKey
	var c *conn
	for key, conns := range p.idle {
		if len(conns) > 0 && (c == nil || conns[0].lastUsed.Before(c.lastUsed)) {
			oldest, c = key, conns[0]
		}
	}
	if c == nil {
		return false
	}
	p.idle[oldest] = slices.Delete(p.idle[oldest], 0, 1)
	_ = c.Close()
	return true
}

// pop removes and returns the connection that was used last, or returns nil.
func (p *pool) pop(key poolKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[key]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[key] = conns[:len(conns)-1]
	return c
}

// put returns a connection to the pool after its response was read completely. Unread
// bytes on it would belong to no request, so it is then closed.
func (p *pool) put(key poolKey, c *conn) {
	if c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.lastUsed = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[key]) >= maxIdlePerEndpoint {
		_ = c.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}

// CloseIdleExcept closes the idle connections to all process instances but those of the given
// endpoints.
func (c *Client) CloseIdleExcept(endpoints []*vetchtrail.Endpoint) {
	known := make(map[poolKey]bool, len(endpoints))
	for _, e := range endpoints {
		known[poolKeyOf(*e)] = true
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	for key, conns := range c.pool.idle {
		if known[key] {
			continue
		}
		for _, c := range conns {
			_ = c.Close()
		}
		delete(c.pool.idle, key)
	}
}
