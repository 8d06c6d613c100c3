package caller

import (
	"sync"
	"time"

	"vetchtrail/connection/probe"
)

// lookEvery is how often the connections of waiting callers are looked at: an
// endpoint is to be freed within half a second of its caller's leaving.
const lookEvery = 200 * time.Millisecond

// watcher cancels the requests whose callers close their connections: the HTTP
// library tells only when something is written. One looks at all of them.
type watcher struct {
	mu    sync.Mutex
	pipes map[*pipe]struct{}
	end   chan struct{}
	once  sync.Once
}

func newWatcher() *watcher {
	return &watcher{pipes: map[*pipe]struct{}{}, end: make(chan struct{})}
}

func (w *watcher) add(p *pipe) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pipes[p] = struct{}{}
}

func (w *watcher) remove(p *pipe) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pipes, p)
}

func (w *watcher) stop() { w.once.Do(func() { close(w.end) }) }

func (w *watcher) run() {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-w.end:
			return
		case <-t.C:
			w.look()
		}
	}
}

func (w *watcher) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.pipes {
		if probe.Closed(p.conn) {
			p.cancel()
			delete(w.pipes, p)
		}
	}
}
