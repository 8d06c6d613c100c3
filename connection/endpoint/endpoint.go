// Package endpoint calls endpoints over HTTP and reports exactly whether a request ran
// there. It does not choose endpoints and does not retry.
//
// It uses fasthttp's messages but manages connections itself. An HTTP client that retries
// by itself, or hides whether a byte was written, can't distinguish the outcome "not run"
// from "unknown".
package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"vetchtrail"
	"vetchtrail/connection/buffer"
	"vetchtrail/connection/dial"
	"vetchtrail/connection/dialect"
	"vetchtrail/connection/response"
)

// HeaderEndpoint is a response header field with the name of the endpoint that ran the
// request. The caller's server removes it unless the settings allow it.
const HeaderEndpoint = "X-Vetchtrail-Endpoint"

const (
	// maxBufferedResponse is the size in bytes up to which a response of known length is read
	// whole before its first byte is sent to the caller, so that the request can still be
	// retried or refused if the response breaks. Responses to routed requests, except streams,
	// are always read whole, and fail if they are larger.
	maxBufferedResponse = 4 << 20
	// stallTimeout is the longest interval between two parts of the response to an unrouted
	// request after its deadline. Such a response may last longer than that.
	stallTimeout       = 30 * time.Second
	unroutedRetryAfter = time.Second // Retry-After of unrouted requests if the endpoint sends none
	// routedRetryAfter is the same for routed requests. Their endpoints have queues of some
	// tens of milliseconds, and their callers retry soon.
	routedRetryAfter = 100 * time.Millisecond
	maxRetryAfter    = time.Minute
	// maxForeignResponses is how many responses to other requests are skipped on a connection
	// before it is closed.
	maxForeignResponses = 2
	// maxSkippedBytes bounds what is received before the head of the response to the request. The
	// body of a response to another request may be as large as any.
	maxSkippedBytes = maxBufferedResponse
	// maxFramedBytes bounds what is received for a response that is read whole: its body and the
	// sizes of its chunks.
	maxFramedBytes = 2 * maxBufferedResponse
	// maxUncountedBytes is the size in bytes up to which a body or an event doesn't wait for room among the responses of
	// this host, so that large ones don't hold up the others.
	maxUncountedBytes = 64 << 10
	// A refusal's body is read only to use the connection again.
	maxRefusalBytes    = 64 << 10
	refusalBodyTimeout = 100 * time.Millisecond
	// minFailureStatus is the lowest status that reports a failure of the endpoint.
	minFailureStatus = fasthttp.StatusInternalServerError
)

// Guard is called just before the first byte is sent to an endpoint, and decides by the
// newest configuration of this host. It returns the reason not to send the request, or
// nothing if the request may be sent.
type Guard func(ctx context.Context, e vetchtrail.Endpoint, r *vetchtrail.Request) vetchtrail.Reason

// Config configures a Client.
type Config struct {
	Guard    Guard
	Dialect  vetchtrail.Dialect  // for routed requests; nil: dialect.Default
	Observer vetchtrail.Observer // nil: none
	// Connected is called after a connection to an endpoint was opened for a request; nil: it isn't.
	Connected func(e vetchtrail.Endpoint)
	// SocketBytes bounds the kernel's buffers of a connection; 0: the kernel decides.
	SocketBytes int
	Connector   *dial.Connector // opens the connections; nil: one without bounds
	// Responses bounds what is held of the responses to requests without a buffer account; nil: unbounded.
	Responses *buffer.Budget
}

// Client calls endpoints. It implements vetchtrail.EndpointCaller.
type Client struct {
	cfg  Config
	pool pool
}

// New returns a Client without connections.
func New(c Config) *Client {
	if c.Dialect == nil {
		c.Dialect = dialect.Default{}
	}
	if c.Connector == nil {
		c.Connector = dial.NewConnector(dial.ConnectorConfig{})
	}
	k := &Client{cfg: c}
	k.pool.idle = map[poolKey][]*conn{}
	k.pool.dialer, k.pool.connector, k.pool.socketBytes = dial.Dialer(dialTimeout), c.Connector, c.SocketBytes
	return k
}

// attempt is one request sent to one endpoint.
type attempt struct {
	client          *Client
	endpoint        vetchtrail.Endpoint
	req             *vetchtrail.Request
	writer          vetchtrail.ResponseWriter
	conn            *conn
	resp            *fasthttp.Response
	body            *response.Body
	timing          vetchtrail.Timing
	begun           bool
	silent          bool                         // the endpoint was silent at the last check
	eventsSent      int                          // of the stream, to the caller
	emptyEvents     int                          // bytes of events without id and data since the last one with
	eventCounted    int                          // bytes of the current event in the account
	account         vetchtrail.BufferAccount     // counts the bytes of the response that are held; nil: they aren't counted
	uncountedBody   int                          // bytes of a body that are not counted
	uncountedEvent  int                          // bytes of an event up to which none are counted
	pause           pause                        // of the stream while its caller reads too slowly
	deferredFailure *vetchtrail.BufferedResponse // set if the response is a failure and another attempt may succeed
}

// Call implements vetchtrail.EndpointCaller.
func (c *Client) Call(ctx context.Context, e vetchtrail.Endpoint, r *vetchtrail.Request, w vetchtrail.ResponseWriter) (vetchtrail.Outcome, vetchtrail.Timing) {
	t := &attempt{client: c, endpoint: e, req: r, writer: w}
	defer t.openAccount()()
	conn, opened, err := c.connect(ctx, e, r)
	if err != nil {
		return t.notConnected(err), t.timing
	}
	if opened && c.cfg.Connected != nil {
		c.cfg.Connected(e)
	}
	t.conn = conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if reason := c.cfg.Guard(ctx, e, r); reason != "" {
		c.pool.put(poolKeyOf(e), conn)
		return t.notRun(vetchtrail.StepResidency, reason, nil), t.timing
	}
	o, reusable := t.run(ctx)
	if reusable && stop() {
		c.pool.put(poolKeyOf(e), conn)
	} else {
		_ = conn.Close()
	}
	return o, t.timing
}

// openAccount sets the account of the response's bytes, and returns the function that closes it.
func (t *attempt) openAccount() (closeAccount func()) {
	switch {
	case t.req.Buffers != nil:
		t.account, t.uncountedEvent = t.req.Buffers, readBufferBytes
	case t.client.cfg.Responses != nil:
		a := t.client.cfg.Responses.NewAccount()
		t.account, t.uncountedBody, t.uncountedEvent = a, maxUncountedBytes, maxUncountedBytes
		return a.Close
	}
	return func() {}
}

// connectReason is the reason of a request for which there is no connection. A bound of this host says nothing about
// the endpoint.
func connectReason(err error) vetchtrail.Reason {
	if dial.IsBound(err) {
		return vetchtrail.ReasonOverCapacity
	}
	return vetchtrail.ReasonUnreachable
}

// connect returns a connection for a request. It waits for a new one until the request's deadline at most.
func (c *Client) connect(ctx context.Context, e vetchtrail.Endpoint, r *vetchtrail.Request) (*conn, bool, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return c.pool.get(ctx, poolKeyOf(e), r.Repeatable)
}

// Connect opens a connection to an endpoint, for a later request.
func (c *Client) Connect(ctx context.Context, e vetchtrail.Endpoint) error {
	conn, err := c.pool.open(ctx, poolKeyOf(e))
	if err != nil {
		return &vetchtrail.PeerError{Step: vetchtrail.StepConnect, Peer: e.Name, Err: err}
	}
	c.pool.put(poolKeyOf(e), conn)
	return nil
}

// RefusesConnection reports whether an endpoint refuses connections, as a crashed one does.
func (c *Client) RefusesConnection(ctx context.Context, e vetchtrail.Endpoint) bool {
	conn, err := c.pool.connector.DialAlways(ctx, &c.pool.dialer, e.Addr)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// run sends the request and delivers the response. reusable reports whether the connection
// can be used for another request.
func (t *attempt) run(ctx context.Context) (o vetchtrail.Outcome, reusable bool) {
	_ = t.conn.SetDeadline(t.req.Deadline)
	t.conn.silenceCheck = t.silenceCheck()
	defer func() { t.conn.silenceCheck = nil }()
	vetchtrail.ReportSent(t.writer, false)
	if err := t.send(); err != nil {
		if t.conn.written == 0 {
			return t.notRun(vetchtrail.StepSend, vetchtrail.ReasonUnreachable, err), false
		}
		return t.unknown(ctx, vetchtrail.StepSend, vetchtrail.ReasonResponseLost, err), false
	}
	t.resp = fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(t.resp)
	t.conn.limitReceived(maxSkippedBytes)
	defer t.conn.limitReceived(0)
	head, err := t.readResponseHead()
	if err != nil {
		return t.unknown(ctx, vetchtrail.StepResponse, headReason(err), err), false
	}
	t.conn.readKeepAlive(t.headerField("Keep-Alive"))
	switch head.Kind {
	case vetchtrail.ResponseRefused:
		o := t.notRun(vetchtrail.StepResponse, vetchtrail.ReasonEndpointRefused, nil)
		o.RetryAt, o.RetryStated = t.retryAt()
		o.ColdStart = max(0, head.ColdStart)
		return o, t.discardBody()
	case vetchtrail.ResponseMisdirected:
		return t.notRun(vetchtrail.StepResponse, vetchtrail.ReasonOtherProcess, nil), false
	case vetchtrail.ResponseForeign, vetchtrail.ResponseUnverified:
		err := errors.Errorf("status %d in a response that can't be verified as the endpoint's", t.resp.StatusCode())
		return t.unknown(ctx, vetchtrail.StepResponse, vetchtrail.ReasonResponseBroken, err), false
	}
	t.pause.init(t)
	defer t.releaseEvent()
	if err := t.deliver(ctx); err != nil {
		return t.unknown(ctx, vetchtrail.StepResponse, vetchtrail.ReasonResponseBroken, err), false
	}
	t.timing.Done = time.Now()
	if t.deferredFailure != nil {
		o := t.unknown(ctx, vetchtrail.StepResponse, vetchtrail.ReasonEndpointFailed, nil)
		o.DeferredFailure = t.deferredFailure
		return o, t.reusable()
	}
	return vetchtrail.Outcome{
		Kind: vetchtrail.OutcomeAnswered, Status: t.resp.StatusCode(), Step: vetchtrail.StepResponse, Peer: t.endpoint.Name, ResponseStarted: true,
		Events: t.eventsSent, EndUnmarked: !t.body.Framed(),
	}, t.reusable()
}

// silenceCheck returns the function that a waiting read polls to detect a silent endpoint, or nil
// for a request that doesn't want to know. Only attempts of routed requests that may run twice have
// such a function. It tells the writer of the response; the attempt goes on.
func (t *attempt) silenceCheck() func() {
	if !t.req.Repeatable || t.req.Route == "" || t.client.cfg.Observer == nil {
		return nil
	}
	counted := false
	return func() {
		var silence vetchtrail.Silence
		silence, t.silent = t.client.cfg.Observer.Silent(t.endpoint, time.Now())
		if !t.silent {
			return
		}
		if !counted {
			CountSilent(t.req.Service, false)
		}
		counted = true
		vetchtrail.ReportSilence(t.writer, silence)
	}
}

// send writes the request.
func (t *attempt) send() error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.DisableSpecialHeader() // it would keep one of several fields, and write cookies anew
	req.Header.SetNoDefaultContentType(true)
	req.Header.SetMethod(t.req.Method)
	req.Header.SetRequestURI(t.req.Path) // unchanged: parsing would normalize it
	for _, f := range t.req.Header {
		req.Header.Add(f.Name, f.Value)
	}
	if len(req.Header.Host()) == 0 {
		req.Header.Set(fasthttp.HeaderHost, t.endpoint.Addr.String())
	}
	t.timing.Sent = time.Now()
	if t.req.Route == "" {
		t.setUnroutedFields(req)
	} else {
		t.client.cfg.Dialect.SetRequestHeader(req.Header.Set, t.endpoint, t.req, t.timing.Sent)
	}
	req.SetBodyRaw(t.req.Body)
	out := bufio.NewWriterSize(t.conn, readBufferBytes)
	if err := req.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// setUnroutedFields sets the header fields of requests that belong to no route.
func (t *attempt) setUnroutedFields(req *fasthttp.Request) {
	dialect.Default{}.SetRequestHeader(req.Header.Set, t.endpoint, t.req, t.timing.Sent)
	if t.req.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", t.req.IdempotencyKey)
	}
	if t.req.ResumeAt.Endpoint != "" {
		req.Header.Set("Last-Event-Id", strconv.Itoa(t.req.ResumeAt.Offset))
	}
}

// readResponseHead reads the head of the response to the request and reports to the
// observer what the head contains about the endpoint. An endpoint may send responses to
// other requests first; their bodies are discarded.
func (t *attempt) readResponseHead() (vetchtrail.ResponseHead, error) {
	for range maxForeignResponses + 1 {
		if err := response.ReadHead(t.conn.reader, &t.resp.Header); err != nil {
			return vetchtrail.ResponseHead{}, err
		}
		head := t.interpretHead()
		if head.HasLoad && t.client.cfg.Observer != nil {
			head.Load.TakenAt = time.Now()
			t.client.cfg.Observer.LoadReported(t.endpoint, head.Load)
			if head.Load.Slowdown > 0 || head.SlowdownErr != nil {
				t.client.cfg.Observer.SlowdownReported(t.endpoint, head.SlowdownErr)
			}
		}
		t.reportRateLimit(head.Rate)
		t.reportAvailability(head.Availability)
		t.reportUnknownFields()
		t.body = response.NewBody(t.conn.reader, &t.resp.Header, t.req.Method)
		if head.Kind != vetchtrail.ResponseForeign {
			return head, nil
		}
		if _, err := io.Copy(io.Discard, t.body); err != nil {
			return vetchtrail.ResponseHead{}, err
		}
	}
	return vetchtrail.ResponseHead{}, errors.New("received only responses to other requests")
}

// reportRateLimit reports the rate limit that the endpoint advertises. It does so as soon
// as the head is read: at the end of the response the report would be seconds late.
func (t *attempt) reportRateLimit(r vetchtrail.ParsedRateLimit) {
	if t.client.cfg.Observer == nil || (!r.Valid && r.Err == nil) {
		return
	}
	t.client.cfg.Observer.RateLimitReported(t.endpoint, vetchtrail.RateLimit{Advertised: r.Advertised, Rate: r.Rate, RequestedAt: t.timing.Sent, ReceivedAt: time.Now()}, r.Err)
}

// reportAvailability reports whether the endpoint announces that it is leaving or paused,
// as early as reportRateLimit does.
func (t *attempt) reportAvailability(r vetchtrail.ParsedAvailability) {
	if t.client.cfg.Observer == nil || r == (vetchtrail.ParsedAvailability{}) {
		return
	}
	a := vetchtrail.Availability{Leaving: r.Leaving, Brittle: r.Brittle, RequestedAt: t.timing.Sent, ReceivedAt: time.Now()}
	if r.Pause > 0 {
		a.PausedUntil = a.ReceivedAt.Add(r.Pause)
	}
	t.client.cfg.Observer.AvailabilityReported(t.endpoint, a, r.Err)
}

// reportUnknownFields reports header fields that the dialect doesn't know, so that operators
// notice a new field as soon as endpoints send it.
func (t *attempt) reportUnknownFields() {
	if t.client.cfg.Observer == nil {
		return
	}
	for name := range t.resp.Header.All() {
		if !hopByHop[string(name)] && !setByServers[string(name)] && !t.isKnown(string(name)) {
			t.client.cfg.Observer.UnknownField(t.endpoint, string(name))
		}
	}
}

// isKnown reports whether the dialect of the request knows a response header field.
func (t *attempt) isKnown(name string) bool {
	if t.req.Route == "" {
		return dialect.Default{}.IsKnown(name)
	}
	return t.client.cfg.Dialect.IsKnown(name)
}

// headReason is the reason of an attempt for whose response no head could be read.
func headReason(err error) vetchtrail.Reason {
	if response.IsMalformed(err) {
		return vetchtrail.ReasonResponseBroken
	}
	return vetchtrail.ReasonResponseLost
}

// interpretHead parses the head by the dialect of the request: the deployment's for a
// routed one, dialect.Default for others.
func (t *attempt) interpretHead() vetchtrail.ResponseHead {
	if t.req.Route == "" {
		return dialect.Default{}.ParseResponse(t.resp.StatusCode(), t.headerField, t.req)
	}
	return t.client.cfg.Dialect.ParseResponse(t.resp.StatusCode(), t.headerField, t.req)
}

// headerField returns a field of the response head. Values of a repeated field are joined
// by commas (RFC 9110, 5.3), without those that repeat the one before.
func (t *attempt) headerField(name string) string {
	all := slices.CompactFunc(t.resp.Header.PeekAll(name), bytes.Equal)
	if len(all) == 1 {
		return string(all[0])
	}
	return string(bytes.Join(all, []byte(", ")))
}

// discardBody reads the body of a refusal, unless that is large or slow. It reports whether the
// connection can be used for another request.
func (t *attempt) discardBody() bool {
	if !t.reusable() {
		return false
	}
	t.conn.limitReceived(maxRefusalBytes)
	_ = t.conn.SetDeadline(vetchtrail.Earlier(time.Now().Add(refusalBodyTimeout), t.req.Deadline))
	_, err := io.Copy(io.Discard, t.body)
	return err == nil
}

// reusable reports whether the connection stays open after the response.
func (t *attempt) reusable() bool {
	return !t.resp.ConnectionClose() && t.body.Framed()
}

// retryAt is when a refused request may be sent again: after the endpoint's Retry-After,
// or after fallbackRetryAfter if that is missing or malformed: stated is then false.
func (t *attempt) retryAt() (at time.Time, stated bool) {
	text := t.headerField(fasthttp.HeaderRetryAfter)
	if after, err := vetchtrail.ParsePause(text); err == nil && text != "" {
		return time.Now().Add(min(after, maxRetryAfter)), true
	}
	return time.Now().Add(t.fallbackRetryAfter()), false
}

// fallbackRetryAfter is how long to wait before the next request if the endpoint states no
// time.
func (t *attempt) fallbackRetryAfter() time.Duration {
	if t.req.Route != "" {
		return routedRetryAfter
	}
	return unroutedRetryAfter
}

// hopByHop contains the header fields that concern one connection only (RFC 9110, 7.6.1),
// and those that frame a message there.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Te": true,
	"Trailer": true, "Upgrade": true, "Content-Length": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true, "Expect": true,
}

// setByServers contains the response header fields that most servers set, and that contain nothing about
// the endpoint.
var setByServers = map[string]bool{"Date": true, "Server": true}

// HopByHop reports whether a header field must not be forwarded, as it concerns one
// connection only.
func HopByHop(name string) bool { return hopByHop[name] }

// ListsOption reports whether the value of a Connection field lists a name.
func ListsOption(options, name string) bool {
	for option := range strings.SplitSeq(options, ",") {
		if strings.EqualFold(strings.TrimSpace(option), name) {
			return true
		}
	}
	return false
}

// responseHeader returns the header fields to forward to the caller. The server for callers sets the date. The length
// in a response to HEAD is that of the body of a GET, which the server for callers can't know.
func (t *attempt) responseHeader() []vetchtrail.HeaderField {
	options := t.headerField(fasthttp.HeaderConnection)
	out := []vetchtrail.HeaderField{{Name: HeaderEndpoint, Value: t.endpoint.Name}}
	for name, value := range t.resp.Header.All() {
		n := string(name)
		if !HopByHop(n) && n != fasthttp.HeaderDate && (options == "" || t.isKnown(n) || !ListsOption(options, n)) {
			out = append(out, vetchtrail.HeaderField{Name: n, Value: string(value)})
		}
	}
	if length := t.resp.Header.ContentLength(); t.req.Method == fasthttp.MethodHead && length >= 0 {
		out = append(out, vetchtrail.HeaderField{Name: fasthttp.HeaderContentLength, Value: strconv.Itoa(length)})
	}
	return out
}

// notConnected is the outcome of a request that got no connection. If its deadline has passed, the endpoint may be
// reachable.
func (t *attempt) notConnected(err error) vetchtrail.Outcome {
	if !time.Now().Before(t.req.Deadline) {
		return t.notRun(vetchtrail.StepConnect, vetchtrail.ReasonDeadline, err)
	}
	return t.notRun(vetchtrail.StepConnect, connectReason(err), err)
}

// notRun is the outcome of a request that did not run at the endpoint.
func (t *attempt) notRun(step vetchtrail.Step, reason vetchtrail.Reason, err error) vetchtrail.Outcome {
	return vetchtrail.Outcome{
		Kind: vetchtrail.OutcomeNotRun, Status: fasthttp.StatusServiceUnavailable, Step: step, Peer: t.endpoint.Name,
		Reason: reason, RetryAt: time.Now().Add(t.fallbackRetryAfter()), Err: err, ResponseStarted: t.req.ResponseStarted,
	}
}

// unknown is the outcome of a request that was sent and may have run, but has no response
// that can be delivered.
func (t *attempt) unknown(ctx context.Context, step vetchtrail.Step, reason vetchtrail.Reason, err error) vetchtrail.Outcome {
	o := vetchtrail.Outcome{
		Kind: vetchtrail.OutcomeUnknown, Status: fasthttp.StatusBadGateway, Step: step, Peer: t.endpoint.Name,
		Reason: reason, Err: err, ResponseStarted: t.begun || t.req.ResponseStarted, Events: t.eventsSent,
	}
	o.EndpointSilent = t.silent
	if response.IsMalformed(err) {
		countMalformed(t.req.Service)
	}
	switch {
	case ctx.Err() != nil:
		o.Reason = vetchtrail.CancelReason(ctx)
	case errors.Is(err, buffer.ErrFull): // no fault of the endpoint
		o.Reason = vetchtrail.ReasonOverCapacity
	case !time.Now().Before(t.req.Deadline):
		o.Reason, o.Status = vetchtrail.ReasonDeadline, fasthttp.StatusGatewayTimeout
	}
	return o
}
