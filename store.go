package vetchtrail

import (
	"context"
	"time"
)

// StoreEntry is a key of the platform's key-value service with its value.
type StoreEntry struct {
	Key         string
	Value       []byte
	ModifyIndex uint64 // changes with every write of the key
}

// Store is a client of the platform's key-value service. The service limits the rate of
// calls; a Wait counts as one call however long it takes. If CompareAndSwap returns an error
// other than ErrConflict or ErrStoreRateLimited, the write may or may not have taken effect.
type Store interface {
	// Get returns ErrNotFound if the key does not exist.
	Get(ctx context.Context, key string) (StoreEntry, error)
	// CompareAndSwap writes the value if the key still has the modify index, or with index 0 if
	// the key does not exist. Otherwise it returns ErrConflict.
	CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error
	// Wait returns the entry once its modify index differs from index, or unchanged at the
	// deadline. It returns ErrNotFound if the key does not exist by then.
	Wait(ctx context.Context, key string, index uint64, deadline time.Time) (StoreEntry, error)
	// Delete removes a key.
	Delete(ctx context.Context, key string) error
}
