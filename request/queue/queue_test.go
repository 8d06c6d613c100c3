package queue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

var now = time.Now()

// stoppedQueue returns a queue that never receives a signal of freed capacity and whose
// run loop doesn't run, so that only the test changes it.
func stoppedQueue() *Queue {
	never := make(chan struct{})
	q := New(func() <-chan struct{} { return never })
	q.running = true
	return q
}

func request(workspace string, priority int8, within time.Duration) *vetchtrail.Request {
	return &vetchtrail.Request{Workspace: workspace, Priority: priority, Deadline: now.Add(within)}
}

// serveFirst removes the first request as if there was capacity for it, and returns its
// name.
func serveFirst(q *Queue, names map[*Waiter]string) string {
	w := q.waiting[0]
	q.Leave(w, true, now)
	return names[w]
}

// TestOrder checks the order in which requests are served: by priority, then by fair
// shares between workspaces, then by deadline, then by arrival.
func TestOrder(t *testing.T) {
	type join struct {
		workspace string
		priority  int8
		within    time.Duration
	}
	cases := map[string]struct {
		joins []join
		want  []string
	}{
		"by arrival":                          {[]join{{"a", 0, 9e9}, {"b", 0, 9e9}, {"c", 0, 9e9}}, []string{"a0", "b1", "c2"}},
		"higher priority first":               {[]join{{"a", 0, 9e9}, {"b", 1, 9e9}}, []string{"b1", "a0"}},
		"workspace with fewer requests first": {[]join{{"a", 0, 8e9}, {"a", 0, 8e9}, {"a", 0, 8e9}, {"b", 0, 9e9}}, []string{"a0", "b3", "a1", "a2"}},
		"earlier deadline first":              {[]join{{"a", 0, 9e9}, {"b", 0, 5e9}}, []string{"b1", "a0"}},
		"priority before fair shares":         {[]join{{"a", 1, 9e9}, {"a", 1, 9e9}, {"b", 0, 9e9}}, []string{"a0", "a1", "b2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			q, names := stoppedQueue(), map[*Waiter]string{}
			for i, j := range c.joins {
				result := q.Join(request(j.workspace, j.priority, j.within), 10, now)
				assert.Assert(t, result.Waiter != nil, result.Reason)
				names[result.Waiter] = fmt.Sprint(j.workspace, i)
			}
			var got []string
			for range c.joins {
				got = append(got, serveFirst(q, names))
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestRefusals checks that Join refuses a request at once when it can't be served in time
// or the queue is full. Otherwise its caller would wait until the deadline for nothing. If
// the request has a higher priority, or its workspace has used less of its share, it
// displaces the last request of the full queue instead.
func TestRefusals(t *testing.T) {
	q := stoppedQueue()
	first := q.Join(request("a", 0, time.Second), 2, now)
	assert.Assert(t, first.Waiter != nil)
	assert.Equal(t, q.Join(request("b", 0, time.Millisecond), 2, now).Reason, vetchtrail.ReasonDeadline)
	last := q.Join(request("a", 0, time.Second), 2, now)
	assert.Assert(t, last.Waiter != nil)
	assert.Equal(t, q.Join(request("a", 0, time.Second), 2, now).Reason, vetchtrail.ReasonQueueFull)
	// Workspace b has used less of its share than a. The request of c has a higher priority.
	assert.Assert(t, q.Join(request("b", 0, time.Second), 2, now).Waiter != nil)
	assert.Assert(t, isClosed(last.Waiter.Dropped()), "the displaced request is not dropped")
	assert.Assert(t, q.Join(request("c", 5, time.Second), 2, now).Waiter != nil)
	assert.Equal(t, q.Len(), 2)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestDropsLateRequests checks that requests which can no longer be served in time are
// dropped before their deadline, so that they can still be forwarded. This happens when
// the interval between served requests grows after they joined.
func TestDropsLateRequests(t *testing.T) {
	q := stoppedQueue()
	var waiters []*Waiter
	for i := range 10 {
		result := q.Join(request(fmt.Sprint(i), 0, time.Second), 20, now)
		assert.Assert(t, result.Waiter != nil)
		waiters = append(waiters, result.Waiter)
	}
	q.interval = 300 * time.Millisecond
	assert.Assert(t, q.update(now))
	dropped := 0
	for _, w := range waiters {
		if isClosed(w.Dropped()) {
			dropped++
		}
	}
	assert.Equal(t, dropped, 6) // those to be served after 0, 0.3, 0.6 and 0.9 s remain
	assert.Assert(t, !q.update(now.Add(time.Minute)), "the queue is not empty")
}

// TestReady checks that the first request is signalled, and the next one as soon as the
// first is served. A lost signal would leave requests waiting although there is capacity.
func TestReady(t *testing.T) {
	freed := make(chan struct{})
	q := New(func() <-chan struct{} { return freed })
	a := q.Join(request("a", 0, time.Minute), 2, now).Waiter
	b := q.Join(request("b", 0, 2*time.Minute), 2, now).Waiter
	<-a.Ready()
	q.Leave(a, true, now)
	<-b.Ready()
	q.Leave(b, true, now)
	assert.Equal(t, q.Len(), 0)
}

// TestEmptyQueueAccepts checks that a request joins an empty queue however long the last
// interval between served requests was; the next request is refused at once if it can't
// be served in time. The interval is only updated while requests are served, so a long
// one would otherwise keep the queue empty for good.
func TestEmptyQueueAccepts(t *testing.T) {
	q := stoppedQueue()
	q.interval = time.Hour
	assert.Equal(t, q.EstimatedWait(), time.Duration(0))
	assert.Assert(t, q.Join(request("a", 0, time.Second), 10, now).Waiter != nil)
	result := q.Join(request("b", 0, time.Second), 10, now)
	assert.Assert(t, result.Waiter == nil)
	assert.Equal(t, result.Reason, vetchtrail.ReasonDeadline)
}
