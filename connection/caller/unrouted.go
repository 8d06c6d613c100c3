package caller

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"vetchtrail"
	"vetchtrail/connection/buffer"
	"vetchtrail/connection/dialect"
	"vetchtrail/connection/endpoint"
)

// Header fields that callers set in unrouted requests.
const (
	headerWorkspace      = dialect.HeaderWorkspace
	headerIdempotencyKey = "Idempotency-Key"
	headerLastEvent      = "Last-Event-Id"
)

const (
	plainPrefix = "/services/"
	// bytesPerToken estimates a prompt's tokens from its size.
	bytesPerToken     = 4
	maxWorkspaceBytes = 128
)

// completionRequest has the fields of a completion request's body that the server reads.
type completionRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// promptText returns the prompt, or the contents of all messages of a chat, as raw JSON.
// It serves to estimate tokens.
func (p *completionRequest) promptText() []byte {
	if len(p.Messages) == 0 {
		return p.Prompt
	}
	var out []byte
	for _, m := range p.Messages {
		out = append(out, m.Content...)
	}
	return out
}

// handleCompletion serves POST /v1/chat/completions and POST /v1/completions.
func (s *Server) handleCompletion(c fiber.Ctx) error {
	body, err := s.decodedBody(c)
	if errors.Is(err, buffer.ErrFull) {
		return s.refuseOverBuffers(c)
	}
	if err != nil {
		return err
	}
	var p completionRequest
	if err := json.Unmarshal(body, &p); err != nil {
		return s.refuseBadRequest(c, errors.Wrap(err, "completion request body is not JSON"))
	}
	if p.Model == "" {
		return s.refuseBadRequest(c, errors.New(`the body names no service in "model"`))
	}
	r, err := s.newUnroutedRequest(c, p.Model, vetchtrail.ServiceModel)
	if err != nil {
		return s.refuseBadRequest(c, err)
	}
	if o, ok := s.authenticateUnrouted(c, r); !ok {
		return s.writeProblem(c, o)
	}
	_, r.Path = requestTarget(&c.Request().Header)
	r.Stream = p.Stream
	promptText := p.promptText()
	r.EstimatedTokens = len(promptText)/bytesPerToken + 1
	r.Repeatable = r.IdempotencyKey == ""
	if last := c.Get(headerLastEvent); last != "" {
		if r.ResumeAt, err = endpoint.ParsePosition(last); err != nil {
			return s.refuseBadRequest(c, err)
		}
	}
	return s.runUnrouted(c, r)
}

// plainTarget divides the target of a request for a plain service, /services/{service}/…, into the service
// and the path and query there.
func plainTarget(target string) (service, path string, ok bool) {
	rest, ok := strings.CutPrefix(target, plainPrefix)
	if !ok {
		return "", "", false
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	service, path = rest[:end], rest[end:]
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	return service, path, service != ""
}

// handlePlain serves a request for a service of kind plain.
func (s *Server) handlePlain(c fiber.Ctx, service, path string) error {
	r, err := s.newUnroutedRequest(c, service, vetchtrail.ServicePlain)
	if err != nil {
		return s.refuseBadRequest(c, err)
	}
	if o, ok := s.authenticateUnrouted(c, r); !ok {
		return s.writeProblem(c, o)
	}
	r.Path = path
	r.Repeatable = r.IdempotencyKey == "" && repeatable(r.Method)
	return s.runUnrouted(c, r)
}

// repeatable reports whether a request with this method may run twice (RFC 9110, 9.2.2).
// PUT and DELETE are idempotent by the RFC, but not all services implement them so.
func repeatable(method string) bool {
	switch method {
	case fiber.MethodGet, fiber.MethodHead, fiber.MethodOptions:
		return true
	}
	return false
}

// newUnroutedRequest builds the part of a request that completions and plain services have
// in common.
func (s *Server) newUnroutedRequest(c fiber.Ctx, service string, kind vetchtrail.ServiceKind) (*vetchtrail.Request, error) {
	current := s.cfg.Rules()
	region, _ := current.Region(s.cfg.Region)
	r := &vetchtrail.Request{
		ID: uuid.NewString(), Service: service, Kind: kind, Workspace: strings.Clone(c.Get(headerWorkspace)),
		EntryRegion: region.ID, Method: string(c.Request().Header.Method()), Header: unroutedHeader(c),
		Body: s.requestBody(c), IdempotencyKey: strings.Clone(c.Get(headerIdempotencyKey)),
	}
	if !utf8.ValidString(service) || !utf8.ValidString(r.Workspace) {
		return nil, fmt.Errorf("service %q or workspace %q is not UTF-8", service, r.Workspace)
	}
	if len(r.Workspace) > maxWorkspaceBytes {
		return nil, fmt.Errorf("%s is over %d bytes", headerWorkspace, maxWorkspaceBytes)
	}
	configured, known := current.Service(service)
	if known && configured.Kind != kind {
		return nil, fmt.Errorf("service %s is of kind %s, which this path does not serve", service, configured.Kind)
	}
	timeout, err := dialect.ParseTimeout(c.Get(dialect.HeaderTimeout))
	if timeout == 0 {
		timeout = configured.AnswerWithin
	}
	r.Deadline = time.Now().Add(timeout)
	return r, err
}

// unroutedHeader returns the header fields to forward to an endpoint.
func unroutedHeader(c fiber.Ctx) []vetchtrail.HeaderField {
	return endToEndFields(c, func(name string) bool {
		return name == fiber.HeaderHost || name == headerIdempotencyKey || name == headerLastEvent || name == headerWorkspace
	})
}
