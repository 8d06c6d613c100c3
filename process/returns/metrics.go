package returns

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"vetchtrail"
)

// Events of returns, the label event of the metric.
const (
	eventPlanned = "planned" // a caller was told to retry in a slot
	eventNoSlot  = "no-slot" // a caller was told that a retry before its deadline is of no use
	eventArrived = "arrived" // a return has ended; it counts as served or refused as well, unless its outcome is unknown
	eventServed  = "served"
	eventRefused = "refused" // a return was not run
)

// MetricName returns the name of the metric that counts an event of the returns to a service with a
// priority.
func MetricName(service string, priority int8, event string) string {
	return fmt.Sprintf(`vetchtrail_returns_total{service=%q,priority="%d",event=%q}`, service, priority, event)
}

// counterKey identifies a counter of a service.
type counterKey struct {
	priority int8
	event    string
}

// count counts an event of a request's return. It keeps the counters, as making a metric's name
// allocates memory.
func (s *service) count(r *vetchtrail.Request, event string) {
	key := counterKey{r.Priority, event}
	c, ok := s.counters[key]
	if !ok {
		c = metrics.GetOrCreateCounter(MetricName(r.Service, r.Priority, event))
		s.counters[key] = c
	}
	c.Inc()
}
