package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"net/netip"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/connection/buffer"
	"vetchtrail/connection/endpoint"
	"vetchtrail/connection/peer"
	"vetchtrail/schema"
	"vetchtrail/version/rules"
)

const (
	passTimeout = 10 * time.Second // for one message to pass
	routedHost  = "routed.example"
	routedPath  = "/part/"
)

// wireMessage is a request or a response as it is on the wire.
type wireMessage struct {
	first  string   // request line or status line
	fields []string // header lines
	body   []byte
}

// field returns the value of a header field, and whether the message has it.
func (m wireMessage) field(name string) (string, bool) {
	for _, line := range m.fields {
		if n, value, _ := strings.Cut(line, ":"); strings.EqualFold(n, name) {
			return strings.TrimSpace(value), true
		}
	}
	return "", false
}

// fieldLines returns the header fields without those of one connection and those named in except, with
// names in lower case, sorted by name. Values of the same name keep their order.
func (m wireMessage) fieldLines(except ...string) []string {
	omitted := append([]string{"connection", "keep-alive", "transfer-encoding", "content-length", "expect", "trailer"}, except...)
	out := []string{}
	for _, line := range m.fields {
		name, value, _ := strings.Cut(line, ":")
		if name = strings.ToLower(name); !slices.Contains(omitted, name) {
			out = append(out, name+": "+strings.TrimSpace(value))
		}
	}
	slices.SortStableFunc(out, func(a, b string) int {
		nameA, _, _ := strings.Cut(a, ":")
		nameB, _, _ := strings.Cut(b, ":")
		return strings.Compare(nameA, nameB)
	})
	return out
}

// readWireMessage reads a message without an HTTP library's view of it.
func readWireMessage(r *bufio.Reader, bodyless bool) (wireMessage, error) {
	var m wireMessage
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return m, err
		}
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		switch {
		case m.first == "":
			m.first = line
		case line == "":
			m.body, err = readWireBody(r, m, bodyless)
			return m, err
		default:
			m.fields = append(m.fields, line)
		}
	}
}

func readWireBody(r *bufio.Reader, m wireMessage, bodyless bool) ([]byte, error) {
	if bodyless {
		return nil, nil
	}
	if coding, ok := m.field("Transfer-Encoding"); ok && coding == "chunked" {
		body, err := io.ReadAll(httputil.NewChunkedReader(r))
		if err != nil {
			return nil, err
		}
		_, err = textproto.NewReader(r).ReadMIMEHeader() // the trailer section
		return body, err
	}
	length, _ := m.field("Content-Length")
	n, _ := strconv.Atoi(length)
	body := make([]byte, n)
	_, err := io.ReadFull(r, body)
	return body, err
}

// wireEndpoint is an endpoint that records requests as they arrive and writes a given response.
type wireEndpoint struct {
	listener   net.Listener
	received   chan wireMessage
	response   chan string
	closeAfter atomic.Bool // closes the connection after each response
	// disconnected receives a value when a host has closed a connection.
	disconnected chan struct{}
}

func newWireEndpoint(t testing.TB) *wireEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &wireEndpoint{listener: l, received: make(chan wireMessage, 16), response: make(chan string, 1), disconnected: make(chan struct{}, 1)}
	t.Cleanup(func() { _ = l.Close() })
	go e.accept()
	return e
}

func (e *wireEndpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *wireEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		m, err := readWireMessage(r, false)
		if err != nil {
			select {
			case e.disconnected <- struct{}{}:
			default:
			}
			return
		}
		e.received <- m
		_, _ = io.WriteString(c, <-e.response)
		if e.closeAfter.Load() {
			return
		}
	}
}

// reset drops what an earlier exchange has left.
func (e *wireEndpoint) reset() {
	for {
		select {
		case <-e.received:
		case <-e.response:
		case <-e.disconnected:
		default:
			return
		}
	}
}

func (e *wireEndpoint) endpoint() vetchtrail.Endpoint {
	return vetchtrail.Endpoint{Name: "e", Service: "app", Addr: netip.MustParseAddrPort(e.listener.Addr().String())}
}

// passLeg is a way from a caller to an endpoint and back.
type passLeg struct {
	name      string
	forwarded bool // through a second host
	bounded   bool // with a bound on buffered bytes
	routed    bool
}

func passLegs() []passLeg {
	var out []passLeg
	for _, forwarded := range []bool{false, true} {
		for _, bounded := range []bool{false, true} {
			for _, routed := range []bool{true, false} {
				out = append(out, passLeg{
					name:      fmt.Sprintf("forwarded %t, bounded %t, routed %t", forwarded, bounded, routed),
					forwarded: forwarded, bounded: bounded, routed: routed,
				})
			}
		}
	}
	return out
}

// path returns the path that callers use for a path of the service.
func (l passLeg) path(servicePath string) string {
	if l.routed {
		return servicePath
	}
	return "/services/app" + servicePath
}

// passFleet is a host, or two, in front of an endpoint.
type passFleet struct {
	endpoint *wireEndpoint
	addr     netip.AddrPort
}

func newPassFleet(t testing.TB, leg passLeg) *passFleet {
	t.Helper()
	f := &passFleet{endpoint: newWireEndpoint(t)}
	var budget *buffer.Budget
	if leg.bounded {
		budget = buffer.NewBudget(testBound)
	}
	client := endpoint.New(endpoint.Config{Guard: func(context.Context, vetchtrail.Endpoint, *vetchtrail.Request) vetchtrail.Reason { return "" }})
	run := fakeRunner(func(ctx context.Context, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
		o, _ := client.Call(ctx, f.endpoint.endpoint(), r, w)
		return o
	})
	if leg.forwarded {
		run = forwardTo(t, run, budget)
	}
	f.addr = serveConfig(t, Config{Runner: run, Rules: passRules(t), BodyLimit: testBound / 4, Buffers: budget})
	return f
}

// forwardTo returns a runner that forwards requests to a second host, which runs them.
func forwardTo(t testing.TB, run fakeRunner, b *buffer.Budget) fakeRunner {
	t.Helper()
	s, err := peer.NewServer(peer.ServerConfig{Runner: run, Operators: &schema.DRPCOperatorsUnimplementedServer{}, Buffers: b})
	assert.NilError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = s.Serve(ctx, l) }()
	client := peer.New(peer.Config{})
	t.Cleanup(client.Close)
	host := vetchtrail.Host{Name: "h2", PeerAddr: netip.MustParseAddrPort(l.Addr().String())}
	return func(ctx context.Context, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
		return client.Forward(ctx, host, r, w)
	}
}

// passRules returns a configuration with the plain service app, which a route and the path
// /services/app lead to.
func passRules(t testing.TB) func() *rules.Rules {
	t.Helper()
	current, err := rules.Empty().Apply(vetchtrail.Change{Edits: []vetchtrail.Edit{
		vetchtrail.PutRegion{Region: vetchtrail.Region{Name: "r", DataCentres: []string{"d"}}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "app", Kind: vetchtrail.ServicePlain, AnswerWithin: passTimeout}},
		vetchtrail.PutEndpoint{Endpoint: vetchtrail.Endpoint{Name: "e", Service: "app", Region: "r", DataCentre: "d", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Slots: 1}},
		vetchtrail.PutRoute{Route: vetchtrail.Route{
			Name: "part", Host: routedHost, PathPrefix: routedPath, Attempts: 1, AnswerWithin: passTimeout, Goal: passTimeout,
			Targets: []vetchtrail.Target{{Service: "app", Weight: 1}},
		}},
	}})
	assert.NilError(t, err)
	return func() *rules.Rules { return current }
}

// errNotReceived reports that the endpoint received no request.
var errNotReceived = errors.New("the endpoint received no request")

// exchange sends the bytes of a request and returns what the endpoint and the caller received. The
// endpoint writes response.
func (f *passFleet) exchange(request, response string, bodyless bool) (atEndpoint, atCaller wireMessage, err error) {
	c, err := net.Dial("tcp", f.addr.String())
	if err != nil {
		return wireMessage{}, wireMessage{}, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(passTimeout))
	f.endpoint.reset()
	f.endpoint.response <- response
	if _, err := io.WriteString(c, request); err != nil {
		return wireMessage{}, wireMessage{}, err
	}
	r := bufio.NewReader(c)
	for {
		if atCaller, err = readWireMessage(r, bodyless); err != nil || !strings.HasPrefix(atCaller.first, "HTTP/1.1 100 ") {
			break
		}
	}
	select {
	case atEndpoint = <-f.endpoint.received:
	default:
		err = errors.Join(errNotReceived, err)
	}
	return atEndpoint, atCaller, err
}

const plainResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: text/plain\r\n\r\nok"
