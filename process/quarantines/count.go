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
	// judgeAfter is how long after the word of an end is judged: until all hosts can have
	// told of it.
	judgeAfter = 320 * time.Millisecond
	// tellTime bounds a message to another host: two ways between regions.
	tellTime = time.Second
	// tellTries is how often a message is sent to a host that counts, with tellPause between:
	// what it does not hear is lost.
	tellTries = 3
	tellPause = 200 * time.Millisecond
	// recentFor is for how long a host tells counters that it meets of the ends that it saw, and mostRecent bounds
	// those.
	recentFor  = time.Minute
	mostRecent = 32
)

// count tells the hosts that count what this host saw, and judges if it is one of them. It
// returns true if it held a request back.
func (q *Quarantines) count(ctx context.Context, now time.Time) bool {
	q.mu.Lock()
	ends, served := q.ends, q.served
	q.ends, q.served = nil, nil
	q.recent = append(q.recent, ends...)
	q.recent = q.recent[max(0, len(q.recent)-mostRecent):]
	q.mu.Unlock()
	if len(ends)+len(served) > 0 {
		q.report(ctx, ends, served, now)
	}
	return q.judgeNow(now)
}

// report takes what this host saw to the counters of all regions.
func (q *Quarantines) report(ctx context.Context, ends []quarantine.Crash, served []served, now time.Time) {
	m := &schema.Ends{From: q.cfg.Self.Name}
	for _, e := range ends {
		m.Ends = append(m.Ends, fromEnd(e, now))
	}
	for _, s := range served {
		m.Served = append(m.Served, &schema.Served{Digest: s.digest[:], Age: int64(now.Sub(s.at))})
	}
	for _, h := range q.allCounters() {
		if h.Name == q.cfg.Self.Name {
			q.counted(ends, served, now)
			continue
		}
		go q.reportTo(ctx, h, m, now)
	}
}

// allCounters returns the hosts that count, of all regions.
func (q *Quarantines) allCounters() []vetchtrail.Host {
	var out []vetchtrail.Host
	for _, region := range q.cfg.Regions() {
		out = append(out, q.countersOf(region)...)
	}
	return out
}

// process is a host's process: another one under its name has counted nothing.
type process struct {
	name        string
	incarnation uint64
}

// introduce tells counters that were none when this host saw ends, or did not hear of them: hosts of a region that
// have not met count each for itself, and what each saw is too little to judge by.
func (q *Quarantines) introduce(ctx context.Context, now time.Time) {
	counters := q.allCounters()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recent = slices.DeleteFunc(q.recent, func(e quarantine.Crash) bool { return now.Sub(e.At) > recentFor })
	met := map[process]bool{}
	for _, h := range counters {
		key := process{name: h.Name, incarnation: h.Incarnation}
		met[key] = true
		if q.met[key] || h.Name == q.cfg.Self.Name || len(q.recent) == 0 {
			continue
		}
		m := &schema.Ends{From: q.cfg.Self.Name}
		for _, e := range q.recent {
			m.Ends = append(m.Ends, fromEnd(e, now))
		}
		go q.reportTo(ctx, h, m, now)
	}
	q.met = met
}

// reportTo tells one counter, again if it does not answer. One that doesn't at all is told when it is met again.
func (q *Quarantines) reportTo(ctx context.Context, h vetchtrail.Host, m *schema.Ends, made time.Time) {
	for try := range tellTries {
		if try > 0 {
			wait(ctx, tellPause)
		}
		call, cancel := context.WithTimeout(ctx, tellTime)
		reply, err := q.cfg.Peers.Ended(call, h.Peers, older(m, q.cfg.Clock().Sub(made)))
		cancel()
		if err == nil {
			q.hearSuspects(reply)
			return
		}
		q.cfg.Log.Info("counter of ends not reached", "peer", h.Name, "try", try+1, "error", err)
		if ctx.Err() != nil {
			return
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.met, process{name: h.Name, incarnation: h.Incarnation})
}

// older returns a report that is sent some time after it was made.
func older(m *schema.Ends, by time.Duration) *schema.Ends {
	out := &schema.Ends{From: m.GetFrom()}
	for _, e := range m.GetEnds() {
		out.Ends = append(out.Ends, &schema.End{Endpoint: e.GetEndpoint(), Born: e.GetBorn(), Age: e.GetAge() + int64(by), Ran: e.GetRan(), Begun: e.GetBegun()})
	}
	for _, s := range m.GetServed() {
		out.Served = append(out.Served, &schema.Served{Digest: s.GetDigest(), Age: s.GetAge() + int64(by)})
	}
	return out
}

// counted takes what a host saw into the evidence.
func (q *Quarantines) counted(ends []quarantine.Crash, served []served, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, e := range ends {
		q.evidence.RecordCrash(e, now)
	}
	for _, s := range served {
		q.evidence.RecordServed(s.digest, s.at)
	}
	if q.judge.IsZero() {
		q.judge = now.Add(judgeAfter)
		q.stir()
	}
}

// HostEnded takes what another host saw, and answers with the suspects.
func (q *Quarantines) HostEnded(m *schema.Ends) (*schema.Holds, error) {
	now := q.cfg.Clock()
	var ends []quarantine.Crash
	var seen []served
	for _, line := range m.GetEnds() {
		e, err := toEnd(line, now)
		if err != nil {
			return nil, err
		}
		ends = append(ends, e)
	}
	for _, line := range m.GetServed() {
		d, err := schema.ToDigest(line.GetDigest())
		if err != nil {
			return nil, err
		}
		seen = append(seen, served{digest: d, at: now.Add(-time.Duration(max(0, line.GetAge())))})
	}
	q.counted(ends, seen, now)
	q.mu.Lock()
	defer q.mu.Unlock()
	return &schema.Holds{From: q.cfg.Self.Name, Suspects: fromSuspects(q.suspects)}, nil
}

// judgeNow holds back what the evidence tells to, if there is any new.
func (q *Quarantines) judgeNow(now time.Time) (found bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.judge.IsZero() || now.Before(q.judge) {
		return false
	}
	q.judge = time.Time{}
	if q.evidence.AwaitingReports(now) {
		q.judge = now.Add(judgeAfter)
	}
	var holds []vetchtrail.Hold
	for _, s := range q.evidence.Detect(quarantine.StrategyGreedy, q.holds, now) {
		hold := q.holds.Add(s.Digest, s.Ends, now)
		holds = append(holds, hold)
		countHold()
		q.cfg.Log.Warn("request held back", "digest", s.Digest.String(), "ends", s.Ends, "strike", hold.Strike, "for", hold.Until.Sub(now))
	}
	suspects := slices.DeleteFunc(q.evidence.Suspects(suspectAt), func(s quarantine.Suspect) bool {
		_, held := q.holds.Lookup(s.Digest, q.cfg.Clock)
		return held
	})
	suspects = suspects[:min(suspectsTold, len(suspects))]
	if len(holds) > 0 || !slices.Equal(suspects, q.suspects) {
		q.suspects = suspects
		q.spread(holds, now)
	}
	return len(holds) > 0
}
