package caller

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// passResponse is a response that has to arrive as it was sent.
type passResponse struct {
	method  string // of the request; GET by default
	status  string // with its phrase; "200 OK" by default
	fields  []string
	body    string
	chunked bool
	unsized bool // the body ends with the connection
}

// bytes returns the response as it is on the wire.
func (p passResponse) bytes() string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\n", p.status)
	for _, line := range p.fields {
		b.WriteString(line + "\r\n")
	}
	switch {
	case p.chunked:
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x;x=y\r\n%s\r\n0\r\nX-Trailer: 1\r\n\r\n", len(p.body), p.body)
	case p.unsized:
		b.WriteString("\r\n" + p.body)
	case p.body == "" && (p.method == http.MethodHead || strings.HasPrefix(p.status, "204") || strings.HasPrefix(p.status, "304")):
		b.WriteString("\r\n")
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(p.body), p.body)
	}
	return b.String()
}

// check sends a request and compares what arrives.
func (p passResponse) check(f *passFleet, leg passLeg) error {
	if p.method == "" {
		p.method = http.MethodGet
	}
	if p.status == "" {
		p.status = "200 OK"
	}
	request := passRequest{method: p.method, path: routedPath + "x"}
	bodyless := p.method == http.MethodHead || strings.HasPrefix(p.status, "204") || strings.HasPrefix(p.status, "304")
	f.endpoint.closeAfter.Store(p.unsized)
	defer f.endpoint.closeAfter.Store(false)
	_, got, err := f.exchange(request.bytes(leg), p.bytes(), bodyless)
	if err != nil {
		return err
	}
	added := []string{"date", "x-request-id"}
	want := wireMessage{fields: p.fields}
	switch {
	case !strings.HasPrefix(got.first, "HTTP/1.1 "+p.status[:3]+" "):
		return errors.Errorf("status line %q instead of %s", got.first, p.status)
	case !bytes.Equal(got.body, []byte(p.body)):
		return errors.Errorf("body %.200q instead of %.200q", got.body, p.body)
	}
	if result := cmp.DeepEqual(got.fieldLines(added...), want.fieldLines(added...))(); !result.Success() {
		return errors.Errorf("header fields %q instead of %q", got.fieldLines(added...), want.fieldLines(added...))
	}
	return nil
}

// TestResponsesPassUnchanged guards against responses that an HTTP library changes on the way to a caller.
func TestResponsesPassUnchanged(t *testing.T) {
	text := []string{"Content-Type: text/plain"}
	cases := map[string]passResponse{
		"no body":                     {fields: text},
		"no body, no type":            {},
		"body":                        {fields: text, body: "text"},
		"body without a type":         {body: "text"},
		"body in chunks":              {fields: text, body: "text", chunked: true},
		"body of arbitrary bytes":     {fields: text, body: "\x00\xff\r\n0\r\n\r\n"},
		"large body":                  {fields: text, body: strings.Repeat("0123456789abcdef", 1<<15)},
		"large body in chunks":        {fields: text, body: strings.Repeat("0123456789abcdef", 1<<15), chunked: true},
		"encoded body":                {fields: append([]string{"Content-Encoding: gzip"}, text...), body: gzipText},
		"HEAD":                        {method: http.MethodHead, fields: text},
		"204":                         {status: "204 No Content"},
		"204 with fields":             {status: "204 No Content", fields: []string{"ETag: \"x\"", "Content-Type: text/plain"}},
		"304":                         {status: "304 Not Modified", fields: []string{"ETag: \"x\""}},
		"206":                         {status: "206 Partial Content", fields: []string{"Content-Range: bytes 0-3/9", text[0]}, body: "text"},
		"301":                         {status: "301 Moved Permanently", fields: []string{"Location: /x?%2f#a", text[0]}, body: "text"},
		"401":                         {status: "401 Unauthorized", fields: []string{"WWW-Authenticate: Basic", "WWW-Authenticate: Bearer", text[0]}, body: "text"},
		"repeated fields":             {fields: append([]string{"X-Part: 1", "Vary: a", "X-Part: 2, 3", "Vary: b", "X-Part: 1"}, text...), body: "text"},
		"404":                         {status: "404 Not Found", fields: text, body: "text"},
		"500":                         {status: "500 Internal Server Error", fields: text, body: "text"},
		"503":                         {status: "503 Service Unavailable", fields: append([]string{"Retry-After: 1"}, text...), body: "text"},
		"status without a name":       {status: "299 ", fields: text, body: "text"},
		"status above all classes":    {status: "799 x", fields: text, body: "text"},
		"status without a reason":     {status: "299", fields: text, body: "text"},
		"418":                         {status: "418 I'm a teapot", fields: text, body: "text"},
		"499":                         {status: "499 ", fields: text, body: "text"},
		"599":                         {status: "599 x", fields: text, body: "text"},
		"odd reason":                  {status: "200 \t caf\xe9  (x): y ", fields: text, body: "text"},
		"any token as a name":         {fields: append([]string{"!#$%&'*+-.^_`|~09aZ: 1"}, text...), body: "text"},
		"tabs and bytes over 127":     {fields: append([]string{"X-Odd: a\tb \x80\xff\t\tc"}, text...), body: "text"},
		"blanks round a value":        {fields: append([]string{"X-Blanks: \t a  b \t "}, text...), body: "text"},
		"colons in a value":           {fields: append([]string{"X-Colon:::a: b"}, text...), body: "text"},
		"cookies":                     {fields: append([]string{"Set-Cookie: a=1; Path=/; secure", "Set-Cookie: a=2", "Set-Cookie: odd"}, text...), body: "text"},
		"empty field":                 {fields: append([]string{"X-Empty:"}, text...), body: "text"},
		"server":                      {fields: append([]string{"Server: x/1"}, text...), body: "text"},
		"field that is not UTF-8":     {fields: append([]string{"X-Latin: caf\xe9"}, text...), body: "text"},
		"fields of caches and origin": {fields: append([]string{"Cache-Control: no-cache", "Age: 3", "Via: 1.1 x", "Last-Modified: x", "Alt-Svc: h2"}, text...), body: "text"},
	}
	for _, leg := range passLegs() {
		f := newPassFleet(t, leg)
		for name, c := range cases {
			t.Run(leg.name+"/"+name, func(t *testing.T) {
				assert.NilError(t, c.check(f, leg))
			})
		}
	}
}

// TestEndpointConnectionFieldsStay guards against a field of the endpoint's connection that reaches the caller.
func TestEndpointConnectionFieldsStay(t *testing.T) {
	for _, leg := range passLegs() {
		t.Run(leg.name, func(t *testing.T) {
			response := "HTTP/1.1 200 OK\r\nConnection: x-listed, keep-alive\r\nConnection: X-Second, Cache-Control\r\nCache-Control: no-cache\r\nX-Listed: 1\r\nX-Second: 2\r\n" +
				"X-Other: 3\r\nKeep-Alive: timeout=9\r\nProxy-Authenticate: Basic\r\nUpgrade: h2c\r\nContent-Length: 0\r\n\r\n"
			_, got, err := newPassFleet(t, leg).exchange(passRequest{method: "GET", path: routedPath + "x"}.bytes(leg), response, false)
			assert.NilError(t, err)
			assert.DeepEqual(t, got.fieldLines("date", "x-request-id"), []string{"cache-control: no-cache", "x-other: 3"})
		})
	}
}

// TestUnsizedResponsesPass guards against a response to a routed request that is changed or refused because its
// body ends with the connection.
func TestUnsizedResponsesPass(t *testing.T) {
	for _, leg := range passLegs() {
		if !leg.routed {
			continue
		}
		t.Run(leg.name, func(t *testing.T) {
			p := passResponse{fields: []string{"Content-Type: text/plain"}, body: strings.Repeat("text", 10_000), unsized: true}
			assert.NilError(t, p.check(newPassFleet(t, leg), leg))
		})
	}
}

// TestHeadKeepsContentLength guards against responses to HEAD that state another length than the endpoint did.
func TestHeadKeepsContentLength(t *testing.T) {
	cases := map[string]struct{ field, want string }{
		"length":    {"Content-Length: 1234", "1234"},
		"no bytes":  {"Content-Length: 0", "0"},
		"no length": {"X-Part: 1", ""},
		"chunks":    {"Transfer-Encoding: chunked", ""},
	}
	for _, leg := range passLegs() {
		f := newPassFleet(t, leg)
		for name, c := range cases {
			t.Run(leg.name+"/"+name, func(t *testing.T) {
				request := passRequest{method: http.MethodHead, path: routedPath + "x"}
				response := passResponse{method: http.MethodHead, status: "200 OK", fields: []string{c.field}}
				_, got, err := f.exchange(request.bytes(leg), response.bytes(), true)
				assert.NilError(t, err)
				length, stated := got.field("Content-Length")
				assert.Equal(t, length, c.want)
				assert.Equal(t, stated, c.want != "")
			})
		}
	}
}

// TestCutHeadReachesNoCaller guards against a response with success, and an empty or short body, although the endpoint closed the
// connection inside its head.
func TestCutHeadReachesNoCaller(t *testing.T) {
	heads := map[string]string{
		"length":               "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\n",
		"chunks":               "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n",
		"ends with connection": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n",
		"stream":               "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"interim response":     "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
	}
	for _, leg := range passLegs() {
		f := newPassFleet(t, leg)
		f.endpoint.closeAfter.Store(true)
		for name, head := range heads {
			t.Run(leg.name+"/"+name, func(t *testing.T) {
				for cut := 0; cut < len(head); cut++ {
					for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
						_, got, err := f.exchange(passRequest{method: method, path: routedPath + "x"}.bytes(leg), head[:cut], method == http.MethodHead)
						assert.Assert(t, err != nil || strings.HasPrefix(got.first, "HTTP/1.1 5"), "%s cut after %q: %q", method, head[:cut], got.first)
					}
				}
			})
		}
	}
}
