// Package changelog replicates the configuration as a log of changes in the
// platform's key-value service. The change that makes revision N is stored
// under the key of N, written by compare-and-swap, so that each revision has
// exactly one change. A host replaces its configuration only by a newer revision,
// which it receives from the store or from a peer.
//
// The package doesn't define what a valid configuration is (see package rules),
// and doesn't send changes between hosts.
package changelog

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"vetchtrail"
	"vetchtrail/schema"
	"vetchtrail/version/rules"
)

const (
	logPrefix   = "vetchtrail/log/"      // followed by the revision: one change
	snapshotKey = "vetchtrail/snapshot"  // the newest snapshot's revision and number of parts
	partPrefix  = "vetchtrail/snapshot/" // followed by revision and part number: one part of a snapshot

	partBytes = 900 << 10 // the store accepts values of up to 1 MB

	// SnapshotInterval is the number of revisions from one snapshot to the next.
	SnapshotInterval = 64
	// maxRecentChanges is how many changes a host holds in memory, for peers
	// that lag behind and for the history that operators read.
	maxRecentChanges = 512
	// maxProposeAttempts is how many revisions Propose tries to write before it
	// reports a conflict.
	maxProposeAttempts = 8
	// maxReadAttempts is how often Propose reads from the store before it fails. A read without a
	// response takes some seconds.
	maxReadAttempts = 3

	defaultRetryInterval = 200 * time.Millisecond
	// WatchTimeout is how long one call waits at the store for the next revision.
	WatchTimeout = 20 * time.Second
	// writeTimeout bounds the attempts to write one revision and to find out
	// whether a write without a response took effect.
	writeTimeout = 10 * time.Second
)

// Log is a host's copy of the configuration and of its newest changes.
type Log struct {
	store         vetchtrail.Store
	log           *slog.Logger
	retryInterval time.Duration
	current       atomic.Pointer[rules.Rules] // newest configuration that the host has
	lastResponse  atomic.Int64                // when the store last responded to a read, Unix nanoseconds; 0: never

	mu      sync.Mutex          // guards the fields below and every update of current
	recent  []vetchtrail.Change // newest changes, without gaps, up to the revision of current
	updated chan struct{}       // closed and replaced when current changes
}

// Config holds the dependencies and settings of a Log.
type Config struct {
	Store         vetchtrail.Store
	Log           *slog.Logger
	RetryInterval time.Duration // between two attempts at the store; 0: defaultRetryInterval
}

// New returns a log at revision 0, with an empty configuration.
func New(c Config) *Log {
	l := &Log{store: c.Store, log: c.Log, retryInterval: c.RetryInterval, updated: make(chan struct{})}
	if l.retryInterval == 0 {
		l.retryInterval = defaultRetryInterval
	}
	l.current.Store(rules.Empty())
	return l
}

// Rules returns the newest configuration that this host holds.
func (l *Log) Rules() *rules.Rules { return l.current.Load() }

// Revision returns the revision of the newest configuration that this host holds.
func (l *Log) Revision() uint64 { return l.Rules().Revision() }

// LastStoreResponse returns when the store last responded to a read; zero: never.
func (l *Log) LastStoreResponse() time.Time {
	n := l.lastResponse.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Updated returns a channel that is closed when the host holds a newer revision.
func (l *Log) Updated() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.updated
}

// Since returns the changes after a revision. If the oldest of them are no
// longer in memory, it returns a snapshot instead.
func (l *Log) Since(revision uint64) ([]vetchtrail.Change, *schema.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.Revision()
	if revision >= newest {
		return nil, nil
	}
	first := newest - uint64(len(l.recent)) + 1
	if revision+1 < first {
		return nil, snapshotOf(l.Rules())
	}
	return append([]vetchtrail.Change(nil), l.recent[revision+1-first:]...), nil
}

// Recent returns the changes in memory from a revision on, oldest first. If
// there are more than limit, it returns the newest of them; 0 means no limit.
func (l *Log) Recent(from uint64, limit int) []vetchtrail.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []vetchtrail.Change
	for _, c := range l.recent {
		if c.Revision >= from {
			out = append(out, c)
		}
	}
	if limit > 0 && len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}

// Apply puts accepted changes from a peer or the store in force, in the order given.
// It ignores a change whose revision isn't the next one: the host either holds
// it already or lacks a change before it.
func (l *Log) Apply(changes []vetchtrail.Change) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		if err := l.applyIfNext(c); err != nil {
			return err
		}
	}
	return nil
}

// applyIfNext applies a change if it makes the next revision. The caller holds
// the lock.
func (l *Log) applyIfNext(c vetchtrail.Change) error {
	current := l.Rules()
	if c.Revision != current.Revision()+1 {
		return nil
	}
	next, err := current.Apply(c)
	if err != nil {
		return errors.Wrapf(err, "changelog.Apply: revision %d", c.Revision)
	}
	l.recent = append(l.recent, c)
	if len(l.recent) > maxRecentChanges {
		l.recent = append([]vetchtrail.Change(nil), l.recent[len(l.recent)-maxRecentChanges:]...)
	}
	l.update(next)
	return nil
}

// update puts a newer configuration in force and wakes the goroutines that wait
// on Updated. The caller holds the lock.
func (l *Log) update(next *rules.Rules) {
	l.current.Store(next)
	close(l.updated)
	l.updated = make(chan struct{})
	l.log.Info("configuration in force", "revision", next.Revision())
}

// ApplySnapshot puts a snapshot in force if it is newer than the host's
// configuration. The changes in memory are dropped, since those between them and
// the snapshot may be missing.
func (l *Log) ApplySnapshot(s *schema.Snapshot) error {
	if s == nil {
		return nil
	}
	edits, err := schema.ToEdits(s.GetEdits())
	if err != nil {
		return errors.Wrap(err, "changelog.ApplySnapshot")
	}
	next, err := rules.Restore(edits, s.GetRevision())
	if err != nil {
		return errors.Wrap(err, "changelog.ApplySnapshot")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if next.Revision() <= l.Revision() {
		return nil
	}
	l.recent = nil
	l.update(next)
	return nil
}

// CatchUp reads the store up to its newest revision: first the snapshot, then
// the changes after it.
func (l *Log) CatchUp(ctx context.Context) error {
	if err := l.readSnapshot(ctx); err != nil {
		return err
	}
	return l.readChanges(ctx)
}

// readChanges reads and applies changes from the next revision on, until the
// store has none.
func (l *Log) readChanges(ctx context.Context) error {
	for {
		e, err := l.store.Get(ctx, logKey(l.Revision()+1))
		if errors.Is(err, vetchtrail.ErrNotFound) {
			l.lastResponse.Store(time.Now().UnixNano())
			return nil
		}
		if err != nil {
			return err
		}
		l.lastResponse.Store(time.Now().UnixNano())
		if err := l.applyStored(e.Value); err != nil {
			return err
		}
	}
}

// applyStored decodes a change as the store holds it and applies it.
func (l *Log) applyStored(value []byte) error {
	c, err := decode(value)
	if err != nil {
		return err
	}
	return l.Apply([]vetchtrail.Change{c})
}

// readSnapshot reads the newest snapshot from the store and applies it if it is
// newer than the host's configuration.
func (l *Log) readSnapshot(ctx context.Context) error {
	e, err := l.store.Get(ctx, snapshotKey)
	if errors.Is(err, vetchtrail.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	var p pointer
	if err := p.parse(e.Value); err != nil {
		return err
	}
	if p.revision <= l.Revision() {
		return nil
	}
	var data []byte
	for i := range p.parts {
		part, err := l.store.Get(ctx, p.key(i))
		if err != nil {
			return err
		}
		data = append(data, part.Value...)
	}
	var s schema.Snapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "changelog.readSnapshot")
	}
	return l.ApplySnapshot(&s)
}

// Watch applies new revisions from the store until ctx ends. It calls the store
// only while assigned returns true: this host has the task of watching the store.
// Otherwise it calls assigned again after the retry interval. A failed call to the
// store is repeated after the same interval.
func (l *Log) Watch(ctx context.Context, assigned func() bool) {
	for ctx.Err() == nil {
		if !assigned() {
			l.sleep(ctx)
			continue
		}
		if err := l.awaitNext(ctx); err != nil && ctx.Err() == nil {
			l.log.Debug("reading the store failed", "error", err)
			l.sleep(ctx)
		}
	}
}

// awaitNext waits up to WatchTimeout for the next revision and applies it.
func (l *Log) awaitNext(ctx context.Context) error {
	key := logKey(l.Revision() + 1)
	existing, err := l.store.Get(ctx, key)
	if err == nil {
		l.lastResponse.Store(time.Now().UnixNano())
		return l.applyStored(existing.Value)
	}
	if !errors.Is(err, vetchtrail.ErrNotFound) {
		return err
	}
	l.lastResponse.Store(time.Now().UnixNano())
	e, err := l.store.Wait(ctx, key, max(existing.ModifyIndex, 1), time.Now().Add(WatchTimeout))
	if errors.Is(err, vetchtrail.ErrNotFound) {
		l.lastResponse.Store(time.Now().UnixNano())
		// The key never appears if its change was deleted, as other hosts are
		// several snapshots ahead. Then only a snapshot has the configuration.
		return l.readSnapshot(ctx)
	}
	if err != nil {
		return err
	}
	l.lastResponse.Store(time.Now().UnixNano())
	return l.applyStored(e.Value)
}

// logKey returns the store's key for the change that makes a revision.
func logKey(revision uint64) string { return fmt.Sprintf("%s%012d", logPrefix, revision) }

// sleep waits for the retry interval or until ctx ends.
func (l *Log) sleep(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(l.retryInterval):
	}
}

func decode(value []byte) (vetchtrail.Change, error) {
	var m schema.Change
	if err := proto.Unmarshal(value, &m); err != nil {
		return vetchtrail.Change{}, errors.Wrap(err, "changelog.decode")
	}
	return schema.ToChange(&m)
}

func encode(c vetchtrail.Change) ([]byte, error) { return proto.Marshal(schema.FromChange(c)) }

func snapshotOf(r *rules.Rules) *schema.Snapshot {
	return &schema.Snapshot{Revision: r.Revision(), Edits: schema.FromEdits(r.Edits())}
}
