// Package peer is the client and the server of the calls between hosts, over drpc: gossip
// heartbeats and digests, configuration changes, listings, quotas, rate limits,
// quarantines and forwarded requests. It only transports messages; the implementations of
// the server's interfaces handle them. The server also serves the operators' calls.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"

	"vetchtrail"
	"vetchtrail/connection/buffer"
	"vetchtrail/connection/dial"
	"vetchtrail/connection/response"
	"vetchtrail/schema"
)

const (
	// MaxMessage is the maximum size in bytes of a message between hosts.
	MaxMessage = 8 << 20

	// ServerName is the name in the TLS certificates of all hosts.
	ServerName = "vetchtrail"

	dialTimeout    = time.Second
	callTimeout    = 2 * time.Second
	idleTimeout    = 30 * time.Second
	maxIdlePerHost = 16 // connections
	// unrepeatableMaxIdle is the idle time up to which a connection may be used for a request
	// that may not run twice. A host that ends normally closes its connections, which is
	// detected. One that loses power does not, and a request sent to it is lost.
	unrepeatableMaxIdle = 3 * time.Second
	// deadlineGrace is how long after its deadline a forwarded request without a response is
	// cancelled. The other host's refusal may arrive a round trip between regions after the
	// deadline, and callers must be answered within half a second of it.
	deadlineGrace = 250 * time.Millisecond
	// stallTimeout is the longest interval between two messages of the forwarded response to an
	// unrouted request, after its deadline. Such a response may last longer than that.
	stallTimeout = 30 * time.Second
	// minCountedPart is the size in bytes from which a part of a forwarded response is counted
	// as buffered. The events of most streams are smaller.
	minCountedPart = 8 << 10

	// Statuses of failures.
	minFailureStatus  = 400
	statusBadGateway  = 502
	statusUnavailable = 503
)

// errNotBegun reports a response of another host without its status and header, which only the rest of a response may lack.
var errNotBegun = errors.New("forwarded response has no beginning")

// Translation maps the addresses that other hosts announce for a network to those by which
// this host reaches it. It replaces the prefix From by To.
type Translation struct {
	From netip.Prefix
	To   netip.Prefix
}

// Config configures a Client.
type Config struct {
	Translate []Translation
	TLS       *tls.Config     // nil: no TLS
	Connector *dial.Connector // opens the connections; nil: one without bounds
}

// Client calls other hosts. It implements vetchtrail.Forwarder.
type Client struct {
	cfg              Config
	dialer           net.Dialer
	pool             *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
	unrepeatablePool *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn] // for forwarded requests that may not run twice
}

// New returns a Client without connections.
func New(c Config) *Client {
	if c.Connector == nil {
		c.Connector = dial.NewConnector(dial.ConnectorConfig{})
	}
	return &Client{
		cfg:              c,
		dialer:           dial.Dialer(dialTimeout),
		pool:             drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerHost}),
		unrepeatablePool: drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{Expiration: unrepeatableMaxIdle, KeyCapacity: maxIdlePerHost}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	_ = c.pool.Close()
	_ = c.unrepeatablePool.Close()
}

func connOptions() drpcconn.Options {
	return drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage},
	}}
}

// dialFunc opens a connection of a Connector.
type dialFunc func(ctx context.Context, d *net.Dialer, to netip.AddrPort) (net.Conn, error)

// dial connects to a host for any call but a forwarded request.
func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (*drpcconn.Conn, error) {
	return c.dialWith(ctx, addr, c.cfg.Connector.DialAlways)
}

// dialForRequest connects to a host for a forwarded request.
func (c *Client) dialForRequest(ctx context.Context, addr netip.AddrPort) (*drpcconn.Conn, error) {
	return c.dialWith(ctx, addr, c.cfg.Connector.Dial)
}

// dialWith connects to a host, at its translated address and over TLS if it is configured.
func (c *Client) dialWith(ctx context.Context, addr netip.AddrPort, dial dialFunc) (*drpcconn.Conn, error) {
	to := c.translate(addr)
	nc, err := dial(ctx, &c.dialer, to)
	if err != nil {
		return nil, &vetchtrail.PeerError{Step: vetchtrail.StepConnect, Peer: to.String(), Err: err}
	}
	if c.cfg.TLS != nil {
		tc := tls.Client(nc, c.cfg.TLS)
		if err := tc.HandshakeContext(ctx); err != nil {
			_ = nc.Close()
			return nil, &vetchtrail.PeerError{Step: vetchtrail.StepConnect, Peer: to.String(), Err: err}
		}
		nc = tc
	}
	return drpcconn.NewWithOptions(nc, connOptions()), nil
}

// translate returns the address by which this host reaches addr.
func (c *Client) translate(addr netip.AddrPort) netip.AddrPort {
	for _, t := range c.cfg.Translate {
		if t.From.Contains(addr.Addr()) {
			return netip.AddrPortFrom(replacePrefix(addr.Addr(), t), addr.Port())
		}
	}
	return addr
}

// replacePrefix returns a with the leading bits of t.To.
func replacePrefix(a netip.Addr, t Translation) netip.Addr {
	from, to := a.As4(), t.To.Addr().As4()
	for bit := range t.To.Bits() {
		mask := byte(0x80) >> (bit % 8)
		from[bit/8] = from[bit/8]&^mask | to[bit/8]&mask
	}
	return netip.AddrFrom4(from)
}

// peersClient returns the client for all calls but Forward of requests that may not run
// twice.
func (c *Client) peersClient(ctx context.Context, addr netip.AddrPort) schema.DRPCPeersClient {
	return schema.NewDRPCPeersClient(c.pool.Get(ctx, addr, c.dial))
}

// ExchangeHeartbeats sends a heartbeat to a host of this data centre and returns that host's.
func (c *Client) ExchangeHeartbeats(ctx context.Context, addr netip.AddrPort, h *schema.Heartbeat) (*schema.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.peersClient(ctx, addr).Exchange(ctx, h)
	return reply, wrapError("exchange", addr, err)
}

// ExchangeDigests sends this data centre's digest to a host of a remote data centre and returns
// that data centre's.
func (c *Client) ExchangeDigests(ctx context.Context, addr netip.AddrPort, d *schema.Digests) (*schema.Digests, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.peersClient(ctx, addr).Swap(ctx, d)
	return reply, wrapError("swap", addr, err)
}

// Changes requests the configuration changes after revision from.
func (c *Client) Changes(ctx context.Context, addr netip.AddrPort, from uint64) (*schema.ChangesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := c.peersClient(ctx, addr).Changes(ctx, &schema.ChangesRequest{From: from})
	return reply, wrapError("changes", addr, err)
}

// List requests a host's listing, or what changed in it since a revision.
func (c *Client) List(ctx context.Context, addr netip.AddrPort, q *schema.ListRequest) (*schema.Listing, error) {
	reply, err := c.peersClient(ctx, addr).List(ctx, q)
	return reply, wrapError("list", addr, err)
}

// RequestQuotaLease requests a lease of part of a workspace's quota from the owner of the quota.
func (c *Client) RequestQuotaLease(ctx context.Context, addr netip.AddrPort, m *schema.GrantRequest) (*schema.GrantReply, error) {
	reply, err := c.peersClient(ctx, addr).Grant(ctx, m)
	return reply, wrapError("grant", addr, err)
}

// RequestRateLimitLease requests a lease of part of an endpoint's rate limit from the owner of the
// limit.
func (c *Client) RequestRateLimitLease(ctx context.Context, addr netip.AddrPort, m *schema.PermitRequest) (*schema.PermitReply, error) {
	reply, err := c.peersClient(ctx, addr).Permit(ctx, m)
	return reply, wrapError("permit", addr, err)
}

// ExchangeDemand exchanges the demand for the workspaces' quotas with a host of another region.
func (c *Client) ExchangeDemand(ctx context.Context, addr netip.AddrPort, m *schema.Claims) (*schema.Claims, error) {
	reply, err := c.peersClient(ctx, addr).Claim(ctx, m)
	return reply, wrapError("claim", addr, err)
}

// ReportCrashes reports to a crash aggregator which requests were in flight at endpoints that
// crashed, and returns the requests that it suspects.
func (c *Client) ReportCrashes(ctx context.Context, addr netip.AddrPort, m *schema.Ends) (*schema.Holds, error) {
	reply, err := c.peersClient(ctx, addr).Ended(ctx, m)
	return reply, wrapError("ended", addr, err)
}

// ExchangeEntries exchanges quarantine entries with a host.
func (c *Client) ExchangeEntries(ctx context.Context, addr netip.AddrPort, m *schema.Holds) (*schema.Holds, error) {
	reply, err := c.peersClient(ctx, addr).Hold(ctx, m)
	return reply, wrapError("hold", addr, err)
}

// StoreOrigins sends a host the software versions at which streams began.
func (c *Client) StoreOrigins(ctx context.Context, addr netip.AddrPort, m *schema.StreamOrigins) error {
	_, err := c.peersClient(ctx, addr).Began(ctx, m)
	return wrapError("began", addr, err)
}

// FindOrigin asks a host at which software version a stream began.
func (c *Client) FindOrigin(ctx context.Context, addr netip.AddrPort, m *schema.StreamOriginQuery) (*schema.StreamOriginReply, error) {
	reply, err := c.peersClient(ctx, addr).Origin(ctx, m)
	return reply, wrapError("origin", addr, err)
}

// wrapError adds the call and the host to an error.
func wrapError(step vetchtrail.Step, addr netip.AddrPort, err error) error {
	if err == nil {
		return nil
	}
	return &vetchtrail.PeerError{Step: step, Peer: addr.String(), Err: err}
}

// Forward implements vetchtrail.Forwarder. The outcome is OutcomeNotRun only if the message
// was not sent whole or the host reported OutcomeNotRun.
func (c *Client) Forward(ctx context.Context, h vetchtrail.Host, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	o := c.forward(ctx, h, r, w)
	if o.HostLost && ctx.Err() != nil {
		// The caller disconnected. The host is not at fault and must not be taken out of use.
		o.Reason, o.HostLost = vetchtrail.CancelReason(ctx), false
	}
	return o
}

// forward does what Forward does, except that it doesn't check whether the caller
// disconnected.
func (c *Client) forward(ctx context.Context, h vetchtrail.Host, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	deadlineTimer := time.AfterFunc(time.Until(r.Deadline.Add(deadlineGrace)), cancel)
	defer deadlineTimer.Stop()
	m := schema.FromRequest(r, time.Now())
	m.Hops++
	stream, err := c.forwardClient(ctx, h, r).Forward(ctx, m)
	if err != nil {
		return sendFailure(h, err)
	}
	defer func() { _ = stream.Close() }()
	vetchtrail.ReportSent(w, true)
	return receiveResponse(ctx, stream, h, r, w, deadlineTimer)
}

// forwardClient returns the client that forwards a request. Requests that may not run
// twice get a connection that was used shortly before, or a new one.
func (c *Client) forwardClient(ctx context.Context, h vetchtrail.Host, r *vetchtrail.Request) schema.DRPCPeersClient {
	pool := c.unrepeatablePool
	if r.Repeatable {
		pool = c.pool
	}
	return schema.NewDRPCPeersClient(&forwardConn{Conn: pool.Get(ctx, h.PeerAddr, c.dialForRequest), peer: h.PeerAddr.String()})
}

// sendFailure is the outcome of a request whose forwarding failed before a response.
func sendFailure(h vetchtrail.Host, err error) vetchtrail.Outcome {
	if dial.IsBound(err) && !dial.IsSilent(err) {
		return failedOutcome(vetchtrail.OutcomeNotRun, vetchtrail.StepConnect, vetchtrail.ReasonOverCapacity, h, err)
	}
	var pe *vetchtrail.PeerError
	if errors.As(err, &pe) && (pe.Step == vetchtrail.StepConnect || pe.Step == vetchtrail.StepSend) {
		return failedOutcome(vetchtrail.OutcomeNotRun, pe.Step, vetchtrail.ReasonUnreachable, h, err)
	}
	return failedOutcome(vetchtrail.OutcomeUnknown, vetchtrail.StepForward, vetchtrail.ReasonResponseLost, h, err)
}

// receiveResponse writes the forwarded response to w and returns the outcome. Each message
// restarts the timer, which cancels the call when it fires.
func receiveResponse(ctx context.Context, stream schema.DRPCPeers_ForwardClient, h vetchtrail.Host, r *vetchtrail.Request, w vetchtrail.ResponseWriter, deadlineTimer *time.Timer) vetchtrail.Outcome {
	begun := false
	failed := func(reason vetchtrail.Reason, err error) vetchtrail.Outcome {
		o := failedOutcome(vetchtrail.OutcomeUnknown, vetchtrail.StepForward, reason, h, err)
		o.ResponseStarted = begun
		return o
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			return failed(vetchtrail.ReasonResponseLost, err)
		}
		switch part := m.GetPart().(type) {
		case *schema.ForwardReply_Begin:
			status, header := int(part.Begin.GetStatus()), schema.ToHeader(part.Begin.GetHeader())
			if err := response.Check(status, header); err != nil {
				return failed(vetchtrail.ReasonResponseBroken, err)
			}
			begun = true
			r.ResponseVersion = schema.ToStreamVersion(part.Begin.SoftwareVersion)
			err = w.Begin(status, header)
		case *schema.ForwardReply_Body:
			if !begun && !r.ResponseStarted {
				return failed(vetchtrail.ReasonResponseBroken, errNotBegun)
			}
			deadlineTimer.Stop() // the caller's pace is no stall of the host
			err = writeCounted(ctx, r, w, part.Body)
		case *schema.ForwardReply_Silent:
			vetchtrail.ReportSilence(w, vetchtrail.Silence{
				Connected: part.Silent.GetConnected(), Standstill: part.Silent.GetStandstill(), Endpoint: part.Silent.GetEndpoint(),
			})
			continue // not a part of the response
		case *schema.ForwardReply_Sent:
			vetchtrail.ReportSent(w, false)
			continue // not a part of the response
		case *schema.ForwardReply_End:
			o := schema.ToOutcome(part.End, time.Now())
			o.ResponseStarted = begun
			if o.Kind == vetchtrail.OutcomeAnswered && !begun && !r.ResponseStarted {
				return failed(vetchtrail.ReasonResponseBroken, errNotBegun)
			}
			return asFailure(o)
		}
		if err != nil {
			return failed(writeFailure(ctx, err), err)
		}
		deadlineTimer.Reset(time.Until(nextMessageBy(r, time.Now())))
	}
}

// asFailure returns the outcome that another host reports, with the status of a failure unless the request was answered.
func asFailure(o vetchtrail.Outcome) vetchtrail.Outcome {
	status := statusBadGateway
	switch o.Kind {
	case vetchtrail.OutcomeAnswered:
		return o
	case vetchtrail.OutcomeNotRun:
		status = statusUnavailable
	default:
		o.Kind = vetchtrail.OutcomeUnknown
	}
	if o.Status < minFailureStatus {
		o.Status = status
	}
	return o
}

// nextMessageBy returns when the next message of a response that has begun must have arrived.
// That is never before the deadline, until which the other host waits for its endpoint. After
// the deadline, only what the other host has sent of a routed response is still to come.
func nextMessageBy(r *vetchtrail.Request, now time.Time) time.Time {
	stall := stallTimeout
	if r.Route != "" {
		stall = deadlineGrace
	}
	return vetchtrail.Later(now.Add(stall), r.Deadline.Add(deadlineGrace))
}

// writeCounted writes a part of a forwarded response. A large part is counted while it waits for
// the caller.
func writeCounted(ctx context.Context, r *vetchtrail.Request, w vetchtrail.ResponseWriter, part []byte) error {
	if r.Buffers == nil || len(part) <= minCountedPart {
		return w.Write(part)
	}
	if err := r.Buffers.Reserve(ctx, len(part)); err != nil {
		return err
	}
	defer r.Buffers.Release(len(part))
	return w.Write(part)
}

// writeFailure is the reason why a part of a response could not be written.
func writeFailure(ctx context.Context, err error) vetchtrail.Reason {
	if errors.Is(err, buffer.ErrFull) {
		return vetchtrail.ReasonOverCapacity
	}
	return vetchtrail.CancelReason(ctx)
}

// failedOutcome is the outcome of a request whose forwarding failed. It reports the host
// as lost unless the caller is the reason.
func failedOutcome(kind vetchtrail.OutcomeKind, step vetchtrail.Step, reason vetchtrail.Reason, h vetchtrail.Host, err error) vetchtrail.Outcome {
	o := vetchtrail.Outcome{
		Kind: kind, Status: statusBadGateway, Step: step, Peer: h.Name, Reason: reason, Err: err,
		HostLost: reason == vetchtrail.ReasonResponseLost || reason == vetchtrail.ReasonUnreachable,
	}
	if kind == vetchtrail.OutcomeNotRun {
		o.Status = statusUnavailable
		o.RetryAt = time.Now().Add(time.Second)
	}
	return o
}
