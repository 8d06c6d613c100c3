package endpoint

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// CountSilent counts an attempt whose endpoint was found silent: once when it is first kept
// waiting, and once when another attempt replaces it.
func CountSilent(service string, ended bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`vetchtrail_silent_attempts_total{service=%q,ended="%t"}`, service, ended)).Inc()
}

// countMalformed counts an attempt whose response was malformed.
func countMalformed(service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`vetchtrail_malformed_responses_total{service=%q}`, service)).Inc()
}
