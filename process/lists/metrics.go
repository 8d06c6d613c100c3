package lists

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"vetchtrail/schema"
)

// countQuery records how a query to a peer for a newer listing ended, and how long it took.
func countQuery(reply *schema.Listing, err error, took time.Duration) {
	result := "changed"
	switch {
	case err != nil:
		result = "error"
	case reply.GetSeen() == 0:
		result = "none"
	case reply.GetCut():
		result = "rejected"
	case reply.GetRevision() == 0:
		result = "unchanged"
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`vetchtrail_listing_query_seconds{result=%q}`, result)).Update(took.Seconds())
}
