package daemon

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

// serveMetrics serves the process's metrics in the Prometheus text format on l, whatever the
// path, until ctx ends.
func (d *Daemon) serveMetrics(ctx context.Context, l net.Listener) {
	srv := &fasthttp.Server{Handler: writeMetrics, Name: "vetchtraild"}
	stop := context.AfterFunc(ctx, func() { _ = srv.Shutdown() })
	defer stop()
	if err := srv.Serve(l); err != nil {
		d.log.Error("metrics server failed", "address", l.Addr(), "error", err)
	}
}

// writeMetrics responds with the process's metrics.
func writeMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	metrics.WritePrometheus(ctx, true)
}
