package caller

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"vetchtrail"
	"vetchtrail/connection/dialect"
	"vetchtrail/connection/endpoint"
)

// Header fields of callers.
const (
	headerWorkspace = dialect.HeaderWorkspace
	headerKey       = "Idempotency-Key"
	headerLastEvent = "Last-Event-Id"
)

const (
	// bytesPerToken estimates a prompt's tokens.
	bytesPerToken = 4
	maxWorkspace  = 128 // bytes
)

// prompt is what is read of a model request's body.
type prompt struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

func (p *prompt) text() []byte {
	if len(p.Messages) == 0 {
		return p.Prompt
	}
	var out []byte
	for _, m := range p.Messages {
		out = append(out, m.Content...)
	}
	return out
}

// model answers POST /v1/chat/completions and /v1/completions.
func (s *Server) model(c fiber.Ctx) error {
	var p prompt
	if err := json.Unmarshal(c.Body(), &p); err != nil {
		return s.bad(c, errors.Wrap(err, "the body is not JSON of a completion request"))
	}
	if p.Model == "" {
		return s.bad(c, errors.New(`the body names no service in "model"`))
	}
	r, err := s.request(c, p.Model, vetchtrail.KindModel)
	if err != nil {
		return s.bad(c, err)
	}
	if o, ok := s.identifyUnrouted(c, r); !ok {
		return s.problem(c, o)
	}
	r.Path = c.Path()
	r.Stream = p.Stream
	text := p.text()
	r.Tokens = len(text)/bytesPerToken + 1
	r.Repeats = r.Key == ""
	if last := c.Get(headerLastEvent); last != "" {
		if r.Resume, err = endpoint.ParsePosition(last); err != nil {
			return s.bad(c, err)
		}
	}
	return s.run(c, r)
}

// plain answers /services/{service}/….
func (s *Server) plain(c fiber.Ctx) error {
	r, err := s.request(c, c.Params("service"), vetchtrail.KindPlain)
	if err != nil {
		return s.bad(c, err)
	}
	if o, ok := s.identifyUnrouted(c, r); !ok {
		return s.problem(c, o)
	}
	uri := string(c.Request().URI().RequestURI())
	r.Path = "/" + strings.TrimPrefix(strings.TrimPrefix(uri, "/services/"+c.Params("service")), "/")
	r.Repeats = r.Key == "" && repeatable(r.Method)
	return s.run(c, r)
}

// repeatable says whether a method may be run twice (RFC 9110 9.2.2). PUT and
// DELETE are idempotent by that page, but not all services keep to it.
func repeatable(method string) bool {
	switch method {
	case fiber.MethodGet, fiber.MethodHead, fiber.MethodOptions:
		return true
	}
	return false
}

// request reads what all requests have.
func (s *Server) request(c fiber.Ctx, service string, kind vetchtrail.ServiceKind) (*vetchtrail.Request, error) {
	held := s.cfg.Rules()
	entry, _ := held.Region(s.cfg.Region)
	r := &vetchtrail.Request{
		ID: uuid.NewString(), Service: strings.Clone(service), Kind: kind, Workspace: strings.Clone(c.Get(headerWorkspace)),
		Entry: entry.ID, Method: strings.Clone(c.Method()), Header: headerOf(c),
		Body: append([]byte(nil), c.Body()...), Key: strings.Clone(c.Get(headerKey)),
	}
	if len(r.Workspace) > maxWorkspace {
		return nil, fmt.Errorf("%s is over %d bytes", headerWorkspace, maxWorkspace)
	}
	conf, known := held.Service(service)
	if known && conf.Kind != kind {
		return nil, fmt.Errorf("service %s is of kind %s, which is not asked for in this way", service, conf.Kind)
	}
	within, err := dialect.ParseTimeout(c.Get(dialect.HeaderTimeout))
	if within == 0 {
		within = conf.AnswerWithin
	}
	r.Deadline = time.Now().Add(within)
	return r, err
}

// headerOf copies the fields that go on to an endpoint.
func headerOf(c fiber.Ctx) []vetchtrail.HeaderField {
	var out []vetchtrail.HeaderField
	for name, value := range c.Request().Header.All() {
		n := string(name)
		if endpoint.HopByHop(n) || n == "Host" || n == headerKey || n == headerLastEvent || n == headerWorkspace {
			continue
		}
		out = append(out, vetchtrail.HeaderField{Name: n, Value: string(value)})
	}
	return out
}
