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
	// pipeChunks is how many chunks of a response are buffered for a slow caller, without a bound
	// on buffered bytes.
	pipeChunks = 16
)

var errCallerGone = errors.New("caller closed the connection")

// pipe carries a response from the goroutine that runs the request to the one that serves
// the connection. If the response is incomplete, Read returns an error at its end, and the
// HTTP library then breaks the connection, so that the caller can't take a partial response
// for a complete one.
type pipe struct {
	conn      net.Conn
	ctx       context.Context
	cancel    context.CancelCauseFunc
	chunks    chan []byte  // nil with a bound on buffered bytes
	paced     *pacedBuffer // instead of chunks with a bound on buffered bytes
	begun     chan struct{}
	ended     chan struct{}
	beginOnce sync.Once
	onClose   func() // called by Close

	status  int // set before begun is closed
	header  []vetchtrail.HeaderField
	outcome vetchtrail.Outcome // set before ended is closed
	unread  []byte             // rest of the chunk that Read returns next
}

// run runs a request and keeps its outcome. It calls finish before the response ends.
func (p *pipe) run(r Runner, req *vetchtrail.Request, finish func()) {
	p.outcome = r.Run(p.ctx, req, p)
	finish()
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

// Begin implements vetchtrail.ResponseWriter.
func (p *pipe) Begin(status int, header []vetchtrail.HeaderField) error {
	if p.ctx.Err() != nil {
		return errCallerGone
	}
	p.beginOnce.Do(func() {
		p.status, p.header = status, header
		close(p.begun)
	})
	return nil
}

// Write implements vetchtrail.ResponseWriter.
func (p *pipe) Write(chunk []byte) error {
	if p.paced != nil {
		return p.paced.write(p.ctx, chunk)
	}
	select {
	case p.chunks <- append([]byte(nil), chunk...):
		return nil
	case <-p.ctx.Done():
		return errCallerGone
	}
}

// Read implements io.Reader for the connection.
func (p *pipe) Read(b []byte) (int, error) {
	for len(p.unread) == 0 {
		chunk, err := p.nextChunk()
		if err != nil {
			return 0, err
		}
		p.unread = chunk
	}
	n := copy(b, p.unread)
	p.unread = p.unread[n:]
	return n, nil
}

// nextChunk waits for the next chunk. After the last one it returns io.EOF, or the outcome
// of a request that was not answered.
func (p *pipe) nextChunk() ([]byte, error) {
	if p.paced != nil {
		piece := p.paced.next(p.ended)
		switch {
		case piece != nil:
			return piece, nil
		case p.paced.isClosed():
			return nil, errCallerGone
		}
		return nil, p.endError()
	}
	select {
	case chunk := <-p.chunks:
		return chunk, nil
	default:
	}
	select {
	case chunk := <-p.chunks:
		return chunk, nil
	case <-p.ended:
	}
	select {
	case chunk := <-p.chunks: // written before the request ended
		return chunk, nil
	default:
	}
	return nil, p.endError()
}

// endError is the error of a read after the last chunk.
func (p *pipe) endError() error {
	if p.outcome.Kind != vetchtrail.OutcomeAnswered {
		return p.outcome
	}
	return io.EOF
}

// Close implements io.Closer: the library calls it when it has finished with the response.
func (p *pipe) Close() error {
	p.cancel(errCallerGone)
	if p.paced != nil {
		p.paced.close()
	}
	p.onClose()
	return nil
}
