package caller

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"vetchtrail/connection/buffer"
	"vetchtrail/connection/descriptors"
	"vetchtrail/connection/probe"
)

// connTracker is a listener that tracks its open connections, so that they can all be
// closed at once.
type connTracker struct {
	net.Listener
	mu     sync.Mutex
	open   map[*trackedConn]struct{}
	closed bool
	// readingEnded is whether requests are only read to be refused.
	readingEnded atomic.Bool
	// boundSockets is whether the kernel's buffers of the connections are bounded.
	boundSockets bool
	descriptors  *descriptors.Budget // nil: unbounded
	stopped      chan struct{}       // closed by Close
	stopOnce     sync.Once
}

// trackedConn removes itself from its tracker when it is closed.
type trackedConn struct {
	*net.TCPConn
	tracker    *connTracker
	acceptedAt time.Time
	stage      atomic.Int32 // a connStage
	linger     atomic.Bool  // the caller may still send when the connection is closed
	// overBound is whether the connection is beyond the bound on connections: its first request is refused and ends it.
	// A caller whose connection were closed or left unanswered could not tell that its request did not run.
	overBound bool

	deadlineMu sync.Mutex
	readLimit  time.Time // latest read deadline; zero: none
}

func newConnTracker(l net.Listener, c Config) *connTracker {
	return &connTracker{
		Listener: l, boundSockets: c.Buffers != nil, descriptors: c.Descriptors, open: map[*trackedConn]struct{}{}, stopped: make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (c *connTracker) Accept() (net.Conn, error) {
	c.awaitDescriptors()
	nc, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	if c.boundSockets {
		_ = tc.SetReadBuffer(buffer.SocketBytes)
		_ = tc.SetWriteBuffer(buffer.SocketBytes)
	}
	t := &trackedConn{TCPConn: tc, tracker: c, acceptedAt: time.Now(), overBound: !c.descriptors.Acquire(descriptors.Callers)}
	if t.overBound {
		c.descriptors.Force(descriptors.Callers)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[t] = struct{}{}
	if c.closed {
		return t, tc.Close()
	}
	return t, nil
}

// awaitDescriptors waits until there are descriptors for another connection, or until the listener is closed or drained.
func (c *connTracker) awaitDescriptors() {
	for full := c.descriptors.Full(); full != nil; full = c.descriptors.Full() {
		select {
		case <-full:
		case <-c.stopped:
			return
		}
	}
}

// Close implements net.Listener. It ends an Accept that waits.
func (c *connTracker) Close() error {
	c.stopOnce.Do(func() { close(c.stopped) })
	return c.Listener.Close()
}

// drainer is a net.Listener that can be closed without a loss of the connections that wait to be accepted.
type drainer interface{ Drain() error }

// drainListener closes the listener once the connections that wait have been accepted.
func (c *connTracker) drainListener() {
	c.stopOnce.Do(func() { close(c.stopped) })
	if d, ok := c.Listener.(drainer); ok {
		_ = d.Drain()
		return
	}
	_ = c.Listener.Close()
}

const (
	// idleCheckInterval is how often the connections of a server that shuts down are checked.
	idleCheckInterval = 50 * time.Millisecond
	// firstRequestTimeout is from when a connection without a request counts as idle.
	firstRequestTimeout = 5 * time.Second
)

// closeWhenIdle closes each connection once it is idle, until none is left or ctx ends.
func (c *connTracker) closeWhenIdle(ctx context.Context) {
	t := time.NewTicker(idleCheckInterval)
	defer t.Stop()
	var idle map[*trackedConn]bool
	for {
		if idle = c.closeIdle(idle, time.Now()); idle == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// closeIdle closes the connections that were idle at the last check and are now, and returns those that are idle now;
// nil: no connection is open. A connection with unread bytes isn't idle: a request has arrived that a busy process
// has not read yet.
func (c *connTracker) closeIdle(before map[*trackedConn]bool, now time.Time) map[*trackedConn]bool {
	c.mu.Lock()
	open := slices.Collect(maps.Keys(c.open))
	c.mu.Unlock()
	if len(open) == 0 {
		return nil
	}
	idle := map[*trackedConn]bool{}
	for _, t := range open {
		stage := connStage(t.stage.Load())
		mayClose := stage == stageIdle || stage == stageNew && now.Sub(t.acceptedAt) >= firstRequestTimeout
		if !mayClose || !probe.Idle(t.TCPConn) {
			continue
		}
		if before[t] {
			_ = t.Close()
		}
		idle[t] = true
	}
	return idle
}

// overBound reports whether a connection is beyond the bound on connections.
func overBound(c net.Conn) bool {
	t, ok := c.(*trackedConn)
	return ok && t.overBound
}

// Write implements net.Conn. Each write gets the whole writeTimeout: the deadline that the HTTP
// library sets before a response would break off streams that last longer.
func (t *trackedConn) Write(b []byte) (int, error) {
	_ = t.SetWriteDeadline(time.Now().Add(writeTimeout))
	return t.TCPConn.Write(b)
}

// Close implements net.Conn.
func (t *trackedConn) Close() error {
	if t.linger.Swap(false) {
		t.finishReading()
	}
	t.tracker.remove(t)
	return t.TCPConn.Close()
}

// remove ends the tracking of a connection. It may be called more than once.
func (c *connTracker) remove(t *trackedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, open := c.open[t]; open {
		delete(c.open, t)
		c.descriptors.Release(descriptors.Callers)
	}
}

// closeAll closes all connections, also those with requests in flight, and any that are
// accepted later.
func (c *connTracker) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for t := range c.open {
		_ = t.TCPConn.Close()
	}
}
