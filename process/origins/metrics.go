package origins

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var notStored = metrics.GetOrCreateCounter("vetchtrail_stream_origins_not_stored_total")

// countNotStored counts origins that another host did not receive.
func countNotStored(n int) { notStored.Add(n) }

// countSearch counts a search for the origin of a stream by how it was found.
func countSearch(by string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("vetchtrail_stream_origin_searches_total{by=%q}", by)).Inc()
}
