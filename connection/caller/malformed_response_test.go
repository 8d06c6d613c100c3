package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// checkMalformed sends a request and checks that the caller gets a truthful failure instead of the endpoint's response, and that
// the endpoint's connection is closed.
func (f *passFleet) checkMalformed(leg passLeg, method, response string) error {
	bodyless := method == http.MethodHead
	_, got, err := f.exchange(passRequest{method: method, path: routedPath + "x"}.bytes(leg), response, bodyless)
	if err != nil {
		return err
	}
	if !strings.HasPrefix(got.first, "HTTP/1.1 502 ") {
		return errors.Errorf("status line %q, header %q, body %.100q", got.first, got.fields, got.body)
	}
	var p Problem
	if err := json.Unmarshal(got.body, &p); !bodyless && (err != nil || p.Outcome != "unknown" || p.Reason != "answer-broken") {
		return errors.Errorf("problem %q, %v", got.body, err)
	}
	if _, ok := got.field("X-Endpoint"); ok {
		return errors.Errorf("a field of the malformed response in %q", got.fields)
	}
	select {
	case <-f.endpoint.disconnected:
		return nil
	case <-time.After(passTimeout):
		return errors.New("the endpoint's connection is still open")
	}
}

func testMalformed(t *testing.T, responses map[string]string) {
	t.Helper()
	for _, leg := range passLegs() {
		f := newPassFleet(t, leg)
		for name, response := range responses {
			for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
				t.Run(leg.name+"/"+name+"/"+method, func(t *testing.T) {
					assert.NilError(t, f.checkMalformed(leg, method, response))
				})
			}
		}
	}
}

// TestMalformedStatusReachesNoCaller guards against a response without a valid status that a caller gets as a success.
func TestMalformedStatusReachesNoCaller(t *testing.T) {
	const rest = "X-Endpoint: 1\r\nContent-Length: 2\r\n\r\nok"
	testMalformed(t, map[string]string{
		"000":                   "HTTP/1.1 000\r\n" + rest,
		"000 with a reason":     "HTTP/1.1 000 OK\r\n" + rest,
		"000, HTTP/1.0":         "HTTP/1.0 000 OK\r\n" + rest,
		"000 before a stream":   "HTTP/1.1 000 OK\r\nX-Endpoint: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n",
		"000 after a 103":       "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + rest,
		"000 before a response": "HTTP/1.1 000 OK\r\n\r\n" + plainResponse,
		"001":                   "HTTP/1.1 001 OK\r\n" + rest,
		"099 before a response": "HTTP/1.1 099 OK\r\n\r\n" + plainResponse,
		"101 before a response": "HTTP/1.1 101 Switching Protocols\r\n\r\n" + plainResponse,
		"two digits":            "HTTP/1.1 20 OK\r\n" + rest,
		"four digits":           "HTTP/1.1 2000 OK\r\n" + rest,
		"sign":                  "HTTP/1.1 +20 OK\r\n" + rest,
		"no digits":             "HTTP/1.1 OK\r\n" + rest,
		"two spaces":            "HTTP/1.1  200 OK\r\n" + rest,
		"tab":                   "HTTP/1.1\t200 OK\r\n" + rest,
		"tab after the code":    "HTTP/1.1 200\tOK\r\n" + rest,
		"NUL in the reason":     "HTTP/1.1 200 O\x00K\r\n" + rest,
		"CR in the reason":      "HTTP/1.1 200 O\rK\r\n" + rest,
		"empty line before":     "\r\nHTTP/1.1 200 OK\r\n" + rest,
		"blank before":          " HTTP/1.1 200 OK\r\n" + rest,
		"lower case":            "http/1.1 200 OK\r\n" + rest,
		"HTTP/2.0":              "HTTP/2.0 200 OK\r\n" + rest,
		"HTTP/0.9":              "HTTP/0.9 200 OK\r\n" + rest,
		"another protocol":      "RTSP/1.0 200 OK\r\n" + rest,
	})
}

// TestMalformedFieldNameReachesNoCaller guards against a response with a malformed field line that a caller gets.
func TestMalformedFieldNameReachesNoCaller(t *testing.T) {
	responses := map[string]string{}
	for name, line := range map[string]string{
		"blank inside the name":     "X Name: 1",
		"blank before the colon":    "X-Name : 1",
		"tab before the colon":      "X-Name\t: 1",
		"tab inside the name":       "X\tName: 1",
		"blank before the name":     " X-Name: 1",
		"tab before the name":       "\tX-Name: 1",
		"control byte in the name":  "X-\x01Name: 1",
		"control byte before":       "\x01X-Name: 1",
		"control byte at the end":   "X-Name\x1f: 1",
		"NUL in the name":           "X-\x00Name: 1",
		"CR in the name":            "X-\rName: 1",
		"DEL in the name":           "X-\x7fName: 1",
		"byte over 127 in the name": "X-\xe9: 1",
		"parenthesis in the name":   "X(Name): 1",
		"no name":                   ": 1",
		"blank for a name":          " : 1",
		"no colon":                  "X-Name",
		"control byte in the value": "X-Name: \x01",
		"NUL in the value":          "X-Name: a\x00b",
		"CR in the value":           "X-Name: a\rb",
		"two CR at the end":         "X-Name: a\r",
		"DEL in the value":          "X-Name: \x7f",
		"folded value":              "X-Name: a\r\n b",
		"blank in Content-Length":   "Content-Length : 1",
		"blank in Content-Type":     "Content-Type : text/html",
		"blank in a coding":         "Transfer-Encoding : chunked",
	} {
		const rest = "X-Endpoint: 1\r\nContent-Length: 2\r\n"
		responses[name+", first"] = "HTTP/1.1 200 OK\r\n" + line + "\r\n" + rest + "\r\nok"
		responses[name+", last"] = "HTTP/1.1 200 OK\r\n" + rest + line + "\r\n\r\nok"
		responses[name+", 404"] = "HTTP/1.1 404 Not Found\r\n" + rest + line + "\r\n\r\nok"
		responses[name+", interim"] = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line + "\r\n\r\n" + plainResponse
		responses[name+", stream"] = "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\n\r\n"
	}
	testMalformed(t, responses)
}

// TestMalformedTrailerEndsNoResponse guards against a response that looks whole to its caller although its trailer is malformed.
func TestMalformedTrailerEndsNoResponse(t *testing.T) {
	lines := map[string]string{
		"blank inside the name":    "X Name: 1\r\n",
		"blank before the colon":   "X-Name : 1\r\n",
		"control byte in the name": "X-\x01Name: 1\r\n",
		"no name":                  ": 1\r\n",
		"no colon":                 "X-Name\r\n",
		"one byte":                 "x\n",
		"a CR":                     "\r\r\n",
		"CR in the value":          "X-Name: a\rb\r\n",
		"NUL in the value":         "X-Name: a\x00b\r\n",
		"continued line":           "X-Name: a\r\n b\r\n",
		"a response":               "HTTP/1.1 200 OK\r\n",
	}
	heads := map[string]string{
		"200":    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
		"404":    "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\n",
		"stream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
	}
	const body = "Transfer-Encoding: chunked\r\n\r\n9\r\ndata: 1\n\n\r\n0\r\nX-First: 1\r\n"
	for _, leg := range passLegs() {
		f := newPassFleet(t, leg)
		for name, line := range lines {
			for kind, head := range heads {
				t.Run(leg.name+"/"+name+"/"+kind, func(t *testing.T) {
					request := passRequest{method: http.MethodPost, path: routedPath + "x"}.bytes(leg)
					_, got, err := f.exchange(request, head+body+line+"\r\n", false)
					assert.Assert(t, err != nil || strings.HasPrefix(got.first, "HTTP/1.1 502 "), "%q with the body %q", got.first, got.body)
					assert.Assert(t, got.first != "", "%v", err)
				})
			}
		}
	}
}

// TestChunksOfOtherVersionsReachNoCaller guards against chunk sizes in a body, as only HTTP/1.1 has chunks.
func TestChunksOfOtherVersionsReachNoCaller(t *testing.T) {
	const chunks = "2\r\nok\r\n0\r\n\r\n"
	testMalformed(t, map[string]string{
		"HTTP/1.0":             "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
		"HTTP/1.0 with length": "HTTP/1.0 200 OK\r\nContent-Length: 2\r\ntransfer-encoding: chunked\r\nConnection: keep-alive\r\n\r\n" + chunks,
		"HTTP/1.2 with length": "HTTP/1.2 200 OK\r\nTransfer-Encoding:chunked\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\n" + chunks,
	})
}
