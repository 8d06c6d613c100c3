package quarantines

import "github.com/VictoriaMetrics/metrics"

// Names of the metrics.
const (
	EndsName  = "vetchtrail_endpoints_ended_total"
	HoldsName = "vetchtrail_holds_total"
)

// countEnd counts an endpoint that ended with requests of this host.
func countEnd() { metrics.GetOrCreateCounter(EndsName).Inc() }

// countHold counts a request that this host found and held back.
func countHold() { metrics.GetOrCreateCounter(HoldsName).Inc() }
