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

// ErrUnsettled says that the store was lost while a change was written: it may
// take effect. Proposing it again with the same id settles it.
var ErrUnsettled = errors.New("the store was lost during the write: the change may take effect")

// Check says what a change would do now, without writing it.
func (l *Log) Check(c vetchtrail.Change) error { return check(c, l.Rules()) }

func check(c vetchtrail.Change, now *rules.Rules) error {
	if c.Expect != 0 && c.Expect != now.Revision() {
		return &vetchtrail.ConflictError{Expect: c.Expect, Now: now.Revision()}
	}
	_, err := now.Apply(c)
	return err
}

// Propose writes a change to the log. The order of the log decides between
// racing writers; the loser is checked again against what stands. The errors
// are *vetchtrail.ChangeError, *vetchtrail.ConflictError, ErrUnsettled, and
// others where nothing was written.
func (l *Log) Propose(ctx context.Context, c vetchtrail.Change) (uint64, error) {
	if err := l.CatchUp(ctx); err != nil {
		return 0, errors.Wrap(err, "changelog.Propose: read what stands")
	}
	for range writeTries {
		if done, ok := l.find(c.ID); ok {
			return done, nil
		}
		// The place is that after the rules it was checked against: the log may
		// grow in between.
		now := l.Rules()
		if err := check(c, now); err != nil {
			return 0, err
		}
		c.Revision = now.Revision() + 1
		settled, err := l.write(ctx, c)
		if err != nil {
			return 0, err
		}
		if settled {
			l.snapshot(ctx)
			return c.Revision, nil
		}
		if err := l.readOn(ctx); err != nil {
			return 0, errors.Wrap(err, "changelog.Propose: read after a lost race")
		}
	}
	return 0, &vetchtrail.ConflictError{Expect: c.Revision - 1, Now: l.Revision()} // lost every race
}

// find returns the revision of an accepted change by its id.
func (l *Log) find(id string) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.recent) - 1; i >= 0; i-- {
		if l.recent[i].ID == id {
			return l.recent[i].Revision, true
		}
	}
	return 0, false
}

// write tries one place of the log. It returns true when the change stands
// there, false when another does. A lost answer is settled by writing again:
// either it stands now, or the place is taken and can be read.
func (l *Log) write(ctx context.Context, c vetchtrail.Change) (bool, error) {
	value, err := encode(c)
	if err != nil {
		return false, errors.Wrap(err, "changelog.Propose")
	}
	deadline := time.Now().Add(settleTime)
	sent := false
	for ctx.Err() == nil && time.Now().Before(deadline) {
		err := l.store.CompareAndSwap(ctx, keyOf(c.Revision), value, 0)
		switch {
		case err == nil:
			return true, l.take(value)
		case errors.Is(err, vetchtrail.ErrConflict):
			mine, err := l.readBack(ctx, c)
			if err == nil {
				return mine, nil
			}
		case errors.Is(err, vetchtrail.ErrLimited):
			// Refused by the store: this write did nothing.
		default:
			sent = true
		}
		l.wait(ctx)
	}
	if !sent {
		return false, errors.New("changelog.Propose: the store refused every write")
	}
	return false, ErrUnsettled
}

// readBack reads who holds a place of the log.
func (l *Log) readBack(ctx context.Context, c vetchtrail.Change) (bool, error) {
	e, err := l.store.Get(ctx, keyOf(c.Revision))
	if err != nil {
		return false, err
	}
	stands, err := decode(e.Value)
	if err != nil {
		return false, err
	}
	if err := l.Learn([]vetchtrail.Change{stands}); err != nil {
		return false, err
	}
	return stands.ID == c.ID, nil
}

// pointer is the value of the snapshot key: where the newest snapshot is.
type pointer struct {
	revision uint64
	parts    int
}

func (p pointer) key(part int) string { return fmt.Sprintf("%s%012d/%d", partPrefix, p.revision, part) }

func (p pointer) value() []byte { return fmt.Appendf(nil, "%d %d", p.revision, p.parts) }

func (p *pointer) parse(value []byte) error {
	first, second, _ := strings.Cut(string(value), " ")
	revision, err := strconv.ParseUint(first, 10, 64)
	if err != nil {
		return errors.Wrap(err, "changelog: snapshot pointer")
	}
	parts, err := strconv.Atoi(second)
	if err != nil {
		return errors.Wrap(err, "changelog: snapshot pointer")
	}
	p.revision, p.parts = revision, parts
	return nil
}

// snapshot writes the configuration whole now and then, so that a new host
// reads little, and cuts the log two snapshots back. It is only a saving: when
// it fails, the next one will do.
func (l *Log) snapshot(ctx context.Context) {
	r := l.Rules()
	if r.Revision()%SnapshotEvery != 0 {
		return
	}
	if err := l.writeSnapshot(ctx); err != nil {
		l.log.Warn("snapshot not written", "revision", r.Revision(), "error", err)
		return
	}
	l.cut(ctx, r.Revision())
}

func (l *Log) writeSnapshot(ctx context.Context) error {
	r := l.Rules()
	whole, err := proto.Marshal(snapshotOf(r))
	if err != nil {
		return err
	}
	old, err := l.store.Get(ctx, snapshotKey)
	if err != nil && !errors.Is(err, vetchtrail.ErrNotFound) {
		return err
	}
	index := old.Index
	if err != nil {
		index = 0
	}
	p := pointer{revision: r.Revision(), parts: (len(whole) + partSize - 1) / partSize}
	for i := range p.parts {
		part := whole[i*partSize : min(len(whole), (i+1)*partSize)]
		if err := l.store.CompareAndSwap(ctx, p.key(i), part, 0); err != nil && !errors.Is(err, vetchtrail.ErrConflict) {
			return err
		}
	}
	return l.store.CompareAndSwap(ctx, snapshotKey, p.value(), index)
}

// cut deletes the changes of one snapshot's length, three snapshots back.
func (l *Log) cut(ctx context.Context, revision uint64) {
	const back = 3 * SnapshotEvery
	if revision < back {
		return
	}
	for n := revision - back + 1; n <= revision-back+SnapshotEvery; n++ {
		if err := l.store.Delete(ctx, keyOf(n)); err != nil {
			return
		}
	}
}
