package vetchtrail

import (
	"context"

	"github.com/go-faster/errors"
)

// BufferAccount counts the bytes that a host holds in memory for one request. The sum over all
// requests is bounded.
type BufferAccount interface {
	// Reserve counts n more bytes of a response. It waits until they fit within the bound or
	// ctx is done, and for a limited time only if the request holds bytes already.
	Reserve(ctx context.Context, n int) error
	// Release returns bytes that Reserve counted.
	Release(n int)
}

// ErrCallerSlow is the cause with which a request's context is cancelled if its caller has read
// nothing for too long while the bound on buffered bytes was reached.
var ErrCallerSlow = errors.New("caller reads too slowly")

// ErrSuperseded is the cause with which the context of an attempt is cancelled when the response of
// another attempt of the same request is kept.
var ErrSuperseded = errors.New("another attempt is kept")

// ErrHostLeaving is the cause with which a request's context is cancelled when the host stops before the
// request has ended.
var ErrHostLeaving = errors.New("host is stopping")

// CancelReason returns why a request, or an attempt of one, whose context is done was cancelled.
func CancelReason(ctx context.Context) Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, ErrCallerSlow):
		return ReasonCallerSlow
	case errors.Is(cause, ErrSuperseded):
		return ReasonSuperseded
	case errors.Is(cause, ErrHostLeaving):
		return ReasonLeaving
	}
	return ReasonCallerGone
}
