package quarantines

import (
	"context"
	"slices"
	"sync"
	"time"

	"vetchtrail"
	"vetchtrail/request/quarantine"
)

const (
	// lossGatherTime is the delay from the first loss at an endpoint to its probe. All connections
	// of an endpoint that crashes are reset together, so the other losses are recorded by then.
	lossGatherTime = 60 * time.Millisecond
	// secondProbeDelay is the delay between two probes of an endpoint. An endpoint whose process
	// seems to have ended at both has crashed; an endpoint with too many connections refuses only
	// some of them.
	secondProbeDelay = 100 * time.Millisecond
	// probeTimeout bounds a probe. Endpoints are in the same region, and a crashed one refuses at
	// once.
	probeTimeout = 300 * time.Millisecond
	// probeCooldown is the least time between probes of an endpoint that did not refuse. It keeps
	// an endpoint that loses responses but is alive from being probed for each of them.
	probeCooldown = time.Second
	// crashLossWindow is how long before the last loss at a crashed endpoint a request may have
	// been lost to count as lost in the crash.
	crashLossWindow = 2 * time.Second
	// listingWait is how long a loss is remembered. By then the platform's listing shows that its
	// endpoint has crashed: after three missed heartbeats and the transfer of the listing to this
	// host.
	listingWait = 10 * time.Second
	// maxLossesPerEndpoint bounds the losses remembered of one endpoint.
	maxLossesPerEndpoint = 256
	// streamingThreshold is how long a response must have been streaming to set InFlight.Streaming.
	// A poison request crashes an endpoint within some tens of milliseconds of its start there.
	streamingThreshold = 500 * time.Millisecond
)

// lossTracker remembers lost attempts until it is known whether their endpoints have crashed.
type lossTracker struct {
	mu        sync.Mutex
	endpoints map[string]*affectedEndpoint // by endpoint name
}

// affectedEndpoint is an endpoint at which attempts were lost.
type affectedEndpoint struct {
	endpoint  vetchtrail.Endpoint
	lost      []loss // in chronological order
	probing   bool
	nextProbe time.Time // when it may be probed again
}

// loss is a lost attempt.
type loss struct {
	quarantine.InFlight
	at       time.Time
	service  string
	parts    []vetchtrail.PromptPart // of the prompt, that others may share
	streamed time.Duration           // how long the response had been streaming
}

func newLossTracker() lossTracker { return lossTracker{endpoints: map[string]*affectedEndpoint{}} }

// ResponseLost implements vetchtrail.Quarantine.
func (q *Quarantines) ResponseLost(e vetchtrail.Endpoint, r *vetchtrail.Request, o vetchtrail.Outcome, t vetchtrail.Timing) {
	if q.cfg.SwitchedOff || !mayBeCrash(o) || t.Sent.IsZero() {
		return
	}
	now := q.cfg.Clock()
	l := loss{at: now, service: r.Service, parts: r.SharedParts()}
	if !t.FirstByte.IsZero() {
		l.streamed = time.Since(t.FirstByte)
	}
	l.InFlight = quarantine.InFlight{ContentHash: r.ContentHash(), Streaming: l.streamed > streamingThreshold}
	// Most responses with an unmarked end are whole. They are worth no probe, but count if the endpoint turns out to have
	// crashed.
	if at, probe := q.lossTracker.add(e, l, o.Kind == vetchtrail.OutcomeUnknown, now); probe {
		go q.probe(e, at.Sub(now))
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.watched.add(l.ContentHash, now)
}

// mayBeCrash reports whether an outcome is one that a crash of the endpoint causes.
func mayBeCrash(o vetchtrail.Outcome) bool {
	lost := o.Reason == vetchtrail.ReasonResponseLost || o.Reason == vetchtrail.ReasonResponseBroken
	return o.Kind == vetchtrail.OutcomeUnknown && lost || o.Kind == vetchtrail.OutcomeAnswered && o.EndUnmarked
}

// add remembers a loss. If the endpoint is to be probed, it returns true and the time of the probe.
func (t *lossTracker) add(e vetchtrail.Endpoint, l loss, mayProbe bool, now time.Time) (at time.Time, probe bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeExpired(now)
	a, ok := t.endpoints[e.Name]
	if !ok {
		a = &affectedEndpoint{}
		t.endpoints[e.Name] = a
	}
	a.endpoint = e
	if a.lost = append(a.lost, l); len(a.lost) > maxLossesPerEndpoint {
		a.lost = a.lost[1:]
	}
	if a.probing || !mayProbe {
		return time.Time{}, false
	}
	a.probing = true
	return vetchtrail.Later(now.Add(lossGatherTime), a.nextProbe), true
}

// removeExpired removes losses whose endpoint wasn't found to have crashed within listingWait. The
// caller holds the lock.
func (t *lossTracker) removeExpired(now time.Time) {
	for name, a := range t.endpoints {
		for len(a.lost) > 0 && now.Sub(a.lost[0].at) > listingWait {
			a.lost = a.lost[1:]
		}
		if len(a.lost) == 0 && !a.probing {
			delete(t.endpoints, name)
		}
	}
}

// probe finds out after a delay whether an endpoint has crashed.
func (q *Quarantines) probe(e vetchtrail.Endpoint, delay time.Duration) {
	time.Sleep(delay)
	ended := q.processEnded(e)
	if ended {
		time.Sleep(secondProbeDelay)
		ended = q.processEnded(e)
	}
	if !ended || q.cfg.IsLeaving(e.Name) {
		q.lossTracker.finishProbe(e.Name, q.cfg.Clock().Add(probeCooldown))
		return
	}
	q.EndpointCrashed(e.Name, "refuses connections")
}

// processEnded probes an endpoint once.
func (q *Quarantines) processEnded(e vetchtrail.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return q.cfg.ProcessEnded(ctx, e)
}

// finishProbe ends the probe of an endpoint that has not crashed.
func (t *lossTracker) finishProbe(name string, nextProbe time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.endpoints[name]; ok {
		a.probing, a.nextProbe = false, nextProbe
	}
}

// EndpointCrashed records that an endpoint has stopped without having announced it. how is the
// evidence, for the log.
func (q *Quarantines) EndpointCrashed(name, how string) {
	crash, lost, ok := q.lossTracker.takeCrash(name)
	if !ok {
		return
	}
	countCrash()
	now := q.cfg.Clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.addParts(&crash, lost, now)
	q.cfg.Log.Warn("endpoint ended", "endpoint", name, "how", how, "ran", len(crash.InFlight), "parts", len(crash.Parts), "digests", hashStrings(crash.InFlight), "suspects", suspectLogEntries(q.suspects))
	q.crashes = append(q.crashes, crash)
	q.wakeRun()
}

// takeCrash removes an endpoint and returns its crash with the attempts lost in it. It returns
// false if there are none.
func (t *lossTracker) takeCrash(name string) (quarantine.Crash, []loss, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.endpoints[name]
	if !ok {
		return quarantine.Crash{}, nil, false
	}
	delete(t.endpoints, name) // also if all losses have expired: an entry left here would stay marked as probing
	if len(a.lost) == 0 {
		return quarantine.Crash{}, nil, false
	}
	last := a.lost[len(a.lost)-1].at
	out := quarantine.Crash{Endpoint: name, StartedAt: a.endpoint.Born, At: last}
	lost := slices.DeleteFunc(a.lost, func(l loss) bool { return last.Sub(l.at) > crashLossWindow })
	for _, l := range lost {
		out.At = vetchtrail.Earlier(out.At, l.at)
		out.InFlight = append(out.InFlight, l.InFlight)
	}
	return out, lost, true
}

// Listed processes a listing of the platform. An endpoint that lost requests has crashed if it is
// no longer listed, or is listed with a later start time, unless it was leaving.
func (q *Quarantines) Listed(l *vetchtrail.Listing) {
	for _, name := range q.lossTracker.crashedByListing(l) {
		if !q.cfg.IsLeaving(name) {
			q.EndpointCrashed(name, "listed no longer")
		}
	}
	q.mergePersisted(l.Quarantined)
}

// crashedByListing returns the endpoints with losses that have crashed according to the listing.
func (t *lossTracker) crashedByListing(l *vetchtrail.Listing) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.endpoints) == 0 {
		return nil
	}
	startedAt := make(map[string]time.Time, len(l.Endpoints))
	for _, e := range l.Endpoints {
		startedAt[e.Name] = e.Born
	}
	var out []string
	for name, a := range t.endpoints {
		listedStart, listed := startedAt[name]
		if !listed || listedStart.After(a.endpoint.Born) && !a.endpoint.Born.IsZero() {
			out = append(out, name)
		}
	}
	return out
}
