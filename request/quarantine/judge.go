package quarantine

import (
	"slices"
	"time"

	"vetchtrail"
)

const (
	// holdAfter is after how many endpoints that ended under it a request is held back.
	holdAfter = 3
	// holdAgain is the same for one that was held back before.
	holdAgain = 1
	// othersEach is for how many other ends of the same time, which nobody explains, one more
	// is asked for, and othersMost how many more at most: where endpoints end for other reasons
	// as well, a request that is tried again meets several by chance.
	othersEach = 2
	othersMost = 3
	// othersBefore is how long before the first end against a request those others count.
	othersBefore = time.Second
)

// Way is a way to tell the requests under which endpoints end from those beside them.
type Way uint8

// Ways. TestWays compares them: the first takes about one end more than the second and holds back nobody else, the
// second some others in a play.
const (
	// WayExplained holds back the request that was at most of the ends, and takes these ends
	// for explained: they count against nobody else. An endpoint that ends takes dozens of
	// requests with it, and those that are tried again meet the next one.
	WayExplained Way = iota
	// WayCounted holds back each request that was at enough ends.
	WayCounted
)

// Judge returns the requests that are to be held back by what is known now, with the number of
// ends against each. Ends of which not all hosts can have told yet are left out.
func (v *Evidence) Judge(w Way, h *Holds, now time.Time) []Suspect {
	j := judging{way: w, now: now, evidence: v, known: h.known(), explained: map[*end]bool{}}
	if w == WayExplained {
		j.explain()
	}
	var out []Suspect
	for {
		found := j.most()
		if len(found) == 0 {
			return out
		}
		for _, c := range found {
			out = append(out, Suspect{Digest: c.digest, Ends: len(c.ends)})
			j.done = append(j.done, c.digest)
			for _, s := range c.ends {
				j.explained[s.end] = w == WayExplained
			}
		}
	}
}

// judging is one judgement under way.
type judging struct {
	way       Way
	now       time.Time
	evidence  *Evidence
	known     map[vetchtrail.Digest]vetchtrail.Hold
	explained map[*end]bool
	done      []vetchtrail.Digest // those that it holds back
}

// explain marks the ends at which a request was that is held back, or was.
func (j *judging) explain() {
	for d, hold := range j.known {
		t, ok := j.evidence.trails[d]
		if !ok || hold.Released {
			continue
		}
		for _, s := range t.ends {
			j.explained[s.end] = true
		}
	}
}

// charge is what stands against a request.
type charge struct {
	digest vetchtrail.Digest
	ends   []step
	count  int // of ends that don't have a common cause
	fresh  int // of them, at which its answer had not been under way before
}

// most returns the request with most against it, of those with enough; several if nothing
// tells them apart.
func (j *judging) most() []charge {
	var out []charge
	weigh := func(d vetchtrail.Digest, t *trail) {
		c, enough := j.charge(d, t)
		switch {
		case !enough:
		case len(out) == 0 || c.over(out[0]) > 0:
			out = []charge{c}
		case c.over(out[0]) == 0:
			out = append(out, c)
		}
	}
	for d, t := range j.evidence.often {
		weigh(d, t)
	}
	for d := range j.known { // one end is enough for those that were held back before
		if t, ok := j.evidence.trails[d]; ok && j.evidence.often[d] == nil {
			weigh(d, t)
		}
	}
	slices.SortFunc(out, func(a, b charge) int { return slices.Compare(a.digest[:], b.digest[:]) })
	return out
}

// over compares what stands against two requests.
func (c *charge) over(other charge) int {
	if c.count != other.count {
		return c.count - other.count
	}
	return c.fresh - other.fresh
}

// halves is the weight of what stands against a request, in half ends: one at which its answer
// had been under way counts half.
func (c *charge) halves() int { return c.count + min(c.count, c.fresh) }

// charge returns what stands against a request, and whether it is enough.
func (j *judging) charge(d vetchtrail.Digest, t *trail) (charge, bool) {
	c := charge{digest: d}
	hold, known := j.known[d]
	if slices.Contains(j.done, d) || known && !hold.Released && j.now.Before(hold.Until) {
		return c, false
	}
	for _, s := range t.ends {
		explained := j.explained[s.end] && !known
		if explained || known && !s.At.After(hold.Since) || j.now.Sub(s.heard) < settleTime {
			continue
		}
		c.ends = append(c.ends, s)
		if !s.begun {
			c.fresh++
		}
	}
	c.count = distinct(c.ends)
	switch {
	case known && !hold.Released:
		return c, c.count >= holdAgain
	case j.way == WayCounted:
		return c, c.count >= holdAfter
	case c.count < holdAfter:
		return c, false
	}
	least := holdAfter + min(j.others(c)/othersEach, othersMost)
	return c, c.halves() >= 2*least
}

// others counts the ends of the same time that nobody explains and that the request was not at,
// those of a common cause once.
func (j *judging) others(c charge) int {
	from, to := c.ends[0].At.Add(-othersBefore), c.ends[len(c.ends)-1].At
	var out []step
	for _, e := range j.evidence.ends {
		at := slices.ContainsFunc(c.ends, func(s step) bool { return s.end == e })
		if !at && !j.explained[e] && e.At.After(from) && !e.At.After(to) {
			out = append(out, step{end: e})
		}
	}
	slices.SortStableFunc(out, byTime)
	return distinct(out)
}
