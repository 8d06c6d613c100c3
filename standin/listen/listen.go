// Package listen runs the HTTP servers of the stand-ins.
package listen

import (
	"context"
	"net"

	"github.com/valyala/fasthttp"
)

// maxBodyBytes bounds the body of a request to a stand-in.
const maxBodyBytes = 64 << 20

// Serve handles the requests on a listener until ctx ends, and then returns nil.
// It returns an error only if the server fails before that.
func Serve(ctx context.Context, l net.Listener, handler fasthttp.RequestHandler) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	s := fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, MaxRequestBodySize: maxBodyBytes}
	err := s.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
