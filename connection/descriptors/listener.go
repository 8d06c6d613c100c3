package descriptors

import (
	"net"
	"sync/atomic"
)

// Listener is a net.Listener whose connections are counted whatever the bounds.
type Listener struct {
	net.Listener
	Budget *Budget
	Kind   Kind // of the connections
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.Budget.Force(l.Kind)
	return &acceptedConn{Conn: c, listener: l}, nil
}

// acceptedConn is counted until it is closed.
type acceptedConn struct {
	net.Conn
	listener *Listener
	closed   atomic.Bool
}

// Close implements net.Conn.
func (c *acceptedConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.Budget.Release(c.listener.Kind)
	}
	return c.Conn.Close()
}
