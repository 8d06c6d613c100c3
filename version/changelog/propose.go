package changelog

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"vetchtrail"
	"vetchtrail/version/rules"
)

// ErrOutcomeUnknown means that the store stopped responding while a change was
// written, so that the change may still take effect. Proposing it again with
// the same id shows whether it did.
var ErrOutcomeUnknown = errors.New("the store stopped answering during the write: the change may take effect")

// Check reports whether a change is valid and fits the configuration that this
// host holds. It returns the same errors as Propose if not, and writes nothing.
func (l *Log) Check(c vetchtrail.Change) error { return check(c, l.Rules()) }

func check(c vetchtrail.Change, current *rules.Rules) error {
	if c.Expect != 0 && c.Expect != current.Revision() {
		return &vetchtrail.ConflictError{Expect: c.Expect, Current: current.Revision()}
	}
	_, err := current.Apply(c)
	return err
}

// Propose appends a change to the log and returns its revision. If the host's
// recent changes contain one with the same id, Propose returns its revision and
// writes nothing. If another host wins the next revision, the change is checked
// against the new configuration and tried at the revision after it.
//
// It returns a *vetchtrail.ChangeError for a change that isn't valid, a
// *vetchtrail.ConflictError if the expected revision is not the newest one or other
// hosts won every revision that was tried, ErrOutcomeUnknown if the change may take
// effect, and other errors if nothing was written.
func (l *Log) Propose(ctx context.Context, c vetchtrail.Change) (uint64, error) {
	if err := l.readAgain(ctx, l.CatchUp); err != nil {
		return 0, errors.Wrap(err, "changelog.Propose: read the newest configuration")
	}
	for range maxProposeAttempts {
		if revision, ok := l.acceptedRevision(c.ID); ok {
			return revision, nil
		}
		// The revision must follow from the configuration that the change was
		// checked against, since Apply may be called with other changes meanwhile.
		current := l.Rules()
		if err := check(c, current); err != nil {
			return 0, err
		}
		c.Revision = current.Revision() + 1
		accepted, err := l.write(ctx, c)
		if err != nil {
			return 0, err
		}
		if accepted {
			l.snapshotIfDue(ctx)
			return c.Revision, nil
		}
		if err := l.readAgain(ctx, l.readChanges); err != nil {
			return 0, errors.Wrap(err, "changelog.Propose: read the change of another host")
		}
	}
	// Another host won every revision that was tried.
	return 0, &vetchtrail.ConflictError{Expect: c.Revision - 1, Current: l.Revision()}
}

// readAgain reads from the store, and tries again if that fails: an operator's change must not fail for one
// response that is lost or late. It returns the error of the last attempt.
func (l *Log) readAgain(ctx context.Context, read func(context.Context) error) error {
	err := read(ctx)
	for n := 1; err != nil && n < maxReadAttempts && ctx.Err() == nil; n++ {
		l.sleep(ctx)
		err = read(ctx)
	}
	return err
}

// acceptedRevision returns the revision of the change in memory that has the id.
func (l *Log) acceptedRevision(id string) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.recent) - 1; i >= 0; i-- {
		if l.recent[i].ID == id {
			return l.recent[i].Revision, true
		}
	}
	return 0, false
}

// write tries to store a change at its revision. It returns true if the store
// holds the change there, and false if it holds another one. A write without a
// response is repeated: the repetition either succeeds or conflicts with an
// entry that can be read and compared.
func (l *Log) write(ctx context.Context, c vetchtrail.Change) (bool, error) {
	value, err := encode(c)
	if err != nil {
		return false, errors.Wrap(err, "changelog.Propose")
	}
	deadline := time.Now().Add(writeTimeout)
	mayBeWritten := false
	for ctx.Err() == nil && time.Now().Before(deadline) {
		err := l.store.CompareAndSwap(ctx, logKey(c.Revision), value, 0)
		switch {
		case err == nil:
			return true, l.applyStored(value)
		case errors.Is(err, vetchtrail.ErrConflict):
			same, err := l.readBack(ctx, c)
			if err == nil {
				return same, nil
			}
		case errors.Is(err, vetchtrail.ErrStoreRateLimited):
			// The store rejected the write for its rate limit: it had no effect.
		default:
			mayBeWritten = true
		}
		l.sleep(ctx)
	}
	if !mayBeWritten {
		return false, errors.New("changelog.Propose: the store rejected every write")
	}
	return false, ErrOutcomeUnknown
}

// readBack reads and applies the change that the store holds at c's revision.
// It reports whether that is c itself.
func (l *Log) readBack(ctx context.Context, c vetchtrail.Change) (bool, error) {
	e, err := l.store.Get(ctx, logKey(c.Revision))
	if err != nil {
		return false, err
	}
	stored, err := decode(e.Value)
	if err != nil {
		return false, err
	}
	if err := l.Apply([]vetchtrail.Change{stored}); err != nil {
		return false, err
	}
	return stored.ID == c.ID, nil
}

// pointer is the value of the snapshot key: it identifies the newest snapshot
// and how many parts it is stored in.
type pointer struct {
	revision uint64
	parts    int
}

// key returns the store's key for a part of the snapshot.
func (p pointer) key(part int) string { return fmt.Sprintf("%s%012d/%d", partPrefix, p.revision, part) }

func (p pointer) value() []byte { return fmt.Appendf(nil, "%d %d", p.revision, p.parts) }

func (p *pointer) parse(value []byte) error {
	first, second, _ := strings.Cut(string(value), " ")
	revision, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		return errors.Wrap(err, "changelog: revision of the snapshot pointer")
	}
	parts, err := strconv.Atoi(second)
	if err != nil {
		return errors.Wrap(err, "changelog: number of parts of the snapshot pointer")
	}
	p.revision, p.parts = revision, parts
	return nil
}

// snapshotIfDue stores a snapshot at every SnapshotInterval-th revision, so that
// a new host need not read the whole log, and then deletes old changes. A
// failure is only logged: the next snapshot takes this one's place.
func (l *Log) snapshotIfDue(ctx context.Context) {
	r := l.Rules()
	if r.Revision()%SnapshotInterval != 0 {
		return
	}
	if err := l.writeSnapshot(ctx); err != nil {
		l.log.Warn("writing the snapshot failed", "revision", r.Revision(), "error", err)
		return
	}
	l.deleteOldChanges(ctx, r.Revision())
}

// writeSnapshot stores the parts of a snapshot and then the pointer to them, so
// that a reader never follows a pointer to missing parts. A conflict at a part
// means that another host has stored the same part.
func (l *Log) writeSnapshot(ctx context.Context) error {
	r := l.Rules()
	data, err := proto.Marshal(snapshotOf(r))
	if err != nil {
		return err
	}
	old, err := l.store.Get(ctx, snapshotKey)
	if err != nil && !errors.Is(err, vetchtrail.ErrNotFound) {
		return err
	}
	index := old.ModifyIndex
	if err != nil {
		index = 0
	}
	p := pointer{revision: r.Revision(), parts: (len(data) + partBytes - 1) / partBytes}
	for i := range p.parts {
		part := data[i*partBytes : min(len(data), (i+1)*partBytes)]
		if err := l.store.CompareAndSwap(ctx, p.key(i), part, 0); err != nil && !errors.Is(err, vetchtrail.ErrConflict) {
			return err
		}
	}
	return l.store.CompareAndSwap(ctx, snapshotKey, p.value(), index)
}

// deleteOldChanges keeps the changes of the last two snapshot intervals for
// hosts that lag behind and deletes those of the interval before. It gives up
// at the first error, and the remaining changes then stay in the store.
func (l *Log) deleteOldChanges(ctx context.Context, revision uint64) {
	const intervals = 3 * SnapshotInterval
	if revision < intervals {
		return
	}
	for n := revision - intervals + 1; n <= revision-intervals+SnapshotInterval; n++ {
		if err := l.store.Delete(ctx, logKey(n)); err != nil {
			return
		}
	}
}
