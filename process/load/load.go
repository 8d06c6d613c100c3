// Package load keeps what a host knows of the endpoints of its data centre:
// their late reports, its own requests in flight, what it observed of their
// speed, their limits, and which are out of use. It lives for the process.
package load

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
)

const (
	// smoothing is the weight of a new observation in a running mean.
	smoothing = 0.05
	// usual is how far an endpoint's mean may be over its service's and still be
	// taken as the same, and fewSeen how many observations say nothing: means of
	// few requests differ by chance, and would unbalance the load. One that seems
	// faster is taken as the same too: it would draw load until it isn't.
	fewSeen = 8
	usual   = 0.4
	// firstService and firstPrefill stand until something was observed.
	firstService = 1.0    // seconds a request occupies a slot
	firstPrefill = 0.0002 // seconds a prompt token takes
	fastest      = 0.1    // bounds of an endpoint's pace beside its service's
	slowest      = 50.0
	// forget is the time in which an unrepeated observation of an endpoint falls
	// to 1/e beside the mean of its service, so that one that was slow is tried
	// again.
	forget = 10 * time.Second
	// limitRoom is how far over its slots an endpoint's limit may grow: what it
	// may hold back itself.
	limitRoom = 2.0
	limitCut  = 0.7 // on a refusal or a timeout
	// heldBack is how many times longer than a usual request one must take to its
	// first byte to be taken as held back: beyond what requests differ by.
	heldBack   = 4.0
	failuresTo = 3 // failures in a row until an endpoint is ejected
	// downFor is how long an endpoint that refuses connections is left alone at
	// first, twice as long each time up to downMost; the next report puts it back
	// sooner.
	downFor  = time.Second
	downMost = 8 * time.Second
	// refusedMost bounds how long an endpoint's own refusal is heeded.
	refusedMost = 5 * time.Second
	// misledFor is how long an endpoint is left alone whose address turned out to
	// be another process's; the platform's list drops it sooner.
	misledFor  = time.Minute
	ejectFirst = 2 * time.Second
	ejectMost  = time.Minute
	// failsChance is how unlikely a row of an endpoint's own failures must be to be
	// taken as its fault: with some hundred answers a second, one wrong verdict in
	// some ten seconds, for two seconds. failsLeast and failsMost bound how often the
	// others are taken to fail: one that answers two of three requests well is of more
	// use than none.
	failsChance = 0.001
	failsLeast  = 0.3
	failsMost   = 0.5
	// ejectShare is the share of a service's endpoints that may be ejected at
	// once: beyond it the fault is not the endpoints'.
	ejectShare = 0.34
	coldStart  = 0.2 // warmth after a return
	warmStep   = 0.1 // warmth gained by an answer
	// ownHistory is how many changes of the requests in flight are kept to
	// correct late reports.
	ownHistory = 64
)

// Table is the state of the endpoints of one data centre.
type Table struct {
	mu        sync.Mutex
	endpoints map[string]*state
	services  map[string][]*state
	shorts    map[uint32]*state
	means     map[string]*means        // for each service
	freed     map[string]chan struct{} // for each service, closed when room is made
	off       vetchtrail.Mechanisms    // that are not used
	far       map[string][]farEndpoint // of other regions, for each service: only where prompts are kept
	absent    map[lifeKey]absentee     // words of lives of endpoints that are not listed now
	leavers   []leaver                 // whose words of leaving were learned, in the order of that
	heard     []heard                  // reports, in the order in which they were taken
	taken     uint64                   // reports
}

// state is one endpoint's.
type state struct {
	vetchtrail.Endpoint
	region   vetchtrail.RegionID
	hash     uint64 // of its name
	report   vetchtrail.LoadReport
	reported bool
	polled   bool   // the report was fetched by this host
	taken    uint64 // how many reports of all endpoints were taken up to its newest
	own      int
	history  []ownMark // a ring once it is full
	marks    int
	limit    float64
	service  average   // seconds a request occupies a slot
	pace     average   // its time to the first token over its service's
	observed time.Time // when service and pace last were
	warmth   float64
	failures int
	failRun  int // failures of its own in a row
	ejects   int
	reading  map[string]unread // prompts of own requests whose answers have not begun, by request
	sessions sessions          // whose prompts this host sent here lately
	cold     coldGate
	gap      gap
	streams  map[string]bool // own streams that have begun, by request
	heard    time.Time       // when anything came from it last
	downs    int             // connections in a row that it did not take
	fails    average         // share of its answers that were failures of its own
	failsAt  time.Time       // when one was last seen
	ejected  time.Time       // until when, for failures
	backOff  time.Time       // until when, by its own refusal or as it is down
	backWhy  vetchtrail.Reason
	leaving  departure            // what is known of its leaving beside the configuration
	worded   bool                 // its answers once said something of it
	says     bool                 // its newest report says that it is leaving
	rate     vetchtrail.RateLimit // what it last said of the requests that it takes
	limited  time.Time            // since when it names a rate, or did last; zero: never in its life
	shut     time.Time            // until when nothing of its rate is left
	left     float64              // of its rate when its keeper was last asked, in requests
}

// means are a service's, over all its endpoints.
type means struct {
	service average          // seconds a request occupies a slot
	token   average          // seconds a prompt token takes to the first of the answer
	reading reading          // of prompts, by idle endpoints
	prefill fit              // seconds to the first of the answer by tokens read
	gaps    fit              // seconds between two events of a stream by the requests that run
	fails   average          // share of the answers that were failures of the endpoints
	kinds   map[string]*kind // of streams, by route
	prompt  average          // tokens that a request makes an endpoint read
	borne   borne            // of what is predicted
	waiting float64          // requests of other hosts that wait at an endpoint, in the mean
}

func newMeans() *means {
	return &means{
		service: average{value: firstService},
		token:   average{value: firstPrefill},
		reading: newReading(),
		borne:   borne{part: 1},
		prefill: newPrefill(),
		gaps:    fit{most: gapSlopeMost},
		kinds:   map[string]*kind{},
	}
}

// New returns an empty table.
func New() *Table {
	return &Table{
		endpoints: map[string]*state{},
		services:  map[string][]*state{},
		means:     map[string]*means{},
		freed:     map[string]chan struct{}{},
		absent:    map[lifeKey]absentee{},
	}
}

// Placed is an endpoint with its region's id.
type Placed struct {
	vetchtrail.Endpoint
	RegionID vetchtrail.RegionID
}

// Configure makes the table hold the given endpoints, keeping what is known of
// those it had.
func (t *Table) Configure(endpoints []Placed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.endpoints
	t.endpoints = make(map[string]*state, len(endpoints))
	t.services = map[string][]*state{}
	t.shorts = make(map[uint32]*state, len(endpoints))
	for _, e := range endpoints {
		s, ok := old[e.Name]
		if !ok || s.Addr != e.Addr || s.Service != e.Service || s.another(e.Born) {
			s = &state{
				hash: xxhash.Sum64String(e.Name), limit: float64(e.Slots), service: average{value: firstService},
				pace: average{value: 1}, warmth: 1,
			}
			t.recall(s, e.Endpoint)
			if ok {
				s.takeOver(old[e.Name], e.Born)
			}
			t.noteLeaver(keyOf(Short(e.Name), e.Born), &s.leaving.answers)
		}
		s.cold.configure(e.ColdUntil, e.ColdRate)
		s.Endpoint, s.region = e.Endpoint, e.RegionID
		t.endpoints[e.Name] = s
		t.shorts[Short(e.Name)] = s
		t.services[e.Service] = append(t.services[e.Service], s)
		if t.means[e.Service] == nil {
			t.means[e.Service] = newMeans()
		}
	}
	for name, s := range old {
		if t.endpoints[name] != s {
			t.remember(s)
		}
	}
	for service := range t.services {
		t.wake(service)
	}
}

// SetColdRate sets this host's part of the requests a second that a cold endpoint bears.
func (t *Table) SetColdRate(name string, rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.endpoints[name]; ok {
		s.ColdRate = rate
		s.cold.configure(s.ColdUntil, rate)
	}
}

// another says whether an endpoint's life that began at a moment is another than the one that
// is known: what it held is gone, and what is on its way to the earlier life isn't in this one.
func (s *state) another(born time.Time) bool {
	return !s.Born.IsZero() && !born.IsZero() && !s.Born.Equal(born)
}

// life returns what is known of an endpoint's life. The caller holds the lock.
func (t *Table) life(name string, born time.Time) (*state, bool) {
	s, ok := t.endpoints[name]
	return s, ok && !s.another(born)
}

// SwitchOff leaves mechanisms out, until it is called again.
func (t *Table) SwitchOff(off vetchtrail.Mechanisms) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.off = off
}

// Known returns an endpoint that requests were placed on, whatever became of it.
func (t *Table) Known(name string) (vetchtrail.Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.endpoints[name]
	if !ok {
		return vetchtrail.Endpoint{}, false
	}
	return s.Endpoint, true
}

// Endpoints returns all endpoints.
func (t *Table) Endpoints() []vetchtrail.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]vetchtrail.Endpoint, 0, len(t.endpoints))
	for _, s := range t.endpoints {
		out = append(out, s.Endpoint)
	}
	return out
}

// Fill appends the endpoints of a request's service to a view.
func (t *Table) Fill(v *vetchtrail.View, r *vetchtrail.Request, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := t.services[r.Service]
	if m, ok := t.means[r.Service]; ok {
		m.asked(r, now)
		v.IdleRead, v.KeptShare, v.Borne = m.reading.idle, m.reading.kept.value, m.borne.part
		v.Events, v.UrgentPace = m.usualEvents(r.Route), m.urgentPace(r, now)
		m.waiting = meanWaiting(states, now)
	}
	session, sticky := r.Session()
	home := -1
	if sticky {
		home = homeOf(states, session.ID, now)
	}
	for i, s := range states {
		e := s.view(t, now)
		if !t.off.Has(vetchtrail.PromptBacklog) {
			e.Backlog = e.Prefill * s.backlog(r.Priority, t.means[r.Service], now)
		}
		if sticky && !t.off.Has(vetchtrail.Affinity) {
			e.Kept = t.keeps(s, r, session, i == home, now)
		}
		v.Endpoints = append(v.Endpoints, e)
	}
}

func (s *state) view(t *Table, now time.Time) vetchtrail.EndpointView {
	m := t.means[s.Service]
	trust := math.Exp(-now.Sub(s.observed).Seconds() / forget.Seconds())
	v := vetchtrail.EndpointView{
		Name: s.Name, Region: s.region, Slots: s.Slots, Limit: t.allowedNow(s), Own: s.own,
		Running: s.report.Running, Queued: s.report.Queued, Age: -1,
		Prefill: m.token.value * notable(1+trust*(s.pace.value-1), s.pace.seen),
		Service: m.service.value * notable(1+trust*(s.service.value/m.service.value-1), s.service.seen),
		Warmth:  s.warmth, Failing: s.excess(m, now), Gap: s.gapNow(m, now), Limited: s.rate.Named, Rate: s.rate.Rate, Left: s.left,
	}
	if m.prefill.known() {
		v.Base, v.Prefill = m.prefill.line()
	}
	if s.reported {
		v.Age = now.Sub(s.report.At)
		v.OwnSince = s.own - s.ownAt(s.report.At)
	}
	switch {
	case s.leaves(now):
		v.Away, v.Why = true, vetchtrail.ReasonDraining
	case now.Before(s.leaving.pause):
		v.Away, v.Why, v.Back = true, vetchtrail.ReasonPaused, s.leaving.pause.Sub(now).Seconds()
	case now.Before(s.ejected):
		v.Away, v.Why = true, vetchtrail.ReasonEjected
	case now.Before(s.backOff):
		v.Away, v.Why, v.Back = true, s.backWhy, s.backOff.Sub(now).Seconds()
	case t.silent(s, now):
		v.Away, v.Why = true, vetchtrail.ReasonSilent
	case s.rate.Named && now.Before(s.shut):
		v.Away, v.Why, v.Back = true, vetchtrail.ReasonLimited, s.shut.Sub(now).Seconds()
	case !s.cold.open(now):
		v.Away, v.Why, v.Back = true, vetchtrail.ReasonCold, s.cold.wait(now).Seconds()
	}
	return v
}
