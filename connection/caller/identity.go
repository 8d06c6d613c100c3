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

// keyBack is when a caller whose key this host does not know may come back, while the
// host can't tell whether its configuration is the newest: by then it has heard of a
// newer one, or another host answers.
const keyBack = 500 * time.Millisecond

// identify sets the workspace of a request from its caller's key alone. It returns false
// with the answer for a caller whose key shows none.
func (s *Server) identify(c fiber.Ctx, r *vetchtrail.Request) (vetchtrail.Outcome, bool) {
	o, ok := s.holderOf(c, r)
	if !ok {
		s.cfg.Runner.Rejected(r, o)
	}
	return o, ok
}

func (s *Server) holderOf(c fiber.Ctx, r *vetchtrail.Request) (vetchtrail.Outcome, bool) {
	r.Workspace = ""
	key, err := s.cfg.Dialect.Key(allFieldsOf(c))
	if err != nil {
		return unauthorized(err), false
	}
	r.Credential = vetchtrail.HashKey(key)
	holder, known := s.cfg.Rules().Holder(r.Credential)
	current := true
	if !known && s.cfg.Refresh != nil {
		// A key that was just added must not be refused by a host that is behind.
		current = s.cfg.Refresh(c.RequestCtx())
		holder, known = s.cfg.Rules().Holder(r.Credential)
	}
	if known {
		r.Workspace = holder
		return vetchtrail.Outcome{}, true
	}
	o := unauthorized(errUnknownKey)
	if !current {
		o.Status, o.RetryAt = fiber.StatusServiceUnavailable, time.Now().Add(keyBack)
	}
	return o, false
}

// identifyUnrouted is identify for requests that belong to no route: a key is not needed,
// but a workspace that has keys can't be named without one.
func (s *Server) identifyUnrouted(c fiber.Ctx, r *vetchtrail.Request) (vetchtrail.Outcome, bool) {
	held := s.cfg.Rules()
	if held.AnyLocked() && c.Get(dialect.HeaderKey) != "" {
		r.Header = slices.DeleteFunc(r.Header, func(f vetchtrail.HeaderField) bool { return f.Name == dialect.HeaderKey })
		return s.identify(c, r)
	}
	if held.Locked(r.Workspace) {
		o := unauthorized(vetchtrail.ErrNoKey)
		s.cfg.Runner.Rejected(r, o)
		return o, false
	}
	return vetchtrail.Outcome{}, true
}

var errUnknownKey = errors.New("the key is that of no workspace")

// unauthorized is the answer to a caller that did not show a workspace.
func unauthorized(err error) vetchtrail.Outcome {
	why := vetchtrail.ReasonBadKey
	switch {
	case errors.Is(err, vetchtrail.ErrNoKey):
		why = vetchtrail.ReasonNoKey
	case errors.Is(err, errUnknownKey):
		why = vetchtrail.ReasonUnknownKey
	}
	return vetchtrail.Outcome{
		Kind: vetchtrail.NotRun, Status: fiber.StatusUnauthorized, Step: vetchtrail.StepParse, Reason: why, Err: err,
	}
}

// allFieldsOf reads fields with all their values, as one list: a key that was sent twice
// is none.
func allFieldsOf(c fiber.Ctx) vetchtrail.Fields {
	return func(name string) string {
		var out []string
		for _, value := range c.Request().Header.PeekAll(name) {
			out = append(out, string(value))
		}
		return strings.Join(out, ",")
	}
}
