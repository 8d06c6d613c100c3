package load

import (
	"math"
	"time"

	"vetchtrail"
)

const (
	// queueIntervalSmoothing is the least weight of a new interval in the mean of a queue length. A host's
	// streams send some hundred events a second at all endpoints together.
	queueIntervalSmoothing = 0.01
	// queueLengthDecay is the time in which the weight of a report in an endpoint's recent queue lengths falls to 1/e:
	// as long as queues of some requests last.
	queueLengthDecay = time.Second
)

// queueLengths are the numbers of queued requests by which event intervals are distinguished: none, 1, 2 to 3,
// and 4 or more. An endpoint with a queue processes prompts continuously, which delays the events of its streams.
const queueLengths = 4

// queueLength returns the index of a number of queued requests in queueLengths.
func queueLength(queued int) int {
	switch {
	case queued <= 0:
		return 0
	case queued == 1:
		return 1
	case queued <= 3:
		return 2
	}
	return 3
}

// queueIntervals are a service's mean seconds between two events of a stream, by queue length.
type queueIntervals [queueLengths]average

// observe updates the mean of a queue length.
func (q *queueIntervals) observe(queued int, seconds float64) {
	a := &q[queueLength(queued)]
	a.count++
	a.value += math.Max(queueIntervalSmoothing, 1/float64(a.count)) * (seconds - a.value)
}

// expected returns the mean interval over an endpoint's recent queue lengths; 0: not known. Lengths
// without enough observations are left out.
func (q *queueIntervals) expected(recent *recentQueue) float64 {
	sum, weight := 0.0, 0.0
	for i := range q {
		if q[i].count >= minObservations {
			sum += recent[i] * q[i].value
			weight += recent[i]
		}
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}

// recentQueue is the share of the recent time in which an endpoint had each queue length, by its reports.
type recentQueue [queueLengths]float64

// observe updates the shares with a report, which stands for the time since the report before.
func (r *recentQueue) observe(queued int, since time.Duration) {
	keep := math.Exp(-max(0, since.Seconds()) / queueLengthDecay.Seconds())
	for i := range r {
		r[i] *= keep
	}
	r[queueLength(queued)] += 1 - keep
}

// SetQueueIntervals sets whether a service's event intervals are derived from the queues in load reports where this
// host has no recent streams at an endpoint. They also are where an endpoint of the service reports a slowdown.
func (t *Table) SetQueueIntervals(service string, inForce bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.serviceStats[service] == nil {
		t.serviceStats[service] = newServiceStats(service)
	}
	t.serviceStats[service].queueIntervalsInForce = inForce
}

// queueInterval is the usual event interval at an endpoint by its recent queue, in seconds; 0: it isn't known or not
// in force. The caller has checked that the endpoint's report is recent.
func (t *Table) queueInterval(s *endpointState, svc *serviceStats) float64 {
	if (!svc.queueIntervalsInForce && !svc.reportsSlowdown) || t.switchedOff.Has(vetchtrail.MechanismUnevenEndpoints) {
		return 0
	}
	return svc.queueIntervals.expected(&s.recentQueue)
}
