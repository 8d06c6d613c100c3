package load

import (
	"time"

	"vetchtrail"
)

// Supply is what the usable endpoints of a service can process, and how busy they are. Endpoints that only peers reach
// are usable.
type Supply struct {
	Rate        float64       // prompt tokens per second; 0: not known yet
	Wait        time.Duration // mean predicted time until an endpoint has processed the prompts that it received
	Queued      int           // requests in the endpoints' queues, by their recent reports
	CachedShare float64       // observed share of the shared prompt tokens that endpoints had cached
	RequestWork float64       // mean prompt tokens that an endpoint must process for one request; 0: not known
}

// Supply returns the supply of a service.
func (t *Table) Supply(service string, now time.Time) Supply {
	t.mu.Lock()
	defer t.mu.Unlock()
	states, svc := t.services[service], t.serviceStats[service]
	if svc == nil || !svc.prefillFit.known() {
		return Supply{CachedShare: 1}
	}
	sum := Supply{CachedShare: svc.promptStats.cachedShare.value, RequestWork: svc.uncachedTokens.value}
	svc.othersQueued = meanOthersQueued(states, now)
	wait, usable := 0.0, 0
	for _, s := range states {
		v := s.view(t, now)
		if rate := s.supplyRate(v, svc, now); rate > 0 {
			sum.Rate += rate
			wait += v.Prefill * s.backlog(lowestPriority, svc, now)
			usable++
		}
		if s.hasReport && now.Sub(s.report.TakenAt) < maxQueuedReportAge {
			sum.Queued += s.report.Queued
		}
	}
	if usable > 0 {
		sum.Wait = time.Duration(wait / float64(usable) * float64(time.Second))
	}
	return sum
}

// supplyRate returns the prompt tokens a second that the endpoint can process: one over the time for a token. In its
// cold start and under a rate limit that is at most what it accepts.
func (s *endpointState) supplyRate(v vetchtrail.EndpointView, svc *serviceStats, now time.Time) float64 {
	limited := v.Unavailable && (v.UnavailableReason == vetchtrail.ReasonColdStart || v.UnavailableReason == vetchtrail.ReasonRateLimited)
	if v.Unavailable && !limited && !v.ViaPeers {
		return 0
	}
	rate := 1 / max(v.Prefill*svc.idleShare(), minTokenSeconds)
	if s.totalColdRate > 0 && now.Before(s.coldStart.until) {
		rate = min(rate, s.totalColdRate*svc.uncachedTokens.value)
	}
	if s.rateLimit.Advertised {
		rate = min(rate, s.rateLimit.Rate*svc.uncachedTokens.value)
	}
	return rate
}

// idleShare is the time that a token takes at an idle endpoint, as a share of the fitted time. The fitted
// time is longer where the prompts ahead are underestimated, and says less of what an endpoint can process.
func (svc *serviceStats) idleShare() float64 {
	_, token := svc.prefillFit.line()
	if token <= 0 {
		return 1
	}
	return min(1, svc.promptStats.idleTokenTime/token)
}

// ReportsSlowdown reports whether an endpoint of a service has reported how much slower than usual it is.
func (t *Table) ReportsSlowdown(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	svc := t.serviceStats[service]
	return svc != nil && svc.reportsSlowdown
}
