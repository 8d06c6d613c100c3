// Package response reads HTTP/1.1 responses. It checks their syntax by RFC 9112 and RFC 9110 before anything is decided
// from them: the HTTP library's parser accepts and repairs responses that are malformed.
package response

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"

	"vetchtrail"
)

const (
	// maxInterimBytes bounds the interim responses before a response.
	maxInterimBytes = 64 << 10
	statusDigits    = 3
	minStatus       = 100
	maxStatus       = 999 // codes over 599 have no meaning by RFC 9110, but some servers send them
)

// MalformedError reports that what was received is no valid response. It quotes no text of it, which may belong to another
// request.
type MalformedError struct {
	Part    string // head or trailer
	Line    int    // within the part, from 1; 0: not known
	Problem string
}

// Error implements error.
func (e *MalformedError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("malformed response: %s: %s", e.Part, e.Problem)
	}
	return fmt.Sprintf("malformed response: line %d of the %s: %s", e.Line, e.Part, e.Problem)
}

// IsMalformed reports whether an error is due to a malformed response.
func IsMalformed(err error) bool {
	var malformed *MalformedError
	return errors.As(err, &malformed)
}

// ReadHead reads the head of a response into h and skips the interim responses (status 1xx) before it.
func ReadHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for interim := 0; interim <= maxInterimBytes; {
		size, err := checkHead(r)
		if err != nil {
			return err
		}
		h.Reset()
		h.SetNoDefaultContentType(true)
		if err := h.Read(r); err != nil {
			return &MalformedError{Part: "head", Problem: "invalid Content-Length, Transfer-Encoding or Trailer"}
		}
		if h.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
		interim += size
	}
	return errors.Errorf("interim responses are over %d bytes", maxInterimBytes)
}

// checkHead checks the next head without consuming it, and returns its size in bytes.
func checkHead(r *bufio.Reader) (size int, err error) {
	line, err := peekLine(r, 0)
	if err != nil {
		return 0, err
	}
	if problem := checkStatusLine(trimLineEnd(line)); problem != "" {
		return 0, &MalformedError{Part: "head", Line: 1, Problem: problem}
	}
	hasChunks := bytes.HasPrefix(line, []byte("HTTP/1.1 "))
	size = len(line)
	for number := 2; ; number++ {
		line, err := peekLine(r, size)
		if err != nil {
			return 0, err
		}
		size += len(line)
		if len(trimLineEnd(line)) == 0 {
			return size, checkHeadEnd(r, size, number)
		}
		if problem := checkFieldLine(trimLineEnd(line)); problem != "" {
			return 0, &MalformedError{Part: "head", Line: number, Problem: problem}
		}
		if !hasChunks && isTransferEncoding(line) {
			return 0, &MalformedError{Part: "head", Line: number, Problem: "a transfer coding in another version than HTTP/1.1"}
		}
	}
}

// isTransferEncoding reports whether a field line is a Transfer-Encoding.
func isTransferEncoding(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
}

// checkHeadEnd checks that the last line of a head and the empty line after it end with CRLF. The library reads on otherwise.
func checkHeadEnd(r *bufio.Reader, size, number int) error {
	if head, _ := r.Peek(size); !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		return &MalformedError{Part: "head", Line: number, Problem: "the head doesn't end with CRLF CRLF"}
	}
	return nil
}

// peekLine returns the line that begins at an offset of what is to be read next, with its end. The line is valid until the
// next read.
func peekLine(r *bufio.Reader, offset int) ([]byte, error) {
	for searched := offset; ; {
		received, _ := r.Peek(r.Buffered())
		if end := bytes.IndexByte(received[searched:], '\n'); end >= 0 {
			return received[offset : searched+end+1], nil
		}
		searched = len(received)
		_, err := r.Peek(len(received) + 1)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errors.Errorf("response head is over %d bytes", r.Size())
		case errors.Is(err, io.EOF) && len(received) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}

// trimLineEnd returns a line without its end, which is CRLF or a single LF (RFC 9112, 2.2).
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// checkStatusLine returns what is wrong with a status line (RFC 9112, 4), or nothing. The space before the reason phrase may be
// missing if there is none, as many servers omit both.
func checkStatusLine(line []byte) (problem string) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.ParseUint(string(code), 10, 16)
	switch {
	case !isHTTP1(version):
		return "no version of HTTP/1"
	case len(code) != statusDigits || err != nil:
		return "no status code of three digits"
	case status < minStatus:
		return fmt.Sprintf("status code %03d", status)
	case status == fasthttp.StatusSwitchingProtocols:
		return "status code 101, although the request didn't ask for another protocol"
	}
	if i := invalidValueByte(reason); i >= 0 {
		return fmt.Sprintf("byte 0x%02x in the reason phrase", reason[i])
	}
	return ""
}

// checkFieldLine returns what is wrong with a line of a header or a trailer section (RFC 9112, 5), or nothing. A continued line
// is refused (RFC 9112, 5.2): it can't be told from a field whose name begins with a blank.
func checkFieldLine(line []byte) (problem string) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case line[0] == ' ' || line[0] == '\t':
		return "it begins with a blank"
	case !ok:
		return "no colon"
	}
	return checkField(name, value)
}

// checkField returns what is wrong with the name or the value of a field (RFC 9110, 5.1 and 5.5), or nothing.
func checkField[T []byte | string](name, value T) (problem string) {
	if len(name) == 0 {
		return "a field without a name"
	}
	for i := range len(name) {
		if !httpguts.IsTokenRune(rune(name[i])) {
			return fmt.Sprintf("byte 0x%02x in the name of a field", name[i])
		}
	}
	if i := invalidValueByte(value); i >= 0 {
		return fmt.Sprintf("byte 0x%02x in the value of a field", value[i])
	}
	return ""
}

// isHTTP1 reports whether a version is HTTP/1.0, HTTP/1.1 or a later one of HTTP/1.
func isHTTP1(version []byte) bool {
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	return ok && len(minor) == 1 && '0' <= minor[0] && minor[0] <= '9'
}

// invalidValueByte returns the index of the first byte that may not be part of a field's value or of a reason phrase
// (RFC 9110, 5.5), or -1.
func invalidValueByte[T []byte | string](value T) int {
	for i := range len(value) {
		if c := value[i]; (c < ' ' && c != '\t') || c == 0x7f {
			return i
		}
	}
	return -1
}

// Check returns an error unless a status code and header fields can be those of a final response.
func Check(status int, header []vetchtrail.HeaderField) error {
	if status < fasthttp.StatusOK || status > maxStatus {
		return &MalformedError{Part: "head", Line: 1, Problem: fmt.Sprintf("status code %d", status)}
	}
	for i, f := range header {
		if problem := checkField(f.Name, f.Value); problem != "" {
			return &MalformedError{Part: "head", Line: i + 2, Problem: problem}
		}
	}
	return nil
}
