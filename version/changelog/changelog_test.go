package changelog

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"vetchtrail"
	_ "vetchtrail/standin/seeded"
)

// fakeStore is an in-memory key-value service. Tests set how many of the next
// calls fail.
type fakeStore struct {
	mu            sync.Mutex
	entries       map[string]vetchtrail.StoreEntry
	index         uint64
	lostResponses int // how many of the next writes take effect but return an error
	failures      int // how many of the next calls fail without effect
	writes        int // calls of CompareAndSwap that did not fail without effect
}

// fails reports whether the current call is to fail without effect. The caller
// holds the lock.
func (s *fakeStore) fails() bool {
	if s.failures > 0 {
		s.failures--
		return true
	}
	return false
}

func (s *fakeStore) Get(_ context.Context, key string) (vetchtrail.StoreEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fails() {
		return vetchtrail.StoreEntry{}, errors.New("outage")
	}
	e, ok := s.entries[key]
	if !ok {
		return vetchtrail.StoreEntry{}, vetchtrail.ErrNotFound
	}
	return e, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, index uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fails() {
		return errors.New("outage")
	}
	s.writes++
	if s.entries[key].ModifyIndex != index {
		return vetchtrail.ErrConflict
	}
	s.index++
	s.entries[key] = vetchtrail.StoreEntry{Key: key, Value: value, ModifyIndex: s.index}
	if s.lostResponses > 0 {
		s.lostResponses--
		return errors.New("response lost")
	}
	return nil
}

func (s *fakeStore) Wait(ctx context.Context, key string, _ uint64, _ time.Time) (vetchtrail.StoreEntry, error) {
	return s.Get(ctx, key)
}

func (s *fakeStore) Delete(_ context.Context, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, key)
	return nil
}

func newLog(s vetchtrail.Store) *Log {
	return New(Config{Store: s, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), RetryInterval: time.Microsecond})
}

// change returns a change that adds a workspace called after its id.
func change(id string, expect uint64) vetchtrail.Change {
	return vetchtrail.Change{ID: id, Author: "a", Expect: expect, Edits: []vetchtrail.Edit{
		vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: id}},
	}}
}

// TestLogConsistency checks that hosts never disagree on the log while the
// store fails calls and loses the responses to writes: an accepted change is only
// ever found at the revision that Propose returned, a conflicting one nowhere,
// and no host returns to an older revision.
func TestLogConsistency(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(rt *rapid.T) {
		store := &fakeStore{entries: map[string]vetchtrail.StoreEntry{}}
		hosts := []*Log{newLog(store), newLog(store), newLog(store)}
		accepted, rejected := map[string]uint64{}, map[string]bool{}
		n := 0
		host := func() int { return rapid.IntRange(0, 2).Draw(rt, "host") }
		rt.Repeat(map[string]func(*rapid.T){
			"propose": func(rt *rapid.T) {
				n++
				l := hosts[host()]
				expect := uint64(0)
				if rapid.Bool().Draw(rt, "expects") {
					expect = l.Revision()
				}
				c := change(fmt.Sprintf("c%d", n), expect)
				revision, err := l.Propose(ctx, c)
				var conflict *vetchtrail.ConflictError
				switch {
				case err == nil:
					accepted[c.ID] = revision
				case errors.As(err, &conflict):
					rejected[c.ID] = true
				}
			},
			"again": func(rt *rapid.T) { // repeats an accepted change, at any host
				for id, revision := range accepted {
					l := hosts[host()]
					if got, err := l.Propose(ctx, change(id, 0)); err == nil {
						assert.Equal(rt, got, revision)
					}
					break
				}
			},
			"lose":   func(rt *rapid.T) { store.lostResponses = rapid.IntRange(1, 2).Draw(rt, "lost") },
			"outage": func(rt *rapid.T) { store.failures = rapid.IntRange(1, 3).Draw(rt, "failed") },
			"learn": func(rt *rapid.T) {
				from, to := hosts[host()], hosts[host()]
				before := to.Revision()
				changes, snapshot := from.Since(to.Revision())
				assert.NilError(rt, to.ApplySnapshot(snapshot))
				assert.NilError(rt, to.Apply(changes))
				assert.Assert(rt, to.Revision() >= before)
			},
			"replace": func(*rapid.T) { hosts[host()] = newLog(store) },
			"": func(rt *rapid.T) {
				for i, l := range hosts {
					for _, c := range l.Recent(0, 0) {
						revision, ok := accepted[c.ID]
						assert.Assert(rt, !ok || revision == c.Revision, "host %d: change %s is at revision %d instead of %d", i, c.ID, c.Revision, revision)
						assert.Assert(rt, !rejected[c.ID], "change %s was rejected but is in the log", c.ID)
					}
				}
			},
		})
		store.failures, store.lostResponses = 0, 0
		l := newLog(store)
		assert.NilError(rt, l.CatchUp(ctx))
		for id, revision := range accepted {
			got, ok := l.acceptedRevision(id)
			assert.Assert(rt, !ok || got == revision, "change %s is at revision %d instead of %d", id, got, revision)
			assert.Assert(rt, l.Revision() >= revision)
		}
	})
}

// TestSnapshot checks that a new host gets the whole configuration although the
// oldest changes were deleted: from the store's snapshot and the changes after
// it, and from the snapshot that a peer serves.
func TestSnapshot(t *testing.T) {
	ctx := context.Background()
	store := &fakeStore{entries: map[string]vetchtrail.StoreEntry{}}
	l := newLog(store)
	const changes = 5*SnapshotInterval + 3
	for n := range changes {
		_, err := l.Propose(ctx, change(fmt.Sprint(n), 0))
		assert.NilError(t, err)
	}
	_, err := store.Get(ctx, logKey(1))
	assert.Assert(t, errors.Is(err, vetchtrail.ErrNotFound), "the oldest change was not deleted")
	fromStore := newLog(store)
	assert.NilError(t, fromStore.CatchUp(ctx))
	assert.Equal(t, fromStore.Revision(), uint64(changes))
	assert.Equal(t, len(fromStore.Rules().Workspaces()), changes)
	// The peer has no changes before its snapshot, so it serves a snapshot to a
	// host at revision 1.
	_, snapshot := fromStore.Since(1)
	assert.Assert(t, snapshot != nil)
	fromPeer := newLog(store)
	assert.NilError(t, fromPeer.ApplySnapshot(snapshot))
	assert.Equal(t, fromPeer.Revision(), uint64(changes))
}

// BenchmarkPropose measures one change, with its share of the snapshots, for
// several numbers of workspaces. It also reports the store's writes per change.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{1000, 10000, 38000} {
		b.Run(fmt.Sprintf("workspaces=%d", size), func(b *testing.B) {
			ctx := context.Background()
			store := &fakeStore{entries: map[string]vetchtrail.StoreEntry{}}
			l := newLog(store)
			var edits []vetchtrail.Edit
			for n := range size {
				edits = append(edits, vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: fmt.Sprintf("workspace-%06d", n)}})
			}
			_, err := l.Propose(ctx, vetchtrail.Change{ID: "all", Author: "a", Edits: edits})
			assert.NilError(b, err)
			before := store.writes
			n := 0
			for b.Loop() {
				n++
				_, err := l.Propose(ctx, change(fmt.Sprint(n), 0))
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(store.writes-before)/float64(n), "writes/op")
		})
	}
}

// TestExpectedRevision checks that a change with an expected revision is only
// accepted as the next one after it. Propose would break this if it checked the
// change against one configuration and then wrote it after a newer one, which
// the host received from a peer in between.
func TestExpectedRevision(t *testing.T) {
	const rounds = 3000
	s := &fakeStore{entries: map[string]vetchtrail.StoreEntry{}}
	local, remote := newLog(s), newLog(s)
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { // another host proposes changes, and this one applies them at any moment
		for n := 0; ctx.Err() == nil; n++ {
			c := vetchtrail.Change{ID: fmt.Sprintf("other-%d", n), Edits: []vetchtrail.Edit{
				vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "w"}},
			}}
			var conflict *vetchtrail.ConflictError // another host won every revision that it tried
			if _, err := remote.Propose(ctx, c); err != nil && ctx.Err() == nil && !errors.As(err, &conflict) {
				t.Error(err)
				return
			}
			if err := local.Apply(remote.Recent(local.Revision()+1, 0)); err != nil {
				t.Error(err)
				return
			}
		}
	})
	accepted := 0
	for n := range rounds {
		expect := local.Revision()
		c := vetchtrail.Change{ID: fmt.Sprintf("ours-%d", n), Expect: expect, Edits: []vetchtrail.Edit{
			vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: "v"}},
		}}
		revision, err := local.Propose(ctx, c)
		if err != nil {
			var conflict *vetchtrail.ConflictError
			assert.Assert(t, errors.As(err, &conflict), "%v", err)
			continue
		}
		accepted++
		if expect > 0 {
			assert.Equal(t, revision, expect+1)
		}
	}
	cancel()
	all.Wait()
	assert.Assert(t, accepted > 0)
}

// TestProposeReadsAgain guards against an operator's change that fails because one response of the store is lost.
func TestProposeReadsAgain(t *testing.T) {
	cases := map[string]struct {
		failures int // of the store's calls in a row
		accepted bool
	}{
		"one call fails":    {1, true},
		"two calls fail":    {2, true},
		"the store is down": {maxReadAttempts, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{entries: map[string]vetchtrail.StoreEntry{}, failures: c.failures}
			_, err := newLog(store).Propose(context.Background(), change("c", 0))
			assert.Equal(t, err == nil, c.accepted, "%v", err)
			assert.Equal(t, store.writes > 0, c.accepted)
		})
	}
}
