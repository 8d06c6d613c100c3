// Package dial makes TCP connections that fail within seconds when the other side stops
// responding.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// With these keep-alive settings, a connection whose other side does not respond fails
	// within three seconds. A response that has not begun by then is late, and callers give
	// up on a response that pauses for so long.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// unackedTimeout is how long sent bytes may stay unacknowledged, or wait for the other side
	// to read. Keep-alive probes are not sent while there are such bytes. On a lossy link there
	// is time for about ten retransmissions.
	unackedTimeout = 3 * time.Second
)

// Dialer returns a dialer of connections that fail when the other side stops responding.
// timeout bounds the time to connect.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
}

// setUserTimeout closes a connection whose sent bytes stay unacknowledged for
// unackedTimeout (RFC 5482).
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var setErr error
	err := c.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
