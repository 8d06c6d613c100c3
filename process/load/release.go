package load

import (
	"math"
	"slices"
	"time"

	"vetchtrail"
)

// Release ends a request that Acquire admitted, and updates the endpoint's state and statistics with its outcome.
func (t *Table) Release(name string, o vetchtrail.Observation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.instance(name, o.StartedAt)
	if !ok {
		return
	}
	s.changeInFlight(now, -1)
	delete(s.pendingPrompts, o.Request)
	if read, started := s.startedStreams[o.Request]; started && !read {
		s.pausedStreams--
	}
	delete(s.startedStreams, o.Request)
	t.wake(s.Service)
	if o.Outcome.ColdStart > 0 {
		s.coldStart.configure(now.Add(o.Outcome.ColdStart), s.ColdRate)
	}
	if o.Outcome.Kind == vetchtrail.OutcomeAnswered {
		s.full.ended()
	}
	if o.Outcome.Kind == vetchtrail.OutcomeAnswered || !o.Timing.FirstByte.IsZero() {
		t.recordReached(s, byResponse, o.Timing.Sent, now)
	}
	switch {
	case o.Cancelled:
	case o.Outcome.Reason == vetchtrail.ReasonEndpointFailed, o.Outcome.Status >= minErrorStatus && o.Outcome.Kind == vetchtrail.OutcomeAnswered:
		s.observeErrorShare(1, t.serviceStats[s.Service], now)
		t.recordError(s, now)
	case o.Outcome.Kind == vetchtrail.OutcomeAnswered:
		s.observeErrorShare(0, t.serviceStats[s.Service], now)
		t.serviceStats[s.Service].observeEvents(o.Route, o.Outcome.Events)
		t.recordSuccess(s, o, now)
	case o.Outcome.Reason == vetchtrail.ReasonOtherProcess:
		s.availability.otherProcessUntil = now.Add(otherProcessBackOff)
	case o.Outcome.Reason == vetchtrail.ReasonEndpointRefused:
		t.cutLimit(s)
		until := vetchtrail.Earlier(o.Outcome.RetryAt, now.Add(maxRefusalBackOff))
		if t.serviceStats[s.Service].isBrittle(now) {
			until = vetchtrail.Later(until, t.brittleBackOff(s, now))
		}
		s.backOff(vetchtrail.ReasonEndpointRefused, until)
		if !o.Outcome.RetryStated && o.Outcome.ColdStart == 0 && !t.serviceStats[s.Service].isBrittle(now) {
			s.full = fullQueue{refusedAt: now}
		}
	case o.Outcome.Step == vetchtrail.StepConnect && o.Outcome.Reason == vetchtrail.ReasonDeadline:
		t.suspect(s, now) // a probe waits longer
	case o.Outcome.Step == vetchtrail.StepConnect:
		t.recordConnectFailure(s, now, o.Outcome.Err)
	case o.Outcome.Kind == vetchtrail.OutcomeNotRun: // this host did not send it
	default:
		if o.Outcome.Reason == vetchtrail.ReasonDeadline {
			t.cutLimit(s)
		}
		t.suspect(s, now)
		if !s.isLeaving(now) { // a leaving endpoint may stop with requests in flight
			t.recordFailure(s, now)
		}
	}
}

// recordSuccess updates the endpoint's state and statistics with a whole response that is not an error.
func (t *Table) recordSuccess(s *endpointState, o vetchtrail.Observation, now time.Time) {
	svc := t.serviceStats[s.Service]
	s.failuresInRow, s.ejections, s.connectFailuresInRow, s.errorsInRow = 0, 0, 0, 0
	s.warmUp = math.Min(1, s.warmUp+warmUpStep)
	first := o.Timing.FirstByte.Sub(o.Timing.Sent).Seconds()
	whole := o.Timing.Done.Sub(o.Timing.Sent).Seconds()
	if whole <= 0 {
		return
	}
	if o.Outcome.Events > 0 {
		svc.predictionRatio.observe(o.PredictedFirstByte.Seconds(), first)
		if o.PredictedFirstByte > 0 && first > 0 {
			svc.predictionHistogram.Update(first / o.PredictedFirstByte.Seconds())
		}
	}
	s.observedAt = now
	first, whole = t.usualSeconds(s, first, now), t.usualSeconds(s, whole, now)
	s.serviceTime.observe(whole)
	svc.serviceTime.observe(whole)
	if o.PromptTokens > 0 && s.inFlight < s.Slots {
		s.observeTokenTime(first/float64(o.PromptTokens), svc)
	}
	if !t.switchedOff.Has(vetchtrail.MechanismAdaptiveLimits) {
		s.adaptLimit(first)
	}
}

// maxConnectBackOffDoublings bounds the doublings of minConnectBackOff, so that the shift can't overflow.
const maxConnectBackOffDoublings = 8

// minErrorStatus is the lowest status of an error response: one by which an endpoint reports its own failure.
// Other responses count as errors if their outcome has ReasonEndpointFailed.
const minErrorStatus = 500

// observeErrorShare updates the error shares with a response. failed is 1 for an error response, else 0. A high
// share only raises the endpoint's cost in a decision. It doesn't take the endpoint out of use, as the service's
// other endpoints may fail as often.
func (s *endpointState) observeErrorShare(failed float64, svc *serviceStats, now time.Time) {
	s.errorShare.observe(failed)
	svc.errorShare.observe(failed)
	s.errorShareAt = now
}

// recordError counts an error response, and ejects the endpoint when so many in a row would be unlikely at the
// usual error share of the service's other endpoints. An endpoint that fails each request at once always seems
// idle, and would attract the requests.
func (t *Table) recordError(s *endpointState, now time.Time) {
	s.errorsInRow++
	usual := min(max(t.usualErrorShare(s), minUsualErrorShare), maxUsualErrorShare)
	if math.Pow(usual, float64(s.errorsInRow)) < maxErrorRunProbability && !t.switchedOff.Has(vetchtrail.MechanismEjection) {
		t.eject(s, now)
	}
}

// usualErrorShare is the median error share of the service's other endpoints.
func (t *Table) usualErrorShare(s *endpointState) float64 {
	var shares []float64
	for _, other := range t.services[s.Service] {
		if other != s {
			shares = append(shares, other.errorShare.value)
		}
	}
	if len(shares) == 0 {
		return maxUsualErrorShare
	}
	slices.Sort(shares)
	return shares[len(shares)/2]
}

// excessErrorShare is how far the endpoint's error share exceeds its service's. It decays while the endpoint
// sends no responses.
func (s *endpointState) excessErrorShare(svc *serviceStats, now time.Time) float64 {
	if s.errorShare.count < minObservations {
		return 0
	}
	weight := math.Exp(-now.Sub(s.errorShareAt).Seconds() / observationDecay.Seconds())
	return weight * math.Max(0, s.errorShare.value-svc.errorShare.value)
}

// observeTokenTime updates the means with the seconds that a prompt token took on a free slot.
func (s *endpointState) observeTokenTime(tokenTime float64, svc *serviceStats) {
	s.tokenSlowdown.observe(math.Min(math.Max(tokenTime/svc.tokenTime.value, minTokenSlowdown), maxTokenSlowdown))
	svc.tokenTime.observe(tokenTime / math.Max(s.tokenSlowdown.value, 1))
}

// adaptLimit raises the limit while first bytes arrive in time, and lowers it while requests wait in the
// endpoint's queue for much longer than they run. The time to the first byte is compared with a multiple of the
// mean time of whole requests (lateStartFactor). A response that isn't streamed has its first byte at its end, so
// that about half of these responses take longer than the mean itself.
func (s *endpointState) adaptLimit(first float64) {
	if first > lateStartFactor*s.serviceTime.value {
		s.limit = math.Max(1, s.limit*0.95)
		return
	}
	if float64(s.inFlight+1) >= s.limit {
		s.limit = math.Min(maxLimitPerSlot*float64(s.Slots), s.limit+1/s.limit)
	}
}

// cutLimit lowers the limit after a refusal or a timeout.
func (t *Table) cutLimit(s *endpointState) {
	if !t.switchedOff.Has(vetchtrail.MechanismAdaptiveLimits) {
		s.limit = math.Max(1, s.limit*limitCutFactor)
	}
}

// backOff takes the endpoint out of use for a time. The cause is certainly at the endpoint, so maxEjectedShare
// doesn't apply.
func (s *endpointState) backOff(reason vetchtrail.Reason, until time.Time) {
	s.backOffReason, s.backOffUntil, s.full = reason, until, fullQueue{}
}

// recordFailure counts a request that got no whole response, and ejects the endpoint after failuresToEject in a
// row. Error responses in between neither count nor end the row. The limit stays: a lost response shows nothing
// about the endpoint's capacity.
func (t *Table) recordFailure(s *endpointState, now time.Time) {
	s.failuresInRow++
	if s.failuresInRow < failuresToEject || t.switchedOff.Has(vetchtrail.MechanismEjection) {
		return
	}
	t.eject(s, now)
}

// eject takes the endpoint out of use for a time that doubles with each ejection until it sends a response
// without an error. It does nothing when too many endpoints of the service are ejected already, or no other one is
// in use.
func (t *Table) eject(s *endpointState, now time.Time) {
	ejected := 0
	for _, other := range t.services[s.Service] {
		if now.Before(other.ejectedUntil) {
			ejected++
		}
	}
	if float64(ejected+1) > math.Max(1, maxEjectedShare*float64(len(t.services[s.Service]))) || t.isLastInUse(s, now) {
		return
	}
	s.reach.ejectedAt, s.ejectedUntil = now, now.Add(min(minEjection<<s.ejections, maxEjection))
	s.ejections = min(s.ejections+1, 5)
	s.failuresInRow = 0
	s.warmUp = initialWarmUp
}

// isLastInUse reports whether no other endpoint of the service is in use here. Without the last one, requests
// could only be refused.
func (t *Table) isLastInUse(s *endpointState, now time.Time) bool {
	for _, other := range t.services[s.Service] {
		if other != s && other.inUse(now) {
			return false
		}
	}
	return true
}

// significantSlowdown returns the ratio of an endpoint's mean to its service's, or 1 if the endpoint isn't
// clearly slower.
func significantSlowdown(ratio float64, count int) float64 {
	if count < minObservations || ratio < 1+slowdownTolerance {
		return 1
	}
	return ratio
}

// average is an exponentially weighted mean. The first observations weigh more, so that the initial value is
// soon forgotten.
type average struct {
	value float64
	count int // observations
}

func (a *average) observe(x float64) {
	a.count++
	a.value += math.Max(meanSmoothing, 1/float64(a.count+1)) * (x - a.value)
}
