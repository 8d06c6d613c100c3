package caller

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"

	"vetchtrail"
	"vetchtrail/connection/dialect"
	"vetchtrail/version/rules"
)

const (
	// startingRetryAfter is the Retry-After of a host that has no configuration yet. Reading
	// one takes a few round trips.
	startingRetryAfter = 300 * time.Millisecond
	// minRetryAfter is the shortest Retry-After of a refusal.
	minRetryAfter = 50 * time.Millisecond
	// queueTimeDivisor limits how long a request may wait for capacity: its route's latency
	// objective divided by this. A caller that is refused by then can still be served in time
	// elsewhere.
	queueTimeDivisor = 4
	// canRetryTenths is how many tenths of the route's time limit must be left for a request
	// to count as the caller's first attempt, after which the caller can still retry. A caller
	// that retries after a refusal has already spent a quarter of the time limit.
	canRetryTenths = 9
	// Callers give up on a stream without a first event after the longest of these three: a
	// fixed time, a multiple of the route's latency objective and a multiple of its pause. The
	// platform documents this behaviour of its callers.
	minFirstEventWait = 2 * time.Second
	firstEventGoals   = 4
	firstEventPauses  = 8
	// defaultTimeout is the timeout of a caller that sets none. The route's time limit still
	// applies.
	defaultTimeout = time.Hour
)

// handleRouted handles requests that match a route, and all requests if the host serves routes only.
func (s *Server) handleRouted(c fiber.Ctx) (handled bool, err error) {
	h := &c.Request().Header
	host, uri := requestTarget(h)
	current := s.cfg.Rules()
	pathOnly, _, _ := strings.Cut(uri, "?")
	m, ok := current.Match(host, pathOnly)
	if !ok && !s.cfg.RoutesOnly {
		return false, nil
	}
	now := time.Now()
	r := &vetchtrail.Request{Method: string(h.Method()), Path: uri}
	if current.Revision() == 0 {
		return true, s.refuse(c, r, startingOutcome(now))
	}
	if err := s.cfg.Dialect.ParseRequest(headerFields(c), r, now); err != nil {
		return true, s.refuse(c, r, vetchtrail.Outcome{
			Kind: vetchtrail.OutcomeNotRun, Status: fiber.StatusBadRequest, Step: vetchtrail.StepParse,
			Reason: vetchtrail.ReasonBadRequest, Err: err,
		})
	}
	if !ok {
		return true, s.refuse(c, r, vetchtrail.Outcome{
			Kind: vetchtrail.OutcomeNotRun, Status: fiber.StatusNotFound, Step: vetchtrail.StepParse, Reason: vetchtrail.ReasonNoRoute,
		})
	}
	if m.Keyed {
		if o, ok := s.authenticate(c, r); !ok {
			return true, s.refuse(c, r, o)
		}
	}
	s.routeCounter.count(m.Name)
	s.applyRoute(c, r, &m, now)
	r.Revision = current.Revision()
	return true, s.runRouted(c, r)
}

// hostName returns the name in a Host field in lower case, without the port.
func hostName(field []byte) string {
	name, _, _ := bytes.Cut(bytes.ToLower(field), []byte(":"))
	return string(name)
}

// headerFields returns a function that reads request header fields. It copies the values,
// because the library reuses its buffers.
func headerFields(c fiber.Ctx) vetchtrail.HeaderGetter {
	return func(name string) string { return strings.Clone(c.Get(name)) }
}

// startingOutcome is the outcome of a request that arrived before this host had a
// configuration.
func startingOutcome(now time.Time) vetchtrail.Outcome {
	return vetchtrail.Outcome{
		Kind: vetchtrail.OutcomeNotRun, Status: fiber.StatusServiceUnavailable, Step: vetchtrail.StepDecide,
		Reason: vetchtrail.ReasonStarting, RetryAt: now.Add(startingRetryAfter),
	}
}

// applyRoute sets the fields of a request that follow from its route, and copies its
// header and body.
func (s *Server) applyRoute(c fiber.Ctx, r *vetchtrail.Request, m *rules.Match, now time.Time) {
	current := s.cfg.Rules()
	region, _ := current.Region(s.cfg.Region)
	r.EntryRegion, r.Route, r.Service = region.ID, m.Name, serviceOf(m, r)
	if v, ok := current.Service(r.Service); ok {
		r.Kind = v.Kind
	}
	r.Repeatable, r.MaxAttempts = m.Repeatable(), m.Attempts
	r.Stream, r.Resumable = m.Kind == vetchtrail.RouteStream, m.Kind == vetchtrail.RouteStream && m.Resumable
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(defaultTimeout)
	}
	if bound := now.Add(m.AnswerWithin); bound.Before(r.Deadline) {
		r.Deadline = bound
	}
	r.CallerCanRetry = r.Deadline.Sub(now) >= m.AnswerWithin*canRetryTenths/10
	r.Goal = now.Add(m.Goal)
	r.QueueUntil = now.Add(m.Goal / queueTimeDivisor)
	if r.Stream && m.Pause > 0 {
		r.FirstEventBy = now.Add(max(minFirstEventWait, firstEventGoals*m.Goal, firstEventPauses*m.Pause))
	}
	r.Header = s.routedHeader(c, m.Keyed)
	r.Body = s.requestBody(c)
}

// serviceOf selects one of the route's services by the attempt that began the stream that a request resumes, or by the
// request itself: what two services write doesn't fit together.
func serviceOf(m *rules.Match, r *vetchtrail.Request) string {
	attempt := r.ID
	if r.LastEventID != "" && r.Resumes != "" {
		attempt = r.Resumes
	}
	const fractionBits = 53 // of a float64
	return m.PickService(float64(xxhash.Sum64String(attempt)>>(64-fractionBits)) / (1 << fractionBits))
}

// routedHeader returns the header fields to forward to an endpoint. It omits fields that the system sets
// itself, and the workspace key.
func (s *Server) routedHeader(c fiber.Ctx, keyed bool) []vetchtrail.HeaderField {
	return endToEndFields(c, func(name string) bool {
		return s.cfg.Dialect.IsReserved(name) || (keyed && name == dialect.HeaderAuthorization)
	})
}

// runRouted runs a request that belongs to a route and writes its response.
func (s *Server) runRouted(c fiber.Ctx, r *vetchtrail.Request) error {
	p, begun := s.startRequest(c, r)
	if !begun {
		return s.refuse(c, r, p.outcome)
	}
	s.beginResponse(c, p)
	return s.sendBody(c, r, p)
}

// refuse responds with a problem document to a routed request that has no response from an
// endpoint. Its Retry-After has fractions of a second.
func (s *Server) refuse(c fiber.Ctx, r *vetchtrail.Request, o vetchtrail.Outcome) error {
	if !o.RetryAt.IsZero() {
		after := max(time.Until(o.RetryAt), minRetryAfter)
		c.Set(fiber.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	s.cfg.Dialect.SetResponseHeader(c.Set, r)
	if s.leaving() {
		c.Set(fiber.HeaderConnection, "close")
	}
	return c.Status(o.Status).JSON(newProblem(o), "application/problem+json")
}
