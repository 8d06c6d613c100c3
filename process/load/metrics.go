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
