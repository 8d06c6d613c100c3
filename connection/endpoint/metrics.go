package endpoint

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// countSilent counts an attempt whose endpoint was found silent: once when it is first kept
// waiting, and once when it is ended.
func countSilent(service string, ended bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`vetchtrail_silent_attempts_total{service=%q,ended="%t"}`, service, ended)).Inc()
}
