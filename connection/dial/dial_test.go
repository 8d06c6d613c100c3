package dial

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestDialer: a connection has the options by which the kernel ends it when its other
// side falls silent. That it does end is the kernel's part.
func TestDialer(t *testing.T) {
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
		"unheard":  {unix.TCP_USER_TIMEOUT, int(unheardAfter.Milliseconds())},
		"idle":     {unix.TCP_KEEPIDLE, int(keepIdle.Seconds())},
		"interval": {unix.TCP_KEEPINTVL, int(keepInterval.Seconds())},
		"count":    {unix.TCP_KEEPCNT, keepCount},
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
