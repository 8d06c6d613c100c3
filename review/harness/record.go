package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is what was sent, run and answered. It is written to record.txt as it happens.
type Record struct {
	mu       sync.Mutex
	out      *os.File
	began    time.Time
	arrivals []*Arrival
	answers  []*Answer
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{out: out, began: time.Now()}, err
}

// Note writes a line.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Arrived records a request that arrived at an engine.
func (r *Record) Arrived(a *Arrival) {
	what := "not run"
	if a.Ran {
		what = "run"
	}
	r.Note("engine %s: %s %s id %s, body %d bytes %s, %s, answered %d", a.Engine, a.Method, a.URI, a.ID, len(a.Body), Hash(a.Body), what, a.Status)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

// Answered records an answer that a client received.
func (r *Record) Answered(a *Answer) {
	r.Note("client: %s %s id %s to %s, body %d bytes %s: status %d, error %v", a.Method, a.Path, a.ID, a.Host, len(a.Sent), Hash(a.Sent), a.Status, a.Err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

// Runs returns the arrivals that ran, by id.
func (r *Record) Runs() map[string][]*Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string][]*Arrival{}
	for _, a := range r.arrivals {
		if a.Ran {
			out[a.ID] = append(out[a.ID], a)
		}
	}
	return out
}

// Answers returns the answers that clients received.
func (r *Record) Answers() []*Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*Answer(nil), r.answers...)
}
