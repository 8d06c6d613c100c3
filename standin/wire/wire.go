// Package wire answers HTTP requests with given bytes, which may be no response, for tests.
package wire

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// Server answers each request with the same bytes.
type Server struct {
	Addr netip.AddrPort
	// Closed receives a value when a client has closed a connection; it is dropped if nobody waits for it.
	Closed   chan struct{}
	Received atomic.Int32 // requests
}

// Serve starts a server of a response that ends with the test.
func Serve(t testing.TB, response string) *Server {
	t.Helper()
	return serve(t, func(c net.Conn) error {
		_, err := c.Write([]byte(response))
		return err
	})
}

// ServeEndless starts a server that begins each response with some bytes and then repeats others until its client closes the
// connection.
func ServeEndless(t testing.TB, begin, repeat string) *Server {
	t.Helper()
	return serve(t, func(c net.Conn) error {
		_, err := c.Write([]byte(begin))
		for part := repeated(repeat); err == nil; {
			_, err = c.Write(part)
		}
		return err
	})
}

// repeated returns some kilobytes of a text that is repeated.
func repeated(text string) []byte {
	const bytes = 4 << 10
	var out []byte
	for len(out) < bytes {
		out = append(out, text...)
	}
	return out
}

func serve(t testing.TB, respond func(c net.Conn) error) *Server {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Addr: netip.MustParseAddrPort(l.Addr().String()), Closed: make(chan struct{}, 1)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c, respond)
		}
	}()
	return s
}

func (s *Server) serveConn(c net.Conn, respond func(c net.Conn) error) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		err := req.Read(in)
		if err == nil {
			s.Received.Add(1)
			err = respond(c)
		}
		if err != nil {
			select {
			case s.Closed <- struct{}{}:
			default:
			}
			return
		}
	}
}

// Malformed returns responses of status 200 with a body and one fault each, by the name of the fault. fields are further lines of
// their heads.
func Malformed(fields, body string) map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	rest := fields + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body)
	return map[string]string{
		"status 000":               "HTTP/1.1 000 OK\r\n" + rest + "\r\n",
		"status 099 before it":     "HTTP/1.1 099 OK\r\n\r\n" + ok + rest + "\r\n",
		"blank in a name":          ok + "X Name: 1\r\n" + rest + "\r\n",
		"blank before a colon":     ok + "X-Name : 1\r\n" + rest + "\r\n",
		"blank in an interim head": "HTTP/1.1 103 Early Hints\r\nX Name: 1\r\n\r\n" + ok + rest + "\r\n",
		"control byte in a name":   ok + "X-\x01Name: 1\r\n" + rest + "\r\n",
		"continued line":           ok + "X-Name: 1\r\n 2\r\n" + rest + "\r\n",
		"blank in a trailer":       ok + rest + "X Name: 1\r\n\r\n",
		"NUL in a trailer":         ok + rest + "X-Name: a\x00\r\n\r\n",
		"no colon in a trailer":    ok + rest + "X-Name\r\n\r\n",
	}
}

// chunk returns a body in one chunk, with the last chunk but without the trailer's end.
func chunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body) }
