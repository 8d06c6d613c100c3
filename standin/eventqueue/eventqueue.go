// Package eventqueue is the event queue of discrete-event simulations. It has no clock
// and no goroutine: a simulation takes the next event, sets its own virtual clock to the
// event's time and runs the event.
package eventqueue

import (
	"container/heap"
	"time"
)

// EventQueue holds the scheduled events, ordered by time. It is not safe for
// concurrent use.
type EventQueue struct {
	queue        queue
	lastSequence int // of the newest event
}

// event is a function to call at a virtual time.
type event struct {
	at       time.Time
	sequence int // position in the order of scheduling, which orders events of the same time
	do       func()
}

// Schedule schedules do for a virtual time. Events of the same time run in the order
// in which they were scheduled.
func (q *EventQueue) Schedule(at time.Time, do func()) {
	q.lastSequence++
	heap.Push(&q.queue, event{at: at, sequence: q.lastSequence, do: do})
}

// Next removes the earliest event and returns it with its time. ok is false if
// there is no event, or if the earliest one is after until: it stays queued.
func (q *EventQueue) Next(until time.Time) (at time.Time, do func(), ok bool) {
	if len(q.queue) == 0 || q.queue[0].at.After(until) {
		return time.Time{}, nil, false
	}
	e := heap.Pop(&q.queue).(event)
	return e.at, e.do, true
}

// queue implements heap.Interface with the earliest event first.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
