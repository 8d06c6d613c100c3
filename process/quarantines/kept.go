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
	// keptKey is where the project's own store keeps holds.
	keptKey = "vetchtrail/holds"
	// keptTries is how often holds are written again after another host has written meanwhile.
	keptTries = 4
	// loadPause is the pause before a starting host asks again for what the store keeps.
	loadPause = time.Second
)

// Store keeps holds in the project's own store. It is a vetchtrail.HoldKeeper.
type Store struct {
	Store vetchtrail.Store
	Log   *slog.Logger
}

// Keep implements vetchtrail.HoldKeeper.
func (s *Store) Keep(ctx context.Context, put []vetchtrail.Hold, drop []vetchtrail.Digest) error {
	var err error
	for range keptTries {
		var kept quarantine.Kept
		var index uint64
		if kept, index, err = s.read(ctx); err != nil {
			return err
		}
		kept.Put(put, drop)
		text, failed := kept.Text()
		if failed != nil {
			return failed
		}
		if err = s.Store.CompareAndSwap(ctx, keptKey, text, index); !errors.Is(err, vetchtrail.ErrConflict) {
			return err
		}
	}
	return err
}

func (s *Store) read(ctx context.Context) (quarantine.Kept, uint64, error) {
	e, err := s.Store.Get(ctx, keptKey)
	if errors.Is(err, vetchtrail.ErrNotFound) {
		return quarantine.Kept{}, 0, nil
	}
	if err != nil {
		return quarantine.Kept{}, 0, err
	}
	kept, err := quarantine.ParseKept(e.Value)
	if err != nil {
		s.Log.Error("holds kept in the store not read: those that can't be are written anew", "key", keptKey, "index", e.Index, "error", err)
	}
	return kept, e.Index, nil
}

// Load takes what the store keeps, as a host does when it starts.
func (q *Quarantines) Load(ctx context.Context, s *Store) {
	for ctx.Err() == nil {
		kept, _, err := s.read(ctx)
		if err == nil {
			q.hear(kept.From(q.cfg.Clock()))
			return
		}
		q.cfg.Log.Info("holds kept in the store not read", "error", err)
		wait(ctx, loadPause)
	}
}
