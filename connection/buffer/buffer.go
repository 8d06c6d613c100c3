// Package buffer bounds the bytes that a host holds in memory for callers and endpoints that read
// slowly. It counts bytes; it holds none.
package buffer

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
)

const (
	// The bound is divided into three parts, so that no kind of buffer can use up what another
	// needs to make progress. Requests get half: a prompt is much larger than its response.
	requestDivisor  = 2
	responseDivisor = 4 // responses and parts of them that are read whole
	unreadDivisor   = 4 // parts of responses that their callers have not read

	// openBytes is reserved for each open response, so that its caller gets on whatever the others
	// use: one piece that is written to its connection, and one that follows.
	openBytes = 2 * (PieceBytes + PieceOverhead)
	// sharedDivisor is the part of the bytes for unread responses that may be used beyond
	// openBytes. The rest stays free for new responses.
	sharedDivisor = 2
	// maxUnread is how many bytes beyond openBytes one caller may leave unread. A stream of some
	// hundred events fits, so that its endpoint is free before a slow caller has read it.
	maxUnread = 128 << 10
	// freeShare is the part of the free shared bytes that one caller may use, so that a few slow
	// callers don't use up all of them.
	freeShare = 8
	// fullTenths is how many tenths of the shared bytes are used when the bound counts as
	// reached. freeShare leaves some unused.
	fullTenths = 8
	// reserveTimeout is how long Reserve waits for a request that holds bytes already: two such
	// requests may wait for each other. Within this time, callers that read nothing lose their
	// streams and return what they use.
	reserveTimeout = 6 * time.Second
	// retryInterval is how often a reservation that doesn't fit is tried again.
	retryInterval = 20 * time.Millisecond

	// PieceBytes is the size of the pieces in which a response is buffered for its caller.
	PieceBytes = 4 << 10
	// PieceOverhead is the memory in bytes that a buffered piece takes beside its content.
	PieceOverhead = 64
	// SocketBytes bounds the kernel's send and receive buffers of a connection. They are not
	// counted, and without a bound they grow to some megabytes for each slow reader. It is
	// enough for 1 MB/s at a round trip of 110 ms, as between regions.
	SocketBytes = 128 << 10
)

// ErrFull is returned for bytes that don't fit within the bound.
var ErrFull = errors.New("the bound on buffered bytes is reached")

var bufferedBytes = metrics.GetOrCreateGauge("vetchtrail_buffered_bytes", nil)

// pool is one part of the bound.
type pool struct {
	limit int
	used  int
}

func (p *pool) free() int { return p.limit - p.used }

// Budget bounds the bytes that are held for all connections. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	requests  pool
	responses pool
	unread    pool // bytes reserved for open responses, and shared ones
	shared    int  // bytes of unread beyond openBytes of each response
	peak      int
}

// NewBudget returns a budget of limit bytes, or nil if limit is 0: unbounded.
func NewBudget(limit int) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{
		requests: pool{limit: limit / requestDivisor}, responses: pool{limit: limit / responseDivisor}, unread: pool{limit: limit / unreadDivisor},
	}
}

// NewResponseBudget returns a budget of limit bytes for responses only, or nil if limit is 0: unbounded.
func NewResponseBudget(limit int) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{responses: pool{limit: limit}}
}

// take counts n bytes of a pool if they fit.
func (b *Budget) take(p *pool, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.takeLocked(p, n)
}

// takeLocked does what take does. The caller holds the lock.
func (b *Budget) takeLocked(p *pool, n int) bool {
	if n > p.free() {
		return false
	}
	p.used += n
	b.peak = max(b.peak, b.used())
	bufferedBytes.Add(float64(n))
	return true
}

func (b *Budget) release(p *pool, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(p, n)
}

// releaseLocked does what release does. The caller holds the lock.
func (b *Budget) releaseLocked(p *pool, n int) {
	p.used -= n
	bufferedBytes.Add(-float64(n))
}

func (b *Budget) used() int { return b.requests.used + b.responses.used + b.unread.used }

// OpenResponse reserves what an open response needs, if there is room.
func (b *Budget) OpenResponse() bool { return b.take(&b.unread, openBytes) }

// CloseResponse returns what OpenResponse reserved.
func (b *Budget) CloseResponse() { b.release(&b.unread, openBytes) }

// beyondOpen returns how many of the bytes that a caller has not read are shared ones.
func beyondOpen(held int) int { return max(0, held-openBytes) }

// TakeUnread counts n more bytes of an open response whose caller has not read held bytes, if they
// fit.
func (b *Budget) TakeUnread(held, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	shared := beyondOpen(held + n)
	more := shared - beyondOpen(held)
	if more > 0 && shared > min(maxUnread, (b.sharedLimit()-b.shared)/freeShare) {
		return false
	}
	if !b.takeLocked(&b.unread, more) {
		return false
	}
	b.shared += more
	return true
}

// ReleaseUnread returns n of the held bytes that TakeUnread counted.
func (b *Budget) ReleaseUnread(held, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	less := beyondOpen(held) - beyondOpen(held-n)
	b.shared -= less
	b.releaseLocked(&b.unread, less)
}

func (b *Budget) sharedLimit() int { return b.unread.limit / sharedDivisor }

// UnreadFull reports whether the bound of what callers have not read is reached.
func (b *Budget) UnreadFull() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shared >= b.sharedLimit()*fullTenths/10
}

// Stats describes a budget.
type Stats struct {
	Used int // bytes held now
	Peak int // most bytes held at once
}

// Stats returns how much of the budget is and was used.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Used: b.used(), Peak: b.peak}
}

// NewAccount returns an account without bytes.
func (b *Budget) NewAccount() *Account { return &Account{budget: b} }

// Account counts the bytes held for one request. It implements vetchtrail.BufferAccount.
type Account struct {
	budget   *Budget
	mu       sync.Mutex
	request  int
	response int
}

// ReserveRequest counts n more bytes of the request, or returns ErrFull.
func (a *Account) ReserveRequest(n int) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.budget.take(&a.budget.requests, n) {
		return ErrFull
	}
	a.request += n
	return nil
}

// Reserve implements vetchtrail.BufferAccount.
func (a *Account) Reserve(ctx context.Context, n int) error {
	if a.takeResponse(n) {
		return nil
	}
	if n > a.budget.responses.limit {
		return ErrFull
	}
	if a.holdsResponse() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, reserveTimeout, ErrFull)
		defer cancel()
	}
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-retry.C:
			if a.takeResponse(n) {
				return nil
			}
		}
	}
}

func (a *Account) holdsResponse() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.response > 0
}

func (a *Account) takeResponse(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.budget.take(&a.budget.responses, n) {
		return false
	}
	a.response += n
	return true
}

// Release implements vetchtrail.BufferAccount.
func (a *Account) Release(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.response -= n
	a.budget.release(&a.budget.responses, n)
}

// Close returns all bytes of the request. The account can't be used afterwards.
func (a *Account) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.release(&a.budget.requests, a.request)
	a.budget.release(&a.budget.responses, a.response)
	a.request, a.response = 0, 0
}
