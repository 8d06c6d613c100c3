package quarantine

import (
	"slices"
	"time"

	"vetchtrail"
)

const (
	// sameEnd is by how much hosts that saw one endpoint end may differ on when: they notice
	// it by their connections, and a slow one late. An endpoint doesn't start in that time.
	sameEnd = 500 * time.Millisecond
	// settleTime is how long after the first word of an end the others' words are waited for:
	// without them the one that ran elsewhere can't be told from those told of so far.
	settleTime = 300 * time.Millisecond
	// commonCause is how close ends are that count as one against a request that was at both:
	// endpoints that end together have lost their power or their network.
	commonCause = 200 * time.Millisecond
	// rememberEnds is for how long an end counts. A caller that asks once in some minutes is
	// still found.
	rememberEnds = 30 * time.Minute
	// mostEnds and mostRan bound what is remembered: 256 ends of 256 requests are 65,536
	// lines, 4 MB at a host that counts.
	mostEnds = 256
	mostRan  = 256
	// mostTrail bounds the ends that are remembered of one request.
	mostTrail = 16
)

// Ran is a request that was at an endpoint when it ended.
type Ran struct {
	Digest vetchtrail.Digest
	// Begun says that its answer had begun some time before: those under which an endpoint
	// ends as it begins them show none.
	Begun bool
}

// End is the end of an endpoint as a host saw it.
type End struct {
	Endpoint string
	Born     time.Time // start of the life that ended; zero: not known
	At       time.Time
	Ran      []Ran
}

// end is the end of an endpoint, as all hosts that told of it saw it.
type end struct {
	End
	heard time.Time // the first word of it
	lines int
}

// trail is what ended under a request.
type trail struct {
	ends   []step // in the order of their times
	served time.Time
}

// step is an end on a request's trail.
type step struct {
	*end
	begun bool
}

func byTime(a, b step) int { return a.At.Compare(b.At) }

// Evidence is which requests were at which endpoints when those ended. It is not safe for use
// by many.
type Evidence struct {
	ends   []*end // in the order in which they were told of
	trails map[vetchtrail.Digest]*trail
	often  map[vetchtrail.Digest]*trail // those with several ends
}

// NewEvidence returns none.
func NewEvidence() *Evidence {
	return &Evidence{trails: map[vetchtrail.Digest]*trail{}, often: map[vetchtrail.Digest]*trail{}}
}

// Ended takes the word of a host on an end. Each host tells of its own requests; the same
// word twice changes nothing.
func (v *Evidence) Ended(in End, now time.Time) {
	v.forget(now)
	e := v.find(in)
	if e == nil {
		e = &end{End: End{Endpoint: in.Endpoint, Born: in.Born, At: in.At}, heard: now}
		v.ends = append(v.ends, e)
		if len(v.ends) > mostEnds {
			v.drop(v.ends[0])
		}
	}
	for _, r := range in.Ran {
		v.add(e, r)
	}
}

// find returns what is known of an end already.
func (v *Evidence) find(in End) *end {
	for _, e := range slices.Backward(v.ends) {
		if e.Endpoint != in.Endpoint {
			continue
		}
		if !e.Born.IsZero() && !in.Born.IsZero() {
			if e.Born.Equal(in.Born) {
				return e
			}
			continue
		}
		if e.At.Sub(in.At).Abs() < sameEnd {
			return e
		}
	}
	return nil
}

// add puts an end on a request's trail, unless the request was served since.
func (v *Evidence) add(e *end, r Ran) {
	t, ok := v.trails[r.Digest]
	if !ok {
		t = &trail{}
	}
	known := slices.ContainsFunc(t.ends, func(s step) bool { return s.end == e })
	if known || !e.At.After(t.served) || e.lines >= mostRan {
		return
	}
	v.trails[r.Digest] = t
	e.lines++
	e.Ran = append(e.Ran, r)
	t.ends = append(t.ends, step{end: e, begun: r.Begun})
	slices.SortStableFunc(t.ends, byTime)
	if len(t.ends) > mostTrail {
		t.ends = t.ends[1:]
	}
	if len(t.ends) > 1 {
		v.often[r.Digest] = t
	}
}

// Served tells that an endpoint served a request to the end: what ended before did not end
// under it.
func (v *Evidence) Served(d vetchtrail.Digest, at time.Time) {
	t, ok := v.trails[d]
	if !ok {
		return
	}
	t.served = vetchtrail.Later(t.served, at)
	t.ends = slices.DeleteFunc(t.ends, func(s step) bool { return !s.At.After(t.served) })
	v.tidy(d, t)
}

// tidy keeps the index of trails in step with one that was shortened.
func (v *Evidence) tidy(d vetchtrail.Digest, t *trail) {
	if len(t.ends) < 2 {
		delete(v.often, d)
	}
}

// forget drops what is too old.
func (v *Evidence) forget(now time.Time) {
	for len(v.ends) > 0 && now.Sub(v.ends[0].heard) > rememberEnds {
		v.drop(v.ends[0])
	}
}

// drop forgets the oldest end.
func (v *Evidence) drop(e *end) {
	v.ends = v.ends[1:]
	for _, r := range e.Ran {
		t, ok := v.trails[r.Digest]
		if !ok {
			continue
		}
		t.ends = slices.DeleteFunc(t.ends, func(s step) bool { return s.end == e })
		v.tidy(r.Digest, t)
		if len(t.ends) == 0 {
			delete(v.trails, r.Digest)
		}
	}
}

// Unsettled says whether there are ends of which not all hosts can have told yet.
func (v *Evidence) Unsettled(now time.Time) bool {
	return slices.ContainsFunc(v.ends, func(e *end) bool { return now.Sub(e.heard) < settleTime })
}

// Suspect is a request with the ends that count against it.
type Suspect struct {
	Digest vetchtrail.Digest
	Ends   int
}

// Suspects returns the requests with so many ends or more against them, two at least, those
// with most first.
func (v *Evidence) Suspects(least int) []Suspect {
	var out []Suspect
	for d, t := range v.often {
		if n := distinct(t.ends); n >= least {
			out = append(out, Suspect{Digest: d, Ends: n})
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int {
		if a.Ends != b.Ends {
			return b.Ends - a.Ends
		}
		return slices.Compare(a.Digest[:], b.Digest[:])
	})
	return out
}

// distinct counts ends, those of a common cause once.
func distinct(ends []step) int {
	n := 0
	var last time.Time
	for _, s := range ends {
		if n == 0 || s.At.Sub(last) >= commonCause {
			n++
			last = s.At
		}
	}
	return n
}
