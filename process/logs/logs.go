// Package logs keeps a slow log output from blocking the daemon, and repeated lines from filling the
// log. Writer buffers lines and writes them in a goroutine; lines that don't fit into the buffer are
// dropped, and their number is logged. Throttle limits how often a line about the same subject is
// logged. The package doesn't format lines; log/slog does.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxBufferBytes bounds the lines that wait to be written. It is enough for about a second
	// of a busy host's lines.
	maxBufferBytes = 1 << 20
	// flushInterval is the time for which lines are collected before they are written, since
	// each write is a system call.
	flushInterval = 100 * time.Millisecond
	// maxChunkBytes bounds a single write, unless a line is longer. Up to this size, writes to a
	// pipe are atomic (PIPE_BUF), so that a log collector that reads little at a time loses no
	// part of a line. When the whole buffer was written at once, the collected log lacked the
	// outcome of one request in six of a busy host.
	maxChunkBytes = 4096
)

// Writer is an io.Writer whose Write doesn't wait for the output. Each call of Write must pass
// whole lines. It is safe for concurrent use.
type Writer struct {
	dst io.Writer

	mu        sync.Mutex
	buffer    []byte        // lines waiting to be written
	spare     []byte        // the buffer that was written last, for reuse
	dropped   int           // lines dropped since the last flush
	wake      chan struct{} // signals run that lines are buffered
	closing   chan struct{} // closed by Close
	closed    chan struct{} // closed when run has returned
	closeOnce sync.Once
}

// New returns a writer and starts the goroutine that writes to w until Close.
func New(w io.Writer) *Writer {
	l := &Writer{dst: w, wake: make(chan struct{}, 1), closing: make(chan struct{}), closed: make(chan struct{})}
	go l.run()
	return l
}

// Write implements io.Writer. It drops the line, without an error, if the buffer is full.
func (l *Writer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.buffer)+len(line) > maxBufferBytes {
		l.dropped++
		return len(line), nil
	}
	l.buffer = append(l.buffer, line...)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes the buffered lines and waits until they are written, at most until the given time: nobody may be reading
// the output.
func (l *Writer) Close(by time.Time) error {
	l.closeOnce.Do(func() { close(l.closing) })
	timeout := time.NewTimer(time.Until(by))
	defer timeout.Stop()
	select {
	case <-l.closed:
		return nil
	case <-timeout.C:
		return errors.New("logs: output not written in time")
	}
}

// run flushes the buffer, at most once in flushInterval, until Close is called.
func (l *Writer) run() {
	defer close(l.closed)
	for {
		select {
		case <-l.closing:
			l.flush()
			return
		case <-l.wake:
		}
		select {
		case <-l.closing:
		case <-time.After(flushInterval):
		}
		l.flush()
	}
}

// flush writes the buffered lines in chunks, and a line with the number of dropped lines if there
// are any.
func (l *Writer) flush() {
	l.mu.Lock()
	out, dropped := l.buffer, l.dropped
	l.buffer, l.dropped = l.spare[:0], 0
	l.mu.Unlock()
	if dropped > 0 {
		out = fmt.Appendf(out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	for rest := out; len(rest) > 0; {
		n := chunkLength(rest)
		_, _ = l.dst.Write(rest[:n]) // there is nowhere to report an error of the log itself
		rest = rest[n:]
	}
	l.mu.Lock()
	l.spare = out
	l.mu.Unlock()
}

// chunkLength returns the length of the next chunk of lines: as many whole lines as fit into
// maxChunkBytes, but at least one.
func chunkLength(lines []byte) int {
	if len(lines) <= maxChunkBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxChunkBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1 // one line that is longer than maxChunkBytes
	}
	return len(lines)
}
