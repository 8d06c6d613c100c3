// Package listen serves the stand-ins' HTTP.
package listen

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"
)

// maxBody bounds a request to a stand-in, in bytes.
const maxBody = 64 << 20

// Serve answers on a listener with a handler until ctx ends.
func Serve(ctx context.Context, l net.Listener, handler fasthttp.RequestHandler) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	s := fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, MaxRequestBodySize: maxBody}
	err := s.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
