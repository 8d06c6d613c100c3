// Package changelog keeps the configuration as a log of changes in the
// platform's key-value service: revision N is the key made by compare-and-swap
// at N. A host's revision only grows, whoever it hears from.
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

// Names in the store, and how it is used.
const (
	logPrefix     = "vetchtrail/log/"
	snapshotKey   = "vetchtrail/snapshot"
	partPrefix    = "vetchtrail/snapshot/"
	partSize      = 900 << 10 // bytes; the store holds values to 1 MB
	SnapshotEvery = 64        // revisions
	keptChanges   = 512       // in memory, for peers and history
	writeTries    = 8
	retryPause    = 200 * time.Millisecond
	WatchTime     = 20 * time.Second // of one waiting watch
	settleTime    = 10 * time.Second // to learn what became of a lost write
)

// Log is a host's copy of the change log.
type Log struct {
	store vetchtrail.Store
	log   *slog.Logger
	pause time.Duration
	held  atomic.Pointer[rules.Rules]
	heard atomic.Int64 // when the store last answered, Unix nanoseconds

	mu     sync.Mutex // guards what follows and each step of held
	recent []vetchtrail.Change
	grown  chan struct{} // closed when held grows
}

// Config is what a Log needs.
type Config struct {
	Store vetchtrail.Store
	Log   *slog.Logger
	Pause time.Duration // between tries of the store; 0: the usual
}

// New returns a log that holds nothing yet.
func New(c Config) *Log {
	l := &Log{store: c.Store, log: c.Log, pause: c.Pause, grown: make(chan struct{})}
	if l.pause == 0 {
		l.pause = retryPause
	}
	l.held.Store(rules.Empty())
	return l
}

// Rules returns the newest configuration held.
func (l *Log) Rules() *rules.Rules { return l.held.Load() }

// Revision returns the number of the newest configuration held.
func (l *Log) Revision() uint64 { return l.Rules().Revision() }

// StoreHeard returns when the store last answered; zero: never.
func (l *Log) StoreHeard() time.Time {
	n := l.heard.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// Grown returns a channel that is closed when a newer revision is held.
func (l *Log) Grown() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grown
}

// Since returns the changes after a revision, or, when they are no longer all
// held, a snapshot.
func (l *Log) Since(revision uint64) ([]vetchtrail.Change, *schema.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Revision()
	if revision >= now {
		return nil, nil
	}
	first := now - uint64(len(l.recent)) + 1
	if revision+1 < first {
		return nil, snapshotOf(l.Rules())
	}
	return append([]vetchtrail.Change(nil), l.recent[revision+1-first:]...), nil
}

// Recent returns the newest accepted changes held, oldest first.
func (l *Log) Recent(from uint64, most int) []vetchtrail.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []vetchtrail.Change
	for _, c := range l.recent {
		if c.Revision >= from {
			out = append(out, c)
		}
	}
	if most > 0 && len(out) > most {
		out = out[len(out)-most:]
	}
	return out
}

// Learn takes accepted changes from a peer or the store. Those held already
// are passed over; a gap ends it without an error.
func (l *Log) Learn(changes []vetchtrail.Change) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range changes {
		if err := l.step(c); err != nil {
			return err
		}
	}
	return nil
}

// step takes one change if it is the next. The caller holds the lock.
func (l *Log) step(c vetchtrail.Change) error {
	held := l.Rules()
	if c.Revision != held.Revision()+1 {
		return nil
	}
	next, err := held.Apply(c)
	if err != nil {
		return errors.Wrapf(err, "changelog.Learn: revision %d", c.Revision)
	}
	l.recent = append(l.recent, c)
	if len(l.recent) > keptChanges {
		l.recent = append([]vetchtrail.Change(nil), l.recent[len(l.recent)-keptChanges:]...)
	}
	l.grow(next)
	return nil
}

func (l *Log) grow(next *rules.Rules) {
	l.held.Store(next)
	close(l.grown)
	l.grown = make(chan struct{})
	l.log.Info("configuration in force", "revision", next.Revision())
}

// LearnSnapshot takes a snapshot if it is newer than what is held.
func (l *Log) LearnSnapshot(s *schema.Snapshot) error {
	if s == nil {
		return nil
	}
	edits, err := schema.ToEdits(s.GetEdits())
	if err != nil {
		return errors.Wrap(err, "changelog.LearnSnapshot")
	}
	next, err := rules.Restore(edits, s.GetRevision())
	if err != nil {
		return errors.Wrap(err, "changelog.LearnSnapshot")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if next.Revision() <= l.Revision() {
		return nil
	}
	l.recent = nil
	l.grow(next)
	return nil
}

// CatchUp reads the store to its newest revision.
func (l *Log) CatchUp(ctx context.Context) error {
	if err := l.readSnapshot(ctx); err != nil {
		return err
	}
	return l.readOn(ctx)
}

// readOn reads the log from the next revision until there is none.
func (l *Log) readOn(ctx context.Context) error {
	for {
		e, err := l.store.Get(ctx, keyOf(l.Revision()+1))
		if errors.Is(err, vetchtrail.ErrNotFound) {
			l.heard.Store(time.Now().UnixNano())
			return nil
		}
		if err != nil {
			return err
		}
		l.heard.Store(time.Now().UnixNano())
		if err := l.take(e.Value); err != nil {
			return err
		}
	}
}

func (l *Log) take(value []byte) error {
	c, err := decode(value)
	if err != nil {
		return err
	}
	return l.Learn([]vetchtrail.Change{c})
}

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
	var whole []byte
	for i := range p.parts {
		part, err := l.store.Get(ctx, p.key(i))
		if err != nil {
			return err
		}
		whole = append(whole, part.Value...)
	}
	var s schema.Snapshot
	if err := proto.Unmarshal(whole, &s); err != nil {
		return errors.Wrap(err, "changelog.readSnapshot")
	}
	return l.LearnSnapshot(&s)
}

// Watch follows the store until ctx ends, while on says that it is this host's
// duty; a host that is not on duty asks again when its turn may have come.
func (l *Log) Watch(ctx context.Context, on func() bool) {
	for ctx.Err() == nil {
		if !on() {
			l.wait(ctx)
			continue
		}
		if err := l.follow(ctx); err != nil && ctx.Err() == nil {
			l.log.Debug("store not read", "error", err)
			l.wait(ctx)
		}
	}
}

// follow waits for the next revision once.
func (l *Log) follow(ctx context.Context) error {
	key := keyOf(l.Revision() + 1)
	seen, err := l.store.Get(ctx, key)
	if err == nil {
		l.heard.Store(time.Now().UnixNano())
		return l.take(seen.Value)
	}
	if !errors.Is(err, vetchtrail.ErrNotFound) {
		return err
	}
	l.heard.Store(time.Now().UnixNano())
	e, err := l.store.Wait(ctx, key, max(seen.Index, 1), time.Now().Add(WatchTime))
	if errors.Is(err, vetchtrail.ErrNotFound) {
		l.heard.Store(time.Now().UnixNano())
		return l.readSnapshot(ctx) // the log may have been cut below us
	}
	if err != nil {
		return err
	}
	l.heard.Store(time.Now().UnixNano())
	return l.take(e.Value)
}

func keyOf(revision uint64) string { return fmt.Sprintf("%s%012d", logPrefix, revision) }

func (l *Log) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(l.pause):
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
