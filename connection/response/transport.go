package response

import (
	"bufio"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"vetchtrail/connection/buffer"
	"vetchtrail/connection/dial"
)

// framingFactor bounds what is received of a response, with its head and the sizes of its chunks, to a multiple of the
// largest body.
const framingFactor = 2

// Transport makes the HTTP library's clients read responses by this package. It reads whole bodies, of at most the client's
// MaxResponseBodySize, which must be set. It never sends a request again.
type Transport struct{}

// RoundTrip implements fasthttp.RoundTripper.
func (Transport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (retry bool, err error) {
	deadline := time.Time{}
	if timeout := req.GetTimeOut(); timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	cc, err := hc.AcquireConn(req.GetTimeOut(), req.ConnectionClose())
	if err != nil {
		return false, err
	}
	reusable, err := exchange(hc, dial.BoundResponses(cc.Conn(), framingFactor*hc.MaxResponseBodySize), deadline, req, resp)
	if !reusable {
		hc.CloseConn(cc)
	} else {
		hc.ReleaseConn(cc)
	}
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		err = fasthttp.ErrTimeout
	}
	return false, err
}

// exchange sends a request on a connection and reads its response. It reports whether the connection can be used again.
func exchange(hc *fasthttp.HostClient, conn net.Conn, deadline time.Time, req *fasthttp.Request, resp *fasthttp.Response) (reusable bool, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return false, err
	}
	w := hc.AcquireWriter(conn)
	defer hc.ReleaseWriter(w)
	if err := req.Write(w); err != nil {
		return false, err
	}
	if err := w.Flush(); err != nil {
		return false, err
	}
	r := hc.AcquireReader(conn)
	defer hc.ReleaseReader(r)
	framed, err := read(r, req, resp, hc.MaxResponseBodySize)
	if err != nil {
		return false, err
	}
	return framed && r.Buffered() == 0 && !req.ConnectionClose() && !resp.ConnectionClose(), nil
}

// read reads a response with its body. It reports whether the body has an end of its own.
func read(r *bufio.Reader, req *fasthttp.Request, resp *fasthttp.Response, maxBytes int) (framed bool, err error) {
	if err := ReadHead(r, &resp.Header); err != nil {
		return false, err
	}
	b := NewBody(r, &resp.Header, string(req.Header.Method()))
	whole, err := buffer.ReadAll(b, b.KnownSize(), maxBytes, func(int) error { return nil })
	if err != nil {
		return false, err
	}
	resp.SetBodyRaw(whole)
	return b.Framed(), nil
}
