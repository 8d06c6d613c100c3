package response

import (
	"bufio"
	"fmt"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "vetchtrail/standin/seeded"
)

// readHead reads the head of a response that arrives byte by byte, and returns what follows it.
func readHead(response string) (*fasthttp.ResponseHeader, string, error) {
	r := bufio.NewReader(iotest.OneByteReader(strings.NewReader(response)))
	h := &fasthttp.ResponseHeader{}
	err := ReadHead(r, h)
	rest := new(strings.Builder)
	_, _ = r.WriteTo(rest)
	return h, rest.String(), err
}

// drawBytes draws a text of some of the 256 bytes.
func drawBytes(t *rapid.T, label string, allowed func(c byte) bool, least int) string {
	var alphabet []byte
	for c := range 256 {
		if allowed(byte(c)) {
			alphabet = append(alphabet, byte(c))
		}
	}
	return string(rapid.SliceOfN(rapid.SampledFrom(alphabet), least, 20).Draw(t, label))
}

// isToken and isText are the bytes of names and of values and reasons, by RFC 9110, 5.6.2 and 5.5.
func isToken(c byte) bool {
	return c > ' ' && c < 0x7f && !strings.ContainsRune("\"(),/:;<=>?@[\\]{}", rune(c))
}
func isText(c byte) bool { return c == '\t' || (c >= ' ' && c != 0x7f) }

// drawnHead is a head and what the caller must get of it.
type drawnHead struct {
	status        int
	first         string
	names, values []string
}

func drawHead(t *rapid.T) drawnHead {
	h := drawnHead{status: rapid.IntRange(200, 999).Draw(t, "status")}
	h.first = fmt.Sprintf("HTTP/1.%d %d", rapid.IntRange(0, 1).Draw(t, "minor"), h.status)
	if rapid.Bool().Draw(t, "has a reason") {
		h.first += " " + drawBytes(t, "reason", isText, 0)
	}
	for range rapid.IntRange(0, 4).Draw(t, "fields") {
		h.names = append(h.names, "X-"+drawBytes(t, "name", isToken, 0))
		h.values = append(h.values, drawBytes(t, "value", isText, 0))
	}
	return h
}

func (h drawnHead) bytes() string {
	text := h.first + "\r\n"
	for i, name := range h.names {
		text += name + ":" + h.values[i] + "\r\n"
	}
	return text + "\r\n"
}

// TestValidHeadsAreRead guards against a valid head that is refused or read differently, however odd it is.
func TestValidHeadsAreRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHead(t)
		read, rest, err := readHead(h.bytes() + "body")
		assert.NilError(t, err)
		assert.Equal(t, rest, "body")
		assert.Equal(t, read.StatusCode(), h.status)
		for i, name := range h.names {
			found := false
			for n, value := range read.All() {
				found = found || strings.EqualFold(string(n), name) && string(value) == strings.Trim(h.values[i], " \t")
			}
			assert.Assert(t, found, "%q: %q in %s", name, h.values[i], read)
		}
	})
}

// TestInvalidByteInHead guards against a head that is accepted although one of its bytes is not allowed where it stands.
func TestInvalidByteInHead(t *testing.T) {
	not := func(allowed func(c byte) bool, except string) func(c byte) bool {
		return func(c byte) bool { return !allowed(c) && !strings.Contains(except, string(rune(c))) }
	}
	rapid.Check(t, func(t *rapid.T) {
		h := drawHead(t)
		name, value := "X-Name", "value"
		switch place := rapid.SampledFrom([]string{"name", "value", "reason", "status"}).Draw(t, "place"); place {
		case "name":
			bad := drawBytes(t, "bad", not(isToken, ":\r\n"), 1)
			name = rapid.SampledFrom([]string{bad + "X", "X" + bad + "Y", "X" + bad}).Draw(t, "position")
		case "value":
			value = "a" + drawBytes(t, "bad", not(isText, "\n"), 1) + "b"
		case "reason":
			h.first += " " + drawBytes(t, "bad", not(isText, "\n"), 1) + "x"
		case "status":
			h.first = "HTTP/1.1 " + rapid.SampledFrom([]string{"", "0", "20", "2000", "000", "001", "099", "101", "+20", "2x0", "x", " 200"}).Draw(t, "bad")
		}
		at := rapid.IntRange(0, len(h.names)).Draw(t, "at")
		h.names = append(h.names[:at:at], append([]string{name}, h.names[at:]...)...)
		h.values = append(h.values[:at:at], append([]string{value}, h.values[at:]...)...)
		before := rapid.SampledFrom([]string{"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"}).Draw(t, "before")
		_, _, err := readHead(before + h.bytes())
		assert.Assert(t, IsMalformed(err), "%q: %v", h.bytes(), err)
	})
}

// TestHeadsOfUnusualLines guards against a head whose end the check and the library see at different places.
func TestHeadsOfUnusualLines(t *testing.T) {
	cases := map[string]struct {
		head string
		ok   bool
	}{
		"lines end with LF, the head with CRLF": {"HTTP/1.1 200 OK\nX-A: 1\nX-B: 2\r\n\r\n", true},
		"no fields":                             {"HTTP/1.1 200 OK\r\n\r\n", true},
		"all lines end with LF":                 {"HTTP/1.1 200 OK\nX-A: 1\n\n", false},
		"the empty line ends with LF":           {"HTTP/1.1 200 OK\r\nX-A: 1\r\n\n", false},
		"the line before it ends with LF":       {"HTTP/1.1 200 OK\r\nX-A: 1\n\r\n", false},
		"the status line ends with LF":          {"HTTP/1.1 200 OK\n\r\n", false},
		"empty lines before":                    {"\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", false},
		"two lengths":                           {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, rest, err := readHead(c.head + "body\r\n\r\n")
			assert.Equal(t, err == nil, c.ok, "%v", err)
			if c.ok {
				assert.Equal(t, rest, "body\r\n\r\n")
			} else {
				assert.Assert(t, IsMalformed(err), "%v", err)
			}
		})
	}
}
