package buffer

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
)

const testLimit = 16 << 20

// TestSlowCallersLeaveRoom guards against callers that never read and use up what the next caller
// needs to get on, or more than the bound.
func TestSlowCallersLeaveRoom(t *testing.T) {
	b := NewBudget(testLimit)
	opened := 0
	for b.OpenResponse() {
		opened++
		held := 0
		for b.TakeUnread(held, PieceBytes+PieceOverhead) {
			held += PieceBytes + PieceOverhead
		}
		assert.Assert(t, held >= openBytes, "response %d may hold %d bytes only", opened, held)
		b.ReleaseUnread(held, held)
		for held = 0; b.TakeUnread(held, PieceBytes+PieceOverhead); held += PieceBytes + PieceOverhead {
		}
	}
	assert.Assert(t, b.UnreadFull())
	assert.Assert(t, opened >= testLimit/unreadDivisor/sharedDivisor/openBytes, "%d responses", opened)
	assert.Assert(t, b.Stats().Peak <= testLimit)
}

// TestReserve guards against requests that wait for each other's bytes for ever, and against bytes
// that stay counted after the end of their request.
func TestReserve(t *testing.T) {
	const all = testLimit / responseDivisor
	cases := map[string]struct {
		n     int
		freed bool // another request returns its bytes meanwhile
		err   error
	}{
		"fits after a wait":   {all, true, nil},
		"caller disconnects":  {all, false, context.Canceled},
		"never fits":          {all + 1, false, ErrFull},
		"none of it is asked": {0, false, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(testLimit)
			other, a := b.NewAccount(), b.NewAccount()
			assert.NilError(t, other.Reserve(t.Context(), all))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			end := cancel
			if c.freed {
				end = other.Close
			}
			time.AfterFunc(2*retryInterval, end)
			assert.ErrorIs(t, a.Reserve(ctx, c.n), c.err)
			a.Close()
			other.Close()
			assert.Equal(t, b.Stats().Used, 0)
		})
	}
}

// TestReadAll guards against memory that is used before it is counted, and against a broken body
// that looks complete.
func TestReadAll(t *testing.T) {
	const limit = 100 << 10
	cases := map[string]struct {
		bytes, size int
		room        int
		err         error
	}{
		"known length":          {50 << 10, 50 << 10, limit, nil},
		"unknown length":        {50 << 10, -1, 2 * limit, nil},
		"empty":                 {0, 0, 0, nil},
		"shorter than stated":   {10, 20, limit, io.ErrUnexpectedEOF},
		"stated over its limit": {10, limit + 1, 2 * limit, ErrTooLarge},
		"over its limit":        {limit + 1, -1, 10 * limit, ErrTooLarge},
		"no room":               {50 << 10, 50 << 10, 10 << 10, ErrFull},
		"no room on the way":    {50 << 10, -1, 20 << 10, ErrFull},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			reserved := 0
			body, err := ReadAll(iotest.OneByteReader(bytes.NewReader(make([]byte, c.bytes))), c.size, limit, func(n int) error {
				if reserved += n; reserved > c.room {
					return ErrFull
				}
				return nil
			})
			assert.ErrorIs(t, err, c.err)
			if err == nil {
				assert.Equal(t, len(body), c.bytes)
				assert.Assert(t, cap(body) <= max(reserved, 1), "%d bytes of memory, %d reserved", cap(body), reserved)
			}
		})
	}
}
