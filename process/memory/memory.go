// Package memory watches how much memory the process uses against what it may use.
package memory

import (
	"context"
	"log/slog"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

const (
	// shortShare is the share of the memory from which new requests are refused, and endShare the one below which they are
	// no longer. Both are above the runtime's soft limit, below which garbage may pile up. What is left is for memory
	// that the runtime doesn't count, such as the kernel's buffers, and for what the requests in progress still need.
	shortShare    = 0.72
	endShare      = 0.66
	checkInterval = 50 * time.Millisecond
)

// Config configures a Watch.
type Config struct {
	Used func() int64 // bytes; nil: those of the Go runtime
	Log  *slog.Logger
}

// Watch reports whether memory is short.
type Watch struct {
	cfg   Config
	limit atomic.Int64
	short atomic.Bool
}

// New returns a Watch without a limit. Run starts it.
func New(c Config) *Watch {
	if c.Used == nil {
		c.Used = used
	}
	return &Watch{cfg: c}
}

// SetLimit sets the bytes that the process may use; 0: unbounded.
func (w *Watch) SetLimit(bytes int64) { w.limit.Store(bytes) }

// Short reports whether new requests would take the process near its limit.
func (w *Watch) Short() bool { return w != nil && w.short.Load() }

// Run checks the use until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		w.check()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// check compares the use with the limit once.
func (w *Watch) check() {
	limit, short := w.limit.Load(), w.short.Load()
	if limit == 0 {
		w.short.Store(false)
		return
	}
	n := w.cfg.Used()
	share := float64(n) / float64(limit)
	switch {
	case !short && share >= shortShare:
		w.short.Store(true)
		w.cfg.Log.Warn("memory is short", "used", n, "limit", limit)
	case short && share < endShare:
		w.short.Store(false)
		w.cfg.Log.Info("memory is no longer short", "used", n, "limit", limit)
	}
}

// used returns the bytes that the Go runtime has from the operating system and uses, also for garbage.
func used() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}, {Name: "/memory/classes/heap/free:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64() - samples[2].Value.Uint64())
}
