package quarantine

import (
	"slices"
	"time"

	"vetchtrail"
)

const (
	// sameCrashWindow is the time difference below which two reports of an endpoint's crash are
	// merged if they don't both state the start time of the process instance. Hosts detect a crash
	// by their broken connections, some later than others. An endpoint takes longer than this to
	// restart, so two crashes of one endpoint aren't merged.
	sameCrashWindow = 500 * time.Millisecond
	// reportWait is how long after its first report Detect counts a crash against no request, because
	// other hosts may still report it. The first reports may contain only harmless requests that were
	// in flight with the poison request.
	reportWait = 300 * time.Millisecond
	// commonCauseWindow is the time difference below which two crashes count as one against a
	// request that was present at both: endpoints that fail together have probably lost their power
	// or their network.
	commonCauseWindow = 200 * time.Millisecond
	// crashRetention is how long a crash counts. It is long enough to detect a poison request whose
	// caller sends it only once in several minutes.
	crashRetention = 30 * time.Minute
	// maxCrashes and maxRequestsPerCrash bound the memory of a CrashHistory: 256 crashes with 256
	// requests each are 65,536 records, about 4 MB.
	maxCrashes          = 256
	maxRequestsPerCrash = 256
	// maxCrashesPerRequest bounds the crashes that are recorded for one request.
	maxCrashesPerRequest = 16
)

// InFlight is a request that was in flight at an endpoint when the endpoint crashed.
type InFlight struct {
	ContentHash vetchtrail.ContentHash
	// Streaming is set if the response had been streaming for some time. This is weaker evidence: a
	// request that crashes endpoints as they start it gets no response.
	Streaming bool
}

// InFlightPart is a part of the prompts of requests that were in flight at an endpoint when it crashed.
type InFlightPart struct {
	ContentHash vetchtrail.ContentHash // see vetchtrail.PartHash
	Depth       uint8                  // place in the prompts; a part never comes without those before it
	// Requests are some of the requests with the part, not those that had been streaming for some time.
	Requests []vetchtrail.ContentHash
	// SoundAt is when a request with the part was last answered, as the reporting host knows; zero: it knows none.
	SoundAt time.Time
}

// Crash is the crash of an endpoint as one host reports it.
type Crash struct {
	Endpoint  string
	StartedAt time.Time // start time of the process instance that crashed; zero if unknown
	At        time.Time
	InFlight  []InFlight
	Parts     []InFlightPart
}

// mergedCrash is a crash, merged from the reports of all hosts.
type mergedCrash struct {
	Crash
	firstReportedAt time.Time
	requestCount    int
	parts           []vetchtrail.ContentHash
	soundParts      int // parts that were present and turned out sound
	repeatedParts   int // how many of the sound parts had been present at another crash since a request with them was answered
}

// requestHistory is the crashes at which one request was present.
type requestHistory struct {
	crashes  []involvement // in chronological order
	servedAt time.Time     // when an endpoint last served it completely
}

// involvement is a crash at which a request was present.
type involvement struct {
	*mergedCrash
	streaming bool
}

func byTime(a, b involvement) int { return a.At.Compare(b.At) }

// CrashHistory records which requests were in flight at which endpoints when these crashed. It is
// not safe for concurrent use.
type CrashHistory struct {
	crashes  []*mergedCrash // in the order of their first reports
	requests map[vetchtrail.ContentHash]*requestHistory
	repeated map[vetchtrail.ContentHash]*requestHistory // requests with more than one crash
	parts    map[vetchtrail.ContentHash]*partHistory
}

// NewCrashHistory returns an empty history.
func NewCrashHistory() *CrashHistory {
	return &CrashHistory{
		requests: map[vetchtrail.ContentHash]*requestHistory{}, repeated: map[vetchtrail.ContentHash]*requestHistory{}, parts: map[vetchtrail.ContentHash]*partHistory{},
	}
}

// RecordCrash merges one host's report of a crash. Each host reports the requests that it had sent
// itself. A repeated report changes nothing.
func (h *CrashHistory) RecordCrash(in Crash, now time.Time) {
	h.removeExpired(now)
	c := h.find(in)
	if c == nil {
		c = &mergedCrash{Crash: Crash{Endpoint: in.Endpoint, StartedAt: in.StartedAt, At: in.At}, firstReportedAt: now}
		h.crashes = append(h.crashes, c)
		if len(h.crashes) > maxCrashes {
			h.removeOldest(h.crashes[0])
		}
	}
	for _, r := range in.InFlight {
		h.addRequest(c, r)
	}
	for _, p := range in.Parts {
		h.addPart(c, p)
	}
}

// find returns the recorded crash that a report is about, or nil.
func (h *CrashHistory) find(in Crash) *mergedCrash {
	for _, c := range slices.Backward(h.crashes) {
		if c.Endpoint != in.Endpoint {
			continue
		}
		if !c.StartedAt.IsZero() && !in.StartedAt.IsZero() {
			if c.StartedAt.Equal(in.StartedAt) {
				return c
			}
			continue
		}
		if c.At.Sub(in.At).Abs() < sameCrashWindow {
			return c
		}
	}
	return nil
}

// addRequest records that a request was present at a crash, unless the request was served after
// the crash or the crash already has maxRequestsPerCrash requests.
func (h *CrashHistory) addRequest(c *mergedCrash, r InFlight) {
	req, ok := h.requests[r.ContentHash]
	if !ok {
		req = &requestHistory{}
	}
	recorded := slices.ContainsFunc(req.crashes, func(inv involvement) bool { return inv.mergedCrash == c })
	if recorded || !c.At.After(req.servedAt) || c.requestCount >= maxRequestsPerCrash {
		return
	}
	h.requests[r.ContentHash] = req
	c.requestCount++
	c.InFlight = append(c.InFlight, r)
	req.crashes = append(req.crashes, involvement{mergedCrash: c, streaming: r.Streaming})
	slices.SortStableFunc(req.crashes, byTime)
	if len(req.crashes) > maxCrashesPerRequest {
		req.crashes = req.crashes[1:]
	}
	if len(req.crashes) > 1 {
		h.repeated[r.ContentHash] = req
	}
}

// RecordServed records that an endpoint served a request, or one with a part, completely at the given
// time. Earlier crashes then no longer count against it. It returns how many did.
func (h *CrashHistory) RecordServed(hash vetchtrail.ContentHash, at time.Time) (cleared int) {
	req, ok := h.requests[hash]
	if !ok {
		return h.recordSound(hash, at)
	}
	before := len(req.crashes)
	req.servedAt = vetchtrail.Later(req.servedAt, at)
	req.crashes = slices.DeleteFunc(req.crashes, func(inv involvement) bool { return !inv.At.After(req.servedAt) })
	h.updateRepeated(hash, req)
	return before - len(req.crashes)
}

// updateRepeated removes a request that has fewer than two crashes left from the index of repeated
// crashes.
func (h *CrashHistory) updateRepeated(hash vetchtrail.ContentHash, req *requestHistory) {
	if len(req.crashes) < 2 {
		delete(h.repeated, hash)
	}
}

// removeExpired removes crashes older than crashRetention.
func (h *CrashHistory) removeExpired(now time.Time) {
	for len(h.crashes) > 0 && now.Sub(h.crashes[0].firstReportedAt) > crashRetention {
		h.removeOldest(h.crashes[0])
	}
}

// removeOldest removes c, which must be the first of h.crashes.
func (h *CrashHistory) removeOldest(c *mergedCrash) {
	h.crashes = h.crashes[1:]
	for _, r := range c.InFlight {
		req, ok := h.requests[r.ContentHash]
		if !ok {
			continue
		}
		req.crashes = slices.DeleteFunc(req.crashes, func(inv involvement) bool { return inv.mergedCrash == c })
		h.updateRepeated(r.ContentHash, req)
		if len(req.crashes) == 0 {
			delete(h.requests, r.ContentHash)
		}
	}
	for _, hash := range c.parts {
		h.removePart(hash, c)
	}
}

// AwaitingReports reports whether there are crashes that some hosts may not have reported yet.
func (h *CrashHistory) AwaitingReports(now time.Time) bool {
	return slices.ContainsFunc(h.crashes, func(c *mergedCrash) bool { return now.Sub(c.firstReportedAt) < reportWait })
}

// Suspect is a request, or a part of prompts, with the number of crashes that count against it.
type Suspect struct {
	ContentHash vetchtrail.ContentHash
	Part        bool
	Crashes     int
	Since       time.Time // of a part: the first of these crashes
}

// Suspects returns the requests with at least minCrashes crashes against them, but no request with
// fewer than two, ordered by descending number of crashes.
func (h *CrashHistory) Suspects(minCrashes int) []Suspect {
	var out []Suspect
	for hash, req := range h.repeated {
		if n := countIndependent(req.crashes); n >= minCrashes {
			out = append(out, Suspect{ContentHash: hash, Crashes: n})
		}
	}
	slices.SortFunc(out, mostCrashesFirst)
	return out
}

func mostCrashesFirst(a, b Suspect) int {
	if a.Crashes != b.Crashes {
		return b.Crashes - a.Crashes
	}
	return slices.Compare(a.ContentHash[:], b.ContentHash[:])
}

// countIndependent counts crashes, where those with a common cause count as one.
func countIndependent(crashes []involvement) int {
	n := 0
	var last time.Time
	for _, inv := range crashes {
		if n == 0 || inv.At.Sub(last) >= commonCauseWindow {
			n++
			last = inv.At
		}
	}
	return n
}
