// Package logs writes a daemon's log without ever holding it up: lines go
// through a bounded buffer to a thread that writes them, and those that find it
// full are dropped, counted and told of.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// bufferSize bounds what waits to be written, in bytes: a second of a busy
	// host's lines.
	bufferSize = 1 << 20
	// flushEvery is how long lines are gathered: each write is a system call.
	flushEvery = 100 * time.Millisecond
	// pieceSize bounds what is written at once, in bytes, where a line is no longer: a
	// pipe takes so much in one piece (PIPE_BUF), and a collector that takes little at a
	// time loses no part of a line. Written whole, one request in six of a busy host had
	// no end in the collected log.
	pieceSize = 4096
)

// Writer is an io.Writer that never blocks. Each call of Write is a line.
type Writer struct {
	to io.Writer

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped int
	wake    chan struct{}
	end     chan struct{}
	ended   chan struct{}
	once    sync.Once
}

// New returns a writer whose thread writes to w until Close.
func New(w io.Writer) *Writer {
	l := &Writer{to: w, wake: make(chan struct{}, 1), end: make(chan struct{}), ended: make(chan struct{})}
	go l.run()
	return l
}

// Write implements io.Writer.
func (l *Writer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.waiting)+len(line) > bufferSize {
		l.dropped++
		return len(line), nil
	}
	l.waiting = append(l.waiting, line...)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what waits.
func (l *Writer) Close() error {
	l.once.Do(func() { close(l.end) })
	<-l.ended
	return nil
}

func (l *Writer) run() {
	defer close(l.ended)
	for {
		select {
		case <-l.end:
			l.flush()
			return
		case <-l.wake:
		}
		select {
		case <-l.end:
		case <-time.After(flushEvery):
		}
		l.flush()
	}
}

func (l *Writer) flush() {
	l.mu.Lock()
	out, dropped := l.waiting, l.dropped
	l.waiting, l.dropped = l.spare[:0], 0
	l.mu.Unlock()
	if dropped > 0 {
		out = fmt.Appendf(out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	for rest := out; len(rest) > 0; {
		n := piece(rest)
		_, _ = l.to.Write(rest[:n]) // nobody is left to tell
		rest = rest[n:]
	}
	l.mu.Lock()
	l.spare = out
	l.mu.Unlock()
}

// piece is the length of the whole lines that are written next.
func piece(lines []byte) int {
	if len(lines) <= pieceSize {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:pieceSize], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1 // one line, longer than a piece
	}
	return len(lines)
}
