// Package endpoint calls endpoints over HTTP and says truthfully whether a
// request ran there. It builds on fasthttp's messages but keeps connections of
// its own: a client that retries by itself or hides whether a byte was written
// can't tell "not run" from "unknown".
package endpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"vetchtrail"
)

// NotStarted is the header of a 503 by which an endpoint says that it refused
// a request before starting it. Status 429 says so by itself (RFC 6585).
const NotStarted = "X-Not-Started"

// HeaderEndpoint tells where a request ran, if the settings allow it.
const HeaderEndpoint = "X-Vetchtrail-Endpoint"

const (
	// wholeLimit is the size in bytes up to which an answer of known length is
	// read whole before its first byte goes to the caller, so that a broken
	// one can still be retried or refused.
	wholeLimit  = 4 << 20
	stallTime   = 30 * time.Second // between two parts of a stream
	dialTime    = time.Second
	defaultBack = time.Second // when an endpoint refuses without Retry-After
	maxBack     = time.Minute
	// identitySize is the library's length of a body that ends with its
	// connection.
	identitySize = -2
)

// Guard is asked just before the first byte leaves for an endpoint, with the
// newest configuration held. It returns a reason to keep the request.
type Guard func(e vetchtrail.Endpoint, r *vetchtrail.Request) vetchtrail.Reason

// Config is what a Caller needs.
type Config struct {
	Guard Guard
}

// Caller is a vetchtrail.EndpointCaller.
type Caller struct {
	guard Guard
	pool  pool
}

// New returns a caller without connections.
func New(c Config) *Caller {
	k := &Caller{guard: c.Guard}
	k.pool.idle = map[netip.AddrPort][]*conn{}
	k.pool.dialer.Timeout = dialTime
	return k
}

// attempt is one call of an endpoint.
type attempt struct {
	to     vetchtrail.Endpoint
	req    *vetchtrail.Request
	answer vetchtrail.Answer
	conn   *conn
	resp   *fasthttp.Response
	timing vetchtrail.Timing
	begun  bool
}

// Call implements vetchtrail.EndpointCaller.
func (k *Caller) Call(ctx context.Context, e vetchtrail.Endpoint, r *vetchtrail.Request, a vetchtrail.Answer) (vetchtrail.Outcome, vetchtrail.Timing) {
	t := &attempt{to: e, req: r, answer: a}
	// A request that may not run twice gets a new connection: one from the pool
	// may have been closed by the endpoint in this very moment.
	c, err := k.pool.get(ctx, e.Addr, !r.Repeats)
	if err != nil {
		return t.notRun(vetchtrail.StepConnect, vetchtrail.ReasonUnreachable, err), t.timing
	}
	t.conn = c
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if why := k.guard(e, r); why != "" {
		k.pool.put(e.Addr, c)
		return t.notRun(vetchtrail.StepResidency, why, nil), t.timing
	}
	o, reusable := t.run(ctx)
	if reusable && stop() {
		k.pool.put(e.Addr, c)
	} else {
		_ = c.Close()
	}
	return o, t.timing
}

func (t *attempt) run(ctx context.Context) (o vetchtrail.Outcome, reusable bool) {
	_ = t.conn.SetDeadline(t.req.Deadline)
	if err := t.send(); err != nil {
		if t.conn.written == 0 {
			return t.notRun(vetchtrail.StepSend, vetchtrail.ReasonUnreachable, err), false
		}
		return t.unknown(ctx, vetchtrail.StepSend, vetchtrail.ReasonLost, err), false
	}
	t.resp = fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(t.resp)
	t.resp.StreamBody = true
	t.resp.SkipBody = t.req.Method == fasthttp.MethodHead
	if err := t.resp.ReadLimitBody(t.conn.in, 0); err != nil {
		return t.unknown(ctx, vetchtrail.StepAnswer, vetchtrail.ReasonLost, err), false
	}
	if refused := t.refusal(); refused {
		o := t.notRun(vetchtrail.StepAnswer, vetchtrail.ReasonRefused, nil)
		o.RetryAt = t.retryAt()
		return o, false
	}
	if err := t.pass(); err != nil {
		return t.unknown(ctx, vetchtrail.StepAnswer, vetchtrail.ReasonBroken, err), false
	}
	t.timing.Done = time.Now()
	return vetchtrail.Outcome{
		Kind: vetchtrail.Answered, Status: t.resp.StatusCode(), Step: vetchtrail.StepAnswer, Peer: t.to.Name, Begun: true,
	}, !t.resp.ConnectionClose()
}

// send writes the request.
func (t *attempt) send() error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(t.req.Method)
	req.SetRequestURI("http://" + t.to.Addr.String() + t.req.Path)
	for _, f := range t.req.Header {
		req.Header.Set(f.Name, f.Value)
	}
	req.Header.Set("X-Request-Id", t.req.ID)
	if t.req.Key != "" {
		req.Header.Set("Idempotency-Key", t.req.Key)
	}
	if t.req.Resume.Endpoint != "" {
		req.Header.Set("Last-Event-Id", strconv.Itoa(t.req.Resume.Offset))
	}
	req.SetBodyRaw(t.req.Body)
	t.timing.Sent = time.Now()
	out := bufio.NewWriter(t.conn)
	if err := req.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// refusal says whether the endpoint refused before starting.
func (t *attempt) refusal() bool {
	switch t.resp.StatusCode() {
	case fasthttp.StatusTooManyRequests:
		return true
	case fasthttp.StatusServiceUnavailable:
		return len(t.resp.Header.Peek(NotStarted)) > 0
	}
	return false
}

func (t *attempt) retryAt() time.Time {
	after := defaultBack
	if s, err := strconv.Atoi(string(t.resp.Header.Peek("Retry-After"))); err == nil && s >= 0 {
		after = min(time.Duration(s)*time.Second, maxBack)
	}
	return time.Now().Add(after)
}

// pass hands the answer on.
func (t *attempt) pass() error {
	size := t.resp.Header.ContentLength()
	switch {
	case t.events():
		return t.passEvents()
	case t.resp.BodyStream() == nil:
		return t.begin()
	case size >= 0 && size <= wholeLimit:
		return t.passWhole(size)
	case size == identitySize:
		return errors.New("the answer has neither a length nor chunks: its end can't be told from a cut")
	}
	return t.passParts(size)
}

// events says whether the answer is a stream of a model's events.
func (t *attempt) events() bool {
	return t.req.Kind == vetchtrail.KindModel &&
		string(t.resp.Header.ContentType()) == "text/event-stream"
}

func (t *attempt) passWhole(size int) error {
	body := make([]byte, size)
	if err := readFull(t.resp.BodyStream(), body); err != nil {
		return err
	}
	if t.req.Kind == vetchtrail.KindModel && t.resp.StatusCode() == fasthttp.StatusOK && !json.Valid(body) {
		return errors.New("the answer is not JSON")
	}
	if err := t.begin(); err != nil {
		return err
	}
	return t.answer.Write(body)
}

func (t *attempt) passParts(size int) error {
	part := make([]byte, readBuffer)
	passed := 0
	for {
		_ = t.conn.SetDeadline(time.Now().Add(stallTime))
		n, err := t.resp.BodyStream().Read(part)
		passed += n
		if n > 0 {
			if err := t.part(part[:n]); err != nil {
				return err
			}
		}
		if isEnd(err) && size >= 0 && passed < size {
			return io.ErrUnexpectedEOF
		}
		if isEnd(err) {
			return t.begin()
		}
		if err != nil {
			return err
		}
	}
}

// part begins the answer with its first part, so that one which breaks before
// is not begun.
func (t *attempt) part(p []byte) error {
	if err := t.begin(); err != nil {
		return err
	}
	return t.answer.Write(p)
}

func (t *attempt) begin() error {
	if t.begun {
		return nil
	}
	t.begun = true
	t.timing.First = time.Now()
	return t.answer.Begin(t.resp.StatusCode(), t.header())
}

// hopByHop are the fields that belong to one connection only (RFC 9110 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Te": true,
	"Trailer": true, "Upgrade": true, "Content-Length": true, "Date": true, "Server": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true,
}

// HopByHop says whether a header field belongs to one connection only.
func HopByHop(name string) bool { return hopByHop[name] }

func (t *attempt) header() []vetchtrail.HeaderField {
	out := []vetchtrail.HeaderField{{Name: HeaderEndpoint, Value: t.to.Name}}
	for name, value := range t.resp.Header.All() {
		if !HopByHop(string(name)) {
			out = append(out, vetchtrail.HeaderField{Name: string(name), Value: string(value)})
		}
	}
	return out
}

func (t *attempt) notRun(step vetchtrail.Step, why vetchtrail.Reason, err error) vetchtrail.Outcome {
	return vetchtrail.Outcome{
		Kind: vetchtrail.NotRun, Status: fasthttp.StatusServiceUnavailable, Step: step, Peer: t.to.Name,
		Reason: why, RetryAt: time.Now().Add(defaultBack), Err: err,
	}
}

func (t *attempt) unknown(ctx context.Context, step vetchtrail.Step, why vetchtrail.Reason, err error) vetchtrail.Outcome {
	if ctx.Err() != nil {
		why = vetchtrail.ReasonCallerGone
	}
	return vetchtrail.Outcome{
		Kind: vetchtrail.Unknown, Status: fasthttp.StatusBadGateway, Step: step, Peer: t.to.Name,
		Reason: why, Err: err, Begun: t.begun,
	}
}
