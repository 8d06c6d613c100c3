package daemon

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"vetchtrail"
)

// slowEndpoint starts an endpoint that responds to each request with its path after a delay.
func slowEndpoint(t *testing.T, delay time.Duration) vetchtrail.Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", addr(29, 80).String())
	assert.NilError(t, err)
	srv := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		time.Sleep(delay)
		ctx.SetBody(ctx.Path())
	}}
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
