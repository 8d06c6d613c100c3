package endpoint

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// Lengths of a body as the library's header tells them.
const (
	sizeChunked  = -1
	sizeIdentity = -2 // the body ends with its connection
)

// body reads an answer's body by its framing. It ends with io.EOF only where
// the framing says that the body is whole; a body without framing is whole when
// the endpoint closes its side in order.
type body struct {
	in   *bufio.Reader
	from io.Reader
	n    int // Content-Length, sizeChunked or sizeIdentity
	left int // of a known length
}

func newBody(in *bufio.Reader, h *fasthttp.ResponseHeader, method string) *body {
	b := &body{in: in, n: h.ContentLength()}
	if method == fasthttp.MethodHead || h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified {
		b.n = 0
	}
	switch b.n {
	case sizeChunked:
		b.from = httputil.NewChunkedReader(in)
	case sizeIdentity:
		b.from = in
	default:
		b.left = b.n
	}
	return b
}

// size is the length in bytes if it was told, and negative otherwise.
func (b *body) size() int { return b.n }

// framed says whether the body's end can be told from the connection's.
func (b *body) framed() bool { return b.n != sizeIdentity }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.from != nil {
		return b.readOn(p)
	}
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.in.Read(p[:min(len(p), b.left)])
	b.left -= n
	if errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func (b *body) readOn(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if isEnd(err) && b.n == sizeChunked {
		return n, b.trailer()
	}
	return n, err
}

// trailer reads the lines after the last chunk, up to the empty one.
func (b *body) trailer() error {
	for {
		line, err := b.in.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if len(line) <= len("\r\n") {
			return io.EOF
		}
	}
}
