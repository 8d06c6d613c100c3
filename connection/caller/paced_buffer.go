package caller

import (
	"context"
	"sync"
	"time"

	"vetchtrail/connection/buffer"
)

const (
	// callerStallTimeout is how long a caller may read nothing while the bound on buffered bytes
	// is reached. Pauses of a caller's link are shorter, and endpoints cut off responses that go
	// unread for some seconds anyway.
	callerStallTimeout = 5 * time.Second
	// spaceRetryInterval is how often a writer tries again that waits for bytes which other
	// callers use. Its own caller's reads wake it at once.
	spaceRetryInterval = 50 * time.Millisecond
)

// pacedBuffer holds the part of a response that its caller has not read, within the host's
// budget. Its writer waits while the caller reads too slowly.
type pacedBuffer struct {
	budget  *buffer.Budget
	added   chan struct{} // signals the reader
	removed chan struct{} // signals the writer

	mu      sync.Mutex
	pieces  [][]byte
	current int // counted bytes of the piece that the reader got last
	held    int // counted bytes of all pieces, including that one
	waiting bool
	closed  bool

	acked         uint64    // bytes of the response that the caller had acknowledged at the last check
	stallDeadline time.Time // when the caller has stalled, unless it reads; zero: it reads or may take its time
}

// newPacedBuffer returns an empty buffer, and false if the budget has no room for another response.
func newPacedBuffer(b *buffer.Budget) (*pacedBuffer, bool) {
	return &pacedBuffer{budget: b, added: make(chan struct{}, 1), removed: make(chan struct{}, 1)}, b.OpenResponse()
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// write adds a copy of a chunk, piece by piece, and waits for space where necessary.
func (b *pacedBuffer) write(ctx context.Context, chunk []byte) error {
	for len(chunk) > 0 {
		n := min(len(chunk), buffer.PieceBytes)
		if err := b.writePiece(ctx, chunk[:n]); err != nil {
			return err
		}
		chunk = chunk[n:]
	}
	return nil
}

func (b *pacedBuffer) writePiece(ctx context.Context, piece []byte) error {
	for {
		added, err := b.tryAdd(piece)
		if added || err != nil {
			return err
		}
		retry := time.NewTimer(spaceRetryInterval)
		select {
		case <-ctx.Done():
		case <-b.removed:
		case <-retry.C:
		}
		retry.Stop()
		if ctx.Err() != nil {
			return errCallerGone
		}
	}
}

// tryAdd adds a piece if there is space for it.
func (b *pacedBuffer) tryAdd(piece []byte) (added bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false, errCallerGone
	}
	counted := len(piece) + buffer.PieceOverhead
	b.waiting = !b.budget.TakeUnread(b.held, counted)
	if b.waiting {
		return false, nil
	}
	b.held += counted
	b.pieces = append(b.pieces, append([]byte(nil), piece...))
	signal(b.added)
	return true, nil
}

// next returns the next piece, and nil after the last one of a request that has ended. It ends the
// counting of the piece before.
func (b *pacedBuffer) next(ended <-chan struct{}) []byte {
	for {
		if piece := b.pop(); piece != nil {
			return piece
		}
		select {
		case <-b.added:
		case <-ended:
			return b.pop()
		}
	}
}

func (b *pacedBuffer) pop() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	b.release(b.current)
	b.current = 0
	if len(b.pieces) == 0 {
		return nil
	}
	piece := b.pieces[0]
	b.pieces[0] = nil
	b.pieces = b.pieces[1:]
	b.current = len(piece) + buffer.PieceOverhead
	b.stallDeadline = time.Time{}
	return piece
}

// release ends the counting of n bytes. The caller holds the lock.
func (b *pacedBuffer) release(n int) {
	if n > 0 {
		b.budget.ReleaseUnread(b.held, n)
		b.held -= n
		signal(b.removed)
	}
}

// close drops what the caller has not read.
func (b *pacedBuffer) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	b.release(b.held)
	b.budget.CloseResponse()
	b.closed, b.pieces = true, nil
}

// isClosed reports whether close was called: what the caller has not read is lost.
func (b *pacedBuffer) isClosed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed
}

// stalled reports whether the caller has read nothing for callerStallTimeout while the bound was
// reached: its own, or that of all callers. countAcked returns how many bytes its kernel has
// acknowledged; the HTTP library may be in the middle of a write.
func (b *pacedBuffer) stalled(now time.Time, countAcked func() uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.held == 0 || (!b.waiting && !b.budget.UnreadFull()) {
		b.stallDeadline = time.Time{}
		return false
	}
	if n := countAcked(); b.stallDeadline.IsZero() || n != b.acked {
		b.acked, b.stallDeadline = n, now.Add(callerStallTimeout)
		return false
	}
	return !now.Before(b.stallDeadline)
}
