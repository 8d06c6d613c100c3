package load

import (
	"context"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"vetchtrail"
)

const (
	// eventIntervalSmoothing is the weight of a new interval in the mean. An endpoint's streams send some tens
	// of events a second.
	eventIntervalSmoothing = 0.05
	// eventIntervalDecay is the time in which a mean without new observations falls to 1/e: the streams that it
	// was observed on have ended since.
	eventIntervalDecay = time.Second
	// maxIntervalReportAge is the age up to which a report is used as the number of requests that an endpoint
	// runs, to estimate its event interval. Streams take some seconds.
	maxIntervalReportAge = 2 * time.Second
	// maxIntervalSecondsPerRequest bounds what one more running request adds to the interval.
	maxIntervalSecondsPerRequest = 0.05
)

// eventInterval is the mean time between two events of an endpoint's streams. It grows with the number of
// streams that run there.
type eventInterval struct {
	mean       float64 // seconds
	observedAt time.Time
}

func (i *eventInterval) observe(d time.Duration, now time.Time) {
	i.mean = i.decayedMean(now)
	if i.mean == 0 {
		i.mean = d.Seconds()
	}
	i.mean += eventIntervalSmoothing * (d.Seconds() - i.mean)
	i.observedAt = now
}

// decayedMean is the mean after the decay since the last observation; 0: nothing is known.
func (i *eventInterval) decayedMean(now time.Time) float64 {
	if i.observedAt.IsZero() {
		return 0
	}
	return i.mean * math.Exp(-max(0, now.Sub(i.observedAt).Seconds())/eventIntervalDecay.Seconds())
}

const (
	// An endpoint counts as silent when nothing arrived on any of its streams for silentIntervals mean
	// intervals and at least minSilence: a long prompt delays its streams by some hundred milliseconds.
	silentIntervals = 10
	minSilence      = 700 * time.Millisecond
	// runningInterval is how often RecordRunning is called while this host's process runs.
	runningInterval = 100 * time.Millisecond
	// maxRunningAge is the age from which the last call of RecordRunning shows that the process was stopped, or gets
	// too little processor time to read what endpoints send. It is well below minSilence.
	maxRunningAge = 300 * time.Millisecond
)

// processPause is the time for which this host's process did not run.
var processPause = metrics.GetOrCreateHistogram("vetchtrail_process_pause_seconds")

// Run calls RecordRunning until ctx ends.
func (t *Table) Run(ctx context.Context) {
	ticker := time.NewTicker(runningInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.RecordRunning(time.Now())
		}
	}
}

// RecordRunning records that this host's process runs. Without regular calls, each silence counts as an endpoint's.
// After a gap between two calls the endpoints get the time of a whole silence again, as what they sent in the gap
// has not been read yet.
func (t *Table) RecordRunning(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wasStopped(now) {
		processPause.Update(now.Sub(t.runningAt).Seconds())
		t.stoppedUntil = now
	}
	t.runningAt = now
}

// wasStopped reports whether this host's process was stopped just before now. The caller holds the lock.
func (t *Table) wasStopped(now time.Time) bool {
	return !t.runningAt.IsZero() && now.Sub(t.runningAt) > maxRunningAge
}

// silent reports whether the endpoint runs streams that this host reads and nothing has arrived on any of them for longer
// than silentIntervals and minSilence allow. A new request there would wait too. The caller holds the lock.
func (t *Table) silent(s *endpointState, now time.Time) bool {
	if len(s.startedStreams) == s.pausedStreams || t.switchedOff.Has(vetchtrail.MechanismSilence) || t.wasStopped(now) {
		return false
	}
	threshold := max(minSilence, time.Duration(silentIntervals*s.eventInterval.mean*t.timeFactor(s, now)*float64(time.Second)))
	return now.Sub(vetchtrail.Later(s.lastSeen, t.stoppedUntil)) > threshold
}

// Silent implements vetchtrail.Observer.
func (t *Table) Silent(e vetchtrail.Endpoint, now time.Time) (vetchtrail.Silence, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.instance(e.Name, e.Born)
	if !ok || !t.silent(s, now) {
		return vetchtrail.Silence{}, false
	}
	t.suspect(s, now)
	return vetchtrail.Silence{Connected: s.connectedSinceSilent(), Standstill: t.standsStill(s, now), Endpoint: s.Name}, true
}

// connectedSinceSilent reports whether this host opened a connection to the endpoint since it last sent anything.
func (s *endpointState) connectedSinceSilent() bool { return s.reach.reachedAt.After(s.lastSeen) }

// standsStill reports whether this host reads streams of other endpoints of a silent endpoint's service, and all of
// these are silent too. The caller holds the lock.
func (t *Table) standsStill(silent *endpointState, now time.Time) bool {
	others := false
	for _, s := range t.services[silent.Service] {
		if s == silent || len(s.startedStreams) == s.pausedStreams {
			continue
		}
		if !t.silent(s, now) {
			return false
		}
		others = true
	}
	return others
}

// StreamPaused implements vetchtrail.Observer. Nothing arrives on a stream that this host doesn't read, which is no
// silence of its endpoint.
func (t *Table) StreamPaused(e vetchtrail.Endpoint, r *vetchtrail.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.instance(e.Name, e.Born); ok && s.startedStreams[r.ID] {
		s.startedStreams[r.ID] = false
		s.pausedStreams++
	}
}

// StreamResumed implements vetchtrail.Observer.
func (t *Table) StreamResumed(e vetchtrail.Endpoint, r *vetchtrail.Request, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.instance(e.Name, e.Born)
	if !ok {
		return
	}
	if read, started := s.startedStreams[r.ID]; started && !read {
		s.startedStreams[r.ID] = true
		s.pausedStreams--
		s.lastSeen = now
	}
}

// expectedEventInterval is the usual time between two events of a new stream, in seconds; 0: not known. It
// follows the mean of this host's streams at the endpoint. The older the last observation of that mean is, the more
// it follows the service's mean for the queue in the endpoint's reports where that is in force, or else the fit over
// the service's endpoints, at the number of running requests that this one last reported.
func (t *Table) expectedEventInterval(s *endpointState, svc *serviceStats, now time.Time) float64 {
	if !s.hasReport || now.Sub(s.report.TakenAt) > maxIntervalReportAge {
		return s.eventInterval.decayedMean(now)
	}
	usual := t.queueInterval(s, svc)
	if usual == 0 {
		if !svc.eventIntervalFit.known() {
			return s.eventInterval.decayedMean(now)
		}
		base, slope := svc.eventIntervalFit.line()
		usual = base + slope*float64(s.report.Running)
	}
	if s.eventInterval.observedAt.IsZero() {
		return usual
	}
	weight := math.Exp(-max(0, now.Sub(s.eventInterval.observedAt).Seconds()) / eventIntervalDecay.Seconds())
	return weight*s.eventInterval.mean + (1-weight)*usual
}

// EventReceived implements vetchtrail.Observer.
func (t *Table) EventReceived(e vetchtrail.Endpoint, interval time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.instance(e.Name, e.Born)
	if !ok {
		return
	}
	s.lastSeen = now
	if s.uneven != nil {
		interval = time.Duration(float64(time.Second) * t.usualSeconds(s, interval.Seconds(), now))
	}
	s.eventInterval.observe(interval, now)
	if s.hasReport && now.Sub(s.report.TakenAt) < maxIntervalReportAge {
		svc := t.serviceStats[s.Service]
		svc.eventIntervalFit.observe(float64(s.report.Running), interval.Seconds())
		svc.queueIntervals.observe(s.report.Queued, interval.Seconds())
	}
}
