package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// engineConfig is what an engine is.
type engineConfig struct {
	id, service, region string
	slots               int
	queue               int           // requests that wait for a slot; further ones are refused
	work                time.Duration // from the slot to the first byte of the answer
	events              int           // of a stream; 0: a plain answer
	interval            time.Duration // between two events
	record              *record
}

// stint is the time for which an engine works on a request.
type stint struct {
	engine     string
	begin, end time.Time // end is zero while it lasts
}

// engine is a sound server by the users' protocol: it runs what it accepts once, and says so when it does not run a request.
type engine struct {
	cfg    engineConfig
	addr   netip.AddrPort
	server *http.Server
	slots  chan struct{}

	running, waiting atomic.Int64

	mu     sync.Mutex
	stints map[string][]*stint // by X-Attempt-Id
}

func newEngine(c engineConfig, at netip.AddrPort) *engine {
	e := &engine{cfg: c, addr: at, slots: make(chan struct{}, c.slots), stints: map[string][]*stint{}}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	return e
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	h.Set("X-Instance-Id", e.cfg.id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", e.running.Load(), e.waiting.Load(), e.cfg.slots))
	if r.URL.Path == "/health" {
		return
	}
	expected := r.Header.Get("X-Expect-Instance")
	switch {
	case expected != "" && expected != e.cfg.id:
		e.refuse(w, id, http.StatusMisdirectedRequest)
	case id == "":
		e.refuse(w, id, http.StatusBadRequest)
	case !e.takeSlot():
		e.refuse(w, id, http.StatusServiceUnavailable)
	default:
		e.run(w, r, id)
	}
}

func (e *engine) refuse(w http.ResponseWriter, id string, status int) {
	e.cfg.record.write("%s: %s not run, %d", e.cfg.id, id, status)
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// takeSlot waits for a slot, and returns false if too many wait.
func (e *engine) takeSlot() bool {
	defer e.waiting.Add(-1)
	if e.waiting.Add(1) > int64(e.cfg.queue+1) {
		return false
	}
	e.slots <- struct{}{}
	e.running.Add(1)
	return true
}

// run runs a request, from after Last-Event-Id if it is a stream.
func (e *engine) run(w http.ResponseWriter, r *http.Request, id string) {
	defer func() {
		e.running.Add(-1)
		<-e.slots
	}()
	ended := e.begin(id)
	defer ended("done")
	_, _ = io.Copy(io.Discard, r.Body)
	defer context.AfterFunc(r.Context(), func() { ended("stopped, its channel was closed") })()
	if !pause(r, e.cfg.work) {
		return
	}
	w.Header().Set("X-Server-Seal", "seal."+e.cfg.id+"."+id)
	if e.cfg.events == 0 {
		_, _ = io.WriteString(w, "answer "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= e.cfg.events; n++ {
		if n > first+1 && !pause(r, e.cfg.interval) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n)
		w.(http.Flusher).Flush()
	}
}

// begin records that the engine begins to work on a request. It returns the function that records the end, once.
func (e *engine) begin(id string) (ended func(how string)) {
	s := &stint{engine: e.cfg.id, begin: time.Now()}
	e.mu.Lock()
	e.stints[id] = append(e.stints[id], s)
	e.mu.Unlock()
	e.cfg.record.write("%s: %s runs", e.cfg.id, id)
	return func(how string) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s.end.IsZero() {
			s.end = time.Now()
			e.cfg.record.write("%s: %s %s", e.cfg.id, id, how)
		}
	}
}

// pause waits, and returns false if the channel is closed before.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}

// ran returns how often an engine ran a request.
func (w *world) ran(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, e := range w.engines {
		e.mu.Lock()
		n += len(e.stints[id])
		e.mu.Unlock()
	}
	return n
}

// allStints returns copies of the stints of all engines by request, in the order of their begin.
func (w *world) allStints() map[string][]stint {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string][]stint{}
	for _, e := range w.engines {
		e.mu.Lock()
		for id, list := range e.stints {
			for _, s := range list {
				out[id] = append(out[id], *s)
			}
		}
		e.mu.Unlock()
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b stint) int { return a.begin.Compare(b.begin) })
	}
	return out
}
