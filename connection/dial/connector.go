package dial

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail/connection/descriptors"
)

// BoundError is the error of a connection that was not tried because a bound was reached.
type BoundError struct {
	To    netip.AddrPort
	Bound string // what is bounded
}

func (e *BoundError) Error() string {
	return fmt.Sprintf("not connecting to %s: bound on %s reached", e.To, e.Bound)
}

// IsSilent reports whether a connection was not tried because another dial to the address is under way, and the one
// before it timed out.
func IsSilent(err error) bool {
	var b *BoundError
	return errors.As(err, &b) && b.Bound == boundSilent
}

// IsBound reports whether a connection was not tried because a bound was reached.
func IsBound(err error) bool {
	var b *BoundError
	return errors.As(err, &b)
}

// ConnectorConfig configures a Connector.
type ConnectorConfig struct {
	Descriptors *descriptors.Budget // nil: unbounded
}

// Connector opens the connections to endpoints and other hosts, within the bounds of the process.
type Connector struct {
	cfg      ConnectorConfig
	underWay underWay
}

// NewConnector returns a Connector.
func NewConnector(c ConnectorConfig) *Connector {
	return &Connector{cfg: c, underWay: underWay{targets: map[netip.AddrPort]target{}}}
}

// Dial opens a connection for a request. It returns a *BoundError at once if a bound is reached.
func (c *Connector) Dial(ctx context.Context, d *net.Dialer, to netip.AddrPort) (net.Conn, error) {
	if err := c.underWay.begin(to, time.Now()); err != nil {
		return nil, err
	}
	if !c.cfg.Descriptors.Acquire(descriptors.Outgoing) {
		c.underWay.end(to, failed, time.Now())
		return nil, &BoundError{To: to, Bound: "connections"}
	}
	nc, err := c.dial(ctx, d, to)
	c.underWay.end(to, resultOf(ctx, err), time.Now())
	return nc, err
}

// DialAlways opens a connection that this host needs whatever the bounds, such as those for heartbeats and probes.
func (c *Connector) DialAlways(ctx context.Context, d *net.Dialer, to netip.AddrPort) (net.Conn, error) {
	c.underWay.force(to)
	c.cfg.Descriptors.Force(descriptors.Outgoing)
	nc, err := c.dial(ctx, d, to)
	c.underWay.endForced(to, resultOf(ctx, err), time.Now())
	return nc, err
}

// dial opens a connection that is counted already.
func (c *Connector) dial(ctx context.Context, d *net.Dialer, to netip.AddrPort) (net.Conn, error) {
	nc, err := d.DialContext(ctx, "tcp", to.String())
	if err != nil {
		c.cfg.Descriptors.Release(descriptors.Outgoing)
		return nil, err
	}
	return &countedConn{TCPConn: nc.(*net.TCPConn), budget: c.cfg.Descriptors}, nil
}

// resultOf returns how a dial ended. One that ended with its request shows nothing.
func resultOf(ctx context.Context, err error) result {
	var ne net.Error
	switch {
	case err == nil:
		return connected
	case ctx.Err() == nil && errors.As(err, &ne) && ne.Timeout():
		return timedOut
	}
	return failed
}

// countedConn is counted until it is closed.
type countedConn struct {
	*net.TCPConn
	budget *descriptors.Budget
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.budget.Release(descriptors.Outgoing)
	}
	return c.TCPConn.Close()
}
