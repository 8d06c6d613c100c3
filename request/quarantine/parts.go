package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"vetchtrail"
)

const (
	// minPoisonRequests is how many different requests it must take to explain a part's crashes for the part to be
	// quarantined. The parts of a single poison request that is repeated are sound. From repeatedCrashes on, two
	// different requests are enough where at most one endpoint crashed without them.
	minPoisonRequests = 3
	repeatedCrashes   = 4
	// maxExtraPartCrashes replaces maxExtraCrashes for a part. Requests with a poison part don't end with the retries
	// of one caller, so that each further crash costs more.
	maxExtraPartCrashes = 7
	// maxChance is the probability that a sound part is taken for a poison part after a crash. Where most endpoints crash,
	// there are some thousand such occasions a minute, and each mistake lasts for initialDuration.
	maxChance = 1e-4
	// maxRequiredPartCrashes is the most crashes that it takes, so that a poison part is found where sound ones are hardly
	// ever answered. With tieCrashes it is below maxCrashesPerRequest.
	maxRequiredPartCrashes = 12
	// repeatRateWindow is the time before a part's first crash in which the other crashes show how often sound parts are
	// present at several in a row. It is short enough to follow the begin and end of an outage.
	repeatRateWindow = 2 * time.Minute
	// fewSoundParts is added to the number of sound parts, so that a few of them don't make a high rate.
	fewSoundParts = 20
	// tieCrashes is how many crashes beyond the required ones it takes to quarantine several parts with the same
	// evidence. With fewer, another crash may tell them apart.
	tieCrashes = 2
	// maxPartsPerCrash and maxRequestsPerPart bound the memory of the parts in a CrashHistory: 256 crashes with 256
	// parts each are 65,536 records, about 9 MB.
	maxPartsPerCrash   = 256
	maxRequestsPerPart = 4
)

// partHistory is the crashes at which requests with one part were in flight, and that no later sound response has
// cleared.
type partHistory struct {
	depth   uint8
	crashes []partInvolvement // in chronological order
	soundAt time.Time         // when a request with the part was last answered
}

// partInvolvement is a crash at which requests with a part were present.
type partInvolvement struct {
	involvement
	requests []vetchtrail.ContentHash // some of them
}

// addPart records that requests with a part were present at a crash. Hosts report the same part each with the requests
// that they had sent themselves.
func (h *CrashHistory) addPart(c *mergedCrash, in InFlightPart) {
	p, ok := h.parts[in.ContentHash]
	if ok {
		h.recordSound(in.ContentHash, in.SoundAt)
	} else {
		p = &partHistory{depth: in.Depth}
	}
	p.soundAt = vetchtrail.Later(p.soundAt, in.SoundAt)
	if !c.At.After(p.soundAt) {
		c.addSoundPart(in.ContentHash)
		return
	}
	i := slices.IndexFunc(p.crashes, func(inv partInvolvement) bool { return inv.mergedCrash == c })
	switch {
	case i >= 0:
		p.crashes[i].addRequests(in.Requests)
		return
	case len(c.parts) >= maxPartsPerCrash:
		return
	}
	inv := partInvolvement{involvement: involvement{mergedCrash: c}}
	inv.addRequests(in.Requests)
	p.crashes = append(p.crashes, inv)
	slices.SortStableFunc(p.crashes, func(a, b partInvolvement) int { return byTime(a.involvement, b.involvement) })
	p.crashes = p.crashes[max(0, len(p.crashes)-maxCrashesPerRequest):]
	h.parts[in.ContentHash] = p
	c.parts = append(c.parts, in.ContentHash)
}

// addSoundPart records that a part was present that is known to be sound by the time of the report.
func (c *mergedCrash) addSoundPart(hash vetchtrail.ContentHash) {
	if len(c.parts) < maxPartsPerCrash && !slices.Contains(c.parts, hash) {
		c.parts = append(c.parts, hash)
		c.soundParts++
	}
}

// addRequests adds requests with the part, as many as fit.
func (p *partInvolvement) addRequests(requests []vetchtrail.ContentHash) {
	for _, r := range requests {
		if len(p.requests) < maxRequestsPerPart && !slices.Contains(p.requests, r) {
			p.requests = append(p.requests, r)
		}
	}
}

// recordSound records that a request with a part was answered, so that earlier crashes no longer count against the
// part. It returns how many did.
func (h *CrashHistory) recordSound(hash vetchtrail.ContentHash, at time.Time) (cleared int) {
	p, ok := h.parts[hash]
	if !ok {
		return 0
	}
	p.soundAt = vetchtrail.Later(p.soundAt, at)
	for cleared < len(p.crashes) && !p.crashes[cleared].At.After(p.soundAt) {
		cleared++
	}
	countSound(p.crashes[:cleared])
	p.crashes = slices.Delete(p.crashes, 0, cleared)
	return cleared
}

// countSound counts a sound part at crashes in a row, after which a request with it was answered.
func countSound(crashes []partInvolvement) {
	var last time.Time
	for i, inv := range crashes {
		inv.soundParts++
		switch {
		case i == 0:
			last = inv.At
		case inv.At.Sub(last) >= commonCauseWindow:
			inv.repeatedParts++
			last = inv.At
		}
	}
}

// removePart removes a crash from a part's history.
func (h *CrashHistory) removePart(hash vetchtrail.ContentHash, c *mergedCrash) {
	p, ok := h.parts[hash]
	if !ok {
		return
	}
	p.crashes = slices.DeleteFunc(p.crashes, func(inv partInvolvement) bool { return inv.mergedCrash == c })
	if len(p.crashes) == 0 {
		delete(h.parts, hash)
	}
}

// PartSuspects returns the parts with at least minCrashes crashes against them, ordered by descending number of
// crashes.
func (h *CrashHistory) PartSuspects(minCrashes int) []Suspect {
	var out []Suspect
	for hash, p := range h.parts {
		if n := countIndependent(p.involvements()); n >= minCrashes {
			out = append(out, Suspect{ContentHash: hash, Part: true, Crashes: n, Since: p.crashes[0].At})
		}
	}
	slices.SortFunc(out, mostCrashesFirst)
	return out
}

func (p *partHistory) involvements() []involvement {
	out := make([]involvement, 0, len(p.crashes))
	for _, inv := range p.crashes {
		out = append(out, inv.involvement)
	}
	return out
}

// PartDetection is the result of DetectParts.
type PartDetection struct {
	Suspects []Suspect // to quarantine, each with the number of crashes that count against it
	// Unconfirmed is set if there is enough evidence against a part for which hosts can still report that it is sound.
	Unconfirmed bool
}

// DetectParts returns the parts of prompts to quarantine. A part that comes with all requests is present at each crash,
// so hosts are asked first: confirmed reports whether they have had time to report that a part is sound. Crashes that
// some hosts may not have reported yet are left out.
func (h *CrashHistory) DetectParts(entries *Entries, now time.Time, confirmed func(vetchtrail.ContentHash) bool) PartDetection {
	d := detection{now: now, history: h, known: entries.known(), explained: map[*mergedCrash]bool{}}
	d.explainKnownParts()
	var out PartDetection
	for {
		found := d.strongestParts()
		if len(found) == 0 {
			return out
		}
		for _, t := range found {
			if !confirmed(t.contentHash) {
				out.Unconfirmed = true
				return out
			}
		}
		for _, t := range found {
			out.Suspects = append(out.Suspects, Suspect{ContentHash: t.contentHash, Part: true, Crashes: len(t.crashes)})
			d.detected = append(d.detected, t.contentHash)
			for _, inv := range t.crashes {
				d.explained[inv.mergedCrash] = true
			}
		}
	}
}

// explainKnownParts marks as explained all crashes at which a part with an entry was present, whether the entry is in
// force or expired. Entries that an operator released explain nothing.
func (d *detection) explainKnownParts() {
	for hash, entry := range d.known {
		p, ok := d.history.parts[hash]
		if !ok || entry.Released {
			continue
		}
		for _, inv := range p.crashes {
			d.explained[inv.mergedCrash] = true
		}
	}
}

// partTally is the evidence against one part.
type partTally struct {
	contentHash vetchtrail.ContentHash
	depth       uint8
	crashes     []involvement
	independent int // number of crashes, where those with a common cause count as one
	required    int // number of independent crashes from which the part is quarantined
}

// compare returns a positive number if the evidence t is to be preferred to other, and 0 if nothing tells them apart. A
// part is present wherever one that follows it in prompts is, so the deeper one is preferred.
func (t *partTally) compare(other partTally) int {
	return cmp.Or(cmp.Compare(t.depth, other.depth), cmp.Compare(t.independent, other.independent))
}

// strongestParts returns the part with the strongest evidence, among those with enough evidence to be quarantined. If
// several have equally strong evidence, it returns them all, or none if another crash may tell them apart.
func (d *detection) strongestParts() []partTally {
	var out []partTally
	for hash, p := range d.history.parts {
		t, enough := d.partTally(hash, p)
		switch {
		case !enough:
		case len(out) == 0 || t.compare(out[0]) > 0:
			out = []partTally{t}
		case t.compare(out[0]) == 0:
			out = append(out, t)
		}
	}
	if len(out) > 1 && out[0].independent < out[0].required+tieCrashes {
		return nil
	}
	slices.SortFunc(out, func(a, b partTally) int { return slices.Compare(a.contentHash[:], b.contentHash[:]) })
	return out
}

// partTally collects the evidence against a part and reports whether it is enough to quarantine it.
func (d *detection) partTally(hash vetchtrail.ContentHash, p *partHistory) (partTally, bool) {
	t := partTally{contentHash: hash, depth: p.depth, required: repeatCrashThreshold}
	entry, known := d.known[hash]
	if d.isSettled(hash) {
		return t, false
	}
	var counted []partInvolvement
	for _, inv := range p.crashes {
		if d.counts(hash, inv.involvement) {
			counted = append(counted, inv)
			t.crashes = append(t.crashes, inv.involvement)
		}
	}
	t.independent = countIndependent(t.crashes)
	if known && !entry.Released {
		return t, t.independent >= t.required
	}
	requests := requestsToExplain(counted)
	if t.independent < crashThreshold || requests < 2 {
		return t, false
	}
	unexplained := d.unexplainedCrashes(t.crashes)
	if requests < minPoisonRequests && (t.independent < repeatedCrashes || unexplained > 1) {
		return t, false
	}
	t.required = crashThreshold + min(unexplained/unexplainedPerExtraCrash, maxExtraPartCrashes)
	if t.independent < t.required {
		return t, false
	}
	t.required = max(t.required, min(crashesBeyondChance(d.repeatRate(t.crashes)), maxRequiredPartCrashes))
	return t, t.independent >= t.required
}

// repeatRate returns the share of sound parts that are present at a further crash before a request with them is answered,
// at the crashes that the part with the given crashes doesn't explain. It is about the same for common and for rare parts: a
// part that more requests have is present at more crashes, and answered more often between them.
func (d *detection) repeatRate(crashes []involvement) float64 {
	from, to := crashes[0].At.Add(-repeatRateWindow), crashes[len(crashes)-1].At
	sound, repeated := fewSoundParts, 0
	for _, c := range d.history.crashes {
		present := slices.ContainsFunc(crashes, func(inv involvement) bool { return inv.mergedCrash == c })
		if !present && !d.explained[c] && c.At.After(from) && !c.At.After(to) {
			sound += c.soundParts
			repeated += c.repeatedParts
		}
	}
	return float64(repeated) / float64(sound)
}

// crashesBeyondChance returns the number of crashes in a row at which a sound part is present with a probability of at most
// maxChance.
func crashesBeyondChance(repeatRate float64) int {
	if repeatRate <= 0 {
		return 0
	}
	return 1 + int(math.Ceil(math.Log(maxChance)/math.Log(repeatRate)))
}

// requestsToExplain returns how many different requests with a part it takes, about, so that one of them was present at
// each of the crashes.
func requestsToExplain(crashes []partInvolvement) int {
	left := slices.Clone(crashes)
	for n := 0; ; n++ {
		if len(left) == 0 {
			return n
		}
		best := mostPresent(left)
		before := len(left)
		left = slices.DeleteFunc(left, func(inv partInvolvement) bool { return slices.Contains(inv.requests, best) })
		if len(left) == before {
			left = left[1:] // no request is known
		}
	}
}

// mostPresent returns the request that was present at the most of the crashes.
func mostPresent(crashes []partInvolvement) vetchtrail.ContentHash {
	count := map[vetchtrail.ContentHash]int{}
	var best vetchtrail.ContentHash
	for _, inv := range crashes {
		for _, r := range inv.requests {
			if count[r]++; count[r] > count[best] {
				best = r
			}
		}
	}
	return best
}
