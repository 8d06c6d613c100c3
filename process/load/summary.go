package load

import (
	"math"
	"time"

	"vetchtrail"
)

// EndpointStatus is an endpoint's state for operators.
type EndpointStatus struct {
	vetchtrail.Endpoint
	View             vetchtrail.EndpointView
	Report           vetchtrail.LoadReport
	RateLimitedSince time.Time // since when it advertises a rate limit; zero: it does not
	LeavingBy        LeavingBy
	LeavingSince     time.Time // when its responses first announced that it is leaving; zero: they did not
	PausedUntil      time.Time // until when it accepts no requests from this host; zero: it isn't paused
}

// EndpointStatuses returns the state of all endpoints, in no particular order.
func (t *Table) EndpointStatuses(now time.Time) []EndpointStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]EndpointStatus, 0, len(t.endpoints))
	for _, s := range t.endpoints {
		status := EndpointStatus{Endpoint: s.Endpoint, View: s.view(t, now), Report: s.report, LeavingBy: s.leavingBy(now)}
		t.scalePredictions(s, &status.View, t.serviceStats[s.Service].uncachedTokens.value, now)
		if status.LeavingBy == ByResponses {
			status.LeavingSince = s.availability.firstAnnouncedAt
		}
		if now.Before(s.availability.pausedUntil) {
			status.PausedUntil = s.availability.pausedUntil
		}
		if s.rateLimit.Advertised {
			status.RateLimitedSince = s.rateLimitedSince
		}
		out = append(out, status)
	}
	return out
}

// Summary is the load of a service in this data centre, as it is sent to remote ones in digests.
type Summary struct {
	Service       string
	Free          int           // unused part of Slots
	Slots         int           // requests that the endpoints in use can run at once
	Wait          time.Duration // expected time to a new request's first byte
	EventInterval time.Duration // least expected time between two events of a stream; 0: not known
}

// Summaries returns a summary for each service, in no particular order. Endpoints that only this host doesn't reach
// count as usable.
func (t *Table) Summaries(now time.Time) []Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Summary, 0, len(t.services))
	for name, states := range t.services {
		out = append(out, t.summarize(name, states, now))
	}
	return out
}

func (t *Table) summarize(name string, states []*endpointState, now time.Time) Summary {
	svc := t.serviceStats[name]
	sum := Summary{Service: name}
	bestWait, waits, inUse := math.Inf(1), 0.0, 0
	svc.othersQueued = meanOthersQueued(states, now)
	for _, s := range states {
		v := s.view(t, now)
		if v.Unavailable && !v.ViaPeers {
			continue
		}
		inFlight := max(v.InFlight, v.Running+v.Queued+v.InFlightChange)
		sum.Slots += s.concurrency(svc)
		sum.Free += max(0, s.concurrency(svc)-inFlight)
		inUse++
		pending := s.backlog(lowestPriority, svc, now)
		t.scalePredictions(s, &v, pending, now)
		waits += v.BaseLatency + v.Prefill*pending
		wait := v.ServiceTime * 0.1
		if inFlight >= v.Slots {
			wait += float64(inFlight-v.Slots+1) * v.ServiceTime / float64(v.Slots)
		}
		bestWait = math.Min(bestWait, wait)
		if interval := time.Duration(v.EventInterval * float64(time.Second)); sum.EventInterval == 0 || interval < sum.EventInterval {
			sum.EventInterval = interval
		}
	}
	if inUse == 0 {
		return sum
	}
	if svc.prefillFit.known() {
		// The mean of all endpoints, not the best: many hosts receive this summary, and the best endpoint would
		// soon be the busiest.
		bestWait = waits / float64(inUse)
	}
	sum.Wait = time.Duration(bestWait * float64(time.Second))
	return sum
}

// lowestPriority is below the priority of every request, so that all pending prompts are ahead of it.
const lowestPriority = math.MinInt8
