package caller

import (
	"log/slog"
	"sync"
	"time"

	"vetchtrail/connection/buffer"
)

// pressureLogInterval is the shortest time between two log lines about reached bounds.
const pressureLogInterval = time.Second

// pressureLog logs that the bound on buffered bytes was reached, and with what effect since the
// line before.
type pressureLog struct {
	log *slog.Logger // nil: nothing is logged

	mu             sync.Mutex
	refusals, ends int
	nextAt         time.Time
}

// refused counts a request that was refused.
func (l *pressureLog) refused(b *buffer.Budget, now time.Time) { l.count(1, 0, b, now) }

// ended counts a stream that was ended because its caller read nothing.
func (l *pressureLog) ended(b *buffer.Budget, now time.Time) { l.count(0, 1, b, now) }

func (l *pressureLog) count(refusals, ends int, b *buffer.Budget, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals += refusals
	l.ends += ends
	if l.log == nil || now.Before(l.nextAt) {
		return
	}
	s := b.Stats()
	l.log.Warn("bound on buffered bytes reached", "buffered", s.Used, "peak", s.Peak, "requests_refused", l.refusals, "slow_callers", l.ends)
	l.refusals, l.ends, l.nextAt = 0, 0, now.Add(pressureLogInterval)
}
