package dispatch

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/connection/endpoint"
	"vetchtrail/request/budget"
)

// addressedInTurn calls endpoints over connections. The n-th attempt goes to the n-th
// address, whatever its endpoint.
type addressedInTurn struct {
	client *endpoint.Client
	addrs  []netip.AddrPort
}

func (a *addressedInTurn) Call(ctx context.Context, e vetchtrail.Endpoint, r *vetchtrail.Request, w vetchtrail.ResponseWriter) (vetchtrail.Outcome, vetchtrail.Timing) {
	e.Addr, a.addrs = a.addrs[0], a.addrs[1:]
	return a.client.Call(ctx, e, r, w)
}

// listenOnce returns the address of an endpoint that serves one connection after it has
// read the head of a request.
func listenOnce(t *testing.T, serve func(net.Conn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			serve(c)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

const (
	streamStart = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	firstChunk  = "f\r\nid: 1\ndata: a\n\n\r\n"
	secondChunk = "f\r\nid: 2\ndata: b\n\n\r\n"
	thirdChunk  = "f\r\nid: 3\ndata: c\n\n\r\n"
	streamEnd   = "0\r\n\r\n"
	// stall is longer than the silence after which an attempt ends that another can replace.
	stall = 1500 * time.Millisecond
)

// TestStallAtLastAttempt guards against a stream that is ended because its endpoint is
// silent, although no other attempt can continue it. The first endpoint breaks off, the
// second one stalls at the last attempt that the route allows.
func TestStallAtLastAttempt(t *testing.T) {
	broken := listenOnce(t, func(c net.Conn) { _, _ = c.Write([]byte(streamStart + firstChunk)) })
	stalling := listenOnce(t, func(c net.Conn) {
		_, _ = c.Write([]byte(streamStart + firstChunk + secondChunk))
		time.Sleep(stall)
		_, _ = c.Write([]byte(thirdChunk + streamEnd))
	})
	d := newDispatcher(t, nil, 3)
	d.cfg.EndpointCaller = &addressedInTurn{addrs: []netip.AddrPort{broken, stalling}, client: endpoint.New(endpoint.Config{
		Guard: func(_ context.Context, e vetchtrail.Endpoint, r *vetchtrail.Request) vetchtrail.Reason {
			return d.CheckBeforeSend(e, r)
		}, Observer: d.cfg.Endpoints.(vetchtrail.Observer),
	})}
	r := &vetchtrail.Request{
		ID: "x", Service: "s", Route: "r", Method: "GET", Path: "/", Stream: true, Resumable: true, Repeatable: true, MaxAttempts: 2, EstimatedTokens: 10,
		Deadline: time.Now().Add(10 * time.Second),
	}
	var got responseRecorder
	o := d.Run(context.Background(), r, &got)
	assert.Equal(t, o.Kind, vetchtrail.OutcomeAnswered, "%v", o)
	assert.Equal(t, got.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
}

// retryBudgetShare is the share of its limit that a retry budget uses.
const retryBudgetShare = 0.8

// TestEndedProcessNotCounted guards against a stream that breaks because the processes of its
// endpoints ended, although others could continue it: such attempts don't count towards the
// route's limit. All other bounds still hold.
func TestEndedProcessNotCounted(t *testing.T) {
	event1, event2 := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	cases := map[string]struct {
		replies  []reply
		refuses  map[string]bool // endpoints that refuse connections
		retries  float64         // allowed by the budget
		kind     vetchtrail.OutcomeKind
		attempts int
	}{
		"process ended":           {[]reply{breakAfter(event1), respondWith(event2)}, map[string]bool{"1": true, "2": true, "3": true}, 100, vetchtrail.OutcomeAnswered, 2},
		"process goes on":         {[]reply{breakAfter(event1)}, nil, 100, vetchtrail.OutcomeUnknown, 1},
		"no retry left":           {[]reply{breakAfter(event1)}, map[string]bool{"1": true, "2": true, "3": true}, 0, vetchtrail.OutcomeUnknown, 1},
		"every process ends":      {[]reply{breakAfter(event1), breakAfter(event2), breakAfter(""), breakAfter("")}, map[string]bool{"1": true, "2": true, "3": true, "4": true, "5": true}, 100, vetchtrail.OutcomeUnknown, maxTotalAttempts},
		"refused before it began": {[]reply{refuseWith(vetchtrail.StepResponse, vetchtrail.ReasonEndpointRefused)}, map[string]bool{"1": true, "2": true, "3": true}, 100, vetchtrail.OutcomeNotRun, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			targets := &scriptedTargets{replies: c.replies}
			d := newDispatcher(t, targets, 5)
			d.cfg.ProcessEnded = func(_ context.Context, e vetchtrail.Endpoint) bool { return c.refuses[e.Name] }
			d.SetRetryBudget(budget.Config{Window: time.Minute, Base: c.retries, Hosts: func() int { return 1 }})
			r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", Stream: true, Resumable: true, Repeatable: true, MaxAttempts: 1, Deadline: time.Now().Add(10 * time.Second)}
			var got responseRecorder
			o := d.Run(context.Background(), r, &got)
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			assert.Equal(t, len(targets.called), c.attempts, "%v", targets.called)
		})
	}
}

// silenceCounter is a writer of the host that forwarded a request.
type silenceCounter struct {
	responseRecorder
	silent int
}

func (w *silenceCounter) EndpointSilent(vetchtrail.Silence) { w.silent++ }

// TestForwardedStreamNotCutAtSilentEndpoint guards against a stream that the host it was forwarded to
// ends for the silence of its endpoint.
func TestForwardedStreamNotCutAtSilentEndpoint(t *testing.T) {
	stalling := listenOnce(t, func(c net.Conn) {
		_, _ = c.Write([]byte(streamStart + firstChunk))
		time.Sleep(stall)
		_, _ = c.Write([]byte(secondChunk + streamEnd))
	})
	d := newDispatcher(t, nil, 3)
	d.cfg.EndpointCaller = &addressedInTurn{addrs: []netip.AddrPort{stalling}, client: endpoint.New(endpoint.Config{
		Guard: func(_ context.Context, e vetchtrail.Endpoint, r *vetchtrail.Request) vetchtrail.Reason {
			return d.CheckBeforeSend(e, r)
		}, Observer: d.cfg.Endpoints.(vetchtrail.Observer),
	})}
	r := &vetchtrail.Request{
		ID: "x", Service: "s", Route: "r", Method: "GET", Path: "/", Stream: true, Resumable: true, Repeatable: true, MaxAttempts: 2, EstimatedTokens: 10,
		Deadline: time.Now().Add(10 * time.Second), Hops: 1, AllowedRegions: 1,
	}
	var got silenceCounter
	o := d.Run(context.Background(), r, &got)
	assert.Equal(t, o.Kind, vetchtrail.OutcomeAnswered, "%v", o)
	assert.Equal(t, got.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	assert.Assert(t, got.silent > 0)
}

// TestFirstAttemptAtStandstill guards against requests that are refused while all endpoints of their
// service are silent for a moment, although these accept connections.
func TestFirstAttemptAtStandstill(t *testing.T) {
	silent := func(connected bool) vetchtrail.EndpointView {
		return vetchtrail.EndpointView{Name: "1", Unavailable: true, UnavailableReason: vetchtrail.ReasonSilent, Connected: connected}
	}
	cases := map[string]struct {
		endpoints []vetchtrail.EndpointView
		admitted  bool
	}{
		"all accept connections":         {[]vetchtrail.EndpointView{silent(true), silent(true)}, true},
		"one accepts connections":        {[]vetchtrail.EndpointView{silent(false), silent(true)}, true},
		"none accepts connections":       {[]vetchtrail.EndpointView{silent(false), silent(false)}, false},
		"one goes on":                    {[]vetchtrail.EndpointView{silent(true), {Name: "2"}}, false},
		"unavailable for another reason": {[]vetchtrail.EndpointView{{Name: "1", Unavailable: true, UnavailableReason: vetchtrail.ReasonDraining, Connected: true}}, false},
		"no endpoint of the service":     {nil, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			v := &vetchtrail.View{Endpoints: c.endpoints}
			assert.Equal(t, admitSilent(v), c.admitted)
			for _, e := range v.Endpoints {
				assert.Equal(t, !e.Unavailable, e.Name == "2" || c.admitted && e.Connected)
			}
		})
	}
}
