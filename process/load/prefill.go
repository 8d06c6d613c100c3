package load

import (
	"math"
	"net/netip"
	"time"

	"vetchtrail"
)

const (
	// promptCachedFor is how long after its last use an endpoint is assumed to have a session's prompt cached:
	// longer than most sessions pause between two requests.
	promptCachedFor = 30 * time.Second
	// maxSessionUses bounds the sessions that are stored for an endpoint.
	maxSessionUses = 1024
	// transferSaving is the share of the time for processing a prompt that a KV cache transfer from another
	// endpoint saves. The transfer takes a fiftieth of that time, but the other endpoint may have dropped the
	// prompt.
	transferSaving = 0.8
	// queuedDecay is the time in which the difference between an endpoint's reported queue and the mean of all
	// endpoints falls to 1/e. At a peak some ten requests are queued, and an endpoint processes as many prompts in
	// a second.
	queuedDecay = time.Second
	// maxQueuedReportAge is the age up to which a report counts for the mean queue.
	maxQueuedReportAge = 3 * time.Second
	// minTokenSeconds and maxTokenSeconds bound the fitted time for a prompt token, so that a fit through few
	// points stays plausible. They are a factor of 200 apart.
	minTokenSeconds = 5e-6
	maxTokenSeconds = 1e-3
	// initialGuessTokens is the prompt length at the second point of the initial guess, see newPrefillFit.
	initialGuessTokens = 4000.0
)

// sessionUses is when this host last sent each session's prompt to an endpoint.
type sessionUses map[uint64]time.Time

// cached reports whether the endpoint is likely to have the session's prompt cached.
func (u sessionUses) cached(id uint64, now time.Time) bool {
	at, ok := u[id]
	return ok && now.Sub(at) < promptCachedFor
}

// record stores that the session's prompt is sent now. If there are maxSessionUses sessions, it first drops those
// that were last sent more than half of promptCachedFor ago; if there are none, the session isn't stored.
func (u sessionUses) record(id uint64, now time.Time) {
	if len(u) >= maxSessionUses {
		for old, at := range u {
			if now.Sub(at) > promptCachedFor/2 {
				delete(u, old)
			}
		}
	}
	if len(u) < maxSessionUses {
		u[id] = now
	}
}

// preferredEndpoint returns the index of a session's preferred endpoint: the one to which all hosts send the session
// while it has capacity. It is chosen by rendezvous hashing over the endpoints in use; -1: there are none.
func preferredEndpoint(states []*endpointState, session uint64, now time.Time) int {
	return preferredAmong(states, session, func(s *endpointState) bool { return s.inUse(now) })
}

// preferredAmong does what preferredEndpoint does, over the endpoints that accept accepts.
func preferredAmong(states []*endpointState, session uint64, accept func(*endpointState) bool) int {
	best, at := uint64(0), -1
	for i, s := range states {
		if !accept(s) {
			continue
		}
		if w := sessionWeight(s.nameHash, session); at < 0 || w > best {
			best, at = w, i
		}
	}
	return at
}

// inUse reports whether all hosts are likely to use the endpoint.
func (s *endpointState) inUse(now time.Time) bool {
	return !s.isLeaving(now) && !now.Before(s.ejectedUntil)
}

// sessionWeight is the rendezvous hashing weight of an endpoint for a session.
func sessionWeight(nameHash, session uint64) uint64 {
	return mixBits(nameHash ^ session*0x9e3779b97f4a7c15)
}

// mixBits spreads the bits of x (the finalizer of splitmix64).
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// cachedTokens is how many tokens of a request's prompt the endpoint probably doesn't have to process: the shared
// ones if it has them cached, or most of the shared ones if it can transfer them from another endpoint.
func (t *Table) cachedTokens(s *endpointState, r *vetchtrail.Request, session vetchtrail.PromptPart, isPreferred bool, now time.Time) int {
	shared := r.PromptTokens() - r.Prompt[len(r.Prompt)-1].Tokens
	switch {
	case isPreferred || s.sessionUses.cached(session.ID, now):
		return shared
	case s.MoveToken > 0 && !t.switchedOff.Has(vetchtrail.MechanismCacheTransfer):
		return int(transferSaving * float64(shared))
	}
	return 0
}

// recordPrompt records the prompt that the endpoint must process for a request, and sets r.TransferFrom to the
// address of the endpoint from which it can transfer the shared part if it hasn't cached that.
func (t *Table) recordPrompt(s *endpointState, r *vetchtrail.Request, now time.Time) {
	r.TransferFrom = netip.AddrPort{}
	tokens := r.PromptTokens()
	if tokens == 0 {
		return
	}
	if session, ok := r.Session(); ok {
		all := t.services[s.Service]
		preferred := preferredEndpoint(all, session.ID, now)
		atPreferred := preferred >= 0 && all[preferred] == s
		if !s.sessionUses.cached(session.ID, now) {
			r.TransferFrom = t.transferSource(s, r, session.ID, now)
		}
		own := r.Prompt[len(r.Prompt)-1].Tokens
		if atPreferred || r.TransferFrom.IsValid() || s.sessionUses.cached(session.ID, now) {
			tokens = own
		}
		t.serviceStats[s.Service].promptStats.observeCached(tokens, own, r.PromptTokens())
		if s.sessionUses == nil {
			s.sessionUses = sessionUses{}
		}
		s.sessionUses.record(session.ID, now)
	}
	if s.pendingPrompts == nil {
		s.pendingPrompts = map[string]pendingPrompt{}
	}
	p := pendingPrompt{
		tokens: tokens, tokensAhead: s.backlog(r.Priority, t.serviceStats[s.Service], now), priority: r.Priority, sentAt: now,
	}
	if s.uneven != nil {
		p.slowdown, p.light = s.uneven.slowdown.expected(0, t.serviceStats[s.Service].slowdown.periodSeconds(), now), s.isLightlyLoaded(&p)
	}
	s.pendingPrompts[r.ID] = p
	t.serviceStats[s.Service].uncachedTokens.observe(float64(tokens))
}

// transferSource is the address of the endpoint other than s that most likely has a session's prompt cached:
// the local one to which this host last sent the session, else the session's preferred one among the local
// endpoints, else that among the remote ones. A preferred endpoint that was too busy for the session never processed
// the prompt. Its address is returned all the same: the transfer then finds nothing, and s processes the whole
// prompt. What an endpoint of another software version has cached doesn't fit.
func (t *Table) transferSource(s *endpointState, r *vetchtrail.Request, session uint64, now time.Time) netip.AddrPort {
	if s.MoveToken == 0 || t.switchedOff.Has(vetchtrail.MechanismCacheTransfer) {
		return netip.AddrPort{}
	}
	local := t.services[s.Service]
	if last := lastSent(local, s, session, now); last != nil && !t.switchedOff.Has(vetchtrail.MechanismTransferFromLastSent) {
		return last.Addr
	}
	fits := func(other *endpointState) bool { return other.inUse(now) && other.SoftwareVersion == s.SoftwareVersion }
	if preferred := preferredAmong(local, session, fits); preferred >= 0 && local[preferred] != s {
		return local[preferred].Addr
	}
	if t.switchedOff.Has(vetchtrail.MechanismRemoteCacheTransfer) {
		return netip.AddrPort{}
	}
	if preferred, ok := preferredRemote(t.remote[s.Service], s.SoftwareVersion, session); ok && r.AllowedRegions.Has(preferred.region) {
		return preferred.addr
	}
	return netip.AddrPort{}
}

// lastSent is the endpoint other than s to which this host last sent a session, among those that are in use and
// likely to have its prompt cached; nil: there is none.
func lastSent(states []*endpointState, s *endpointState, session uint64, now time.Time) *endpointState {
	var last *endpointState
	for _, other := range states {
		if other == s || other.SoftwareVersion != s.SoftwareVersion || !other.inUse(now) || !other.sessionUses.cached(session, now) {
			continue
		}
		if last == nil || other.sessionUses[session].After(last.sessionUses[session]) {
			last = other
		}
	}
	return last
}

// pendingPrompt is a prompt that was sent to an endpoint and that the endpoint hasn't processed yet.
type pendingPrompt struct {
	tokens      int     // that the endpoint must process
	tokensAhead float64 // tokens expected to be processed before it, when it was sent
	priority    int8
	sentAt      time.Time
	slowdown    float64 // that the endpoint probably had when it was sent; 0: not known
	light       bool    // it shows the endpoint's speed
}

// pendingAhead returns the number of tokens of this host's pending prompts: of those that the endpoint processes
// before a new request of a priority, and of all. The endpoint processes prompts of a higher priority first.
func (s *endpointState) pendingAhead(priority int8) (tokens, all int) {
	for _, p := range s.pendingPrompts {
		all += p.tokens
		if p.priority >= priority {
			tokens += p.tokens
		}
	}
	return tokens, all
}

// backlog estimates the tokens of this host's and other hosts' prompts that the endpoint processes before a new
// request of a priority. The priorities of other hosts' prompts aren't known. The share of them that is processed
// before the request is assumed to be the same as for this host's prompts.
func (s *endpointState) backlog(priority int8, svc *serviceStats, now time.Time) float64 {
	pendingAhead, all := s.pendingAhead(priority)
	share := 1.0
	if all > 0 {
		share = float64(pendingAhead) / float64(all)
	}
	return float64(pendingAhead) + share*s.othersPendingTokens(svc, now)
}

// othersPendingTokens estimates the tokens of other hosts' requests in the endpoint's queue. It follows the
// endpoint's report. The older the report is, the more the estimate follows the mean of all endpoints.
func (s *endpointState) othersPendingTokens(svc *serviceStats, now time.Time) float64 {
	usual := svc.othersQueued * s.throughput()
	othersQueued := usual
	if s.hasReport {
		weight := math.Exp(-now.Sub(s.report.TakenAt).Seconds() / queuedDecay.Seconds())
		othersQueued += weight * (float64(s.reportedOthersQueued()) - usual)
	}
	return othersQueued * svc.uncachedTokens.value
}

// reportedOthersQueued is how many requests of other hosts were in the endpoint's queue at its last report.
func (s *endpointState) reportedOthersQueued() int {
	own := 0
	for _, p := range s.pendingPrompts {
		if !p.sentAt.After(s.report.TakenAt) {
			own++
		}
	}
	return max(0, s.report.Queued-own)
}

// meanOthersQueued is the mean number of other hosts' requests in an endpoint's queue, by the recent reports, for
// each unit of throughput.
func meanOthersQueued(states []*endpointState, now time.Time) float64 {
	sum, throughput := 0, 0.0
	for _, s := range states {
		if s.hasReport && now.Sub(s.report.TakenAt) < maxQueuedReportAge {
			sum += s.reportedOthersQueued()
			throughput += s.throughput()
		}
	}
	if throughput == 0 {
		return 0
	}
	return float64(sum) / throughput
}

// ResponseStarted implements vetchtrail.Observer. The first byte of a response shows that the endpoint has
// processed the prompt.
func (t *Table) ResponseStarted(e vetchtrail.Endpoint, r *vetchtrail.Request, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.instance(e.Name, e.Born)
	if !ok {
		return
	}
	s.lastSeen, s.reach.reachedAt = now, now
	prompt, known := s.pendingPrompts[r.ID]
	if !known {
		return // a resumed stream, which Acquire doesn't admit, or a request without prompt tokens
	}
	if r.Stream {
		if s.startedStreams == nil {
			s.startedStreams = map[string]bool{}
		}
		s.startedStreams[r.ID] = true
	}
	delete(s.pendingPrompts, r.ID)
	t.observeFirstByte(s, prompt, now)
	t.wake(s.Service)
}

// LoadReported implements vetchtrail.Observer. A load report that a response contains counts like a fetched one.
func (t *Table) LoadReported(e vetchtrail.Endpoint, l vetchtrail.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.instance(e.Name, e.Born); ok {
		t.acceptReport(s, l, true, time.Time{})
	}
}

// newPrefillFit returns the fit of the seconds to the first byte of a response by the prompt tokens to process. It
// starts with two points: no seconds for no tokens, and a tenth of initialTokenSeconds for each of
// initialGuessTokens.
func newPrefillFit() linearFit {
	f := linearFit{minSlope: minTokenSeconds, maxSlope: maxTokenSeconds}
	f.add(0, 0, initialGuessWeight)
	f.add(initialGuessTokens, initialGuessTokens*initialTokenSeconds/10, initialGuessWeight)
	return f
}
