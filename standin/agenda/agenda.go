// Package agenda keeps what is due when, for plays on virtual time.
package agenda

import (
	"container/heap"
	"time"
)

// Agenda is what is due. It is not safe for use by many.
type Agenda struct {
	queue queue
	put   int
}

type entry struct {
	at     time.Time
	number int
	do     func()
}

// Put has something done at a moment, after what was put for the same moment before.
func (a *Agenda) Put(at time.Time, do func()) {
	a.put++
	heap.Push(&a.queue, entry{at: at, number: a.put, do: do})
}

// Take returns what is due next and when, unless that is after a moment.
func (a *Agenda) Take(until time.Time) (at time.Time, do func(), ok bool) {
	if len(a.queue) == 0 || a.queue[0].at.After(until) {
		return time.Time{}, nil, false
	}
	e := heap.Pop(&a.queue).(entry)
	return e.at, e.do, true
}

// queue is a heap.Interface.
type queue []entry

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].number < q[j].number
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(entry)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
