package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/connection/peer"
	"vetchtrail/process/settings"
	"vetchtrail/process/stopping"
)

// slowEndpoint starts an endpoint that responds to each request with its path after a delay.
func slowEndpoint(t *testing.T, delay time.Duration) vetchtrail.Endpoint {
	t.Helper()
	return startEndpoint(t, func(ctx *fasthttp.RequestCtx) {
		time.Sleep(delay)
		ctx.SetBody(ctx.Path())
	})
}

// startEndpoint starts an endpoint that handles its requests with h.
func startEndpoint(t *testing.T, h fasthttp.RequestHandler) vetchtrail.Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", addr(29, 80).String())
	assert.NilError(t, err)
	srv := &fasthttp.Server{Handler: h, MaxRequestBodySize: 64 << 20}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return vetchtrail.Endpoint{Name: "e", Instance: "e", Service: "s", Region: "r", DataCentre: "d", Addr: addr(29, 80), Slots: 64}
}

// client is a caller that sends its requests one after the other on one connection.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// get sends a request, checks its response and returns whether the connection stays open.
func (c *client) get(path string) (open bool, err error) {
	if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return false, err
	}
	var resp fasthttp.Response
	if err := resp.Read(c.in); err != nil {
		return false, fmt.Errorf("%s: %w", path, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK || string(resp.Body()) != path {
		return false, fmt.Errorf("%s: status %d, %q", path, resp.StatusCode(), resp.Body())
	}
	return !resp.ConnectionClose(), nil
}

// TestStopAnswersOpenConnections guards against responses that are lost when one host or all hosts
// stop: each request on an open connection must get a complete response, until a response announces
// that the connection closes.
func TestStopAnswersOpenConnections(t *testing.T) {
	const hosts, connections = 3, 4
	cases := map[string]struct{ stopped int }{"one": {1}, "all": {hosts}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			endpoint := slowEndpoint(t, 30*time.Millisecond)
			var all []*Daemon
			for i := range hosts {
				feed := manualFeed{make(chan vetchtrail.Listing, 1)}
				feed.listings <- vetchtrail.Listing{Revision: 40, ConfirmedRevision: 40, ReadAt: time.Now(), Endpoints: []*vetchtrail.Endpoint{&endpoint}}
				all = append(all, startHostedDaemon(t, string(rune('a'+i)), byte(21+i), feed, all...))
			}
			for _, d := range all {
				waitUntilReady(t, d)
			}
			var clients sync.WaitGroup
			var answered atomic.Int32
			errs := make(chan error, hosts*connections)
			finish := make(chan struct{})
			for i, d := range all {
				for n := range connections {
					conn, err := net.Dial("tcp", d.cfg.Listen.Callers.String())
					assert.NilError(t, err)
					cl := &client{conn, bufio.NewReader(conn)}
					clients.Add(1)
					go func() {
						defer clients.Done()
						defer func() { _ = conn.Close() }()
						for m := 0; ; m++ {
							open, err := cl.get(fmt.Sprintf("/p/%d-%d-%d", i, n, m))
							if err != nil {
								errs <- err
								return
							}
							answered.Add(1)
							select {
							case <-finish:
								return
							default:
							}
							if !open {
								return
							}
						}
					}()
				}
			}
			for answered.Load() < hosts*connections {
				time.Sleep(5 * time.Millisecond)
			}
			for _, d := range all[:c.stopped] {
				d.Leave()
			}
			time.Sleep(500 * time.Millisecond)
			close(finish)
			clients.Wait()
			close(errs)
			for err := range errs {
				t.Error(err)
			}
		})
	}
}

// waitUntilReady waits until a host's state is ready.
func waitUntilReady(t *testing.T, d *Daemon) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for d.membership.Self().State != vetchtrail.HostReady {
		assert.Assert(t, time.Now().Before(deadline), "%s did not become ready", d.self.Name)
		time.Sleep(10 * time.Millisecond)
	}
}

const (
	testLeave = 300 * time.Millisecond
	testGrace = 2 * time.Second
)

// sendEvents responds with n large events and a pause after each.
func sendEvents(ctx *fasthttp.RequestCtx, n int, pause time.Duration) {
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for range n {
			if _, err := fmt.Fprintf(w, "data: %s\n\n", strings.Repeat("x", 32<<10)); err != nil || w.Flush() != nil {
				return
			}
			time.Sleep(pause)
		}
	})
}

// stoppingHost is a host with one endpoint that a test stops.
type stoppingHost struct {
	*Daemon
	ended chan struct{} // closed when Run has returned
}

// startStoppingHost starts a host with one endpoint that handles its requests with h. slots is how many
// the endpoint runs at a time; bounded is whether the bytes that the host buffers are bounded.
func startStoppingHost(t *testing.T, slots int, h fasthttp.RequestHandler, bounded bool) *stoppingHost {
	t.Helper()
	e := startEndpoint(t, h)
	e.Slots = slots
	feed := manualFeed{make(chan vetchtrail.Listing, 1)}
	feed.listings <- vetchtrail.Listing{Revision: 40, ConfirmedRevision: 40, ReadAt: time.Now(), Endpoints: []*vetchtrail.Endpoint{&e}}
	s := hostedSettings("a", 21)
	s.Timing.Leave, s.Timing.Grace = testLeave, testGrace
	if bounded {
		s.Limits.Buffers = 16
	}
	host := &stoppingHost{newHostedDaemon(t, s, feed), make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(host.ended)
		if err := host.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-host.ended })
	waitUntilReady(t, host.Daemon)
	return host
}

// dial connects to the host as a caller.
func (h *stoppingHost) dial(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", h.cfg.Listen.Callers.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	return &client{conn, bufio.NewReader(conn)}
}

// send sends part of a request.
func (c *client) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c.conn, text)
	assert.NilError(t, err)
}

const getRequest, streamRequest = "GET /p/x HTTP/1.1\r\nHost: h\r\n\r\n", "GET /stream/x HTTP/1.1\r\nHost: h\r\n\r\n"

// postRequest is a request without the rest of its body.
const postRequest = "POST /p/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nbegun"

// result reads a response to its end: its status and whether it is complete.
func (c *client) result() (status int, complete bool) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err == nil && (resp.Close || resp.StatusCode == http.StatusOK)
}

// awaitEnd checks that the host ends by itself before its grace time, and returns how long that took.
func (h *stoppingHost) awaitEnd(t *testing.T, signalled time.Time) time.Duration {
	t.Helper()
	select {
	case <-h.ended:
	case <-time.After(time.Until(signalled.Add(2 * testGrace))):
	}
	took := time.Since(signalled)
	assert.Assert(t, took < testGrace, "the host still runs at the end of its grace time")
	return took
}

// TestStopEndsBeforeGrace guards against a host that waits for a request or a connection until it is
// killed, without a final response to what still runs.
func TestStopEndsBeforeGrace(t *testing.T) {
	cases := map[string]struct {
		request  string
		endpoint fasthttp.RequestHandler
		status   int // 0: the response is not read
	}{
		"no response yet":           {getRequest, func(*fasthttp.RequestCtx) { time.Sleep(2 * testGrace) }, http.StatusBadGateway},
		"response begun":            {streamRequest, func(ctx *fasthttp.RequestCtx) { sendEvents(ctx, 3, testGrace) }, http.StatusOK},
		"caller that reads nothing": {streamRequest, func(ctx *fasthttp.RequestCtx) { sendEvents(ctx, 4000, 0) }, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := startStoppingHost(t, 4, c.endpoint, false)
			caller := h.dial(t)
			caller.send(t, c.request)
			for h.dispatcher.InFlight() == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond)
			signalled := time.Now()
			h.Leave()
			reloaded := h.cfg
			reloaded.Timing.Grace = time.Minute // for the next stop
			h.Reload(reloaded)
			if c.status != 0 {
				status, complete := caller.result()
				assert.Equal(t, status, c.status)
				assert.Equal(t, complete, c.status != http.StatusOK)
				assert.Assert(t, time.Since(signalled) >= testGrace*5/6, "ended early, after %s", time.Since(signalled))
			}
			h.awaitEnd(t, signalled)
		})
	}
}

// TestLateRequestsAreRefused guards against requests that are taken when too little of the grace time is
// left: they would be cut.
func TestLateRequestsAreRefused(t *testing.T) {
	cases := map[string]struct {
		early, late string // parts of the request before and after the signal
		buffers     bool   // buffered bytes are bounded
	}{
		"first byte":                  {"", getRequest, false},
		"first byte, bounded buffers": {"", getRequest, true},
		"rest of the header":          {getRequest[:20], getRequest[20:], false},
		"never the whole header":      {getRequest[:20], "", false},
		"never the whole body":        {postRequest, "x", false},
		"never, bounded buffers":      {postRequest, "x", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := startStoppingHost(t, 4, func(*fasthttp.RequestCtx) { time.Sleep(2 * testGrace) }, c.buffers)
			caller := h.dial(t)
			caller.send(t, c.early)
			time.Sleep(50 * time.Millisecond)
			signalled := time.Now()
			h.Leave()
			plan := h.stopPlan
			time.Sleep(time.Until(plan.TakeUntil.Add(100 * time.Millisecond)))
			caller.send(t, c.late)
			status, complete := caller.result()
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Assert(t, complete)
			assert.Assert(t, time.Now().Before(plan.EndRequests), "refused late, after %s", time.Since(signalled))
			assert.Assert(t, h.awaitEnd(t, signalled) < plan.EndRequests.Sub(signalled))
		})
	}
}

// TestGoneCallerNoticedWhileStopping guards against requests that keep running after their callers have
// left because the connections are no longer checked once the listener has closed.
func TestGoneCallerNoticedWhileStopping(t *testing.T) {
	h := startStoppingHost(t, 4, func(*fasthttp.RequestCtx) { time.Sleep(2 * testGrace) }, false)
	caller := h.dial(t)
	caller.send(t, getRequest)
	for h.dispatcher.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	signalled := time.Now()
	h.Leave()
	time.Sleep(time.Until(h.stopPlan.TakeUntil))
	_ = caller.conn.Close()
	took := h.awaitEnd(t, signalled)
	assert.Assert(t, took < h.stopPlan.EndRequests.Sub(signalled), "ended after %s", took)
}

// TestQueuedRequestsAreRefusedWhileStopping guards against requests that wait for capacity until the end
// of a stop, when too little time is left to run them.
func TestQueuedRequestsAreRefusedWhileStopping(t *testing.T) {
	running := make(chan struct{}, 2)
	h := startStoppingHost(t, 1, func(*fasthttp.RequestCtx) {
		running <- struct{}{}
		time.Sleep(2 * testGrace)
	}, false)
	h.dial(t).send(t, streamRequest)
	<-running // the endpoint's only slot is taken
	queued := h.dial(t)
	queued.send(t, streamRequest)
	for h.dispatcher.InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	signalled := time.Now()
	h.Leave()
	status, complete := queued.result()
	took := time.Since(signalled)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, complete)
	assert.Assert(t, took >= testLeave && took < h.stopPlan.EndRequests.Sub(signalled), "refused after %s", took)
}

// discard is a response writer that drops what it receives.
type discard struct{}

func (discard) Begin(int, []vetchtrail.HeaderField) error { return nil }
func (discard) Write([]byte) error                        { return nil }

// forwardedRequest returns a request that another host forwards.
func forwardedRequest(route string) *vetchtrail.Request {
	return &vetchtrail.Request{
		ID: "x", Service: "s", Route: route, Method: http.MethodGet, Path: "/stream/x", Stream: true, AllowedRegions: ^vetchtrail.RegionSet(0),
		Deadline: time.Now().Add(time.Minute), Goal: time.Now().Add(time.Minute), Repeatable: true, MaxAttempts: 1,
	}
}

// TestForwardedStreamGetsOutcome guards against a stream, forwarded to a host that stops, of which the host
// that forwarded it only sees that the connection breaks.
func TestForwardedStreamGetsOutcome(t *testing.T) {
	h := startStoppingHost(t, 4, func(ctx *fasthttp.RequestCtx) { sendEvents(ctx, 100, 50*time.Millisecond) }, false)
	other := peer.New(peer.Config{})
	defer other.Close()
	outcome := make(chan vetchtrail.Outcome, 1)
	go func() { outcome <- other.Forward(context.Background(), h.self, forwardedRequest("stream"), discard{}) }()
	for h.dispatcher.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	signalled := time.Now()
	h.Leave()
	o := <-outcome
	assert.Equal(t, o.Reason, vetchtrail.ReasonLeaving, "%+v", o)
	assert.Assert(t, o.ResponseStarted && !o.HostLost, "%+v", o)
	h.awaitEnd(t, signalled)
}

// TestLateForwardsAreRefused guards against requests without a route, which a leaving host still takes from
// other hosts, that it takes until its end.
func TestLateForwardsAreRefused(t *testing.T) {
	h := startStoppingHost(t, 4, func(*fasthttp.RequestCtx) { time.Sleep(2 * testGrace) }, false)
	h.dial(t).send(t, streamRequest) // keeps the host from ending
	for h.dispatcher.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	other := peer.New(peer.Config{})
	defer other.Close()
	h.Leave()
	time.Sleep(time.Until(h.stopPlan.TakeUntil.Add(50 * time.Millisecond)))
	o := other.Forward(context.Background(), h.self, forwardedRequest(""), discard{})
	assert.Equal(t, o.Kind, vetchtrail.OutcomeNotRun)
	assert.Equal(t, o.Reason, vetchtrail.ReasonLeaving)
	assert.Assert(t, time.Now().Before(h.stopPlan.EndRequests), "refused late: %s", o)
}

// openDirectory is a directory with a connection that stays open.
type openDirectory struct{}

func (openDirectory) Serve(net.Listener) error { return nil }
func (openDirectory) Shutdown(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestOpenDirectoryDelaysNoStop guards against a host that waits for a connection to its directory until its grace time is over.
func TestOpenDirectoryDelaysNoStop(t *testing.T) {
	for name, grace := range map[string]time.Duration{"without a grace time": 0, "with a grace time": 5 * directoryTimeout} {
		t.Run(name, func(t *testing.T) {
			d := &Daemon{directory: openDirectory{}, log: slog.New(slog.DiscardHandler)}
			began := time.Now()
			d.endTasks(&conc.WaitGroup{}, stopping.NewPlan(began, 0, grace).Exit)
			assert.Assert(t, time.Since(began) < 2*directoryTimeout, "took %s", time.Since(began))
		})
	}
}

// TestStopWhileStarting guards against a host that reports itself ready after its stop has begun.
func TestStopWhileStarting(t *testing.T) {
	store := httptest.NewServer(http.NotFoundHandler())
	defer store.Close()
	for name, state := range map[string]vetchtrail.HostState{"stopped": vetchtrail.HostLeaving, "not stopped": vetchtrail.HostReady} {
		t.Run(name, func(t *testing.T) {
			s := hostedSettings("a", 23)
			s.Platform.Kind, s.Platform.Store = settings.PlatformOwn, netip.MustParseAddrPort(store.Listener.Addr().String())
			d, err := New(Config{Settings: s, Log: slog.New(slog.DiscardHandler)})
			assert.NilError(t, err)
			if state == vetchtrail.HostLeaving {
				d.membership.SetState(state)
			}
			d.becomeReady(context.Background())
			assert.Equal(t, d.membership.Self().State, state)
		})
	}
}

// TestStopBeforeReady guards against a host that nobody was told to use and that stops as late as one in use.
func TestStopBeforeReady(t *testing.T) {
	s := hostedSettings("a", 21)
	s.Timing.Leave, s.Timing.Grace = 10*time.Second, 15*time.Second
	d := newHostedDaemon(t, s, manualFeed{})
	ended := make(chan error, 1)
	go func() { ended <- d.Run(t.Context()) }()
	for !accepts(s.Listen.Callers) {
		time.Sleep(10 * time.Millisecond)
	}
	signalled := time.Now()
	d.Leave()
	assert.NilError(t, <-ended)
	assert.Assert(t, time.Since(signalled) < 5*time.Second, "stopped after %s", time.Since(signalled))
}

// accepts reports whether connections to an address are accepted.
func accepts(addr netip.AddrPort) bool {
	conn, err := net.Dial("tcp", addr.String())
	if err == nil {
		_ = conn.Close()
	}
	return err == nil
}

// TestListenerClosedWhenStopIsCutShort guards against a host whose Run returns, as its context ends during a stop, while its listener still
// holds the address.
func TestListenerClosedWhenStopIsCutShort(t *testing.T) {
	endpoint := slowEndpoint(t, time.Millisecond)
	for range 60 {
		feed := manualFeed{make(chan vetchtrail.Listing, 1)}
		feed.listings <- vetchtrail.Listing{Revision: 40, ConfirmedRevision: 40, ReadAt: time.Now(), Endpoints: []*vetchtrail.Endpoint{&endpoint}}
		d := newHostedDaemon(t, hostedSettings("a", 21), feed)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- d.Run(ctx) }()
		waitUntilReady(t, d)
		d.Leave()
		cancel()
		assert.NilError(t, <-done)
		l, err := net.Listen("tcp", d.cfg.Listen.Callers.String())
		assert.NilError(t, err)
		assert.NilError(t, l.Close())
	}
}
