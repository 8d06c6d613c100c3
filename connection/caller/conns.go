package caller

import (
	"net"
	"sync"
)

// conns is a listener that knows its open connections, so that they can be cut
// at once.
type conns struct {
	net.Listener
	mu   sync.Mutex
	open map[*tracked]struct{}
	cut  bool
}

// tracked is a connection that leaves the list when it is closed.
type tracked struct {
	*net.TCPConn
	of *conns
}

func newConns(l net.Listener) *conns { return &conns{Listener: l, open: map[*tracked]struct{}{}} }

// Accept implements net.Listener.
func (c *conns) Accept() (net.Conn, error) {
	nc, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	t := &tracked{TCPConn: tc, of: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return t, tc.Close()
	}
	c.open[t] = struct{}{}
	return t, nil
}

// Close implements net.Conn.
func (t *tracked) Close() error {
	t.of.mu.Lock()
	delete(t.of.open, t)
	t.of.mu.Unlock()
	return t.TCPConn.Close()
}

// closeAll cuts all connections, those under way too.
func (c *conns) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = true
	for t := range c.open {
		_ = t.TCPConn.Close()
	}
}
