// Package dial makes connections that notice when their other side falls silent.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Probes that find a connection to a host that has gone silent, within three
	// seconds: an answer that has not begun then is late, and one that pauses so long is
	// given up on by its caller.
	keepIdle     = time.Second
	keepInterval = time.Second
	keepCount    = 2
	// unheardAfter is how long what was sent may stay without an acknowledgement. Probes
	// are not sent while something is. Some ten resends on a lossy link fit into it.
	unheardAfter = 3 * time.Second
)

// Dialer returns a dialer with a time in which a connection has to come up.
func Dialer(within time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         within,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount},
		Control:         boundUnheard,
	}
}

// boundUnheard ends a connection whose other side acknowledges nothing (RFC 5482).
func boundUnheard(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unheardAfter.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
