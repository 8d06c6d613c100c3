// Package endpoint calls endpoints over HTTP and says truthfully whether a
// request ran there. It builds on fasthttp's messages but keeps connections of
// its own: a client that retries by itself or hides whether a byte was written
// can't tell "not run" from "unknown".
package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"vetchtrail"
	"vetchtrail/connection/dial"
	"vetchtrail/connection/dialect"
)

// HeaderEndpoint tells where a request ran, if the settings allow it.
const HeaderEndpoint = "X-Vetchtrail-Endpoint"

const (
	// wholeLimit is the size in bytes up to which an answer of known length is
	// read whole before its first byte goes to the caller, so that a broken
	// one can still be retried or refused.
	wholeLimit  = 4 << 20
	stallTime   = 30 * time.Second // between two parts of an answer
	defaultBack = time.Second      // when an endpoint refuses without Retry-After
	// routedBack is the same for requests of routes, whose endpoints hold queues
	// of some tens of milliseconds and whose callers come back soon.
	routedBack = 100 * time.Millisecond
	maxBack    = time.Minute
	// foreignMost is how many answers to other requests are passed over on a
	// connection before it is given up.
	foreignMost = 2
	// firstFailure is the lowest status of an endpoint's own failure.
	firstFailure = fasthttp.StatusInternalServerError
)

// Guard is asked just before the first byte leaves for an endpoint, with the
// newest configuration held. It returns a reason to keep the request.
type Guard func(e vetchtrail.Endpoint, r *vetchtrail.Request) vetchtrail.Reason

// Config is what a Caller needs.
type Config struct {
	Guard    Guard
	Dialect  vetchtrail.Dialect  // nil: the project's own
	Observer vetchtrail.Observer // nil: none
}

// Caller is a vetchtrail.EndpointCaller.
type Caller struct {
	cfg  Config
	pool pool
}

// New returns a caller without connections.
func New(c Config) *Caller {
	if c.Dialect == nil {
		c.Dialect = dialect.Plain{}
	}
	k := &Caller{cfg: c}
	k.pool.idle = map[place][]*conn{}
	k.pool.dialer = dial.Dialer(dialTime)
	return k
}

// attempt is one call of an endpoint.
type attempt struct {
	of     *Caller
	to     vetchtrail.Endpoint
	req    *vetchtrail.Request
	answer vetchtrail.Answer
	conn   *conn
	resp   *fasthttp.Response
	body   *body
	timing vetchtrail.Timing
	begun  bool
	passed int                    // events of a stream
	kept   *vetchtrail.KeptAnswer // a failure that is kept back
}

// Call implements vetchtrail.EndpointCaller.
func (k *Caller) Call(ctx context.Context, e vetchtrail.Endpoint, r *vetchtrail.Request, a vetchtrail.Answer) (vetchtrail.Outcome, vetchtrail.Timing) {
	t := &attempt{of: k, to: e, req: r, answer: a}
	c, err := k.pool.get(ctx, placeOf(e), r.Repeats)
	if err != nil {
		return t.notRun(vetchtrail.StepConnect, vetchtrail.ReasonUnreachable, err), t.timing
	}
	t.conn = c
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if why := k.cfg.Guard(e, r); why != "" {
		k.pool.put(placeOf(e), c)
		return t.notRun(vetchtrail.StepResidency, why, nil), t.timing
	}
	o, reusable := t.run(ctx)
	if reusable && stop() {
		k.pool.put(placeOf(e), c)
	} else {
		_ = c.Close()
	}
	return o, t.timing
}

// Refuses says whether an endpoint refuses a connection, as one does that has ended.
func (k *Caller) Refuses(ctx context.Context, e vetchtrail.Endpoint) bool {
	c, err := k.pool.dialer.DialContext(ctx, "tcp", e.Addr.String())
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (t *attempt) run(ctx context.Context) (o vetchtrail.Outcome, reusable bool) {
	_ = t.conn.SetDeadline(t.req.Deadline)
	t.conn.silent = t.silent()
	defer func() { t.conn.silent = nil }()
	if err := t.send(); err != nil {
		if t.conn.written == 0 {
			return t.notRun(vetchtrail.StepSend, vetchtrail.ReasonUnreachable, err), false
		}
		return t.unknown(ctx, vetchtrail.StepSend, vetchtrail.ReasonLost, err), false
	}
	t.resp = fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(t.resp)
	reading, err := t.head()
	if err != nil {
		return t.unknown(ctx, vetchtrail.StepAnswer, vetchtrail.ReasonLost, err), false
	}
	t.conn.learnIdle(t.field("Keep-Alive"))
	switch reading.Kind {
	case vetchtrail.ReadingRefused:
		o := t.notRun(vetchtrail.StepAnswer, vetchtrail.ReasonRefused, nil)
		o.RetryAt = t.retryAt()
		o.Cold = max(0, reading.Cold)
		return o, t.finish()
	case vetchtrail.ReadingMisled:
		return t.notRun(vetchtrail.StepAnswer, vetchtrail.ReasonMisled, nil), false
	case vetchtrail.ReadingForeign, vetchtrail.ReadingDoubtful:
		err := errors.Errorf("status %d without the endpoint's signs", t.resp.StatusCode())
		return t.unknown(ctx, vetchtrail.StepAnswer, vetchtrail.ReasonBroken, err), false
	}
	if err := t.pass(); err != nil {
		return t.unknown(ctx, vetchtrail.StepAnswer, vetchtrail.ReasonBroken, err), false
	}
	t.timing.Done = time.Now()
	if t.kept != nil {
		o := t.unknown(ctx, vetchtrail.StepAnswer, vetchtrail.ReasonFailed, nil)
		o.Failure = t.kept
		return o, t.reusable()
	}
	return vetchtrail.Outcome{
		Kind: vetchtrail.Answered, Status: t.resp.StatusCode(), Step: vetchtrail.StepAnswer, Peer: t.to.Name, Begun: true,
		Events: t.passed,
	}, t.reusable()
}

// silent returns the question that a request which may run again asks while it
// waits: such a one does not wait for an endpoint that has gone silent.
func (t *attempt) silent() func() bool {
	if !t.req.Repeats || t.req.Route == "" || t.of.cfg.Observer == nil {
		return nil
	}
	return func() bool { return t.of.cfg.Observer.Silent(t.to, time.Now()) }
}

// send writes the request.
func (t *attempt) send() error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(t.req.Method)
	req.Header.SetRequestURI(t.req.Path) // as it came: parsing would normalize it
	req.Header.SetHost(t.to.Addr.String())
	req.Header.SetNoDefaultContentType(true)
	for _, f := range t.req.Header {
		if f.Name == fasthttp.HeaderHost {
			req.Header.SetHost(f.Value)
			continue
		}
		req.Header.Add(f.Name, f.Value)
	}
	t.timing.Sent = time.Now()
	if t.req.Route == "" {
		t.tellOwn(req)
	} else {
		t.of.cfg.Dialect.Tell(req.Header.Set, t.to, t.req, t.timing.Sent)
	}
	req.SetBodyRaw(t.req.Body)
	out := bufio.NewWriterSize(t.conn, readBuffer)
	if err := req.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// tellOwn sets the fields of requests that name a service, which belong to the
// project's own interface.
func (t *attempt) tellOwn(req *fasthttp.Request) {
	dialect.Plain{}.Tell(req.Header.Set, t.to, t.req, t.timing.Sent)
	if t.req.Key != "" {
		req.Header.Set("Idempotency-Key", t.req.Key)
	}
	if t.req.Resume.Endpoint != "" {
		req.Header.Set("Last-Event-Id", strconv.Itoa(t.req.Resume.Offset))
	}
}

// head reads the head of the answer to the request. An endpoint may send the
// answers of others before it: they belong to nobody.
func (t *attempt) head() (vetchtrail.Reading, error) {
	for range foreignMost + 1 {
		if err := t.readHead(); err != nil {
			return vetchtrail.Reading{}, err
		}
		reading := t.read()
		if reading.Told && t.of.cfg.Observer != nil {
			reading.Load.At = time.Now()
			t.of.cfg.Observer.Told(t.to, reading.Load)
		}
		t.tellLimit(reading.Rate)
		t.tellNotice(reading.Notice)
		t.tellUnknown()
		t.body = newBody(t.conn.in, &t.resp.Header, t.req.Method)
		if reading.Kind != vetchtrail.ReadingForeign {
			return reading, nil
		}
		if _, err := io.Copy(io.Discard, t.body); err != nil {
			return vetchtrail.Reading{}, err
		}
	}
	return vetchtrail.Reading{}, errors.New("answers to other requests only")
}

// tellLimit tells what the head says of the requests that the endpoint takes, before anything of the
// answer is passed on: who waits for its end hears of a limit seconds late.
func (t *attempt) tellLimit(r vetchtrail.RateReading) {
	if t.of.cfg.Observer == nil || (!r.Told && r.Err == nil) {
		return
	}
	t.of.cfg.Observer.Limited(t.to, vetchtrail.RateLimit{Named: r.Named, Rate: r.Rate, Asked: t.timing.Sent, Heard: time.Now()}, r.Err)
}

// tellNotice tells what the head says of whether the endpoint wants requests, as tellLimit does.
func (t *attempt) tellNotice(r vetchtrail.NoticeReading) {
	if t.of.cfg.Observer == nil || r == (vetchtrail.NoticeReading{}) {
		return
	}
	n := vetchtrail.Notice{Leaving: r.Leaving, Asked: t.timing.Sent, Heard: time.Now()}
	if r.Pause > 0 {
		n.Until = n.Heard.Add(r.Pause)
	}
	t.of.cfg.Observer.Noticed(t.to, n, r.Err)
}

// tellUnknown tells of fields that nobody reads: a new word of endpoints is seen on the first day it is said.
func (t *attempt) tellUnknown() {
	if t.of.cfg.Observer == nil {
		return
	}
	knows := t.of.cfg.Dialect.Knows
	if t.req.Route == "" {
		knows = dialect.Plain{}.Knows
	}
	for name := range t.resp.Header.All() {
		if !hopByHop[string(name)] && !knows(string(name)) {
			t.of.cfg.Observer.Unknown(t.to, string(name))
		}
	}
}

// readHead reads a head, passing over those that only announce another.
func (t *attempt) readHead() error {
	for {
		t.resp.Header.Reset()
		if err := t.resp.Header.Read(t.conn.in); err != nil {
			return err
		}
		if t.resp.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
}

func (t *attempt) read() vetchtrail.Reading {
	if t.req.Route == "" {
		return dialect.Plain{}.Read(t.resp.StatusCode(), t.field, t.req)
	}
	return t.of.cfg.Dialect.Read(t.resp.StatusCode(), t.field, t.req)
}

// field returns a field of the answer's head; one that stands there more than once, with different
// values, is a list (RFC 9110 5.3).
func (t *attempt) field(name string) string {
	all := slices.CompactFunc(t.resp.Header.PeekAll(name), bytes.Equal)
	if len(all) == 1 {
		return string(all[0])
	}
	return string(bytes.Join(all, []byte(", ")))
}

// finish reads what is left of an answer that is not passed on, and says
// whether its connection can be kept.
func (t *attempt) finish() bool {
	_, err := io.Copy(io.Discard, t.body)
	return err == nil && t.reusable()
}

func (t *attempt) reusable() bool {
	return !t.resp.ConnectionClose() && t.body.framed()
}

func (t *attempt) retryAt() time.Time {
	after, text := t.back(), t.field(fasthttp.HeaderRetryAfter)
	if named, err := vetchtrail.ReadPause(text); err == nil && text != "" {
		after = min(named, maxBack)
	}
	return time.Now().Add(after)
}

// back is how long an endpoint that refused without saying is left alone.
func (t *attempt) back() time.Duration {
	if t.req.Route != "" {
		return routedBack
	}
	return defaultBack
}

// hopByHop are the fields that belong to one connection only (RFC 9110 7.6.1).
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Te": true,
	"Trailer": true, "Upgrade": true, "Content-Length": true, "Date": true, "Server": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true, "Expect": true,
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
		Reason: why, RetryAt: time.Now().Add(t.back()), Err: err, Begun: t.req.Begun,
	}
}

// unknown is the outcome of a request that was sent and has no whole answer.
func (t *attempt) unknown(ctx context.Context, step vetchtrail.Step, why vetchtrail.Reason, err error) vetchtrail.Outcome {
	o := vetchtrail.Outcome{
		Kind: vetchtrail.Unknown, Status: fasthttp.StatusBadGateway, Step: step, Peer: t.to.Name,
		Reason: why, Err: err, Begun: t.begun || t.req.Begun,
	}
	switch {
	case ctx.Err() != nil:
		o.Reason = vetchtrail.ReasonCallerGone
	case !time.Now().Before(t.req.Deadline):
		o.Reason, o.Status = vetchtrail.ReasonDeadline, fasthttp.StatusGatewayTimeout
	}
	return o
}
