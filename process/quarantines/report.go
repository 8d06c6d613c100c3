package quarantines

import (
	"context"
	"slices"
	"time"

	"vetchtrail"
	"vetchtrail/request/quarantine"
	"vetchtrail/schema"
)

const (
	// detectionDelay is the delay from the report of a crash to the detection. By then all hosts
	// have had time to report the crash.
	detectionDelay = 320 * time.Millisecond
	// callTimeout bounds a call to another host. It is enough for a round trip between regions.
	callTimeout = time.Second
	// reportAttempts is how often a report is sent to an aggregator that doesn't reply, with
	// reportRetryDelay between two attempts. If all fail, reportToNewAggregators sends the crashes
	// again; the served requests of the report are lost.
	reportAttempts   = 3
	reportRetryDelay = 200 * time.Millisecond
	// recentCrashTTL is how long this host reports the crashes that it detected to new aggregators,
	// and maxRecentCrashes bounds these crashes.
	recentCrashTTL   = time.Minute
	maxRecentCrashes = 32
)

// reportAndDetect reports this host's crashes and served requests to the aggregators and, if this
// host is one of them, runs a detection that is due. It returns whether a request was quarantined.
func (q *Quarantines) reportAndDetect(ctx context.Context, now time.Time) bool {
	q.mu.Lock()
	crashes, served := q.crashes, q.served
	q.crashes, q.served = nil, nil
	q.recentCrashes = append(q.recentCrashes, crashes...)
	q.recentCrashes = q.recentCrashes[max(0, len(q.recentCrashes)-maxRecentCrashes):]
	q.mu.Unlock()
	if len(crashes)+len(served) > 0 {
		q.reportToAggregators(ctx, crashes, served, now)
	}
	return q.detect(now)
}

// reportToAggregators sends crashes and served requests to the aggregators of all regions.
func (q *Quarantines) reportToAggregators(ctx context.Context, crashes []quarantine.Crash, served []servedRequest, now time.Time) {
	m := &schema.Ends{From: q.cfg.Self.Name}
	for _, c := range crashes {
		m.Ends = append(m.Ends, fromCrash(c, now))
	}
	for _, s := range served {
		m.Served = append(m.Served, &schema.Served{Digest: s.contentHash[:], Age: int64(now.Sub(s.at))})
	}
	for _, h := range q.allAggregators() {
		if h.Name == q.cfg.Self.Name {
			q.recordReport(h.Name, crashes, served, now)
			continue
		}
		go q.sendReport(ctx, h, m, now)
	}
}

// allAggregators returns the aggregators of all regions.
func (q *Quarantines) allAggregators() []vetchtrail.Host {
	var out []vetchtrail.Host
	for _, region := range q.cfg.Regions() {
		out = append(out, q.aggregatorsIn(region)...)
	}
	return out
}

// hostInstance is one process instance of a host. A later one under the same name starts without a
// crash history.
type hostInstance struct {
	name        string
	incarnation uint64
}

// reportToNewAggregators sends the recent crashes to aggregators that weren't aggregators, or
// weren't reached, when this host reported the crashes. While the hosts of a region haven't
// discovered each other, each is its own aggregator, and may have too few crashes to detect a poison
// request.
func (q *Quarantines) reportToNewAggregators(ctx context.Context, now time.Time) {
	aggregators := q.allAggregators()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recentCrashes = slices.DeleteFunc(q.recentCrashes, func(c quarantine.Crash) bool { return now.Sub(c.At) > recentCrashTTL })
	informed := map[hostInstance]bool{}
	for _, h := range aggregators {
		key := hostInstance{name: h.Name, incarnation: h.Incarnation}
		informed[key] = true
		if q.informed[key] || h.Name == q.cfg.Self.Name || len(q.recentCrashes) == 0 {
			continue
		}
		m := &schema.Ends{From: q.cfg.Self.Name}
		for _, c := range q.recentCrashes {
			m.Ends = append(m.Ends, fromCrash(c, now))
		}
		go q.sendReport(ctx, h, m, now)
	}
	q.informed = informed
}

// sendReport sends a report to one aggregator and retries if it doesn't reply. If all attempts
// fail, reportToNewAggregators sends it the recent crashes again.
func (q *Quarantines) sendReport(ctx context.Context, h vetchtrail.Host, m *schema.Ends, createdAt time.Time) {
	for attempt := range reportAttempts {
		if attempt > 0 {
			sleep(ctx, reportRetryDelay)
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := q.cfg.Peers.ReportCrashes(call, h.PeerAddr, withAddedAge(m, q.cfg.Clock().Sub(createdAt)))
		cancel()
		if err == nil {
			q.recordSuspects(reply)
			return
		}
		q.cfg.Log.Info("crash aggregator not reached", "peer", h.Name, "try", attempt+1, "error", err)
		if ctx.Err() != nil {
			return
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.informed, hostInstance{name: h.Name, incarnation: h.Incarnation})
}

// withAddedAge returns a copy of a report with its ages increased, to send it some time after it was
// made.
func withAddedAge(m *schema.Ends, added time.Duration) *schema.Ends {
	out := &schema.Ends{From: m.GetFrom()}
	for _, e := range m.GetEnds() {
		out.Ends = append(out.Ends, &schema.End{Endpoint: e.GetEndpoint(), Born: e.GetBorn(), Age: e.GetAge() + int64(added), Ran: e.GetRan(), Begun: e.GetBegun(), Parts: withAddedSoundAge(e.GetParts(), added)})
	}
	for _, s := range m.GetServed() {
		out.Served = append(out.Served, &schema.Served{Digest: s.GetDigest(), Age: s.GetAge() + int64(added)})
	}
	return out
}

// withAddedSoundAge returns a copy of the parts of a crash with their ages increased.
func withAddedSoundAge(parts []*schema.EndPart, added time.Duration) []*schema.EndPart {
	out := make([]*schema.EndPart, 0, len(parts))
	for _, p := range parts {
		older := &schema.EndPart{Digest: p.GetDigest(), Depth: p.GetDepth(), Requests: p.GetRequests()}
		if p.GetSoundAge() > 0 {
			older.SoundAge = p.GetSoundAge() + int64(added)
		}
		out = append(out, older)
	}
	return out
}

// recordReport adds the crashes and served requests that a host reports to the crash history.
func (q *Quarantines) recordReport(from string, crashes []quarantine.Crash, served []servedRequest, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, c := range crashes {
		q.history.RecordCrash(c, now)
	}
	for _, s := range served {
		if cleared := q.history.RecordServed(s.contentHash, s.at); cleared >= suspectThreshold {
			q.cfg.Log.Info("suspect cleared", "digest", s.contentHash.String(), "ends", cleared, "peer", from, "age", now.Sub(s.at))
		}
	}
	if q.detectAt.IsZero() {
		q.detectAt = now.Add(detectionDelay)
		q.wakeRun()
	}
}

// HandleCrashes records the crashes and served requests of another host's report and replies with
// the suspects.
func (q *Quarantines) HandleCrashes(m *schema.Ends) (*schema.Holds, error) {
	now := q.cfg.Clock()
	var crashes []quarantine.Crash
	var served []servedRequest
	for _, reported := range m.GetEnds() {
		crash, err := toCrash(reported, now)
		if err != nil {
			return nil, err
		}
		crashes = append(crashes, crash)
	}
	for _, reported := range m.GetServed() {
		hash, err := schema.ToContentHash(reported.GetDigest())
		if err != nil {
			return nil, err
		}
		served = append(served, servedRequest{contentHash: hash, at: now.Add(-time.Duration(max(0, reported.GetAge())))})
	}
	q.recordReport(m.GetFrom(), crashes, served, now)
	q.mu.Lock()
	defer q.mu.Unlock()
	return &schema.Holds{From: q.cfg.Self.Name, Suspects: fromSuspects(q.suspects, now)}, nil
}

// newSuspects returns the first of some suspects, without those that are quarantined.
func (q *Quarantines) newSuspects(suspects []quarantine.Suspect) []quarantine.Suspect {
	suspects = slices.DeleteFunc(suspects, func(s quarantine.Suspect) bool {
		_, quarantined := q.entries.Lookup(s.ContentHash, q.cfg.Clock)
		return quarantined
	})
	return suspects[:min(maxSuspectsPerMessage, len(suspects))]
}

// detect runs a detection if one is due and quarantines the requests and parts that it finds. It sends
// new entries and changed suspects to the other hosts.
func (q *Quarantines) detect(now time.Time) (quarantined bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.detectAt.IsZero() || now.Before(q.detectAt) {
		return false
	}
	q.detectAt = time.Time{}
	if q.history.AwaitingReports(now) {
		q.detectAt = now.Add(detectionDelay)
	}
	found := q.history.Detect(quarantine.StrategyGreedy, q.entries, now)
	parts, again := q.detectParts(now)
	if !again.IsZero() && (q.detectAt.IsZero() || again.Before(q.detectAt)) {
		q.detectAt = again
	}
	var entries []vetchtrail.QuarantineEntry
	for _, s := range append(found, parts...) {
		entry := q.entries.AddSuspect(s, now)
		entries = append(entries, entry)
		countQuarantined()
		q.cfg.Log.Warn("request held back", "digest", s.ContentHash.String(), "part", s.Part, "ends", s.Crashes, "strike", entry.Count, "for", entry.Until.Sub(now))
	}
	suspects := append(q.newSuspects(q.history.Suspects(suspectThreshold)), q.newSuspects(q.history.PartSuspects(suspectThreshold))...)
	if len(entries) > 0 || !slices.Equal(suspects, q.suspects) {
		q.suspects = suspects
		q.broadcast(entries, now)
	}
	return len(entries) > 0
}
