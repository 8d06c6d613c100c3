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

// slowEndpoint answers each request with its path, after a while.
func slowEndpoint(t *testing.T, after time.Duration) vetchtrail.Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", addr(29, 80).String())
	assert.NilError(t, err)
	srv := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		time.Sleep(after)
		ctx.SetBody(ctx.Path())
	}}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return vetchtrail.Endpoint{Name: "e", Instance: "e", Service: "s", Region: "r", DataCentre: "d", Addr: addr(29, 80), Slots: 64}
}

// talker sends one request after the other on one connection until it is told that
// the connection closes.
type talker struct {
	conn net.Conn
	in   *bufio.Reader
}

// ask sends a request and says whether the connection stays open.
func (k *talker) ask(path string) (open bool, err error) {
	if _, err := fmt.Fprintf(k.conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		return false, err
	}
	var resp fasthttp.Response
	if err := resp.Read(k.in); err != nil {
		return false, fmt.Errorf("%s: %w", path, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK || string(resp.Body()) != path {
		return false, fmt.Errorf("%s: status %d, %q", path, resp.StatusCode(), resp.Body())
	}
	return !resp.ConnectionClose(), nil
}

// TestStopOfAll: when one or all hosts are told to stop, each request that was sent
// on an open connection gets its whole answer, and then its connection's end.
func TestStopOfAll(t *testing.T) {
	const hosts, connections = 3, 4
	cases := map[string]struct{ stopped int }{"one": {1}, "all": {hosts}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			endpoint := slowEndpoint(t, 30*time.Millisecond)
			var all []*Daemon
			for i := range hosts {
				told := silentFeed{make(chan vetchtrail.Listing, 1)}
				told.tells <- vetchtrail.Listing{Revision: 40, Seen: 40, At: time.Now(), Endpoints: []*vetchtrail.Endpoint{&endpoint}}
				all = append(all, startHosted(t, string(rune('a'+i)), byte(21+i), told, all...))
			}
			for _, d := range all {
				becomesReady(t, d)
			}
			var ended sync.WaitGroup
			var answered atomic.Int32
			errs := make(chan error, hosts*connections)
			finish := make(chan struct{})
			for i, d := range all {
				for n := range connections {
					conn, err := net.Dial("tcp", d.set.Listen.Callers.String())
					assert.NilError(t, err)
					k := &talker{conn, bufio.NewReader(conn)}
					ended.Add(1)
					go func() {
						defer ended.Done()
						defer func() { _ = conn.Close() }()
						for m := 0; ; m++ {
							open, err := k.ask(fmt.Sprintf("/p/%d-%d-%d", i, n, m))
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
			ended.Wait()
			close(errs)
			for err := range errs {
				t.Error(err)
			}
		})
	}
}

// becomesReady waits until a host is ready.
func becomesReady(t *testing.T, d *Daemon) {
	t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for d.membership.Self().State != vetchtrail.HostReady {
		assert.Assert(t, time.Now().Before(deadline), "%s did not become ready", d.self.Name)
		time.Sleep(10 * time.Millisecond)
	}
}
