package caller

import (
	"sync"
	"time"

	"vetchtrail/connection/probe"
)

// disconnectCheckInterval is how often the connections of waiting callers are checked. An
// endpoint is to be free within half a second after its caller has disconnected.
const disconnectCheckInterval = 200 * time.Millisecond

// disconnectWatcher cancels requests whose callers have closed their connections. The HTTP
// library notices that only when it writes. One goroutine checks all connections.
type disconnectWatcher struct {
	mu       sync.Mutex
	pipes    map[*pipe]struct{}
	stopped  chan struct{}
	stopOnce sync.Once
}

func newDisconnectWatcher() *disconnectWatcher {
	return &disconnectWatcher{pipes: map[*pipe]struct{}{}, stopped: make(chan struct{})}
}

func (w *disconnectWatcher) add(p *pipe) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pipes[p] = struct{}{}
}

func (w *disconnectWatcher) remove(p *pipe) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pipes, p)
}

func (w *disconnectWatcher) stop() { w.stopOnce.Do(func() { close(w.stopped) }) }

// run checks the connections until stop is called.
func (w *disconnectWatcher) run() {
	t := time.NewTicker(disconnectCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case <-t.C:
			w.cancelDisconnected()
		}
	}
}

// cancelDisconnected cancels and removes the requests whose callers have closed their
// connections.
func (w *disconnectWatcher) cancelDisconnected() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.pipes {
		if probe.Closed(p.conn) {
			p.cancel()
			delete(w.pipes, p)
		}
	}
}
