// Package meter helps benchmarks measure what wall time can't: processor time
// and bytes on the wire.
package meter

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// CPU returns the processor time that this process has used.
func CPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Heap returns the bytes in use on the heap after a collection.
func Heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Listener counts the bytes of its connections, both ways.
type Listener struct {
	net.Listener
	bytes atomic.Int64
}

// Bytes returns the bytes so far.
func (l *Listener) Bytes() int64 { return l.bytes.Load() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, bytes: &l.bytes}, nil
}

type conn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
