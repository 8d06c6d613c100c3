package poll

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/standin/engine"
	"vetchtrail/standin/meter"
	"vetchtrail/standin/wire"
)

// BenchmarkPoll measures the fetch of a load report over loopback. The bytes on the wire are those of both
// directions, and the processor time is that of both sides.
func BenchmarkPoll(b *testing.B) {
	for _, n := range []int{1, 27, 67} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			l := &meter.Listener{Listener: inner}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = engine.New(engine.Config{Slots: 8}).Serve(ctx, l) }()
			addr := netip.MustParseAddrPort(inner.Addr().String())
			t := load.New()
			var endpoints []load.EndpointInRegion
			for i := range n {
				endpoints = append(endpoints, load.EndpointInRegion{Endpoint: vetchtrail.Endpoint{Name: fmt.Sprint(i), Service: "s", Slots: 8, Addr: addr}})
			}
			t.Configure(endpoints)
			p := New(Config{Table: t, Interval: time.Second, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
			polls := 0
			cpu := meter.CPU()
			for b.Loop() {
				for _, e := range t.Endpoints() {
					p.poll(e)
					polls++
				}
			}
			b.ReportMetric(float64(meter.CPU()-cpu)/float64(polls), "cpu-ns/poll")
			b.ReportMetric(float64(l.Bytes())/float64(polls), "wire-bytes/poll")
		})
	}
}

// maxSocketBytes bounds what the kernels of both sides hold of a connection.
const maxSocketBytes = 8 << 20

// TestReportWithoutEnd guards against an endpoint whose report keeps a host reading as fast as the endpoint sends.
func TestReportWithoutEnd(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct{ begin, repeat string }{
		"line":             {"", "x"},
		"empty lines":      {"", "\r\n"},
		"fields":           {"HTTP/1.1 200 OK\r\n", "X-A: x\r\n"},
		"interim":          {"", "HTTP/1.1 103 E\r\n\r\n"},
		"body":             {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunks":           {chunked, "4\r\ntext\r\n"},
		"chunk extension":  {chunked + "1;", "x"},
		"chunk extensions": {chunked, "1;" + strings.Repeat("x", 100) + "\r\nx\r\n"},
		"trailer":          {chunked + "0\r\n", "X-A: x\r\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			sent := make(chan int, 1)
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				n, _ := conn.Write([]byte(c.begin))
				part := bytes.Repeat([]byte(c.repeat), 1+4096/len(c.repeat))
				for err == nil {
					var more int
					more, err = conn.Write(part)
					n += more
				}
				sent <- n
			}()
			p := New(Config{})
			var got report
			err = p.getJSON(netip.MustParseAddrPort(l.Addr().String()), "/load", &got)
			assert.Assert(t, err != nil)
			select {
			case n := <-sent:
				assert.Assert(t, n <= 2*maxResponseBytes+maxSocketBytes, "the endpoint sent %d bytes", n)
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// TestMalformedReport guards against a malformed response that counts as an endpoint's load report.
func TestMalformedReport(t *testing.T) {
	for fault, response := range wire.Malformed("", `{"slots":3}`) {
		t.Run(fault, func(t *testing.T) {
			var got report
			assert.Assert(t, New(Config{}).getJSON(wire.Serve(t, response).Addr, "/load", &got) != nil)
		})
	}
}

// TestSlowReportKeepsAnnouncement guards against a slow load report that makes an endpoint's process look younger than it
// is, so that what the process announced seems to come from an earlier one.
func TestSlowReportKeepsAnnouncement(t *testing.T) {
	const uptime = 2 * time.Second
	cases := map[string]struct {
		announcedBefore time.Duration // the poll
		delay           time.Duration // of the report
		leaving         bool
	}{
		"announced by this process":              {uptime - 600*time.Millisecond, 0, true},
		"announced by this process, slow report": {uptime - 600*time.Millisecond, 800 * time.Millisecond, true},
		"announced by an earlier one":            {uptime + 50*time.Millisecond, 0, false},
		"announced long before":                  {time.Minute, 0, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
				time.Sleep(c.delay)
				_, _ = fmt.Fprintf(ctx, `{"up":%d}`, uptime.Milliseconds())
			}}
			go func() { _ = server.Serve(l) }()
			defer func() { _ = server.Shutdown() }()
			e := vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 1, Addr: netip.MustParseAddrPort(l.Addr().String())}
			table := load.New()
			table.Configure([]load.EndpointInRegion{{Endpoint: e}})
			at := time.Now().Add(-c.announcedBefore)
			table.AvailabilityReported(e, vetchtrail.Availability{Leaving: true, RequestedAt: at, ReceivedAt: at}, nil)
			New(Config{Table: table, Log: slog.New(slog.DiscardHandler)}).poll(e)
			assert.Equal(t, table.IsLeaving("e", time.Now()), c.leaving)
		})
	}
}
