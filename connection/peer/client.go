// Package peer carries the messages between hosts over drpc: heartbeats,
// digests, changes and forwarded requests.
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
	"vetchtrail/connection/dial"
	"vetchtrail/schema"
)

const (
	// MaxMessage bounds a message between hosts, in bytes.
	MaxMessage = 8 << 20

	// ServerName is the name in the certificates of all hosts.
	ServerName = "vetchtrail"

	dialTime = time.Second
	callTime = 2 * time.Second
	idleFor  = 30 * time.Second
	idleEach = 16 // idle connections kept for a host
	// onceIdle is how long a connection may have rested when it takes a request
	// that may not run twice. One that is closed in order is noticed; a host that
	// loses its power says nothing, and what is sent to it then is lost.
	onceIdle   = 3 * time.Second
	lateAnswer = 500 * time.Millisecond
	// stallTime is how long a forwarded answer that has begun may pause.
	stallTime = 30 * time.Second
)

// Translation maps the addresses of a network as hosts elsewhere write them to
// those under which this host reaches them.
type Translation struct {
	From netip.Prefix
	To   netip.Prefix
}

// Config is what a Client needs.
type Config struct {
	Translate []Translation
	TLS       *tls.Config // nil: plain
}

// Client calls other hosts. It is a vetchtrail.Forwarder.
type Client struct {
	cfg    Config
	dialer net.Dialer
	pool   *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
	once   *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn] // for requests that may not run twice
}

// New returns a client without connections.
func New(c Config) *Client {
	return &Client{
		cfg:    c,
		dialer: dial.Dialer(dialTime),
		pool:   drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{Expiration: idleFor, KeyCapacity: idleEach}),
		once:   drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{Expiration: onceIdle, KeyCapacity: idleEach}),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	_ = c.pool.Close()
	_ = c.once.Close()
}

func options() drpcconn.Options {
	return drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage},
	}}
}

func (c *Client) dial(ctx context.Context, addr netip.AddrPort) (*drpcconn.Conn, error) {
	to := c.translate(addr)
	nc, err := c.dialer.DialContext(ctx, "tcp", to.String())
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
	return drpcconn.NewWithOptions(nc, options()), nil
}

func (c *Client) translate(addr netip.AddrPort) netip.AddrPort {
	for _, t := range c.cfg.Translate {
		if t.From.Contains(addr.Addr()) {
			return netip.AddrPortFrom(swapPrefix(addr.Addr(), t), addr.Port())
		}
	}
	return addr
}

func swapPrefix(a netip.Addr, t Translation) netip.Addr {
	from, to := a.As4(), t.To.Addr().As4()
	for bit := range t.To.Bits() {
		mask := byte(0x80) >> (bit % 8)
		from[bit/8] = from[bit/8]&^mask | to[bit/8]&mask
	}
	return netip.AddrFrom4(from)
}

func (c *Client) peers(ctx context.Context, addr netip.AddrPort) schema.DRPCPeersClient {
	return schema.NewDRPCPeersClient(c.pool.Get(ctx, addr, c.dial))
}

// Exchange swaps heartbeats with a host.
func (c *Client) Exchange(ctx context.Context, addr netip.AddrPort, h *schema.Heartbeat) (*schema.Heartbeat, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	reply, err := c.peers(ctx, addr).Exchange(ctx, h)
	return reply, fault("exchange", addr, err)
}

// Swap swaps digests with a host of another data centre.
func (c *Client) Swap(ctx context.Context, addr netip.AddrPort, d *schema.Digests) (*schema.Digests, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	reply, err := c.peers(ctx, addr).Swap(ctx, d)
	return reply, fault("swap", addr, err)
}

// Changes asks a host for the changes after a revision.
func (c *Client) Changes(ctx context.Context, addr netip.AddrPort, from uint64) (*schema.ChangesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	reply, err := c.peers(ctx, addr).Changes(ctx, &schema.ChangesRequest{From: from})
	return reply, fault("changes", addr, err)
}

// List asks a host for the platform's lists, if it has newer ones.
func (c *Client) List(ctx context.Context, addr netip.AddrPort, q *schema.ListRequest) (*schema.Listing, error) {
	reply, err := c.peers(ctx, addr).List(ctx, q)
	return reply, fault("list", addr, err)
}

// Grant asks a host for a part of a workspace's quota.
func (c *Client) Grant(ctx context.Context, addr netip.AddrPort, m *schema.GrantRequest) (*schema.GrantReply, error) {
	reply, err := c.peers(ctx, addr).Grant(ctx, m)
	return reply, fault("grant", addr, err)
}

// Permit asks a host for a part of the rate that an endpoint names.
func (c *Client) Permit(ctx context.Context, addr netip.AddrPort, m *schema.PermitRequest) (*schema.PermitReply, error) {
	reply, err := c.peers(ctx, addr).Permit(ctx, m)
	return reply, fault("permit", addr, err)
}

// Claim swaps claims on quotas with a host of another region.
func (c *Client) Claim(ctx context.Context, addr netip.AddrPort, m *schema.Claims) (*schema.Claims, error) {
	reply, err := c.peers(ctx, addr).Claim(ctx, m)
	return reply, fault("claim", addr, err)
}

// Ended tells a host that counts them of ends.
func (c *Client) Ended(ctx context.Context, addr netip.AddrPort, m *schema.Ends) (*schema.Holds, error) {
	reply, err := c.peers(ctx, addr).Ended(ctx, m)
	return reply, fault("ended", addr, err)
}

// Hold swaps what is held back with a host.
func (c *Client) Hold(ctx context.Context, addr netip.AddrPort, m *schema.Holds) (*schema.Holds, error) {
	reply, err := c.peers(ctx, addr).Hold(ctx, m)
	return reply, fault("hold", addr, err)
}

func fault(step vetchtrail.Step, addr netip.AddrPort, err error) error {
	if err == nil {
		return nil
	}
	return &vetchtrail.PeerError{Step: step, Peer: addr.String(), Err: err}
}

// Forward implements vetchtrail.Forwarder. It says "not run" only when the
// message was not sent, or the host said so.
func (c *Client) Forward(ctx context.Context, h vetchtrail.Host, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	o := c.forward(ctx, h, r, a)
	if o.HostLost && ctx.Err() != nil {
		// The caller left, which says nothing of the host and must not take it out of use.
		o.Reason, o.HostLost = vetchtrail.ReasonCallerGone, false
	}
	return o
}

func (c *Client) forward(ctx context.Context, h vetchtrail.Host, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := time.AfterFunc(time.Until(r.Deadline)+lateAnswer, cancel)
	defer late.Stop()
	m := schema.FromRequest(r, time.Now())
	m.Hops++
	stream, err := c.forwards(ctx, h, r).Forward(ctx, m)
	if err != nil {
		return sendFault(h, err)
	}
	defer func() { _ = stream.Close() }()
	return receive(stream, h, a, late)
}

// forwards returns the client that a request is passed on with.
func (c *Client) forwards(ctx context.Context, h vetchtrail.Host, r *vetchtrail.Request) schema.DRPCPeersClient {
	if r.Repeats {
		return c.peers(ctx, h.Peers)
	}
	return schema.NewDRPCPeersClient(c.once.Get(ctx, h.Peers, c.dial))
}

func sendFault(h vetchtrail.Host, err error) vetchtrail.Outcome {
	var pe *vetchtrail.PeerError
	if errors.As(err, &pe) && pe.Step == vetchtrail.StepConnect {
		return lost(vetchtrail.NotRun, vetchtrail.StepConnect, vetchtrail.ReasonUnreachable, h, err)
	}
	return lost(vetchtrail.Unknown, vetchtrail.StepForward, vetchtrail.ReasonLost, h, err)
}

func receive(stream schema.DRPCPeers_ForwardClient, h vetchtrail.Host, a vetchtrail.Answer, late *time.Timer) vetchtrail.Outcome {
	begun := false
	cut := func(why vetchtrail.Reason, err error) vetchtrail.Outcome {
		o := lost(vetchtrail.Unknown, vetchtrail.StepForward, why, h, err)
		o.Begun = begun
		return o
	}
	for {
		m, err := stream.Recv()
		if err != nil {
			return cut(vetchtrail.ReasonLost, err)
		}
		switch part := m.GetPart().(type) {
		case *schema.ForwardReply_Begin:
			begun = true
			err = a.Begin(int(part.Begin.GetStatus()), schema.ToHeader(part.Begin.GetHeader()))
		case *schema.ForwardReply_Body:
			err = a.Write(part.Body)
		case *schema.ForwardReply_End:
			o := schema.ToOutcome(part.End, time.Now())
			o.Begun = begun
			return o
		}
		if err != nil {
			return cut(vetchtrail.ReasonCallerGone, err)
		}
		late.Reset(stallTime)
	}
}

func lost(kind vetchtrail.OutcomeKind, step vetchtrail.Step, why vetchtrail.Reason, h vetchtrail.Host, err error) vetchtrail.Outcome {
	const badGateway, unavailable = 502, 503
	o := vetchtrail.Outcome{
		Kind: kind, Status: badGateway, Step: step, Peer: h.Name, Reason: why, Err: err,
		HostLost: why == vetchtrail.ReasonLost || why == vetchtrail.ReasonUnreachable,
	}
	if kind == vetchtrail.NotRun {
		o.Status = unavailable
		o.RetryAt = time.Now().Add(time.Second)
	}
	return o
}
