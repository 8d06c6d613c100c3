package dial

import (
	"net"

	"github.com/go-faster/errors"
)

// boundedConn fails once it has read too many bytes after a request.
type boundedConn struct {
	net.Conn
	max, left int
}

// BoundResponses returns a connection of a client on which a response, with whatever comes before and
// after it, has at most limit bytes. Limits of HTTP libraries leave out the framing of a body, which may have no end.
func BoundResponses(c net.Conn, limit int) net.Conn {
	return &boundedConn{Conn: c, max: limit, left: limit}
}

// Write implements net.Conn. It begins a request.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.left = c.max
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errors.Errorf("response is over %d bytes", c.max)
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}
