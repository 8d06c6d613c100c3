package caller

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// connStage is how far a connection is with its current request.
type connStage int32

const (
	stageNew     connStage = iota // no byte of its first request has arrived
	stageReading                  // a request is being read
	stageRunning                  // a request runs, and its response has not begun
	stageWriting                  // a response is being written
	stageIdle                     // the last response was written
	connStages
)

// Connections holds the number of open connections by stage, and the requests taken while the
// host was leaving.
type Connections struct {
	New, Reading, Running, Writing, Idle int
	TakenLeaving                         int       // requests that runs began with while leaving
	LastTaken                            time.Time // the last of them; zero: none
}

// takenLeaving counts the requests that began to run while the host was leaving.
type takenLeaving struct {
	count atomic.Int64
	last  atomic.Int64 // in nanoseconds since 1970
}

func (t *takenLeaving) add(now time.Time) {
	t.count.Add(1)
	t.last.Store(now.UnixNano())
}

// Connections counts the open connections.
func (s *Server) Connections() Connections {
	c := Connections{TakenLeaving: int(s.takenLeaving.count.Load())}
	if last := s.takenLeaving.last.Load(); last != 0 {
		c.LastTaken = time.Unix(0, last)
	}
	if tracker := s.connTracker.Load(); tracker != nil {
		n := tracker.countStages()
		c.New, c.Reading, c.Running, c.Writing, c.Idle = n[stageNew], n[stageReading], n[stageRunning], n[stageWriting], n[stageIdle]
	}
	return c
}

func (c *connTracker) countStages() [connStages]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var n [connStages]int
	for t := range c.open {
		n[t.stage.Load()]++
	}
	return n
}

// trackState follows the stages that the HTTP library reports.
func trackState(c net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateActive:
		if t, ok := c.(*trackedConn); ok {
			t.beginRequest()
		}
	case fasthttp.StateIdle:
		setStage(c, stageIdle)
	}
}

// setStage sets the stage of a connection if it is tracked.
func setStage(c net.Conn, stage connStage) {
	if t, ok := c.(*trackedConn); ok {
		t.stage.Store(int32(stage))
	}
}
