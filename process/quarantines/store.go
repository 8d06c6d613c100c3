package quarantines

import (
	"context"
	"log/slog"
	"time"

	"github.com/go-faster/errors"

	"vetchtrail"
	"vetchtrail/request/quarantine"
)

const (
	// storeKey is the key of the entries in the key-value store.
	storeKey = "vetchtrail/holds"
	// maxWriteAttempts is how often a write is attempted if other hosts write at the same time.
	maxWriteAttempts = 4
	// loadRetryDelay is the delay until a starting host tries again to read the store.
	loadRetryDelay = time.Second
)

// KVStore persists entries in the key-value store. It is not used where a hosted platform persists
// them. It implements vetchtrail.QuarantineStore.
type KVStore struct {
	KV  vetchtrail.Store
	Log *slog.Logger
}

// Save implements vetchtrail.QuarantineStore.
func (s *KVStore) Save(ctx context.Context, put []vetchtrail.QuarantineEntry, drop []vetchtrail.ContentHash) error {
	var err error
	for range maxWriteAttempts {
		var persisted quarantine.PersistedEntries
		var index uint64
		if persisted, index, err = s.read(ctx); err != nil {
			return err
		}
		persisted.Update(put, drop)
		text, encodeErr := persisted.Encode()
		if encodeErr != nil {
			return encodeErr
		}
		if err = s.KV.CompareAndSwap(ctx, storeKey, text, index); !errors.Is(err, vetchtrail.ErrConflict) {
			return err
		}
	}
	return err
}

// read returns the stored entries and the index with which they can be replaced.
func (s *KVStore) read(ctx context.Context) (quarantine.PersistedEntries, uint64, error) {
	e, err := s.KV.Get(ctx, storeKey)
	if errors.Is(err, vetchtrail.ErrNotFound) {
		return quarantine.PersistedEntries{}, 0, nil
	}
	if err != nil {
		return quarantine.PersistedEntries{}, 0, err
	}
	persisted, err := quarantine.ParsePersistedEntries(e.Value)
	if err != nil {
		s.Log.Error("some persisted quarantine entries can't be read and will be overwritten", "key", storeKey, "index", e.ModifyIndex, "error", err)
	}
	return persisted, e.ModifyIndex, nil
}

// Load merges the entries of the store when a host starts. It retries until the store is read or
// ctx ends.
func (q *Quarantines) Load(ctx context.Context, s *KVStore) {
	for ctx.Err() == nil {
		persisted, _, err := s.read(ctx)
		if err == nil {
			q.mergePersisted(persisted.EntriesAt(q.cfg.Clock()))
			return
		}
		q.cfg.Log.Info("persisted quarantine entries not read", "error", err)
		sleep(ctx, loadRetryDelay)
	}
}
