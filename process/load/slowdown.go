package load

import (
	"math"
	"time"

	"vetchtrail"
)

const (
	// slowdownMeanTime is the time in which the weight of a report in an endpoint's mean slowdown falls to 1/e: many
	// slow periods, which last up to some seconds, but less than the life of most endpoints.
	slowdownMeanTime = 30 * time.Second
	// minServiceSlowdownWeight is the least weight of a report in the mean of a service. A service's endpoints send
	// some hundred reports a second together.
	minServiceSlowdownWeight = 0.002
	// initialPeriod is the assumed duration of a period of about the same slowdown until it is learned: between
	// the duration of a request's prompt processing and that of a whole response.
	initialPeriod = 500 * time.Millisecond
	// minPeriod and maxPeriod bound the learned duration. A shorter one is over before a report arrives. A longer one
	// outlasts most requests, so that its exact duration makes no difference.
	minPeriod = 50 * time.Millisecond
	maxPeriod = 10 * time.Second
	// maxPairInterval bounds the time between two reports that are compared to learn the duration of periods: pairs
	// that are further apart are mostly unrelated.
	maxPairInterval = time.Second
	// minPairs is how many pairs of reports are needed to learn the duration.
	minPairs = 100
	// pairDecay multiplies the weight of earlier pairs on each new one.
	pairDecay = 0.998
	// minCorrelation and maxCorrelation bound the observed correlation of two reports, so that its logarithm is
	// defined and few pairs don't yield an extreme duration.
	minCorrelation = 0.02
	maxCorrelation = 0.98
	// minPeriods is the number of periods up to which work counts as instantaneous, so that nothing is divided by 0.
	minPeriods = 1e-6
	// uncertainPrompts is the difference up to which the predicted times to the first byte of two endpoints count as
	// equal, in usual prompts. Reports are up to a second old. In that time other hosts, which decide by the same
	// reports, send each of the endpoints that seem best a few prompts.
	uncertainPrompts = 2.0
	// uncertainQueueShare is the share of the mean queue that is added to them: how far a queue has changed
	// since its report grows with its length.
	uncertainQueueShare = 0.5
)

// slowdown is how long an endpoint's work takes, as a multiple of the usual time, by its reports.
type slowdown struct {
	reported float64   // by the newest report that contains a slowdown
	at       time.Time // of that report
	mean     float64   // over time
}

// serviceSlowdown is what is known of the slowdowns of a service's endpoints.
type serviceSlowdown struct {
	mean     float64 // over all reports
	reports  int
	variance float64 // weighted sum of the squared differences from the mean, of the first report in each pair
	product  float64 // weighted sum of the products of the differences of a pair
	interval float64 // weighted sum of the seconds between the reports of a pair
	weight   float64
	pairs    int
	period   float64 // seconds in which the correlation of two reports falls to 1/e; 0: initialPeriod
}

// observe updates the mean with a report.
func (s *serviceSlowdown) observe(x float64) {
	s.reports++
	s.mean += math.Max(minServiceSlowdownWeight, 1/float64(s.reports)) * (x - s.mean)
}

// observePair updates the correlation with two reports of one endpoint whose mean is known.
func (s *serviceSlowdown) observePair(first, second, mean float64, interval time.Duration) {
	if interval > maxPairInterval {
		return
	}
	s.variance = s.variance*pairDecay + (first-mean)*(first-mean)
	s.product = s.product*pairDecay + (first-mean)*(second-mean)
	s.interval = s.interval*pairDecay + interval.Seconds()
	s.weight = s.weight*pairDecay + 1
	s.pairs++
	if s.pairs < minPairs || s.variance == 0 {
		return
	}
	correlation := math.Min(math.Max(s.product/s.variance, minCorrelation), maxCorrelation)
	s.period = math.Min(math.Max(-s.interval/s.weight/math.Log(correlation), minPeriod.Seconds()), maxPeriod.Seconds())
}

// periodSeconds is the duration of a period.
func (s *serviceSlowdown) periodSeconds() float64 {
	if s.period == 0 {
		return initialPeriod.Seconds()
	}
	return s.period
}

// observe updates the state with a report that is newer than the last one. The mean starts at the service's, and
// a report counts for the time since the one before, since reports come with responses and are not evenly spaced.
func (s *slowdown) observe(x float64, at time.Time, svc *serviceSlowdown) {
	svc.observe(x)
	if s.at.IsZero() {
		s.reported, s.at, s.mean = x, at, svc.mean
		return
	}
	since := at.Sub(s.at)
	svc.observePair(s.reported, x, s.mean, since)
	weight := 1 - math.Exp(-min(since, maxPairInterval).Seconds()/slowdownMeanTime.Seconds())
	s.reported, s.at = x, at
	s.mean += weight * (x - s.mean)
}

// expected is the mean slowdown during a time in seconds that begins now, or that ends now. Slowdowns are taken as a
// process whose correlation falls exponentially with time: the influence of the newest report falls with its age,
// and with the time, as longer work outlasts the period of the report.
func (s *slowdown) expected(seconds, period float64, now time.Time) float64 {
	return s.expectedBy(s.influence(period, now), seconds/period)
}

// influence is the influence of the newest report on the slowdown at present, 0 to 1.
func (s *slowdown) influence(period float64, now time.Time) float64 {
	return math.Exp(-math.Max(0, now.Sub(s.at).Seconds()) / period)
}

// expectedBy is the mean slowdown during a number of periods.
func (s *slowdown) expectedBy(influence, periods float64) float64 {
	if periods > minPeriods {
		influence *= (1 - math.Exp(-periods)) / periods
	}
	return s.mean + (s.reported-s.mean)*influence
}

// uneven is the slowdown and the speed of an endpoint that has reported a slowdown.
type uneven struct {
	slowdown slowdown
	speed    speed
}

// recordSlowdown updates the endpoint's slowdown with its newest report.
func (t *Table) recordSlowdown(s *endpointState) {
	if s.report.Slowdown <= 0 || t.switchedOff.Has(vetchtrail.MechanismUnevenEndpoints) {
		return
	}
	if s.uneven == nil {
		s.uneven = &uneven{speed: speed{value: 1}}
	}
	svc := t.serviceStats[s.Service]
	svc.reportsSlowdown = true
	s.uneven.slowdown.observe(s.report.Slowdown, s.report.TakenAt, &svc.slowdown)
}

// timeFactor is how long an instant of work takes at the endpoint at present, as a multiple of the usual time at the
// service. It is 1 for an endpoint that has reported no slowdown.
func (t *Table) timeFactor(s *endpointState, now time.Time) float64 {
	if s.uneven == nil {
		return 1
	}
	return t.pastSlowdown(s, 0, now) / s.uneven.speed.value
}

// pastSlowdown is the slowdown that the endpoint probably had during the seconds before now.
func (t *Table) pastSlowdown(s *endpointState, seconds float64, now time.Time) float64 {
	if s.uneven == nil {
		return 1
	}
	return s.uneven.slowdown.expected(seconds, t.serviceStats[s.Service].slowdown.periodSeconds(), now)
}

// usualSeconds converts the observed time of work that ended now to the time that it usually takes at the service.
func (t *Table) usualSeconds(s *endpointState, observed float64, now time.Time) float64 {
	if s.uneven == nil {
		return observed
	}
	return observed * s.uneven.speed.value / t.pastSlowdown(s, observed, now)
}

// SetPlacesBySpeed sets whether the speed and the slowdown of endpoints enter the times by which endpoints are chosen,
// and not only the event intervals. Faster endpoints then get more requests, also such whose prompts
// others have cached.
func (t *Table) SetPlacesBySpeed(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.placesBySpeed = on
}

// scalePredictions applies the endpoint's slowdown and speed to the usual times of its service in a view. tokens are
// the prompt tokens that the endpoint processes before a response starts.
func (t *Table) scalePredictions(s *endpointState, v *vetchtrail.EndpointView, tokens float64, now time.Time) {
	if s.uneven == nil {
		return
	}
	u, period := s.uneven, t.serviceStats[s.Service].slowdown.periodSeconds()
	influence, inPeriods := u.slowdown.influence(period, now), u.slowdown.mean/u.speed.value/period
	first := u.slowdown.expectedBy(influence, (v.BaseLatency+v.Prefill*tokens)*inPeriods) / u.speed.value
	whole := u.slowdown.expectedBy(influence, v.ServiceTime*inPeriods) / u.speed.value
	v.EventInterval *= whole
	if !t.placesBySpeed {
		return
	}
	v.BaseLatency *= first
	v.Prefill *= first
	v.ServiceTime *= whole
}

// throughput is the work that the endpoint does in a time, as a multiple of an endpoint's that reports no slowdown.
// Queues that take the same time are as long as the throughput is high.
func (s *endpointState) throughput() float64 {
	if s.uneven == nil {
		return 1
	}
	return s.uneven.speed.value / s.uneven.slowdown.mean
}

// uncertainty is the seconds up to which the predicted times to the first byte of two endpoints count as equal.
func (svc *serviceStats) uncertainty() float64 {
	base, token := svc.lightFit.line()
	return (uncertainPrompts + uncertainQueueShare*svc.othersQueued) * (base + token*svc.uncachedTokens.value)
}
