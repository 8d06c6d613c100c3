// Package listen accepts connections through failures that pass, such as a lack of descriptors.
package listen

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"

	"vetchtrail/connection/probe"
)

const (
	minPause    = 5 * time.Millisecond // after a failed accept; it doubles with each failure in a row
	maxPause    = 200 * time.Millisecond
	logInterval = time.Second // shortest time between two log lines of a listener
	// drainTimeout bounds how long a listener that is drained accepts connections, as more arrive meanwhile.
	drainTimeout = 300 * time.Millisecond
)

// Config configures a Listener.
type Config struct {
	Listener net.Listener
	Name     string // of the listener in metrics and logs
	Log      *slog.Logger
	// MakeRoom is called when there is no descriptor for a connection; nil: it isn't.
	MakeRoom func()
}

// Listener is a net.Listener whose Accept fails only once the listener is closed or unusable. The servers of
// the HTTP library end at any other error, and the connections that they serve end with them.
type Listener struct {
	net.Listener
	cfg       Config
	closed    chan struct{}
	closeOnce sync.Once
	drainBy   atomic.Pointer[time.Time] // nil: Drain was not called

	failures int // since the last log line
	logAt    time.Time
}

// New returns a Listener.
func New(c Config) *Listener {
	return &Listener{Listener: c.Listener, cfg: c, closed: make(chan struct{})}
}

// Accept implements net.Listener. One goroutine at a time may call it.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		if l.drained() {
			return nil, net.ErrClosed
		}
		c, err := l.Listener.Accept()
		if err == nil || unusable(err) {
			return c, err
		}
		if l.drainBy.Load() != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		l.report(err, time.Now())
		if l.cfg.MakeRoom != nil && outOfDescriptors(err) {
			l.cfg.MakeRoom()
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
	}
}

// Close implements net.Listener. It ends an Accept that waits.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Drain makes Accept return the connections that wait to be accepted, and then close the listener. To close it at once
// would reset them, also those on which a request has arrived.
func (l *Listener) Drain() error {
	by := time.Now().Add(drainTimeout)
	l.drainBy.Store(&by)
	if d, ok := l.Listener.(deadliner); ok {
		return d.SetDeadline(time.Now()) // ends an Accept that waits
	}
	return l.Close()
}

// deadliner is a net.Listener with a deadline for Accept.
type deadliner interface {
	SetDeadline(t time.Time) error
}

// drained closes a listener that Drain was called for, once it has no connection to accept or drainTimeout is over. If
// there is one, it sets a deadline for Accept, as the connection may have been reset by then.
func (l *Listener) drained() bool {
	by := l.drainBy.Load()
	if by == nil {
		return false
	}
	if !probe.Acceptable(l.Listener) || !time.Now().Before(*by) {
		_ = l.Close()
		return true
	}
	_ = l.Listener.(deadliner).SetDeadline(*by)
	return false
}

// report counts a failure and logs failures, at most one line each logInterval.
func (l *Listener) report(err error, now time.Time) {
	metrics.GetOrCreateCounter(fmt.Sprintf("vetchtrail_accept_failures_total{listener=%q}", l.cfg.Name)).Inc()
	l.failures++
	if l.cfg.Log == nil || now.Before(l.logAt) {
		return
	}
	l.cfg.Log.Warn("can't accept connections", "listener", l.cfg.Name, "failures", l.failures, "error", err)
	l.failures, l.logAt = 0, now.Add(logInterval)
}

// unusable reports whether a listener that returned err will accept no further connection.
func unusable(err error) bool {
	for _, e := range []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EOPNOTSUPP} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
