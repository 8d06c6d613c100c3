package load

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// PredictionMetric is the name of the histogram of observed over predicted times to the first event of a stream.
const PredictionMetric = "vetchtrail_first_event_prediction_ratio"

// predictionHistogram returns the histogram of a service's prediction ratios.
func predictionHistogram(service string) *metrics.Histogram {
	return metrics.GetOrCreateHistogram(fmt.Sprintf(PredictionMetric+`{service=%q}`, service))
}

// Metrics of the connections to endpoints.
const (
	ConnectFailuresMetric = "vetchtrail_endpoint_connect_failures_total"
	ReachableAgainMetric  = "vetchtrail_endpoint_reachable_again_total"
)

// countConnectFailure counts a connection of this host to an endpoint that failed.
func countConnectFailure(service string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(ConnectFailuresMetric+`{service=%q}`, service)).Inc()
}

// countReachableAgain counts an endpoint that counts as reachable again, by the evidence for it.
func countReachableAgain(service, by string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(ReachableAgainMetric+`{service=%q,by=%q}`, service, by)).Inc()
}
