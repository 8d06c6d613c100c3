// Package queue holds the requests that wait on a host for room at a service's
// endpoints: a short bounded line ordered by priority, then by fair shares
// between workspaces, then by deadline, then by arrival.
package queue

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"vetchtrail"
)

const (
	// lookEvery is how often waiting requests are looked at when no room is
	// made: reports may have changed what is known.
	lookEvery = 50 * time.Millisecond
	// smoothing is the weight of a new interval between turns in their mean.
	smoothing = 0.2
	// firstInterval stands until turns were seen.
	firstInterval = 20 * time.Millisecond
)

// Line is the line of one service.
type Line struct {
	freed func() <-chan struct{}

	mu       sync.Mutex
	waiting  []*Waiter // first goes next
	joined   uint64
	pumping  bool
	clock    float64            // start tag of the last one served
	finish   map[string]float64 // finish tag of the last request, by workspace
	interval time.Duration      // mean time between turns
	lastTurn time.Time
}

// Waiter is one request in the line.
type Waiter struct {
	priority int8
	start    float64 // fair-queueing start tag
	deadline time.Time
	number   uint64 // of its joining
	turn     chan struct{}
	late     chan struct{}
}

// New returns an empty line. freed returns a channel that is closed when there
// may be room.
func New(freed func() <-chan struct{}) *Line {
	return &Line{freed: freed, finish: map[string]float64{}, interval: firstInterval}
}

// Verdict is the end of Join.
type Verdict struct {
	Waiter *Waiter
	Reason vetchtrail.Reason // without a Waiter: why not
	Wait   time.Duration     // estimated until its turn
}

// Join puts a request into the line, unless it is full or the request's turn
// would come after its deadline: then it is told at once.
func (l *Line) Join(r *vetchtrail.Request, limit int, now time.Time) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.joined++
	w := &Waiter{
		priority: r.Priority, deadline: r.WaitUntil(), number: l.joined,
		start: max(l.clock, l.finish[r.Workspace]),
		turn:  make(chan struct{}, 1), late: make(chan struct{}),
	}
	at, _ := slices.BinarySearchFunc(l.waiting, w, compare)
	wait := time.Duration(at+1) * l.interval
	// The first in the line always waits: how long turns took in an earlier crowd says
	// nothing of it, and would be believed for as long as nobody may wait.
	if len(l.waiting) > 0 && now.Add(wait).After(w.deadline) {
		return Verdict{Reason: vetchtrail.ReasonDeadline, Wait: wait}
	}
	if len(l.waiting) >= limit && !l.displace(w, now) {
		return Verdict{Reason: vetchtrail.ReasonQueueFull, Wait: wait}
	}
	at, _ = slices.BinarySearchFunc(l.waiting, w, compare)
	l.waiting = slices.Insert(l.waiting, at, w)
	l.finish[r.Workspace] = w.start + 1
	if !l.pumping {
		l.pumping = true
		l.lastTurn = now
		go l.pump()
	}
	return Verdict{Waiter: w, Wait: wait}
}

// displace gives up the last waiter for one that goes before it, if it has a
// lower priority or a larger share.
func (l *Line) displace(w *Waiter, _ time.Time) bool {
	if len(l.waiting) == 0 {
		return false
	}
	last := l.waiting[len(l.waiting)-1]
	if compare(w, last) >= 0 || (w.priority == last.priority && w.start == last.start) {
		return false
	}
	l.waiting = l.waiting[:len(l.waiting)-1]
	close(last.late)
	return true
}

func compare(a, b *Waiter) int {
	switch {
	case a.priority != b.priority:
		return int(b.priority) - int(a.priority)
	case a.start < b.start:
		return -1
	case a.start > b.start:
		return 1
	}
	return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.number, b.number))
}

// Turn receives when the request is first and there may be room.
func (w *Waiter) Turn() <-chan struct{} { return w.turn }

// Late is closed when the request is given up: its turn can't come in time.
func (w *Waiter) Late() <-chan struct{} { return w.late }

// Leave takes a waiter out; served: it got room.
func (l *Line) Leave(w *Waiter, served bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.waiting, w); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
	if !served {
		return
	}
	l.clock = max(l.clock, w.start)
	l.interval += time.Duration(smoothing * float64(now.Sub(l.lastTurn)-l.interval))
	l.lastTurn = now
	l.signal()
}

// Len returns how many wait.
func (l *Line) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting)
}

// Wait estimates how long one more would wait for those before it.
func (l *Line) Wait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(len(l.waiting)) * l.interval
}

// signal tells the first that there may be room. The caller holds the lock.
func (l *Line) signal() {
	if len(l.waiting) == 0 {
		return
	}
	select {
	case l.waiting[0].turn <- struct{}{}:
	default:
	}
}

// pump runs while there are waiters.
func (l *Line) pump() {
	for {
		freed := l.freed()
		if !l.look(time.Now()) {
			return
		}
		select {
		case <-freed:
		case <-time.After(lookEvery):
		}
	}
}

// look gives up those whose turn can't come in time and signals the first. It
// returns false when nobody waits.
func (l *Line) look(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.waiting[:0]
	for _, w := range l.waiting {
		if now.Add(time.Duration(len(kept)) * l.interval).After(w.deadline) {
			close(w.late)
			continue
		}
		kept = append(kept, w)
	}
	clear(l.waiting[len(kept):])
	l.waiting = kept
	if len(kept) == 0 {
		l.pumping = false
		clear(l.finish)
		l.clock = 0
		return false
	}
	l.signal()
	return true
}
