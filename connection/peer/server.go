package peer

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"vetchtrail"
	"vetchtrail/connection/buffer"
	"vetchtrail/process/memory"
	"vetchtrail/schema"
)

// Membership handles the gossip messages of other hosts.
type Membership interface {
	HandleHeartbeat(h *schema.Heartbeat) *schema.Heartbeat
	HandleDigests(d *schema.Digests) *schema.Digests
}

// Changes returns the configuration changes after a revision, or a snapshot if not all of
// them are held any more.
type Changes interface {
	Since(revision uint64) ([]vetchtrail.Change, *schema.Snapshot)
}

// Listings serves this host's latest listing to other hosts.
type Listings interface {
	ServeListing(q *schema.ListRequest) *schema.Listing
}

// Runner runs forwarded requests.
type Runner interface {
	Run(ctx context.Context, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome
	// RefuseOverBuffers records a request whose body doesn't fit within the bound on buffered
	// bytes, and returns its outcome.
	RefuseOverBuffers(r *vetchtrail.Request) vetchtrail.Outcome
}

// Quotas handles lease requests and demand reports for the quotas that this host owns.
type Quotas interface {
	HandleLeaseRequest(m *schema.GrantRequest) *schema.GrantReply
	HandleDemand(m *schema.Claims) *schema.Claims
}

// RateLimits handles lease requests for the rate limits that this host owns.
type RateLimits interface {
	HandleLeaseRequest(m *schema.PermitRequest) *schema.PermitReply
}

// Quarantines handles reports of crashes and exchanges of quarantine entries.
type Quarantines interface {
	HandleCrashes(m *schema.Ends) (*schema.Holds, error)
	HandleEntries(m *schema.Holds) (*schema.Holds, error)
}

// StreamOrigins stores the origins of other hosts' streams and answers their queries.
type StreamOrigins interface {
	HandleOrigins(m *schema.StreamOrigins)
	HandleQuery(m *schema.StreamOriginQuery) *schema.StreamOriginReply
}

// ServerConfig configures a Server.
type ServerConfig struct {
	Membership  Membership
	Changes     Changes
	Listings    Listings
	Runner      Runner
	Quotas      Quotas
	RateLimits  RateLimits
	Quarantines Quarantines
	Origins     StreamOrigins
	Operators   schema.DRPCOperatorsServer
	Buffers     *buffer.Budget // bounds the bodies of forwarded requests; nil: unbounded
	Memory      *memory.Watch  // nil: not watched
}

// Server serves the calls of other hosts and of operators.
type Server struct {
	cfg ServerConfig
	srv *drpcserver.Server
}

// NewServer returns a Server. Serve starts it.
func NewServer(c ServerConfig) (*Server, error) {
	s := &Server{cfg: c}
	mux := drpcmux.New()
	if err := schema.DRPCRegisterPeers(mux, s); err != nil {
		return nil, errors.Wrap(err, "peer.NewServer")
	}
	if err := schema.DRPCRegisterOperators(mux, c.Operators); err != nil {
		return nil, errors.Wrap(err, "peer.NewServer")
	}
	s.srv = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage},
	}})
	return s, nil
}

// Serve accepts connections from l until ctx is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error { return s.srv.Serve(ctx, l) }

// Exchange implements schema.DRPCPeersServer.
func (s *Server) Exchange(_ context.Context, h *schema.Heartbeat) (*schema.Heartbeat, error) {
	return s.cfg.Membership.HandleHeartbeat(h), nil
}

// Swap implements schema.DRPCPeersServer.
func (s *Server) Swap(_ context.Context, d *schema.Digests) (*schema.Digests, error) {
	return s.cfg.Membership.HandleDigests(d), nil
}

// Changes implements schema.DRPCPeersServer.
func (s *Server) Changes(_ context.Context, q *schema.ChangesRequest) (*schema.ChangesReply, error) {
	changes, snapshot := s.cfg.Changes.Since(q.GetFrom())
	reply := &schema.ChangesReply{Snapshot: snapshot}
	for _, c := range changes {
		reply.Changes = append(reply.Changes, schema.FromChange(c))
	}
	return reply, nil
}

// List implements schema.DRPCPeersServer.
func (s *Server) List(_ context.Context, q *schema.ListRequest) (*schema.Listing, error) {
	return s.cfg.Listings.ServeListing(q), nil
}

// Grant implements schema.DRPCPeersServer.
func (s *Server) Grant(_ context.Context, m *schema.GrantRequest) (*schema.GrantReply, error) {
	return s.cfg.Quotas.HandleLeaseRequest(m), nil
}

// Permit implements schema.DRPCPeersServer.
func (s *Server) Permit(_ context.Context, m *schema.PermitRequest) (*schema.PermitReply, error) {
	return s.cfg.RateLimits.HandleLeaseRequest(m), nil
}

// Claim implements schema.DRPCPeersServer.
func (s *Server) Claim(_ context.Context, m *schema.Claims) (*schema.Claims, error) {
	return s.cfg.Quotas.HandleDemand(m), nil
}

// Ended implements schema.DRPCPeersServer.
func (s *Server) Ended(_ context.Context, m *schema.Ends) (*schema.Holds, error) {
	return s.cfg.Quarantines.HandleCrashes(m)
}

// Hold implements schema.DRPCPeersServer.
func (s *Server) Hold(_ context.Context, m *schema.Holds) (*schema.Holds, error) {
	return s.cfg.Quarantines.HandleEntries(m)
}

// Began implements schema.DRPCPeersServer.
func (s *Server) Began(_ context.Context, m *schema.StreamOrigins) (*schema.StreamOriginsReply, error) {
	s.cfg.Origins.HandleOrigins(m)
	return &schema.StreamOriginsReply{}, nil
}

// Origin implements schema.DRPCPeersServer.
func (s *Server) Origin(_ context.Context, m *schema.StreamOriginQuery) (*schema.StreamOriginReply, error) {
	return s.cfg.Origins.HandleQuery(m), nil
}

// Forward implements schema.DRPCPeersServer.
func (s *Server) Forward(m *schema.ForwardRequest, stream schema.DRPCPeers_ForwardStream) error {
	r, err := schema.ToRequest(m, time.Now())
	if err != nil {
		return err
	}
	o := s.run(stream.Context(), r, &streamWriter{stream: stream, req: r})
	return stream.Send(&schema.ForwardReply{Part: &schema.ForwardReply_End{End: schema.FromOutcome(o, time.Now())}})
}

// run runs a forwarded request if there is memory for it and its body fits within the bound on buffered bytes.
func (s *Server) run(ctx context.Context, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	if s.cfg.Memory.Short() {
		return s.cfg.Runner.RefuseOverBuffers(r)
	}
	if s.cfg.Buffers == nil {
		return s.cfg.Runner.Run(ctx, r, w)
	}
	account := s.cfg.Buffers.NewAccount()
	defer account.Close()
	if account.ReserveRequest(len(r.Body)) != nil {
		return s.cfg.Runner.RefuseOverBuffers(r)
	}
	r.Buffers = account
	return s.cfg.Runner.Run(ctx, r, w)
}

// streamWriter is a vetchtrail.ResponseWriter that sends the response back to the
// forwarding host.
type streamWriter struct {
	stream schema.DRPCPeers_ForwardStream
	req    *vetchtrail.Request
}

// Begin implements vetchtrail.ResponseWriter.
func (w *streamWriter) Begin(status int, header []vetchtrail.HeaderField) error {
	return w.stream.Send(&schema.ForwardReply{Part: &schema.ForwardReply_Begin{Begin: &schema.Begin{
		Status: int32(status), Header: schema.FromHeader(header), SoftwareVersion: schema.FromStreamVersion(w.req.ResponseVersion),
	}}})
}

// Write implements vetchtrail.ResponseWriter.
func (w *streamWriter) Write(part []byte) error {
	return w.stream.Send(&schema.ForwardReply{Part: &schema.ForwardReply_Body{Body: part}})
}

// EndpointSilent implements vetchtrail.SilenceObserver. An error shows with the next part of the response.
func (w *streamWriter) EndpointSilent(s vetchtrail.Silence) {
	_ = w.stream.Send(&schema.ForwardReply{Part: &schema.ForwardReply_Silent{Silent: &schema.Silent{Connected: s.Connected, Standstill: s.Standstill, Endpoint: s.Endpoint}}})
}

// RequestSent implements vetchtrail.SendObserver. It reports the send of a request that replaces another attempt. An
// error shows with the next part of the response.
func (w *streamWriter) RequestSent(bool) {
	if w.req.Avoid != "" {
		_ = w.stream.Send(&schema.ForwardReply{Part: &schema.ForwardReply_Sent{Sent: &schema.Sent{}}})
	}
}

// TimeFromAge returns the time of an event whose age a message states.
func TimeFromAge(now time.Time, ageMillis uint32) time.Time {
	return now.Add(-time.Duration(ageMillis) * time.Millisecond)
}
