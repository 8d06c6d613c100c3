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
// library notices that only when it writes. It also ends the streams of callers that
// read nothing while the bound on buffered bytes is reached. One goroutine checks all connections.
type disconnectWatcher struct {
	mu       sync.Mutex
	pipes    map[*pipe]struct{} // whose requests run
	paced    map[*pipe]struct{} // whose responses may have unread bytes
	stopped  chan struct{}
	stopOnce sync.Once

	endSlowCaller func(p *pipe)
}

func newDisconnectWatcher(endSlowCaller func(p *pipe)) *disconnectWatcher {
	return &disconnectWatcher{pipes: map[*pipe]struct{}{}, paced: map[*pipe]struct{}{}, stopped: make(chan struct{}), endSlowCaller: endSlowCaller}
}

// addPaced adds a pipe until its Close.
func (w *disconnectWatcher) addPaced(p *pipe) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paced[p] = struct{}{}
}

func (w *disconnectWatcher) removePaced(p *pipe) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.paced, p)
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
			for _, p := range w.stalledCallers(time.Now()) {
				w.endSlowCaller(p)
			}
		}
	}
}

// stalledCallers removes and returns the pipes whose callers read nothing while the bound on
// buffered bytes is reached.
func (w *disconnectWatcher) stalledCallers(now time.Time) []*pipe {
	w.mu.Lock()
	defer w.mu.Unlock()
	var stalled []*pipe
	for p := range w.paced {
		if p.paced.stalled(now, func() uint64 { return probe.BytesAcked(p.conn) }) {
			stalled = append(stalled, p)
			delete(w.paced, p)
		}
	}
	return stalled
}

// cancelDisconnected cancels and removes the requests whose callers have closed their
// connections.
func (w *disconnectWatcher) cancelDisconnected() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.pipes {
		if probe.Closed(p.conn) {
			p.cancel(errCallerGone)
			delete(w.pipes, p)
		}
	}
}
