package poll

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/standin/engine"
	"vetchtrail/standin/meter"
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
