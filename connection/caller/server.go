// Package caller is the HTTP server for callers. It parses requests, authenticates them
// and writes responses. It does not choose an endpoint or call one: a Runner does.
//
// New registers the handlers. Each handler builds a vetchtrail.Request, the Runner runs it
// in a goroutine of its own, and a pipe carries the response from there to the connection.
package caller

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"vetchtrail"
	"vetchtrail/connection/buffer"
	"vetchtrail/connection/descriptors"
	"vetchtrail/connection/dialect"
	"vetchtrail/connection/endpoint"
	"vetchtrail/process/membership"
	"vetchtrail/process/memory"
	"vetchtrail/request/idempotency"
	"vetchtrail/version/rules"
)

const (
	// idleTimeout is how long an idle connection stays open. Operators configure callers to
	// close their connections earlier: a request that is sent while the server closes its
	// connection is lost.
	idleTimeout    = 2 * time.Minute
	readTimeout    = 30 * time.Second // for a whole request, from its first byte
	maxHeaderBytes = 32 << 10
	writeTimeout   = 30 * time.Second // for one write to a caller that doesn't read
)

// Runner runs requests. The dispatcher implements it.
type Runner interface {
	// Run runs r, writes the response to w and returns when the request has ended.
	Run(ctx context.Context, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome
	// StartingOutcome returns the outcome of a request that arrived before this host had a
	// configuration.
	StartingOutcome(r *vetchtrail.Request) vetchtrail.Outcome
	// RecordRejection records a request whose caller could not be authenticated.
	RecordRejection(r *vetchtrail.Request, o vetchtrail.Outcome)
	// RefuseOverBuffers records a request whose body doesn't fit within the bound on buffered
	// bytes, and returns its outcome.
	RefuseOverBuffers(r *vetchtrail.Request) vetchtrail.Outcome
	// RefuseLeaving records a request that arrived too late before the end of this host, and returns
	// its outcome.
	RefuseLeaving(r *vetchtrail.Request) vetchtrail.Outcome
}

// Config configures a Server.
type Config struct {
	Runner         Runner
	Rules          func() *rules.Rules
	Membership     *membership.Membership
	IssuedKeys     *idempotency.Registry
	BodyLimit      int                // of a request's body, in bytes
	ExposeEndpoint bool               // name the endpoint in a response header
	Region         string             // this host's region
	Dialect        vetchtrail.Dialect // for routed requests; nil: dialect.Default
	RoutesOnly     bool               // respond with 404 to requests that match no route
	// RefreshConfiguration fetches and applies the configuration of another host if that is
	// newer. It reports whether the configuration in force is now the newest as far as this
	// host can determine.
	RefreshConfiguration func(ctx context.Context) (upToDate bool)
	Buffers              *buffer.Budget      // bounds what is held in memory for all requests; nil: unbounded
	Descriptors          *descriptors.Budget // bounds the callers' connections; nil: unbounded
	Memory               *memory.Watch       // nil: not watched
	Log                  *slog.Logger        // nil: none
}

// Server is the HTTP server for callers.
type Server struct {
	cfg         Config
	app         *fiber.App
	connTracker atomic.Pointer[connTracker]
	handleOther fasthttp.RequestHandler // fiber's router
	drained     chan struct{}           // closed when Serve accepts no more connections

	disconnectWatcher *disconnectWatcher
	routeCounter      routeCounter
	pressureLog       pressureLog
	takenLeaving      takenLeaving
	takeUntil         atomic.Pointer[time.Time] // until when requests are taken; nil: the host is not leaving
}

// New returns a Server. Serve starts it.
func New(c Config) *Server {
	if c.Dialect == nil {
		c.Dialect = dialect.Default{}
	}
	s := &Server{cfg: c, pressureLog: pressureLog{log: c.Log}, drained: make(chan struct{})}
	s.disconnectWatcher = newDisconnectWatcher(s.endSlowCaller)
	s.app = fiber.New(fiber.Config{
		BodyLimit: c.BodyLimit, ReadBufferSize: maxHeaderBytes, IdleTimeout: idleTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		ErrorHandler: s.handleError, UnescapePath: false,
		// With a bound, keepBody reads the bodies.
		StreamRequestBody:            c.Buffers != nil,
		DisablePreParseMultipartForm: true, // parsed forms are marshalled in another order
		DisableDefaultContentType:    true, // responses without a type are forwarded so
	})
	s.app.Post("/v1/chat/completions", s.handleCompletion)
	s.app.Post("/v1/completions", s.handleCompletion)
	s.app.Get("/v1/models", s.handleModels)
	s.app.Get("/v1/hosts", s.handleHosts)
	s.app.Post("/v1/keys", s.handleKeys)
	s.app.Get("/livez", func(c fiber.Ctx) error { return sendText(c, "ok\n") })
	s.app.Get("/readyz", s.handleReady)
	s.app.Get("/metrics", handleMetrics)
	return s
}

// Serve accepts connections from l until Shutdown is called. Requests in flight go on when it returns.
func (s *Server) Serve(l net.Listener) error {
	tracking := newConnTracker(l, s.cfg)
	s.connTracker.Store(tracking)
	defer close(s.drained)
	go s.disconnectWatcher.run()
	err := s.app.Listener(tracking, fiber.ListenConfig{DisableStartupMessage: true, BeforeServeFunc: s.replaceHandlers})
	if err != nil {
		s.disconnectWatcher.stop()
	}
	return err
}

// replaceHandlers replaces the functions that fiber sets in the HTTP library.
func (s *Server) replaceHandlers(app *fiber.App) error {
	s.handleOther = app.Server().Handler
	app.Server().Handler = s.handle
	app.Server().ErrorHandler = s.refuseUnread
	app.Server().ConnState = trackState
	return nil
}

// handle serves a request. Routed requests and those for plain services don't pass through fiber's router,
// which refuses unknown methods, rewrites paths and adds fields to responses.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c := s.app.AcquireCtx(ctx)
	defer s.app.ReleaseCtx(c)
	defer s.closeAccount(c)
	kept, err := s.keepBody(c)
	if kept {
		err = s.handleKept(c)
	}
	if err != nil {
		_ = s.handleError(c, err)
	}
}

// handleKept serves a request whose body has been read.
func (s *Server) handleKept(c fiber.Ctx) error {
	if handled, err := s.handleRouted(c); handled {
		return err
	}
	_, target := requestTarget(&c.Request().Header)
	if service, path, ok := plainTarget(target); ok {
		return s.handlePlain(c, service, path)
	}
	s.handleOther(c.RequestCtx())
	return nil
}

// Shutdown stops listening and waits until the requests in flight have ended. It closes idle connections itself: the
// HTTP library would also close those on which a request has arrived that it has not read yet.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.disconnectWatcher.stop()
	if c := s.connTracker.Load(); c != nil {
		c.drainListener()
		select {
		case <-s.drained:
			c.closeWhenIdle(ctx)
		case <-ctx.Done():
		}
	}
	return s.app.ShutdownWithContext(ctx)
}

// CloseConnections closes all connections at once, also those with requests in flight.
func (s *Server) CloseConnections() {
	if c := s.connTracker.Load(); c != nil {
		c.closeAll()
	}
}

// refuseUnread responds to a request that could not be read. Unlike fiber's function for this, it runs no
// middleware: such a request must not run.
func (s *Server) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	c := s.app.AcquireCtx(ctx)
	defer s.app.ReleaseCtx(c)
	if s.tooLate() && isTimeout(err) {
		_ = s.refuseUnreadLate(c)
		return
	}
	_ = s.handleError(c, readError(err))
}

// readError returns the error with the status for a request that could not be read.
func readError(err error) error {
	var tooSmall *fasthttp.ErrSmallBuffer
	var ne net.Error
	switch {
	case errors.As(err, &tooSmall):
		return fiber.ErrRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fiber.ErrRequestEntityTooLarge
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &ne) && ne.Timeout():
		return fiber.ErrRequestTimeout
	}
	return fiber.NewError(fiber.StatusBadRequest, err.Error())
}

// handleError responds to requests that the HTTP library refused, such as those with an
// unknown path or a body over the limit.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	var fe *fiber.Error
	status := fiber.StatusInternalServerError
	if errors.As(err, &fe) {
		status = fe.Code
	}
	reason := vetchtrail.ReasonBadRequest
	if status == fiber.StatusRequestEntityTooLarge {
		reason = vetchtrail.ReasonTooLarge
	}
	return s.writeProblem(c, vetchtrail.Outcome{
		Kind: vetchtrail.OutcomeNotRun, Status: status, Step: vetchtrail.StepParse, Reason: reason, Err: err,
	})
}

// handleMetrics serves GET /metrics in the Prometheus text format.
func handleMetrics(c fiber.Ctx) error {
	var b bytes.Buffer
	metrics.WritePrometheus(&b, true)
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	return c.Send(b.Bytes())
}

// handleReady serves GET /readyz: 200 if this host is ready, and 503 with its state
// otherwise.
func (s *Server) handleReady(c fiber.Ctx) error {
	if state := s.cfg.Membership.Self().State; state != vetchtrail.HostReady {
		return sendText(c.Status(fiber.StatusServiceUnavailable), state.String()+"\n")
	}
	return sendText(c, "ready\n")
}

// sendText responds with a text.
func sendText(c fiber.Ctx, text string) error {
	c.Set(fiber.HeaderContentType, fiber.MIMETextPlainCharsetUTF8)
	return c.SendString(text)
}

// runUnrouted runs a request that belongs to no route and writes its response.
func (s *Server) runUnrouted(c fiber.Ctx, r *vetchtrail.Request) error {
	if s.cfg.Membership.Starting() {
		return s.writeProblem(c, s.cfg.Runner.StartingOutcome(r))
	}
	p, begun := s.startRequest(c, r)
	if !begun {
		return s.writeProblem(c, p.outcome)
	}
	s.beginResponse(c, p)
	c.Set("X-Request-Id", r.ID)
	return s.sendBody(c, r, p)
}

// startRequest runs a request in a goroutine and returns once its response has begun or
// the request has ended without one.
func (s *Server) startRequest(c fiber.Ctx, r *vetchtrail.Request) (p *pipe, begun bool) {
	if s.tooLate() {
		return &pipe{outcome: s.cfg.Runner.RefuseLeaving(r)}, false
	}
	tooMany := overBound(c.RequestCtx().Conn())
	if tooMany {
		c.Set(fiber.HeaderConnection, "close")
	}
	if tooMany || s.cfg.Memory.Short() {
		return &pipe{outcome: s.cfg.Runner.RefuseOverBuffers(r)}, false
	}
	setStage(c.RequestCtx().Conn(), stageRunning)
	defer setStage(c.RequestCtx().Conn(), stageWriting)
	if s.leaving() {
		s.takenLeaving.add(time.Now())
	}
	p, ok := s.newPipe(c)
	if !ok {
		p.outcome = s.overBuffersOutcome(r)
		return p, false
	}
	closeAccount := s.takeAccount(c, r)
	s.disconnectWatcher.add(p)
	go func() {
		defer s.disconnectWatcher.remove(p)
		p.run(s.cfg.Runner, r, closeAccount)
	}()
	select {
	case <-p.begun:
	case <-p.ended:
	}
	if !p.hasBegun() {
		_ = p.Close()
	}
	return p, p.hasBegun()
}

// beginResponse sets the status and the header of a response that has begun.
func (s *Server) beginResponse(c fiber.Ctx, p *pipe) {
	c.Status(p.status)
	for _, f := range p.header {
		if f.Name != endpoint.HeaderEndpoint || s.cfg.ExposeEndpoint {
			c.Response().Header.Add(f.Name, f.Value)
		}
	}
}

// sendBody streams the body of a response that has begun. A response to HEAD has none, so
// its request is cancelled.
func (s *Server) sendBody(c fiber.Ctx, r *vetchtrail.Request, p *pipe) error {
	if s.leaving() {
		c.Set(fiber.HeaderConnection, "close")
	}
	if r.Method == fiber.MethodHead {
		return p.Close()
	}
	return c.SendStream(p)
}

func (s *Server) leaving() bool { return s.cfg.Membership.Self().State == vetchtrail.HostLeaving }
