package quarantine

import (
	"slices"
	"time"

	"vetchtrail"
)

const (
	// crashThreshold is the number of crashes at which a request must have been in flight to be
	// quarantined.
	crashThreshold = 3
	// repeatCrashThreshold replaces crashThreshold for a request that was quarantined before and
	// not released by an operator.
	repeatCrashThreshold = 1
	// A request needs one crash more than crashThreshold for every unexplainedPerExtraCrash
	// unexplained crashes at which it was not present, from its first crash to its last, but at most
	// maxExtraCrashes more. Where endpoints also crash for other reasons, a request that is retried
	// is present at several crashes by chance.
	unexplainedPerExtraCrash = 2
	maxExtraCrashes          = 3
	// Unexplained crashes up to unexplainedLookback before the request's first crash count as well.
	unexplainedLookback = time.Second
)

// Strategy is a method of distinguishing poison requests, which crash endpoints, from requests
// that were only in flight at the same time.
type Strategy uint8

// The strategies. In the simulations of TestStrategies, StrategyGreedy needs about one crash more
// than StrategyThreshold and quarantines no harmless request; StrategyThreshold quarantines some.
const (
	// StrategyGreedy quarantines the request that was present at the most crashes and then treats
	// these crashes as explained: they no longer count against other requests. Dozens of requests
	// are in flight at each crash, and those that are retried may be present at the next one too.
	StrategyGreedy Strategy = iota
	// StrategyThreshold quarantines every request that was present at enough crashes.
	StrategyThreshold
)

// Detect returns the requests to quarantine, each with the number of crashes counted against it.
// Crashes that some hosts may not have reported yet are left out.
func (h *CrashHistory) Detect(s Strategy, entries *Entries, now time.Time) []Suspect {
	d := detection{strategy: s, now: now, history: h, known: entries.known(), explained: map[*mergedCrash]bool{}}
	if s == StrategyGreedy {
		d.explainKnown()
	}
	var out []Suspect
	for {
		found := d.strongest()
		if len(found) == 0 {
			return out
		}
		for _, t := range found {
			out = append(out, Suspect{ContentHash: t.contentHash, Crashes: len(t.crashes)})
			d.detected = append(d.detected, t.contentHash)
			for _, inv := range t.crashes {
				d.explained[inv.mergedCrash] = s == StrategyGreedy
			}
		}
	}
}

// detection is the state of one call of Detect.
type detection struct {
	strategy  Strategy
	now       time.Time
	history   *CrashHistory
	known     map[vetchtrail.ContentHash]vetchtrail.QuarantineEntry // all entries, in force, expired or released
	explained map[*mergedCrash]bool
	detected  []vetchtrail.ContentHash // requests found so far
}

// explainKnown marks as explained all crashes at which a request with an entry was present, whether
// the entry is in force or expired. Entries that an operator released explain nothing.
func (d *detection) explainKnown() {
	for hash, entry := range d.known {
		req, ok := d.history.requests[hash]
		if !ok || entry.Released {
			continue
		}
		for _, inv := range req.crashes {
			d.explained[inv.mergedCrash] = true
		}
	}
	d.explainKnownParts()
}

// tally is the evidence against one request.
type tally struct {
	contentHash  vetchtrail.ContentHash
	crashes      []involvement
	independent  int // number of crashes, where those with a common cause count as one
	notStreaming int // number of crashes at which its response was not streaming yet
}

// strongest returns the request with the strongest evidence, among those with enough evidence to be
// quarantined. If several have equally strong evidence, it returns them all.
func (d *detection) strongest() []tally {
	var out []tally
	consider := func(hash vetchtrail.ContentHash, req *requestHistory) {
		t, enough := d.tally(hash, req)
		switch {
		case !enough:
		case len(out) == 0 || t.compare(out[0]) > 0:
			out = []tally{t}
		case t.compare(out[0]) == 0:
			out = append(out, t)
		}
	}
	for hash, req := range d.history.repeated {
		consider(hash, req)
	}
	for hash := range d.known { // one crash may be enough for them, and repeated lacks requests with one crash
		if req, ok := d.history.requests[hash]; ok && d.history.repeated[hash] == nil {
			consider(hash, req)
		}
	}
	slices.SortFunc(out, func(a, b tally) int { return slices.Compare(a.contentHash[:], b.contentHash[:]) })
	return out
}

// compare returns a positive number if the evidence t is stronger than other, and 0 if they are
// equally strong.
func (t *tally) compare(other tally) int {
	if t.independent != other.independent {
		return t.independent - other.independent
	}
	return t.notStreaming - other.notStreaming
}

// halfCrashes returns the weight of the evidence: 2 for each crash, but only 1 if the response was
// already streaming, because poison requests mostly crash an endpoint when it starts them.
func (t *tally) halfCrashes() int { return t.independent + min(t.independent, t.notStreaming) }

// isSettled reports whether a request or part was found before, or has an entry in force.
func (d *detection) isSettled(hash vetchtrail.ContentHash) bool {
	entry, known := d.known[hash]
	return slices.Contains(d.detected, hash) || known && !entry.Released && d.now.Before(entry.Until)
}

// counts reports whether a crash counts against a request or part: nothing else explains it, all hosts
// have had time to report it, and it came after the last entry began, if there was one.
func (d *detection) counts(hash vetchtrail.ContentHash, inv involvement) bool {
	entry, known := d.known[hash]
	explained := d.explained[inv.mergedCrash] && !known
	return !explained && (!known || inv.At.After(entry.Since)) && d.now.Sub(inv.firstReportedAt) >= reportWait
}

// tally collects the evidence against a request and reports whether it is enough to quarantine it.
func (d *detection) tally(hash vetchtrail.ContentHash, req *requestHistory) (tally, bool) {
	t := tally{contentHash: hash}
	entry, known := d.known[hash]
	if d.isSettled(hash) {
		return t, false
	}
	for _, inv := range req.crashes {
		if !d.counts(hash, inv) {
			continue
		}
		t.crashes = append(t.crashes, inv)
		if !inv.streaming {
			t.notStreaming++
		}
	}
	t.independent = countIndependent(t.crashes)
	switch {
	case known && !entry.Released:
		return t, t.independent >= repeatCrashThreshold
	case d.strategy == StrategyThreshold:
		return t, t.independent >= crashThreshold
	case t.independent < crashThreshold:
		return t, false
	}
	required := crashThreshold + min(d.unexplainedCrashes(t.crashes)/unexplainedPerExtraCrash, maxExtraCrashes)
	return t, t.halfCrashes() >= 2*required
}

// unexplainedCrashes counts the unexplained crashes at which a request or part with the given crashes
// was not present, from unexplainedLookback before its first crash to its last. Crashes with a common
// cause count as one.
func (d *detection) unexplainedCrashes(crashes []involvement) int {
	from, to := crashes[0].At.Add(-unexplainedLookback), crashes[len(crashes)-1].At
	var out []involvement
	for _, c := range d.history.crashes {
		present := slices.ContainsFunc(crashes, func(inv involvement) bool { return inv.mergedCrash == c })
		if !present && !d.explained[c] && c.At.After(from) && !c.At.After(to) {
			out = append(out, involvement{mergedCrash: c})
		}
	}
	slices.SortStableFunc(out, byTime)
	return countIndependent(out)
}
