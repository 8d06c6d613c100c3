package caller

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"

	"vetchtrail"
	"vetchtrail/connection/dialect"
)

// unknownKeyRetryAfter is the Retry-After for a caller whose key is unknown while this
// host can't determine whether its configuration is the newest. By then the host has received
// a newer one, or the caller reaches another host.
const unknownKeyRetryAfter = 500 * time.Millisecond

// authenticate sets the workspace of a request from its workspace key, and ignores any
// workspace that the caller names. If the key belongs to no workspace, it records the
// request as rejected and returns the outcome and false.
func (s *Server) authenticate(c fiber.Ctx, r *vetchtrail.Request) (vetchtrail.Outcome, bool) {
	o, ok := s.findWorkspace(c, r)
	if !ok {
		s.cfg.Runner.RecordRejection(r, o)
	}
	return o, ok
}

// findWorkspace does what authenticate does, except that it doesn't record a rejection.
func (s *Server) findWorkspace(c fiber.Ctx, r *vetchtrail.Request) (vetchtrail.Outcome, bool) {
	r.Workspace = ""
	key, err := s.cfg.Dialect.ParseKey(joinedHeaderFields(c))
	if err != nil {
		return unauthorized(err), false
	}
	r.CallerKeyHash = vetchtrail.HashKey(key)
	workspace, known := s.cfg.Rules().KeyWorkspace(r.CallerKeyHash)
	upToDate := true
	if !known && s.cfg.RefreshConfiguration != nil {
		// The key may be in a newer configuration that this host has not received yet.
		upToDate = s.cfg.RefreshConfiguration(c.RequestCtx())
		workspace, known = s.cfg.Rules().KeyWorkspace(r.CallerKeyHash)
	}
	if known {
		r.Workspace = workspace
		return vetchtrail.Outcome{}, true
	}
	o := unauthorized(errUnknownKey)
	if !upToDate {
		o.Status, o.RetryAt = fiber.StatusServiceUnavailable, time.Now().Add(unknownKeyRetryAfter)
	}
	return o, false
}

// authenticateUnrouted is authenticate for requests that belong to no route. They need a
// key only if they name a workspace that is locked. If any workspace is locked, a key that
// the caller sends is checked and determines the workspace.
func (s *Server) authenticateUnrouted(c fiber.Ctx, r *vetchtrail.Request) (vetchtrail.Outcome, bool) {
	current := s.cfg.Rules()
	if current.AnyLocked() && c.Get(dialect.HeaderAuthorization) != "" {
		r.Header = slices.DeleteFunc(r.Header, func(f vetchtrail.HeaderField) bool { return f.Name == dialect.HeaderAuthorization })
		return s.authenticate(c, r)
	}
	if current.Locked(r.Workspace) {
		o := unauthorized(vetchtrail.ErrNoKey)
		s.cfg.Runner.RecordRejection(r, o)
		return o, false
	}
	return vetchtrail.Outcome{}, true
}

var errUnknownKey = errors.New("the key is that of no workspace")

// unauthorized is the outcome of a request whose caller could not be authenticated.
func unauthorized(err error) vetchtrail.Outcome {
	reason := vetchtrail.ReasonBadKey
	switch {
	case errors.Is(err, vetchtrail.ErrNoKey):
		reason = vetchtrail.ReasonNoKey
	case errors.Is(err, errUnknownKey):
		reason = vetchtrail.ReasonUnknownKey
	}
	return vetchtrail.Outcome{
		Kind: vetchtrail.OutcomeNotRun, Status: fiber.StatusUnauthorized, Step: vetchtrail.StepParse, Reason: reason, Err: err,
	}
}

// joinedHeaderFields returns a function that reads request header fields and joins
// repeated ones with commas. A key that is sent twice is therefore invalid.
func joinedHeaderFields(c fiber.Ctx) vetchtrail.HeaderGetter {
	return func(name string) string {
		var out []string
		for _, value := range c.Request().Header.PeekAll(name) {
			out = append(out, string(value))
		}
		return strings.Join(out, ",")
	}
}
