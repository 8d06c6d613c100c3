package endpoint

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUsable: which requests a connection may take after it rested, by what its
// endpoint announced and did.
func TestUsable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	now := time.Unix(1_800_000_000, 0)
	cases := map[string]struct {
		rested    time.Duration
		announced string
		does      func(other net.Conn)
		repeats   bool
		want      bool
	}{
		"just used":                        {0, "", nil, false, true},
		"short rest":                       {2 * time.Second, "", nil, false, true},
		"long rest, may not run twice":     {4 * time.Second, "", nil, false, false},
		"long rest, may run twice":         {4 * time.Second, "", nil, true, true},
		"longer than any is kept":          {time.Minute, "", nil, true, false},
		"well within the announced time":   {time.Second, "timeout=2", nil, true, true},
		"within the margin before its end": {1600 * time.Millisecond, "timeout=2, max=9", nil, true, false},
		"an announcement of no sense":      {4 * time.Second, "timeout=soon", nil, true, true},
		"bytes that nobody asked for":      {0, "", func(o net.Conn) { _, _ = o.Write([]byte("HTTP/1.1 200 OK\r\n")) }, true, false},
		"closed by the other side":         {0, "", func(o net.Conn) { _ = o.Close() }, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			near, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = near.Close() }()
			far, err := l.Accept()
			assert.NilError(t, err)
			defer func() { _ = far.Close() }()
			k := &conn{Conn: near, idleFor: idleFor, rested: now.Add(-c.rested)}
			k.learnIdle(c.announced)
			if c.does != nil {
				c.does(far)
				time.Sleep(50 * time.Millisecond) // until it has arrived
			}
			assert.Equal(t, k.usable(c.repeats, now), c.want)
		})
	}
}
