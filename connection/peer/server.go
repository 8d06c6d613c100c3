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
	"vetchtrail/schema"
)

// Membership is what the server needs of the process's membership.
type Membership interface {
	Exchanged(h *schema.Heartbeat) *schema.Heartbeat
	Swapped(d *schema.Digests) *schema.Digests
}

// Changes is what the server needs of the change log.
type Changes interface {
	Since(revision uint64) ([]vetchtrail.Change, *schema.Snapshot)
}

// Lister lends the platform's lists as they were last read.
type Lister interface {
	Lend(q *schema.ListRequest) *schema.Listing
}

// Runner runs a forwarded request.
type Runner interface {
	Run(ctx context.Context, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome
}

// Quotas keeps this region's parts of the workspaces' quotas.
type Quotas interface {
	Granted(m *schema.GrantRequest) *schema.GrantReply
	Claimed(m *schema.Claims) *schema.Claims
}

// RateLimits keeps parts of the rates that this region's endpoints name.
type RateLimits interface {
	Permitted(m *schema.PermitRequest) *schema.PermitReply
}

// Quarantines holds requests back.
type Quarantines interface {
	HostEnded(m *schema.Ends) (*schema.Holds, error)
	HostHolds(m *schema.Holds) (*schema.Holds, error)
}

// ServerConfig is what a Server needs.
type ServerConfig struct {
	Membership Membership
	Changes    Changes
	Lister     Lister
	Runner     Runner
	Quotas     Quotas
	RateLimits RateLimits
	Holds      Quarantines
	Operators  schema.DRPCOperatorsServer
}

// Server answers peers and operators.
type Server struct {
	cfg ServerConfig
	srv *drpcserver.Server
}

// NewServer returns a server of both services of the schema.
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

// Serve answers on a listener until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error { return s.srv.Serve(ctx, l) }

// Exchange implements schema.DRPCPeersServer.
func (s *Server) Exchange(_ context.Context, h *schema.Heartbeat) (*schema.Heartbeat, error) {
	return s.cfg.Membership.Exchanged(h), nil
}

// Swap implements schema.DRPCPeersServer.
func (s *Server) Swap(_ context.Context, d *schema.Digests) (*schema.Digests, error) {
	return s.cfg.Membership.Swapped(d), nil
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
	return s.cfg.Lister.Lend(q), nil
}

// Grant implements schema.DRPCPeersServer.
func (s *Server) Grant(_ context.Context, m *schema.GrantRequest) (*schema.GrantReply, error) {
	return s.cfg.Quotas.Granted(m), nil
}

// Permit implements schema.DRPCPeersServer.
func (s *Server) Permit(_ context.Context, m *schema.PermitRequest) (*schema.PermitReply, error) {
	return s.cfg.RateLimits.Permitted(m), nil
}

// Claim implements schema.DRPCPeersServer.
func (s *Server) Claim(_ context.Context, m *schema.Claims) (*schema.Claims, error) {
	return s.cfg.Quotas.Claimed(m), nil
}

// Ended implements schema.DRPCPeersServer.
func (s *Server) Ended(_ context.Context, m *schema.Ends) (*schema.Holds, error) {
	return s.cfg.Holds.HostEnded(m)
}

// Hold implements schema.DRPCPeersServer.
func (s *Server) Hold(_ context.Context, m *schema.Holds) (*schema.Holds, error) {
	return s.cfg.Holds.HostHolds(m)
}

// Forward implements schema.DRPCPeersServer.
func (s *Server) Forward(m *schema.ForwardRequest, stream schema.DRPCPeers_ForwardStream) error {
	r, err := schema.ToRequest(m, time.Now())
	if err != nil {
		return err
	}
	o := s.cfg.Runner.Run(stream.Context(), r, &streamAnswer{stream: stream})
	return stream.Send(&schema.ForwardReply{Part: &schema.ForwardReply_End{End: schema.FromOutcome(o, time.Now())}})
}

// streamAnswer is a vetchtrail.Answer that goes back to the forwarding host.
type streamAnswer struct {
	stream schema.DRPCPeers_ForwardStream
}

// Begin implements vetchtrail.Answer.
func (a *streamAnswer) Begin(status int, header []vetchtrail.HeaderField) error {
	return a.stream.Send(&schema.ForwardReply{Part: &schema.ForwardReply_Begin{Begin: &schema.Begin{
		Status: int32(status), Header: schema.FromHeader(header),
	}}})
}

// Write implements vetchtrail.Answer.
func (a *streamAnswer) Write(part []byte) error {
	return a.stream.Send(&schema.ForwardReply{Part: &schema.ForwardReply_Body{Body: part}})
}

// Since returns how long ago a message's age says that something was.
func Since(now time.Time, ageMillis uint32) time.Time {
	return now.Add(-time.Duration(ageMillis) * time.Millisecond)
}
