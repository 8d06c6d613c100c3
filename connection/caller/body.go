package caller

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"vetchtrail"
	"vetchtrail/connection/buffer"
)

// accountKey is the key of a request's buffer account among the locals of its context.
type accountKey struct{}

var (
	bufferRefusals = metrics.GetOrCreateCounter("vetchtrail_buffer_refusals_total")
	slowCallers    = metrics.GetOrCreateCounter("vetchtrail_slow_callers_total")
)

// keepBody reads the body of a request if that fits within the bound on buffered bytes, and refuses the
// request otherwise. Without a bound, the HTTP library has read the body already.
func (s *Server) keepBody(c fiber.Ctx) (kept bool, err error) {
	if s.cfg.Buffers == nil {
		return true, nil
	}
	account := s.cfg.Buffers.NewAccount()
	c.Locals(accountKey{}, account)
	stream := c.Request().BodyStream()
	if stream == nil {
		return true, nil
	}
	body, err := buffer.ReadAll(stream, max(c.Request().Header.ContentLength(), -1), s.cfg.BodyLimit, account.ReserveRequest)
	switch {
	case errors.Is(err, buffer.ErrFull):
		// Unread bytes on a connection that is closed would reset it before the caller has the
		// response.
		_, _ = io.CopyN(io.Discard, stream, int64(s.cfg.BodyLimit))
		return false, s.refuseOverBuffers(c)
	case errors.Is(err, buffer.ErrTooLarge):
		return false, fiber.ErrRequestEntityTooLarge
	case err != nil && s.tooLate() && isTimeout(err):
		return false, s.refuseUnreadLate(c)
	case err != nil:
		return false, bodyError(err)
	}
	c.Request().SetBodyRaw(body)
	return true, nil
}

// closeAccount closes the buffer account of a request unless takeAccount has moved it.
func (s *Server) closeAccount(c fiber.Ctx) {
	if unused, ok := c.Locals(accountKey{}).(*buffer.Account); ok && unused != nil {
		unused.Close()
	}
}

// bodyError is the error for a body that could not be read.
func bodyError(err error) error {
	if isTimeout(err) {
		return fiber.ErrRequestTimeout
	}
	return fiber.ErrBadRequest
}

// refuseOverBuffers refuses a request whose body doesn't fit within the bound.
func (s *Server) refuseOverBuffers(c fiber.Ctx) error {
	return s.refuseUnrun(c, s.overBuffersOutcome)
}

// refuseUnrun refuses a request, of which only the header may have been read, with the outcome that record
// records and returns.
func (s *Server) refuseUnrun(c fiber.Ctx, record func(r *vetchtrail.Request) vetchtrail.Outcome) error {
	now := time.Now()
	host, target := requestTarget(&c.Request().Header)
	r := &vetchtrail.Request{Method: string(c.Request().Header.Method()), Path: target}
	pathOnly, _, _ := strings.Cut(r.Path, "?")
	if _, routed := s.cfg.Rules().Match(host, pathOnly); routed || s.cfg.RoutesOnly {
		_ = s.cfg.Dialect.ParseRequest(headerFields(c), r, now) // a bad request is refused all the same
		return s.refuse(c, r, record(r))
	}
	r.ID, r.IdempotencyKey = uuid.NewString(), strings.Clone(c.Get(headerIdempotencyKey))
	return s.writeProblem(c, record(r))
}

// overBuffersOutcome records a refused request and returns its outcome.
func (s *Server) overBuffersOutcome(r *vetchtrail.Request) vetchtrail.Outcome {
	bufferRefusals.Inc()
	s.pressureLog.refused(s.cfg.Buffers, time.Now())
	return s.cfg.Runner.RefuseOverBuffers(r)
}

// requestBody returns the body of a request as it arrived, in memory that the HTTP library doesn't reuse.
func (s *Server) requestBody(c fiber.Ctx) []byte {
	if s.cfg.Buffers != nil {
		return c.BodyRaw() // read by keepBody
	}
	return append([]byte(nil), c.BodyRaw()...)
}

// decodedBody returns the body of a request without its content coding. It is valid until the
// handler returns.
func (s *Server) decodedBody(c fiber.Ctx) ([]byte, error) {
	coding := c.Get(fiber.HeaderContentEncoding)
	if coding == "" {
		return c.BodyRaw(), nil
	}
	if s.cfg.Buffers != nil {
		account := s.cfg.Buffers.NewAccount()
		defer account.Close()
		if err := account.ReserveRequest(s.cfg.BodyLimit); err != nil {
			return nil, err
		}
	}
	body, err := c.Request().BodyUncompressedWithLimit(s.cfg.BodyLimit)
	switch {
	case errors.Is(err, fasthttp.ErrContentEncodingUnsupported):
		return nil, fiber.NewError(fiber.StatusUnsupportedMediaType, fmt.Sprintf("content coding %q is not supported", coding))
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return nil, fiber.NewError(fiber.StatusRequestEntityTooLarge, fmt.Sprintf("decoded body is over %d bytes", s.cfg.BodyLimit))
	case err != nil:
		return nil, fiber.NewError(fiber.StatusBadRequest, fmt.Sprintf("body can't be decoded as %q: %v", coding, err))
	}
	return body, nil
}

// takeAccount moves the buffer account of a request from the HTTP library's context to the
// request, and returns the function that closes it.
func (s *Server) takeAccount(c fiber.Ctx, r *vetchtrail.Request) func() {
	account, ok := c.Locals(accountKey{}).(*buffer.Account)
	if !ok || account == nil {
		return func() {}
	}
	c.Locals(accountKey{}, (*buffer.Account)(nil))
	c.Request().SetBodyRaw(nil) // r holds the only reference
	r.Buffers = account
	return account.Close
}

// endSlowCaller ends the stream of a caller that reads nothing.
func (s *Server) endSlowCaller(p *pipe) {
	slowCallers.Inc()
	s.pressureLog.ended(s.cfg.Buffers, time.Now())
	p.cancel(vetchtrail.ErrCallerSlow)
	if tc, ok := p.conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tc.SetLinger(0) // the kernel keeps none of the unread bytes
	}
	_ = p.conn.Close()
	p.paced.close()
}

// newPipe returns the pipe of a request's response, and false if there is no room for another
// response within the bound on buffered bytes.
func (s *Server) newPipe(c fiber.Ctx) (p *pipe, ok bool) {
	p = &pipe{conn: c.RequestCtx().Conn(), begun: make(chan struct{}), ended: make(chan struct{}), onClose: func() {}}
	p.ctx, p.cancel = context.WithCancelCause(context.Background())
	if s.cfg.Buffers == nil {
		p.chunks = make(chan []byte, pipeChunks)
		return p, true
	}
	if p.paced, ok = newPacedBuffer(s.cfg.Buffers); !ok {
		p.paced = nil
		return p, false
	}
	s.disconnectWatcher.addPaced(p)
	p.onClose = func() { s.disconnectWatcher.removePaced(p) }
	return p, true
}
