package peer

import (
	"context"
	"net"

	"github.com/go-faster/errors"
	"storj.io/drpc"

	"vetchtrail"
)

// forwardConn is a connection for a forwarded request. If the request can't have arrived whole, the error of its call is a
// vetchtrail.PeerError with StepSend.
type forwardConn struct {
	drpc.Conn
	peer string
}

// NewStream implements drpc.Conn. It sends the name of the call at most, not yet the request.
func (c *forwardConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, c.notSent(err)
	}
	return &forwardStream{stream, c}, nil
}

// notSent returns the error of a request that can't have arrived whole.
func (c *forwardConn) notSent(err error) error {
	var pe *vetchtrail.PeerError
	if errors.As(err, &pe) {
		return err // from the dial
	}
	return &vetchtrail.PeerError{Step: vetchtrail.StepSend, Peer: c.peer, Err: err}
}

// forwardStream is the stream of a forwarded request.
type forwardStream struct {
	drpc.Stream
	conn *forwardConn
}

// MsgSend implements drpc.Stream. A write that failed has left out the end of the request at least. Other errors, such as
// that of a cancelled context, may follow a complete write.
func (s *forwardStream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	err := s.Stream.MsgSend(msg, enc)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "write" {
		return s.conn.notSent(err)
	}
	return err
}
