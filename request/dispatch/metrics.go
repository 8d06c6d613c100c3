package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"vetchtrail"
)

// noService labels requests for services that don't exist, so that callers
// can't make labels.
const noService = "none"

// count counts a request's end.
func count(r *vetchtrail.Request, o vetchtrail.Outcome, took time.Duration) {
	service := r.Service
	if o.Reason == vetchtrail.ReasonNoService {
		service = noService
	}
	name := fmt.Sprintf(`vetchtrail_requests_total{service=%q,outcome=%q,reason=%q}`, service, o.Kind, o.Reason)
	metrics.GetOrCreateCounter(name).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`vetchtrail_request_seconds{service=%q}`, service)).Update(took.Seconds())
}

// RetriesName is the name of the counter of a service's retries, made or kept
// back by the budget.
func RetriesName(service string, made bool) string {
	return fmt.Sprintf(`vetchtrail_retries_total{service=%q,made="%t"}`, service, made)
}

func countRetry(service string, made bool) {
	metrics.GetOrCreateCounter(RetriesName(service, made)).Inc()
}
