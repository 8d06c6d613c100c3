package vetchtrail

import (
	"context"
	"time"
)

// Entry is a key of the platform's key-value service with its value.
type Entry struct {
	Key   string
	Value []byte
	Index uint64 // changes with every write; for CompareAndSwap and Wait
}

// Store is the platform's key-value service. Every call counts against its
// rate, a waiting Wait as one. An error of CompareAndSwap other than
// ErrConflict leaves open whether the write took effect.
type Store interface {
	// Get returns ErrNotFound where there is no such key.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes if the key still has the index; index 0: if there
	// is no such key. It returns ErrConflict if not.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error
	// Wait returns when the key changes from the index, or at the deadline with
	// what it has. It returns ErrNotFound if there is still no such key.
	Wait(ctx context.Context, key string, index uint64, deadline time.Time) (Entry, error)
	// Delete removes a key.
	Delete(ctx context.Context, key string) error
}
