package ratelimits

import "github.com/VictoriaMetrics/metrics"

// Names of the metrics.
const (
	UnreadableRatesMetric = "vetchtrail_rates_misread_total"
	ReservationsMetric    = "vetchtrail_permits_total"
)

// countUnreadable counts a response whose rate limit cannot be parsed.
func countUnreadable() { metrics.GetOrCreateCounter(UnreadableRatesMetric).Inc() }

// countReservation counts a request for a reservation by its result, granted or refused.
func countReservation(result string) {
	metrics.GetOrCreateCounter(ReservationsMetric + `{answer="` + result + `"}`).Inc()
}
