package load

import (
	"math"
	"net/netip"
	"time"

	"vetchtrail"
)

const (
	// keptFor is how long an endpoint is taken to hold the prompt of a session
	// after its last use: longer than most sessions rest between two requests.
	keptFor = 30 * time.Second
	// sessionsMost bounds the sessions remembered for an endpoint.
	sessionsMost = 1024
	// moveShare is the share of a kept prompt's reading that is saved by taking it
	// from another endpoint: moving takes a fiftieth of the time, but the other may no
	// longer hold it.
	moveShare = 0.8
	// queuedFades is the time in which an endpoint's word of those that wait for it
	// moves to the mean of all endpoints but for 1/e: at a peak some ten wait, and
	// an endpoint reads as many prompts in a second.
	queuedFades = time.Second
	// queuedAge is the age of an endpoint's word from which it says nothing of those
	// that wait.
	queuedAge = 3 * time.Second
	// Bounds of what a prompt token may take, in seconds, a factor of 200 apart, so that
	// a fit through few points says nothing impossible; and the tokens of the guess that
	// stands at first.
	tokenLeast  = 5e-6
	tokenMost   = 1e-3
	priorTokens = 4000.0
)

// sessions is when this host last sent a session's prompt to an endpoint.
type sessions map[uint64]time.Time

func (s sessions) holds(id uint64, now time.Time) bool {
	at, ok := s[id]
	return ok && now.Sub(at) < keptFor
}

func (s sessions) use(id uint64, now time.Time) {
	if len(s) >= sessionsMost {
		for old, at := range s {
			if now.Sub(at) > keptFor/2 {
				delete(s, old)
			}
		}
	}
	if len(s) < sessionsMost {
		s[id] = now
	}
}

// homeOf returns the endpoint that all hosts send a session to while it has
// room, by rendezvous hashing over those in use; -1: none is.
func homeOf(states []*state, session uint64, now time.Time) int {
	best, at := uint64(0), -1
	for i, s := range states {
		if !s.inUse(now) {
			continue
		}
		if w := weighSession(s.hash, session); at < 0 || w > best {
			best, at = w, i
		}
	}
	return at
}

// inUse says whether all hosts are likely to use the endpoint.
func (s *state) inUse(now time.Time) bool {
	return !s.leaves(now) && !now.Before(s.ejected)
}

// weighSession is the weight of an endpoint for a session, by the hash of the endpoint's name.
func weighSession(hash, session uint64) uint64 {
	return mix(hash ^ session*0x9e3779b97f4a7c15)
}

// mix spreads the bits of x (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// keeps is how many tokens of a request's prompt an endpoint needn't read: those
// that it is likely to hold, or most of them if it can take them from another.
func (t *Table) keeps(s *state, r *vetchtrail.Request, session vetchtrail.PromptPart, home bool, now time.Time) int {
	shared := r.PromptTokens() - r.Prompt[len(r.Prompt)-1].Tokens
	switch {
	case home || s.sessions.holds(session.ID, now):
		return shared
	case s.MoveToken > 0 && !t.off.Has(vetchtrail.PromptMoves):
		return int(moveShare * float64(shared))
	}
	return 0
}

// expect notes what a request will make the endpoint read, and where it may
// take from what it lacks.
func (t *Table) expect(s *state, r *vetchtrail.Request, now time.Time) {
	r.PromptFrom = netip.AddrPort{}
	tokens := r.PromptTokens()
	if tokens == 0 {
		return
	}
	if session, ok := r.Session(); ok {
		all := t.services[s.Service]
		home := homeOf(all, session.ID, now)
		atHome := home >= 0 && all[home] == s
		if !s.sessions.holds(session.ID, now) {
			r.PromptFrom = t.holder(s, r, session.ID, now)
		}
		own := r.Prompt[len(r.Prompt)-1].Tokens
		if atHome || r.PromptFrom.IsValid() || s.sessions.holds(session.ID, now) {
			tokens = own
		}
		t.means[s.Service].reading.observeKept(tokens, own, r.PromptTokens())
		if s.sessions == nil {
			s.sessions = sessions{}
		}
		s.sessions.use(session.ID, now)
	}
	if s.reading == nil {
		s.reading = map[string]unread{}
	}
	s.reading[r.ID] = unread{
		tokens: tokens, before: s.backlog(r.Priority, t.means[s.Service], now), priority: r.Priority, sent: now,
	}
	t.means[s.Service].prompt.observe(float64(tokens))
}

// holder is the endpoint that most likely holds a session's prompt beside s: the one
// of this region that this host sent the session to last, or else the home of the
// session here, or its home among all. A home that was too busy for a session has
// never read it: asked all the same, it gives nothing, and the prompt is read again.
func (t *Table) holder(s *state, r *vetchtrail.Request, session uint64, now time.Time) netip.AddrPort {
	if s.MoveToken == 0 || t.off.Has(vetchtrail.PromptMoves) {
		return netip.AddrPort{}
	}
	near := t.services[s.Service]
	if last := lastSent(near, s, session, now); last != nil && !t.off.Has(vetchtrail.LastSent) {
		return last.Addr
	}
	if home := homeOf(near, session, now); home >= 0 && near[home] != s {
		return near[home].Addr
	}
	if t.off.Has(vetchtrail.FarMoves) {
		return netip.AddrPort{}
	}
	if home, ok := farHome(t.far[s.Service], session); ok && r.Allowed.Has(home.region) {
		return home.addr
	}
	return netip.AddrPort{}
}

// lastSent is the endpoint beside s that this host sent a session to last; nil: none.
func lastSent(states []*state, s *state, session uint64, now time.Time) *state {
	var last *state
	for _, other := range states {
		if other == s || !other.inUse(now) || !other.sessions.holds(session, now) {
			continue
		}
		if last == nil || other.sessions[session].After(last.sessions[session]) {
			last = other
		}
	}
	return last
}

// unread is a prompt that an endpoint was sent and has still to read.
type unread struct {
	tokens   int
	before   float64 // tokens that were expected to be read before it
	priority int8
	sent     time.Time
}

// ahead is the tokens of own requests that the endpoint reads before a request
// of a priority: it lets the more urgent ones in first.
func (s *state) ahead(priority int8) (tokens, all int) {
	for _, u := range s.reading {
		all += u.tokens
		if u.priority >= priority {
			tokens += u.tokens
		}
	}
	return tokens, all
}

// backlog estimates the tokens that the endpoint reads before a request of a
// priority: own ones, and those of other hosts that wait there by what the
// endpoint said last, split as the own are.
func (s *state) backlog(priority int8, m *means, now time.Time) float64 {
	ahead, all := s.ahead(priority)
	share := 1.0
	if all > 0 {
		share = float64(ahead) / float64(all)
	}
	return float64(ahead) + share*s.othersUnread(m, now)
}

// othersUnread estimates the tokens of other hosts' requests that wait there: as
// the endpoint said last, and, the older its word, as all do in the mean.
func (s *state) othersUnread(m *means, now time.Time) float64 {
	waiting := m.waiting
	if s.reported {
		trust := math.Exp(-now.Sub(s.report.At).Seconds() / queuedFades.Seconds())
		waiting += trust * (float64(s.othersWaiting()) - m.waiting)
	}
	return waiting * m.prompt.value
}

// othersWaiting is how many requests of other hosts waited at the endpoint when it
// last told of them.
func (s *state) othersWaiting() int {
	own := 0
	for _, u := range s.reading {
		if !u.sent.After(s.report.At) {
			own++
		}
	}
	return max(0, s.report.Queued-own)
}

// meanWaiting is how many requests of other hosts wait at an endpoint in the mean,
// by what was lately told.
func meanWaiting(states []*state, now time.Time) float64 {
	sum, n := 0, 0
	for _, s := range states {
		if s.reported && now.Sub(s.report.At) < queuedAge {
			sum += s.othersWaiting()
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(sum) / float64(n)
}

// Started implements vetchtrail.Observer: the endpoint has read the prompt.
func (t *Table) Started(e vetchtrail.Endpoint, r *vetchtrail.Request, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.life(e.Name, e.Born)
	if !ok {
		return
	}
	s.heard = now
	read, waited := s.reading[r.ID]
	if !waited {
		return // no room was taken for it: a stream that is only fetched again
	}
	if r.Stream {
		if s.streams == nil {
			s.streams = map[string]bool{}
		}
		s.streams[r.ID] = true
	}
	delete(s.reading, r.ID)
	m, took := t.means[s.Service], now.Sub(read.sent).Seconds()
	m.prefill.observe(read.before+float64(read.tokens), took)
	m.reading.observe(read.before+float64(read.tokens), took)
	t.wake(s.Service)
}

// Told implements vetchtrail.Observer: a load that an endpoint tells in an
// answer is as good as a fetched report.
func (t *Table) Told(e vetchtrail.Endpoint, l vetchtrail.LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.life(e.Name, e.Born); ok {
		t.take(s, l, true, time.Time{})
	}
}

// newPrefill returns the fit of the seconds to the first of an answer by the
// tokens read.
func newPrefill() fit {
	f := fit{least: tokenLeast, most: tokenMost}
	f.add(0, 0, priorWeight)
	f.add(priorTokens, priorTokens*firstPrefill/10, priorWeight)
	return f
}
