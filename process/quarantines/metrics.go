package quarantines

import "github.com/VictoriaMetrics/metrics"

// Names of the metrics.
const (
	CrashesMetric     = "vetchtrail_endpoints_ended_total"
	QuarantinedMetric = "vetchtrail_holds_total"
)

// countCrash counts a crash of an endpoint that had requests of this host.
func countCrash() { metrics.GetOrCreateCounter(CrashesMetric).Inc() }

// countQuarantined counts a request that this host detected and quarantined.
func countQuarantined() { metrics.GetOrCreateCounter(QuarantinedMetric).Inc() }
