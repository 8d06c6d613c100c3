package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"vetchtrail"
	"vetchtrail/request/budget"
)

// unknownService is the service label of requests for services that don't exist. If
// the label held the requested name, callers could create any number of time series.
const unknownService = "none"

// countRequest counts a request by its outcome and records its duration.
func countRequest(r *vetchtrail.Request, o vetchtrail.Outcome, duration time.Duration) {
	service := r.Service
	if o.Reason == vetchtrail.ReasonUnknownService {
		service = unknownService
	}
	name := fmt.Sprintf(`vetchtrail_requests_total{service=%q,outcome=%q,reason=%q}`, service, o.Kind, o.Reason)
	metrics.GetOrCreateCounter(name).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`vetchtrail_request_seconds{service=%q}`, service)).Update(duration.Seconds())
}

// countCut counts a response that ended after it had begun, at the host that received the request from its caller:
// by whether the endpoint of its last attempt was silent, and by why no other attempt continued it.
func countCut(r *vetchtrail.Request, o vetchtrail.Outcome) {
	if r.Hops > 0 || !o.ResponseStarted || o.Kind == vetchtrail.OutcomeAnswered {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`vetchtrail_responses_cut_total{service=%q,silent="%t",reason=%q}`, r.Service, o.EndpointSilent, o.NotContinued)).Inc()
}

// Metrics of the age of the listing by which requests are sent to endpoints.
const (
	ListingAgeMetric    = "vetchtrail_listing_age_at_send_seconds"
	OutdatedSendsMetric = "vetchtrail_outdated_listing_sends_total"
)

var (
	listingAge    = metrics.GetOrCreateHistogram(ListingAgeMetric)
	outdatedSends = metrics.GetOrCreateCounter(OutdatedSendsMetric)
)

// recordListingAge records the age of the listing by which a request is sent now, and counts the
// request if the listing is outdated.
func (d *Dispatcher) recordListingAge(now time.Time) {
	listing := d.currentListing()
	if listing == nil {
		return
	}
	age := now.Sub(listing.ReadAt)
	listingAge.Update(age.Seconds())
	if age > d.cfg.KnownWithin {
		outdatedSends.Inc()
	}
}

// currentListing returns the listing by which endpoints are chosen; nil: there is none.
func (d *Dispatcher) currentListing() *vetchtrail.Listing {
	if d.cfg.Listing == nil {
		return nil
	}
	return d.cfg.Listing()
}

// RetriesMetric returns the name of the metric that counts a service's retries:
// either those that were made, or those that were not made because the retry budget
// was used up or retries are switched off.
func RetriesMetric(service string, made bool) string {
	return fmt.Sprintf(`vetchtrail_retries_total{service=%q,made="%t"}`, service, made)
}

// countRetry counts a retry that was made, or that was due but not made.
func countRetry(service string, made bool) {
	metrics.GetOrCreateCounter(RetriesMetric(service, made)).Inc()
}

// countHandover counts a decision between an attempt at a silent endpoint and its replacement.
func countHandover(service string, d *vetchtrail.HandoverDecision) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`vetchtrail_handovers_total{service=%q,kept=%q,cause=%q,sent="%t"}`, service, d.Kept, d.Cause, d.Sent)).Inc()
}

// Causes of attempts on the host that received the request from its caller. Only a retry can be an
// arrival at an endpoint beyond the first of its request.
const (
	causeFirst     = "first"
	causeRetry     = "retry"       // an earlier attempt reached a process, so that it counts towards the retry budget
	causeUnreached = "not-reached" // no earlier attempt reached any process
)

// countAttempt counts an attempt by its cause.
func countAttempt(service string, attempt int, history *attemptHistory) {
	cause := causeUnreached
	switch {
	case attempt == 1:
		cause = causeFirst
	case history.reached > 0:
		cause = causeRetry
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`vetchtrail_attempts_total{service=%q,cause=%q}`, service, cause)).Inc()
}

// exposeBudget exposes the state of a service's retry budget.
func exposeBudget(service string, b *budget.Budget) {
	for name, value := range map[string]func(budget.State) float64{
		"requests": func(s budget.State) float64 { return float64(s.Requests) },
		"retries":  func(s budget.State) float64 { return float64(s.Retries) },
		"left":     func(s budget.State) float64 { return s.Left },
		"hosts":    func(s budget.State) float64 { return float64(s.Hosts) },
	} {
		metrics.GetOrCreateGauge(fmt.Sprintf(`vetchtrail_retry_budget{service=%q,part=%q}`, service, name), func() float64 { return value(b.State(time.Now())) })
	}
}

// countForward counts a request that was forwarded to a data centre, by its outcome.
func countForward(dataCentre string, o vetchtrail.Outcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`vetchtrail_forwards_total{data_centre=%q,outcome=%q,reason=%q}`, dataCentre, o.Kind, o.Reason)).Inc()
}
