package endpoint

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestConnUsable guards against requests that are lost on idle connections which the
// endpoint has closed, is about to close, or has sent unexpected bytes on. Requests that
// may not run twice get only connections used shortly before.
func TestConnUsable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	now := time.Unix(1_800_000_000, 0)
	cases := map[string]struct {
		lastUsed     time.Duration
		announced    string
		serverAction func(server net.Conn)
		repeatable   bool
		want         bool
	}{
		"just used":             {0, "", nil, false, true},
		"idle for a short time": {2 * time.Second, "", nil, false, true},
		"idle for long, request may not run twice":   {4 * time.Second, "", nil, false, false},
		"idle for long, request may run twice":       {4 * time.Second, "", nil, true, true},
		"idle beyond the default timeout":            {time.Minute, "", nil, true, false},
		"well within the announced timeout":          {time.Second, "timeout=2", nil, true, true},
		"within the margin of the announced timeout": {1600 * time.Millisecond, "timeout=2, max=9", nil, true, false},
		"invalid announcement":                       {4 * time.Second, "timeout=soon", nil, true, true},
		"unexpected bytes":                           {0, "", func(server net.Conn) { _, _ = server.Write([]byte("HTTP/1.1 200 OK\r\n")) }, true, false},
		"closed by the endpoint":                     {0, "", func(server net.Conn) { _ = server.Close() }, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			client, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = client.Close() }()
			accepted, err := l.Accept()
			assert.NilError(t, err)
			defer func() { _ = accepted.Close() }()
			k := &conn{Conn: client, idleTimeout: idleTimeout, lastUsed: now.Add(-c.lastUsed)}
			k.readKeepAlive(c.announced)
			if c.serverAction != nil {
				c.serverAction(accepted)
				time.Sleep(50 * time.Millisecond) // until the kernel has received it
			}
			assert.Equal(t, k.usable(c.repeatable, now), c.want)
		})
	}
}
