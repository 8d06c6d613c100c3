package response

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// Values of fasthttp's ResponseHeader.ContentLength for bodies of unknown length.
const (
	lengthChunked    = -1
	lengthUntilClose = -2 // the body ends when the connection is closed
)

const maxTrailerBytes = 8 << 10

// Body reads a response body by its framing. Its Read returns io.EOF only if the body is
// complete. A body without framing is complete when the endpoint closes the connection
// without a reset.
type Body struct {
	reader    *bufio.Reader
	unsized   io.Reader // reads a body of unknown length; nil if the length is known
	length    int       // Content-Length, lengthChunked or lengthUntilClose
	remaining int       // bytes of a body of known length that are not read yet
}

// NewBody returns the body that follows a head in the response to a request with a method.
func NewBody(reader *bufio.Reader, h *fasthttp.ResponseHeader, method string) *Body {
	b := &Body{reader: reader, length: h.ContentLength()}
	if method == fasthttp.MethodHead || h.StatusCode() == fasthttp.StatusNoContent || h.StatusCode() == fasthttp.StatusNotModified {
		b.length = 0
	}
	switch b.length {
	case lengthChunked:
		b.unsized = httputil.NewChunkedReader(reader)
	case lengthUntilClose:
		b.unsized = reader
	default:
		b.remaining = b.length
	}
	return b
}

// Size is the length in bytes if it is known, and negative otherwise.
func (b *Body) Size() int { return b.length }

// KnownSize is the length in bytes, or -1 if it is not known.
func (b *Body) KnownSize() int { return max(b.length, -1) }

// Framed reports whether the body has an end of its own, other than the end of the connection.
func (b *Body) Framed() bool { return b.length != lengthUntilClose }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.unsized != nil {
		return b.readUnsized(p)
	}
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	if errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// readUnsized reads from a body of unknown length.
func (b *Body) readUnsized(p []byte) (int, error) {
	n, err := b.unsized.Read(p)
	if IsEnd(err) && b.length == lengthChunked {
		return n, b.trailer()
	}
	return n, err
}

// trailer reads the trailer section after the last chunk, up to its empty line, and checks its lines. It returns
// io.EOF if it is complete.
func (b *Body) trailer() error {
	size := 0
	for number := 1; size <= maxTrailerBytes; number++ {
		line, err := b.reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		size += len(line)
		line = trimLineEnd(line)
		if len(line) == 0 {
			return io.EOF
		}
		if problem := checkFieldLine(line); problem != "" {
			return &MalformedError{Part: "trailer", Line: number, Problem: problem}
		}
	}
	return errors.Errorf("trailer is over %d bytes", maxTrailerBytes)
}

// IsEnd reports whether err is the end of a body. If the connection ends within the body, the chunked reader wraps io.EOF, so
// errors.Is can't be used here.
func IsEnd(err error) bool { return err == io.EOF } //nolint:errorlint // a wrapped EOF is a broken connection
