package main

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
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

// engine is a sound server by the users' protocol: it runs what it accepts once, and says so when it does not run a request.
type engine struct {
	cfg    engineConfig
	addr   netip.AddrPort
	server *http.Server
	slots  chan struct{}

	running, waiting atomic.Int64

	mu   sync.Mutex
	runs map[string]int // by X-Attempt-Id
	cut  int            // runs whose channel was closed before their end
}

func newEngine(c engineConfig, at netip.AddrPort) *engine {
	e := &engine{cfg: c, addr: at, slots: make(chan struct{}, c.slots), runs: map[string]int{}}
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

// run runs a request.
func (e *engine) run(w http.ResponseWriter, r *http.Request, id string) {
	defer func() {
		e.running.Add(-1)
		<-e.slots
	}()
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	e.cfg.record.write("%s: %s runs", e.cfg.id, id)
	_, _ = io.Copy(io.Discard, r.Body)
	if !pause(r, e.cfg.work) {
		e.recordCut(id)
		return
	}
	w.Header().Set("X-Server-Seal", "seal."+e.cfg.id+"."+id)
	if e.cfg.events == 0 {
		_, _ = io.WriteString(w, "answer "+id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= e.cfg.events; n++ {
		if n > 1 && !pause(r, e.cfg.interval) {
			e.recordCut(id)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, id, n)
		w.(http.Flusher).Flush()
	}
}

func (e *engine) recordCut(id string) {
	e.cfg.record.write("%s: %s stopped, its channel was closed", e.cfg.id, id)
	e.mu.Lock()
	e.cut++
	e.mu.Unlock()
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
		n += e.runs[id]
		e.mu.Unlock()
	}
	return n
}
