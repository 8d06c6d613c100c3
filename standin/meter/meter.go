// Package meter provides measurements for benchmarks in addition to their wall time: the
// processor time and the heap of this process, and the bytes of its connections.
package meter

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// CPU returns the user and system time that this process has used so far.
func CPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Heap returns the bytes of live heap objects. It collects garbage twice, as a
// sync.Pool releases its contents only in the second collection.
func Heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Listener counts the bytes that its accepted connections read and write.
type Listener struct {
	net.Listener
	bytes atomic.Int64
}

// Bytes returns the number of bytes read and written so far.
func (l *Listener) Bytes() int64 { return l.bytes.Load() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: &l.bytes}, nil
}

// countingConn adds what it reads and writes to the counter of its listener.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
