// Package caller answers callers over HTTP. Read it from New downwards: each
// route parses a request, the dispatcher runs it, and a pipe carries its answer
// to the connection.
package caller

import (
	"bytes"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"

	"vetchtrail"
	"vetchtrail/connection/dialect"
	"vetchtrail/connection/endpoint"
	"vetchtrail/process/membership"
	"vetchtrail/request/once"
	"vetchtrail/version/rules"
)

const (
	// idleTime is longer than operators let callers rest a connection: one that is
	// closed as its caller takes it up costs a request.
	idleTime    = 2 * time.Minute
	readTime    = 30 * time.Second // of one request, from its first byte
	headerLimit = 32 << 10         // bytes
	writeTime   = 30 * time.Second
)

// Runner runs a request to its end.
type Runner interface {
	Run(ctx context.Context, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome
	Starting(r *vetchtrail.Request) vetchtrail.Outcome
	// Rejected notes a request whose caller did not show a workspace.
	Rejected(r *vetchtrail.Request, o vetchtrail.Outcome)
}

// Config is what a Server needs.
type Config struct {
	Runner     Runner
	Rules      func() *rules.Rules
	Membership *membership.Membership
	Keeper     *once.Keeper
	BodyLimit  int                // bytes
	Explain    bool               // say in the answer's header where it ran
	Region     string             // of this host
	Dialect    vetchtrail.Dialect // of routed requests; nil: the project's own
	RoutesOnly bool               // the project's own interface is not served
	// Refresh looks for a configuration that is newer than the one held, takes it, and says
	// whether the one that is held then is the newest as far as the host can know.
	Refresh func(ctx context.Context) (current bool)
}

// Server is the callers' side of a daemon.
type Server struct {
	cfg   Config
	app   *fiber.App
	conns atomic.Pointer[conns]

	watcher *watcher
	tally   tally
}

// New returns a server that does not listen yet.
func New(c Config) *Server {
	if c.Dialect == nil {
		c.Dialect = dialect.Plain{}
	}
	s := &Server{cfg: c, watcher: newWatcher()}
	s.app = fiber.New(fiber.Config{
		BodyLimit: c.BodyLimit, ReadBufferSize: headerLimit, IdleTimeout: idleTime, ReadTimeout: readTime, WriteTimeout: writeTime,
		ErrorHandler: s.failed, UnescapePath: false, StreamRequestBody: false,
	})
	s.app.Use(s.routed)
	s.app.Post("/v1/chat/completions", s.model)
	s.app.Post("/v1/completions", s.model)
	s.app.Get("/v1/models", s.models)
	s.app.Get("/v1/hosts", s.hosts)
	s.app.Post("/v1/keys", s.keys)
	s.app.All("/services/:service", s.plain)
	s.app.All("/services/:service/*", s.plain)
	s.app.Get("/livez", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.ready)
	s.app.Get("/metrics", writeMetrics)
	return s
}

// Serve answers on a listener until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	tracking := newConns(l)
	s.conns.Store(tracking)
	go s.watcher.run()
	defer s.watcher.stop()
	return s.app.Listener(tracking, fiber.ListenConfig{DisableStartupMessage: true})
}

// Shutdown stops listening and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }

// Cut closes all connections at once, whatever is under way on them.
func (s *Server) Cut() {
	if c := s.conns.Load(); c != nil {
		c.closeAll()
	}
}

// failed answers errors of the library: an unknown path, a body past the limit.
func (s *Server) failed(c fiber.Ctx, err error) error {
	var fe *fiber.Error
	status := fiber.StatusInternalServerError
	if errors.As(err, &fe) {
		status = fe.Code
	}
	why := vetchtrail.ReasonBadRequest
	if status == fiber.StatusRequestEntityTooLarge {
		why = vetchtrail.ReasonTooLarge
	}
	return s.problem(c, vetchtrail.Outcome{
		Kind: vetchtrail.NotRun, Status: status, Step: vetchtrail.StepParse, Reason: why, Err: err,
	})
}

func writeMetrics(c fiber.Ctx) error {
	var b bytes.Buffer
	metrics.WritePrometheus(&b, true)
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	return c.Send(b.Bytes())
}

func (s *Server) ready(c fiber.Ctx) error {
	if state := s.cfg.Membership.Self().State; state != vetchtrail.HostReady {
		return c.Status(fiber.StatusServiceUnavailable).SendString(state.String() + "\n")
	}
	return c.SendString("ready\n")
}

// run runs a request and answers with what comes of it.
func (s *Server) run(c fiber.Ctx, r *vetchtrail.Request) error {
	if state := s.cfg.Membership.Self().State; state == vetchtrail.HostStarting {
		return s.problem(c, s.cfg.Runner.Starting(r))
	}
	p, begun := s.begin(c, r)
	if !begun {
		return s.problem(c, p.outcome)
	}
	c.Status(p.status)
	for _, f := range p.header {
		if f.Name != endpoint.HeaderEndpoint || s.cfg.Explain {
			c.Set(f.Name, f.Value)
		}
	}
	c.Set("X-Request-Id", r.ID)
	return s.send(c, r, p)
}

// begin runs a request until its answer begins, or ends without one.
func (s *Server) begin(c fiber.Ctx, r *vetchtrail.Request) (p *pipe, begun bool) {
	p = newPipe(c.RequestCtx().Conn())
	s.watcher.add(p)
	go func() {
		defer s.watcher.remove(p)
		p.run(s.cfg.Runner, r)
	}()
	select {
	case <-p.begun:
	case <-p.ended:
	}
	return p, p.hasBegun()
}

// send passes on the body of an answer that has begun.
func (s *Server) send(c fiber.Ctx, r *vetchtrail.Request, p *pipe) error {
	if s.leaving() {
		c.Set(fiber.HeaderConnection, "close")
	}
	if r.Method == fiber.MethodHead {
		p.cancel()
		return nil
	}
	return c.SendStream(p)
}

func (s *Server) leaving() bool { return s.cfg.Membership.Self().State == vetchtrail.HostLeaving }
