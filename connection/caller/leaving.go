package caller

import (
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
)

const (
	// lateReadTimeout is how long the server reads a request that begins too late to be run before it
	// refuses it unread.
	lateReadTimeout = 200 * time.Millisecond
	// lingerTimeout is how long the server reads on after it has refused a request that it has not read
	// whole. Unread bytes on a connection that is closed would reset it before the caller has the response.
	lingerTimeout = 300 * time.Millisecond
)

// Leave makes the server refuse the requests that it has not read whole by takeUntil. Those that are
// being read then are refused at once.
func (s *Server) Leave(takeUntil time.Time) {
	s.takeUntil.Store(&takeUntil)
	time.AfterFunc(time.Until(takeUntil), func() {
		if tracker := s.connTracker.Load(); tracker != nil {
			tracker.endReading()
		}
	})
}

// tooLate reports whether a request that arrives now is refused because the host is leaving.
func (s *Server) tooLate() bool {
	until := s.takeUntil.Load()
	return until != nil && !time.Now().Before(*until)
}

// refuseUnreadLate refuses a request whose reading was ended because the host is leaving.
func (s *Server) refuseUnreadLate(c fiber.Ctx) error {
	if t, ok := c.RequestCtx().Conn().(*trackedConn); ok {
		t.linger.Store(true)
	}
	c.Set(fiber.HeaderConnection, "close")
	return s.refuseUnrun(c, s.cfg.Runner.RefuseLeaving)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// endReading ends the reading of requests on all connections, and shortens it on those whose next request
// begins later.
func (c *connTracker) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.readingEnded.Store(true)
	for t := range c.open {
		if t.stage.Load() == int32(stageReading) {
			t.readBy(now)
		}
	}
}

// beginRequest is called when the first byte of a request has arrived.
func (t *trackedConn) beginRequest() {
	t.stage.Store(int32(stageReading))
	if t.tracker.readingEnded.Load() {
		t.readBy(time.Now().Add(lateReadTimeout))
	}
}

// readBy sets a limit of the read deadlines that the HTTP library sets, and the deadline itself.
func (t *trackedConn) readBy(limit time.Time) {
	t.deadlineMu.Lock()
	defer t.deadlineMu.Unlock()
	t.readLimit = limit
	_ = t.TCPConn.SetReadDeadline(limit)
}

// SetReadDeadline implements net.Conn.
func (t *trackedConn) SetReadDeadline(deadline time.Time) error {
	t.deadlineMu.Lock()
	defer t.deadlineMu.Unlock()
	if !t.readLimit.IsZero() && (deadline.IsZero() || t.readLimit.Before(deadline)) {
		deadline = t.readLimit
	}
	return t.TCPConn.SetReadDeadline(deadline)
}

// finishReading reads what the caller still sends, for lingerTimeout at most.
func (t *trackedConn) finishReading() {
	if t.CloseWrite() != nil {
		return
	}
	_ = t.TCPConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, t.TCPConn)
}
