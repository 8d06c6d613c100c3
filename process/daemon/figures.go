package daemon

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
)

// serveFigures answers every request on a listener with the process's metrics,
// until ctx ends.
func (d *Daemon) serveFigures(ctx context.Context, l net.Listener) {
	srv := &fasthttp.Server{Handler: writeFigures, Name: "vetchtraild"}
	stop := context.AfterFunc(ctx, func() { _ = srv.Shutdown() })
	defer stop()
	if err := srv.Serve(l); err != nil {
		d.log.Error("metrics ended", "address", l.Addr(), "error", err)
	}
}

func writeFigures(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	metrics.WritePrometheus(ctx, true)
}
