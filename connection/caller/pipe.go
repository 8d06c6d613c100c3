package caller

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/go-faster/errors"

	"vetchtrail"
)

const (
	// pipeParts is how many parts of an answer wait for a slow caller.
	pipeParts = 16
)

var errGone = errors.New("the caller has gone")

// pipe carries an answer from the dispatcher's thread to the connection's. Its
// reading end gives an error unless the answer came whole, by which the
// library cuts the connection: a cut answer never looks whole.
type pipe struct {
	conn   net.Conn
	ctx    context.Context
	cancel context.CancelFunc
	parts  chan []byte
	begun  chan struct{}
	ended  chan struct{}
	once   sync.Once

	status  int // set before begun is closed
	header  []vetchtrail.HeaderField
	outcome vetchtrail.Outcome // set before ended is closed
	rest    []byte             // of the part being read
}

func newPipe(conn net.Conn) *pipe {
	p := &pipe{
		conn: conn, parts: make(chan []byte, pipeParts),
		begun: make(chan struct{}), ended: make(chan struct{}),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

func (p *pipe) run(r Runner, req *vetchtrail.Request) {
	p.outcome = r.Run(p.ctx, req, p)
	close(p.ended)
}

func (p *pipe) hasBegun() bool {
	select {
	case <-p.begun:
		return true
	default:
		return false
	}
}

// Begin implements vetchtrail.Answer.
func (p *pipe) Begin(status int, header []vetchtrail.HeaderField) error {
	if p.ctx.Err() != nil {
		return errGone
	}
	p.once.Do(func() {
		p.status, p.header = status, header
		close(p.begun)
	})
	return nil
}

// Write implements vetchtrail.Answer.
func (p *pipe) Write(part []byte) error {
	select {
	case p.parts <- append([]byte(nil), part...):
		return nil
	case <-p.ctx.Done():
		return errGone
	}
}

// Read implements io.Reader for the connection.
func (p *pipe) Read(b []byte) (int, error) {
	for len(p.rest) == 0 {
		part, err := p.next()
		if err != nil {
			return 0, err
		}
		p.rest = part
	}
	n := copy(b, p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

func (p *pipe) next() ([]byte, error) {
	select {
	case part := <-p.parts:
		return part, nil
	default:
	}
	select {
	case part := <-p.parts:
		return part, nil
	case <-p.ended:
	}
	select {
	case part := <-p.parts: // written before the end
		return part, nil
	default:
	}
	if p.outcome.Kind != vetchtrail.Answered {
		return nil, p.outcome
	}
	return nil, io.EOF
}

// Close implements io.Closer: the library is done with the answer.
func (p *pipe) Close() error {
	p.cancel()
	return nil
}
