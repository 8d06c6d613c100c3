// Package queue holds the requests of one host that wait for capacity at the endpoints of
// a service. Each service has a bounded queue. It is ordered by priority, then by fair
// shares between workspaces (start-time fair queueing), then by deadline, then by
// arrival. The package has no access to the endpoints: it signals to the first request
// that there may be capacity, and the caller then decides whether the request can run and
// removes it from the queue.
package queue

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"vetchtrail"
)

const (
	// pollInterval is how long the queue waits for a signal of freed capacity before it
	// checks its requests anyway. New load reports can show capacity without such a signal.
	pollInterval = 50 * time.Millisecond
	// intervalSmoothing is the weight of a new interval between two served requests in
	// the moving average.
	intervalSmoothing = 0.2
	// initialInterval is the estimated interval before any request was served.
	initialInterval = 20 * time.Millisecond
)

// Queue is the queue of one service. It is safe for concurrent use.
type Queue struct {
	freed func() <-chan struct{} // see New

	mu          sync.Mutex
	waiting     []*Waiter          // in the order in which they are served
	joined      uint64             // number of calls of Join
	running     bool               // whether run was started and has not returned
	virtualTime float64            // greatest start tag of a served request
	finishTags  map[string]float64 // finish tag of the last request of each workspace
	interval    time.Duration      // moving average of the time between two served requests
	lastServed  time.Time          // when a request was last served, or when run started
}

// Waiter is one request in the queue.
type Waiter struct {
	priority int8
	startTag float64       // of start-time fair queueing: lower tags are served first
	deadline time.Time     // until when it may wait, see vetchtrail.Request.QueueDeadline
	sequence uint64        // order of arrival
	ready    chan struct{} // see Ready
	dropped  chan struct{} // see Dropped
}

// New returns an empty queue. freed returns a channel that is closed when an endpoint may
// have capacity again.
func New(freed func() <-chan struct{}) *Queue {
	return &Queue{freed: freed, finishTags: map[string]float64{}, interval: initialInterval}
}

// JoinResult is the result of Join.
type JoinResult struct {
	Waiter *Waiter           // nil if the request was refused
	Reason vetchtrail.Reason // why it was refused
	Wait   time.Duration     // estimated wait until the request is served
}

// Join adds a request to the queue, which holds at most limit requests. It refuses the
// request at once if the request would probably not be served by its queue deadline, or
// if the queue is full and the request may not displace the last one (displace).
func (q *Queue) Join(r *vetchtrail.Request, limit int, now time.Time) JoinResult {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.joined++
	w := &Waiter{
		priority: r.Priority, deadline: r.QueueDeadline(), sequence: q.joined,
		startTag: max(q.virtualTime, q.finishTags[r.Workspace]),
		ready:    make(chan struct{}, 1), dropped: make(chan struct{}),
	}
	index, _ := slices.BinarySearchFunc(q.waiting, w, compare)
	wait := time.Duration(index+1) * q.interval
	// An empty queue never refuses a request because of the interval. The interval may be
	// from an earlier overload, and it is only updated when requests are served from the
	// queue. If it caused all requests to be refused, it would never shrink again.
	if len(q.waiting) > 0 && now.Add(wait).After(w.deadline) {
		return JoinResult{Reason: vetchtrail.ReasonDeadline, Wait: wait}
	}
	if len(q.waiting) >= limit && !q.displace(w, now) {
		return JoinResult{Reason: vetchtrail.ReasonQueueFull, Wait: wait}
	}
	index, _ = slices.BinarySearchFunc(q.waiting, w, compare)
	q.waiting = slices.Insert(q.waiting, index, w)
	q.finishTags[r.Workspace] = w.startTag + 1
	if !q.running {
		q.running = true
		q.lastServed = now
		go q.run()
	}
	return JoinResult{Waiter: w, Wait: wait}
}

// displace drops the last request of a full queue to make room for the new one, and returns
// true. It does so only if the new one has a higher priority or if, at the same priority, its
// workspace has used less of its share. An earlier deadline alone is not enough.
func (q *Queue) displace(w *Waiter, _ time.Time) bool {
	if len(q.waiting) == 0 {
		return false
	}
	last := q.waiting[len(q.waiting)-1]
	if compare(w, last) >= 0 || (w.priority == last.priority && w.startTag == last.startTag) {
		return false
	}
	q.waiting = q.waiting[:len(q.waiting)-1]
	close(last.dropped)
	return true
}

// compare orders requests for the queue. It is negative if a is served before b.
func compare(a, b *Waiter) int {
	switch {
	case a.priority != b.priority:
		return int(b.priority) - int(a.priority)
	case a.startTag < b.startTag:
		return -1
	case a.startTag > b.startTag:
		return 1
	}
	return cmp.Or(a.deadline.Compare(b.deadline), cmp.Compare(a.sequence, b.sequence))
}

// Ready returns a channel that receives a value when the request is first in the queue and
// there may be capacity. The channel holds at most one value.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Dropped returns a channel that is closed when the queue drops the request: because it
// can't be served in time, or because another request displaced it.
func (w *Waiter) Dropped() <-chan struct{} { return w.dropped }

// Leave removes a request from the queue, if it is still there. served is true if there
// was capacity for the request; the next request is then signalled.
func (q *Queue) Leave(w *Waiter, served bool, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	if !served {
		return
	}
	q.virtualTime = max(q.virtualTime, w.startTag)
	q.interval += time.Duration(intervalSmoothing * float64(now.Sub(q.lastServed)-q.interval))
	q.lastServed = now
	q.signalFirst()
}

// Len returns the number of requests in the queue.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// EstimatedWait estimates how long it takes to serve all requests that are in the queue
// now. A new request at the end of the queue would wait that long.
func (q *Queue) EstimatedWait() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(len(q.waiting)) * q.interval
}

// signalFirst signals to the first request that there may be capacity. The caller holds
// the lock.
func (q *Queue) signalFirst() {
	if len(q.waiting) == 0 {
		return
	}
	select {
	case q.waiting[0].ready <- struct{}{}:
	default:
	}
}

// run updates the queue whenever capacity is freed, and at each pollInterval. It returns
// when the queue is empty; Join starts it again.
func (q *Queue) run() {
	for {
		freed := q.freed()
		if !q.update(time.Now()) {
			return
		}
		select {
		case <-freed:
		case <-time.After(pollInterval):
		}
	}
}

// update drops the requests that can't be served in time and signals the first of the
// others. It returns false if none is left.
func (q *Queue) update(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	remaining := q.waiting[:0]
	for _, w := range q.waiting {
		if now.Add(time.Duration(len(remaining)) * q.interval).After(w.deadline) {
			close(w.dropped)
			continue
		}
		remaining = append(remaining, w)
	}
	clear(q.waiting[len(remaining):])
	q.waiting = remaining
	if len(remaining) == 0 {
		q.running = false
		clear(q.finishTags)
		q.virtualTime = 0
		return false
	}
	q.signalFirst()
	return true
}
