package queue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

var now = time.Now()

// still is a line that is never told of room, so that only the test moves it.
func still() *Line {
	never := make(chan struct{})
	l := New(func() <-chan struct{} { return never })
	l.pumping = true
	return l
}

func request(workspace string, priority int8, within time.Duration) *vetchtrail.Request {
	return &vetchtrail.Request{Workspace: workspace, Priority: priority, Deadline: now.Add(within)}
}

// serve takes the first out as if it got room, and returns its name.
func serve(l *Line, names map[*Waiter]string) string {
	w := l.waiting[0]
	l.Leave(w, true, now)
	return names[w]
}

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
		"in order":                {[]join{{"a", 0, 9e9}, {"b", 0, 9e9}, {"c", 0, 9e9}}, []string{"a0", "b1", "c2"}},
		"priority first":          {[]join{{"a", 0, 9e9}, {"b", 1, 9e9}}, []string{"b1", "a0"}},
		"then fair shares":        {[]join{{"a", 0, 8e9}, {"a", 0, 8e9}, {"a", 0, 8e9}, {"b", 0, 9e9}}, []string{"a0", "b3", "a1", "a2"}},
		"then the deadline":       {[]join{{"a", 0, 9e9}, {"b", 0, 5e9}}, []string{"b1", "a0"}},
		"priority before a share": {[]join{{"a", 1, 9e9}, {"a", 1, 9e9}, {"b", 0, 9e9}}, []string{"a0", "a1", "b2"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l, names := still(), map[*Waiter]string{}
			for i, j := range c.joins {
				v := l.Join(request(j.workspace, j.priority, j.within), 10, now)
				assert.Assert(t, v.Waiter != nil, v.Reason)
				names[v.Waiter] = fmt.Sprint(j.workspace, i)
			}
			var got []string
			for range c.joins {
				got = append(got, serve(l, names))
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// TestRefusals: who can't be served in time, or finds the line full, is told
// at once.
func TestRefusals(t *testing.T) {
	l := still()
	first := l.Join(request("a", 0, time.Second), 2, now)
	assert.Assert(t, first.Waiter != nil)
	assert.Equal(t, l.Join(request("b", 0, time.Millisecond), 2, now).Reason, vetchtrail.ReasonDeadline)
	last := l.Join(request("a", 0, time.Second), 2, now)
	assert.Assert(t, last.Waiter != nil)
	assert.Equal(t, l.Join(request("a", 0, time.Second), 2, now).Reason, vetchtrail.ReasonQueueFull)
	// One with a smaller share, or of a higher priority, takes the last place.
	assert.Assert(t, l.Join(request("b", 0, time.Second), 2, now).Waiter != nil)
	assert.Assert(t, isClosed(last.Waiter.Late()), "the displaced one is told")
	assert.Assert(t, l.Join(request("c", 5, time.Second), 2, now).Waiter != nil)
	assert.Equal(t, l.Len(), 2)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestGivenUp: as turns get slower, those whose turn can't come in time are
// given up before their deadline.
func TestGivenUp(t *testing.T) {
	l := still()
	var all []*Waiter
	for i := range 10 {
		v := l.Join(request(fmt.Sprint(i), 0, time.Second), 20, now)
		assert.Assert(t, v.Waiter != nil)
		all = append(all, v.Waiter)
	}
	l.interval = 300 * time.Millisecond
	assert.Assert(t, l.look(now))
	late := 0
	for _, w := range all {
		if isClosed(w.Late()) {
			late++
		}
	}
	assert.Equal(t, late, 6) // turns at 0, 0.3, 0.6 and 0.9 s remain
	assert.Assert(t, !l.look(now.Add(time.Minute)), "nobody is left")
}

// TestTurn: the first is told when there is room, then the next.
func TestTurn(t *testing.T) {
	freed := make(chan struct{})
	l := New(func() <-chan struct{} { return freed })
	a := l.Join(request("a", 0, time.Minute), 2, now).Waiter
	b := l.Join(request("b", 0, 2*time.Minute), 2, now).Waiter
	<-a.Turn()
	l.Leave(a, true, now)
	<-b.Turn()
	l.Leave(b, true, now)
	assert.Equal(t, l.Len(), 0)
}

// TestFirstWaits: however long turns took before, the first in the line waits; the
// next is told at once if its turn can't come in time.
func TestFirstWaits(t *testing.T) {
	l := still()
	l.interval = time.Hour
	assert.Equal(t, l.Wait(), time.Duration(0))
	assert.Assert(t, l.Join(request("a", 0, time.Second), 10, now).Waiter != nil)
	v := l.Join(request("b", 0, time.Second), 10, now)
	assert.Assert(t, v.Waiter == nil)
	assert.Equal(t, v.Reason, vetchtrail.ReasonDeadline)
}
