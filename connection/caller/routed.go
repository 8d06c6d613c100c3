package caller

import (
	"bytes"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"vetchtrail"
	"vetchtrail/connection/dialect"
	"vetchtrail/connection/endpoint"
	"vetchtrail/version/rules"
)

const (
	// startingBack is when a caller may come back to a host that holds no
	// configuration yet: reading it takes some round trips.
	startingBack = 300 * time.Millisecond
	// leastBack is the least time that a refused caller is told to wait.
	leastBack = 50 * time.Millisecond
	// patienceShare is the part of its route's goal that a request may wait for
	// room: refused by then, its caller can still be served in time.
	patienceShare = 4
	// freshTenths is how many tenths of its route's time the caller of a first try has
	// left at least: callers that come back after a refusal have waited a quarter.
	freshTenths = 9
	// A caller leaves a stream that shows no event for the longest of these: a time, and some
	// times its route's goal and pause, as callers of the hosted platform do by its pages.
	silenceLeast  = 2 * time.Second
	silenceGoals  = 4
	silencePauses = 8
	// noDeadline is the time of a caller that sets none; the route's bound stands.
	noDeadline = time.Hour
)

// routed answers requests that belong to a route. Others go on to the project's
// own interface, unless the host serves routes only.
func (s *Server) routed(c fiber.Ctx) error {
	h := &c.Request().Header
	host, path := hostName(h.Host()), string(h.RequestURI())
	held := s.cfg.Rules()
	bare, _, _ := strings.Cut(path, "?")
	m, ok := held.Match(host, bare)
	if !ok && !s.cfg.RoutesOnly {
		return c.Next()
	}
	now := time.Now()
	r := &vetchtrail.Request{Method: strings.Clone(c.Method()), Path: path}
	if held.Revision() == 0 {
		return s.refuse(c, r, starting(now))
	}
	if err := s.cfg.Dialect.Parse(fieldsOf(c), r, now); err != nil {
		return s.refuse(c, r, vetchtrail.Outcome{
			Kind: vetchtrail.NotRun, Status: fiber.StatusBadRequest, Step: vetchtrail.StepParse,
			Reason: vetchtrail.ReasonBadRequest, Err: err,
		})
	}
	if !ok {
		return s.refuse(c, r, vetchtrail.Outcome{
			Kind: vetchtrail.NotRun, Status: fiber.StatusNotFound, Step: vetchtrail.StepParse, Reason: vetchtrail.ReasonNoRoute,
		})
	}
	if m.Keyed {
		if o, ok := s.identify(c, r); !ok {
			return s.refuse(c, r, o)
		}
	}
	s.tally.count(m.Name)
	s.fill(c, r, &m, now)
	r.Revision = held.Revision()
	return s.runRouted(c, r)
}

// hostName is the name in a Host field, without a port.
func hostName(field []byte) string {
	name, _, _ := bytes.Cut(bytes.ToLower(field), []byte(":"))
	return string(name)
}

// fieldsOf reads fields; the texts outlive the connection's buffers.
func fieldsOf(c fiber.Ctx) vetchtrail.Fields {
	return func(name string) string { return strings.Clone(c.Get(name)) }
}

func starting(now time.Time) vetchtrail.Outcome {
	return vetchtrail.Outcome{
		Kind: vetchtrail.NotRun, Status: fiber.StatusServiceUnavailable, Step: vetchtrail.StepDecide,
		Reason: vetchtrail.ReasonStarting, RetryAt: now.Add(startingBack),
	}
}

// fill sets what the route says of a request.
func (s *Server) fill(c fiber.Ctx, r *vetchtrail.Request, m *rules.Match, now time.Time) {
	held := s.cfg.Rules()
	entry, _ := held.Region(s.cfg.Region)
	r.Entry, r.Route, r.Service = entry.ID, m.Name, m.Target(rand.Float64())
	if v, ok := held.Service(r.Service); ok {
		r.Kind = v.Kind
	}
	r.Repeats, r.Attempts = m.Repeats(), m.Attempts
	r.Stream, r.Resumable = m.Kind == vetchtrail.RouteStream, m.Kind == vetchtrail.RouteStream && m.Resumable
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(noDeadline)
	}
	if bound := now.Add(m.AnswerWithin); bound.Before(r.Deadline) {
		r.Deadline = bound
	}
	r.Fresh = r.Deadline.Sub(now) >= m.AnswerWithin*freshTenths/10
	r.Goal = now.Add(m.Goal)
	r.Patience = now.Add(m.Goal / patienceShare)
	if r.Stream && m.Pause > 0 {
		r.BeginBy = now.Add(max(silenceLeast, silenceGoals*m.Goal, silencePauses*m.Pause))
	}
	r.Header = s.routedHeader(c, m.Keyed)
	r.Body = append([]byte(nil), c.Body()...)
}

// routedHeader copies the fields that go on to an endpoint: not those that
// concern the connection, nor those that are the system's to set, nor the caller's key.
func (s *Server) routedHeader(c fiber.Ctx, keyed bool) []vetchtrail.HeaderField {
	listed := strings.ToLower(c.Get(fiber.HeaderConnection))
	var out []vetchtrail.HeaderField
	for name, value := range c.Request().Header.All() {
		n := string(name)
		if endpoint.HopByHop(n) || s.cfg.Dialect.Own(n) || (keyed && n == dialect.HeaderKey) || (listed != "" && namedIn(listed, n)) {
			continue
		}
		out = append(out, vetchtrail.HeaderField{Name: n, Value: string(value)})
	}
	return out
}

// namedIn says whether a Connection field lists a name.
func namedIn(list, name string) bool {
	for entry := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.TrimSpace(entry), name) {
			return true
		}
	}
	return false
}

// runRouted runs a request and answers with what comes of it.
func (s *Server) runRouted(c fiber.Ctx, r *vetchtrail.Request) error {
	p, begun := s.begin(c, r)
	if !begun {
		return s.refuse(c, r, p.outcome)
	}
	c.Status(p.status)
	for _, f := range p.header {
		if f.Name != endpoint.HeaderEndpoint || s.cfg.Explain {
			c.Response().Header.Add(f.Name, f.Value)
		}
	}
	return s.send(c, r, p)
}

// refuse answers a routed request with what is known of it.
func (s *Server) refuse(c fiber.Ctx, r *vetchtrail.Request, o vetchtrail.Outcome) error {
	if !o.RetryAt.IsZero() {
		after := max(time.Until(o.RetryAt), leastBack)
		c.Set(fiber.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	s.cfg.Dialect.Sign(c.Set, r)
	if s.leaving() {
		c.Set(fiber.HeaderConnection, "close")
	}
	return c.Status(o.Status).JSON(problemOf(o), "application/problem+json")
}
