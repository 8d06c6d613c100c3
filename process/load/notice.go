package load

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"vetchtrail"
)

const (
	// wordFor is how long an endpoint's word that it leaves stands: one that lives on so long after it is
	// asked again, and says whether it still does.
	wordFor = time.Hour
	// mostAbsent bounds the endpoints that are not listed whose words are kept.
	mostAbsent = 1 << 12
)

// departure is what is known of an endpoint's leaving, apart for each source: none lifts or shortens
// what another said, and the list that is read while the platform's store is away, or after it lost what it
// held, says of one that leaves that it is ready.
type departure struct {
	reported time.Time // until when its newest load report that says so stands
	listed   time.Time // until when the platform's word stands
	misled   time.Time // until when its address is taken for another process's
	answers
}

// answers is what an endpoint's answers said of whether it wants requests. A later answer that doesn't say it
// lifts nothing; it ends with the endpoint's life, which may go from the list and come back meanwhile.
type answers struct {
	leaves  time.Time // until when the word that it leaves stands; zero: none said so
	asked   time.Time // when the request was sent whose answer said something last
	said    time.Time // when one said first that it leaves
	heard   time.Time // when one said anything last
	learned time.Time // when this host learned that
	pause   time.Time // until when it wants nothing from this host; zero: it named no time
}

// leaves says whether an endpoint is known to leave: it gets nothing new.
func (s *state) leaves(now time.Time) bool {
	return s.leavingBy(now) != ""
}

// Bars implements vetchtrail.Endpoints. What was placed before an endpoint said that it leaves, or that it wants
// nothing for a time, would reach it all the same.
func (t *Table) Bars(name string, now time.Time) (why vetchtrail.Reason, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.endpoints[name]
	switch {
	case !ok || s.leaves(now):
		return vetchtrail.ReasonDraining, time.Time{}
	case now.Before(s.leaving.pause):
		return vetchtrail.ReasonPaused, s.leaving.pause
	}
	return "", time.Time{}
}

// Leaves says whether an endpoint that is listed is known to leave.
func (t *Table) Leaves(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.endpoints[name]
	return ok && s.leaves(now)
}

// LeavingBy says whose word it is that an endpoint leaves.
type LeavingBy string

// Sources of the word that an endpoint leaves; empty: none says so.
const (
	ByAnswers  LeavingBy = "its answers"
	ByList     LeavingBy = "list" // the configuration, or the platform's entry
	ByReport   LeavingBy = "load report"
	ByPlatform LeavingBy = "list of hosts"
	ByMisled   LeavingBy = "another process" // that has its address
)

// leavingBy returns the first source by which an endpoint leaves.
func (s *state) leavingBy(now time.Time) LeavingBy {
	d := &s.leaving
	switch {
	case now.Before(d.leaves):
		return ByAnswers
	case s.Draining:
		return ByList
	case now.Before(d.reported):
		return ByReport
	case now.Before(d.listed):
		return ByPlatform
	case now.Before(d.misled):
		return ByMisled
	}
	return ""
}

// NoticeNews is what of a notice a host didn't know.
type NoticeNews struct {
	Endpoint string // empty: one that is not listed
	Leaves   bool   // it is leaving
	Paused   bool   // it wants nothing for a time, or for longer
}

// HearNotice takes what an answer of an endpoint said of whether it wants requests.
func (t *Table) HearNotice(name string, born time.Time, n vetchtrail.Notice) NoticeNews {
	return t.HearNoticeShort(Short(name), born, n, n.Heard)
}

// HearNoticeShort takes what an endpoint said to some host, by the short form of its name. What is said
// in one life says nothing of another.
func (t *Table) HearNoticeShort(short uint32, born time.Time, n vetchtrail.Notice, now time.Time) NoticeNews {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news NoticeNews
	if s, ok := t.shorts[short]; ok && !s.another(born) {
		news = s.leaving.hear(n, now)
		news.Endpoint, s.worded = s.Name, true
		if news.Leaves {
			t.noteLeaver(keyOf(short, s.Born), &s.leaving.answers)
		}
		if news.Paused {
			s.warmth = math.Min(s.warmth, coldStart) // it is in need: all come back at once when the time is over
		}
	} else {
		news = t.hearAbsent(keyOf(short, born), n, now)
	}
	return news
}

// hear takes a notice. Of two words the one that stands for longer does.
func (a *answers) hear(n vetchtrail.Notice, now time.Time) NoticeNews {
	news := NoticeNews{Leaves: n.Leaving && !n.Heard.Before(a.leaves), Paused: n.Until.After(a.pause)}
	if news.Leaves {
		a.said, a.learned = n.Heard, now
	}
	if n.Leaving {
		a.leaves = vetchtrail.Later(a.leaves, n.Heard.Add(wordFor))
	}
	a.pause = vetchtrail.Later(a.pause, n.Until)
	a.asked, a.heard = vetchtrail.Later(a.asked, n.Asked), vetchtrail.Later(a.heard, n.Heard)
	return news
}

// join returns the words that stand of two hosts' or two times' of one life.
func (a answers) join(b answers) answers {
	if a.leaves.IsZero() || !b.leaves.IsZero() && b.said.Before(a.said) {
		a.said, a.learned = b.said, b.learned
	}
	a.leaves, a.pause = vetchtrail.Later(a.leaves, b.leaves), vetchtrail.Later(a.pause, b.pause)
	a.asked, a.heard = vetchtrail.Later(a.asked, b.asked), vetchtrail.Later(a.heard, b.heard)
	return a
}

// Noticed implements vetchtrail.Observer.
func (t *Table) Noticed(e vetchtrail.Endpoint, n vetchtrail.Notice, _ error) {
	t.HearNotice(e.Name, e.Born, n)
}

// lifeKey is a life of an endpoint, by the short form of its name.
type lifeKey struct {
	short uint32
	born  int64 // Unix nanoseconds; 0: not told
}

func keyOf(short uint32, born time.Time) lifeKey {
	if born.IsZero() {
		return lifeKey{short: short}
	}
	return lifeKey{short: short, born: born.UnixNano()}
}

func (k lifeKey) start() time.Time {
	if k.born == 0 {
		return time.Time{}
	}
	return time.Unix(0, k.born)
}

// Unknown implements vetchtrail.Observer: the table makes nothing of it.
func (t *Table) Unknown(vetchtrail.Endpoint, string) {}

// absentee is what an endpoint said in a life that is not listed now: its entry may have lapsed while the
// platform's store was away, or be of an older copy, or not come here yet.
type absentee struct {
	addr netip.AddrPort // not valid: not known
	answers
}

// ends is when nothing of the words stands any more.
func (a *answers) ends() time.Time { return vetchtrail.Later(a.leaves, a.pause) }

// hearAbsent takes what an endpoint said in a life that is not listed. The caller holds the lock.
func (t *Table) hearAbsent(key lifeKey, n vetchtrail.Notice, now time.Time) NoticeNews {
	a := t.absent[key]
	news := a.hear(n, now)
	if news.Leaves {
		t.noteLeaver(key, &a.answers)
	}
	t.keep(key, a)
	return news
}

// remember keeps what an endpoint said in a life that is listed no longer. The caller holds the lock.
func (t *Table) remember(s *state) {
	if !s.leaving.ends().IsZero() {
		t.keep(keyOf(Short(s.Name), s.Born), absentee{addr: s.Addr, answers: s.leaving.answers})
	}
}

// recall gives an endpoint that is listed what it said before, in the same life. The caller holds the
// lock.
func (t *Table) recall(s *state, e vetchtrail.Endpoint) {
	key := keyOf(Short(e.Name), e.Born)
	a, ok := t.absent[key]
	if !ok {
		return
	}
	delete(t.absent, key)
	if !a.addr.IsValid() || a.addr == e.Addr {
		s.leaving.answers = s.leaving.join(a.answers)
	}
}

// keep keeps what an absent endpoint said, in place of that which lapses first if they are too many. The
// caller holds the lock.
func (t *Table) keep(key lifeKey, a absentee) {
	if _, known := t.absent[key]; !known && len(t.absent) >= mostAbsent {
		first, at := key, a.ends()
		for other, b := range t.absent {
			if b.ends().Before(at) {
				first, at = other, b.ends()
			}
		}
		if first == key {
			return
		}
		delete(t.absent, first)
	}
	t.absent[key] = a
}

// Leaver is an endpoint whose answers said that it leaves.
type Leaver struct {
	Short uint32    // form of its name
	Born  time.Time // of its life
	Said  time.Time // when one said so first
}

// leaver is a life of an endpoint of which it was learned at a moment that it leaves.
type leaver struct {
	lifeKey
	learned time.Time
}

// mostLeavers bounds the lives that are remembered in the order in which they said that they leave.
const mostLeavers = 2 * mostAbsent

// noteLeaver remembers a life that said that it leaves, if it did, as the one that was learned of last. The caller
// holds the lock.
func (t *Table) noteLeaver(key lifeKey, a *answers) {
	if a.leaves.IsZero() {
		return
	}
	if n := len(t.leavers); n > 0 {
		a.learned = vetchtrail.Later(a.learned, t.leavers[n-1].learned)
	}
	if len(t.leavers) >= mostLeavers {
		t.leavers = slices.Delete(t.leavers, 0, mostLeavers/2)
	}
	t.leavers = append(t.leavers, leaver{lifeKey: key, learned: a.learned})
}

// saidBy returns what a life said; nil: it is forgotten. The caller holds the lock.
func (t *Table) saidBy(key lifeKey) *answers {
	if s, ok := t.shorts[key.short]; ok && keyOf(key.short, s.Born) == key {
		return &s.leaving.answers
	}
	if a, ok := t.absent[key]; ok {
		return &a.answers
	}
	return nil
}

// Leavers returns the endpoints of which this host learned after a moment that their answers say that
// they leave.
func (t *Table) Leavers(after, now time.Time) []Leaver {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Leaver
	for _, l := range slices.Backward(t.leavers) {
		if !l.learned.After(after) {
			break
		}
		a := t.saidBy(l.lifeKey)
		if a != nil && a.learned.Equal(l.learned) && now.Before(a.leaves) {
			out = append(out, Leaver{Short: l.short, Born: l.start(), Said: a.said})
		}
	}
	return out
}
