package ratelimits

import "github.com/VictoriaMetrics/metrics"

// Names of the metrics.
const (
	InvalidRatesMetric = "vetchtrail_rates_misread_total"
	ReservationsMetric = "vetchtrail_permits_total"
)

// countInvalid counts a response whose rate limit cannot be parsed.
func countInvalid() { metrics.GetOrCreateCounter(InvalidRatesMetric).Inc() }

// countReservation counts a request for a reservation by its result, granted or refused.
func countReservation(result string) {
	metrics.GetOrCreateCounter(ReservationsMetric + `{answer="` + result + `"}`).Inc()
}
