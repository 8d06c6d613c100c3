package endpoint

import (
	"sync"
	"time"
)

// pauseDelay is how long a write to the caller may wait before its stream counts as paused. It is
// well below the time after which an endpoint counts as silent, 700 ms.
const pauseDelay = 200 * time.Millisecond

// pause reports to the observer when a stream is not read because its caller reads too slowly.
// Otherwise its endpoint would look silent, and the streams of other callers there would end. It
// does nothing for requests whose buffers are not counted.
type pause struct {
	attempt *attempt // nil: nothing is reported

	mu      sync.Mutex
	timer   *time.Timer
	writing bool
	paused  bool
	resumed bool // a pause has ended since the last call of ended
}

func (p *pause) init(t *attempt) {
	if t.req.Buffers != nil && t.client.cfg.Observer != nil && t.isEventStream() {
		p.attempt = t
	}
}

// beforeWrite starts the wait for a write to the caller.
func (p *pause) beforeWrite() {
	if p.attempt == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writing = true
	if p.timer == nil {
		p.timer = time.AfterFunc(pauseDelay, p.begin)
		return
	}
	p.timer.Reset(pauseDelay)
}

// begin reports a pause if the write still waits.
func (p *pause) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writing && !p.paused {
		p.paused = true
		p.attempt.client.cfg.Observer.StreamPaused(p.attempt.endpoint, p.attempt.req)
	}
}

// afterWrite ends the wait, and the pause if there was one.
func (p *pause) afterWrite() {
	if p.attempt == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer.Stop()
	p.writing = false
	if p.paused {
		p.paused, p.resumed = false, true
		p.attempt.client.cfg.Observer.StreamResumed(p.attempt.endpoint, p.attempt.req, time.Now())
	}
}

// ended reports whether a pause has ended since the last call.
func (p *pause) ended() bool {
	if p.attempt == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	resumed := p.resumed
	p.resumed = false
	return resumed
}
