package dial

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestDialerSocketOptions checks that a connection has the socket options by which the
// kernel closes it when the other side stops responding. It does not test that the kernel
// does so.
func TestDialerSocketOptions(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	d := Dialer(time.Second)
	c, err := d.DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	cases := map[string]struct {
		option, want int
	}{
		"user timeout": {unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds())},
		"idle":         {unix.TCP_KEEPIDLE, int(keepAliveIdle.Seconds())},
		"interval":     {unix.TCP_KEEPINTVL, int(keepAliveInterval.Seconds())},
		"count":        {unix.TCP_KEEPCNT, keepAliveCount},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var got int
			assert.NilError(t, raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, c.option) }))
			assert.NilError(t, err)
			assert.Equal(t, got, c.want)
		})
	}
}
