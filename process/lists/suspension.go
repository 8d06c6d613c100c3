package lists

import (
	"context"
	"sync"
	"time"
)

const (
	// suspendedAfter is how late a pause of Run may end until the process counts as having been
	// stopped. On a busy machine pauses end late by some ten milliseconds.
	suspendedAfter = time.Second
	// maxResumeWait bounds how long a request waits for the first fetch after a stop, which takes a
	// round trip within the region.
	maxResumeWait = 300 * time.Millisecond
)

// rounds tracks the rounds of Run: each is a pause, and a fetch unless this host polls the platform.
type rounds struct {
	mu       sync.Mutex
	pauseEnd time.Time     // when the current pause is to end; zero: no pause
	resuming bool          // the pause of the current round ended late
	ended    chan struct{} // closed when the current round ends; nil: there is none
}

// begin records the start of a round, with a pause that is to end at a time.
func (r *rounds) begin(pauseEnd time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended != nil {
		close(r.ended)
	}
	r.pauseEnd, r.resuming, r.ended = pauseEnd, false, make(chan struct{})
}

// pauseEnded records the end of the round's pause, and returns by how much it was late.
func (r *rounds) pauseEnded(now time.Time) (late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	late = now.Sub(r.pauseEnd)
	r.pauseEnd, r.resuming = time.Time{}, late > suspendedAfter
	return late
}

// resumed returns a channel that is closed when the current round ends if the process was stopped
// and no round has ended since; nil if not.
func (r *rounds) resumed(now time.Time) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.resuming || !r.pauseEnd.IsZero() && now.Sub(r.pauseEnd) > suspendedAfter {
		return r.ended
	}
	return nil
}

// pause waits for an interval between two fetches.
func (l *Lists) pause(ctx context.Context, interval time.Duration) {
	l.rounds.begin(time.Now().Add(interval))
	wait(ctx, interval)
	if late := l.rounds.pauseEnded(time.Now()); late > suspendedAfter {
		l.cfg.Log.Warn("process was stopped, the listing is outdated", "stopped", late, "age", time.Since(l.current.Load().ReadAt))
	}
}

// AwaitResumed is called before a request is sent. If the process was stopped for so long that its
// listing is outdated, AwaitResumed waits until the listing has been fetched again, at most
// maxResumeWait. Until then the listing has endpoints that left meanwhile.
func (l *Lists) AwaitResumed(ctx context.Context) {
	current, now := l.current.Load(), time.Now()
	if current == nil || now.Sub(current.ReadAt) <= l.cfg.KnownWithin {
		return
	}
	ended := l.rounds.resumed(now)
	if ended == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxResumeWait)
	defer cancel()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}
