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
	// usual is how far an endpoint's mean may be from its service's and still be
	// taken as the same: the means of few requests differ by chance, and small
	// differences would unbalance the load.
	usual = 0.4
	// firstService and firstPrefill stand until something was observed.
	firstService = 1.0    // seconds a request occupies a slot
	firstPrefill = 0.0002 // seconds a prompt token takes
	// firstGain is the share of it that a cached prefix is taken to save, until
	// both kinds were observed.
	firstGain = 0.5
	fastest   = 0.1 // bounds of an endpoint's pace beside its service's
	slowest   = 50.0
	// forget is the time in which an unrepeated observation of an endpoint falls
	// to 1/e beside the mean of its service, so that one that was slow is tried
	// again.
	forget = 10 * time.Second
	// limitRoom is how far over its slots an endpoint's limit may grow: what it
	// may hold back itself.
	limitRoom  = 2.0
	limitCut   = 0.7 // on a refusal or a timeout
	failuresTo = 3   // failures in a row until an endpoint is ejected
	// downFor is how long an endpoint that refuses connections is left alone;
	// the next report puts it back sooner.
	downFor = time.Second
	// refusedMost bounds how long an endpoint's own refusal is heeded.
	refusedMost = 5 * time.Second
	ejectFirst  = 2 * time.Second
	ejectMost   = time.Minute
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
}

// state is one endpoint's.
type state struct {
	vetchtrail.Endpoint
	region   vetchtrail.RegionID
	affine   uint64
	report   vetchtrail.LoadReport
	reported bool
	polled   bool // the report was fetched by this host
	own      int
	history  [ownHistory]ownMark
	marks    int
	limit    float64
	service  average   // seconds a request occupies a slot
	pace     average   // its time to the first token over its service's
	observed time.Time // when service and pace last were
	warmth   float64
	failures int
	ejects   int
	ejected  time.Time // until when, for failures
	backOff  time.Time // until when, by its own refusal or as it is down
	backWhy  vetchtrail.Reason
	leaving  time.Time // until when a word of its leaving stands
	says     bool      // its newest report says that it is leaving
}

// ownMark is the number of requests in flight from a moment on.
type ownMark struct {
	at  time.Time
	own int
}

// means are a service's, over all its endpoints.
type means struct {
	service average // seconds a request occupies a slot
	miss    average // seconds a prompt token takes, prefix not cached
	hit     average // where the prefix belongs
}

func newMeans() *means {
	return &means{
		service: average{value: firstService},
		miss:    average{value: firstPrefill},
		hit:     average{value: firstPrefill * (1 - firstGain)},
	}
}

// New returns an empty table.
func New() *Table {
	return &Table{
		endpoints: map[string]*state{},
		services:  map[string][]*state{},
		means:     map[string]*means{},
		freed:     map[string]chan struct{}{},
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
		if !ok || s.Addr != e.Addr || s.Service != e.Service {
			s = &state{
				limit: float64(e.Slots), service: average{value: firstService}, pace: average{value: 1},
				warmth: 1, affine: xxhash.Sum64String(e.Name),
			}
		}
		s.Endpoint, s.region = e.Endpoint, e.RegionID
		t.endpoints[e.Name] = s
		t.shorts[Short(e.Name)] = s
		t.services[e.Service] = append(t.services[e.Service], s)
		if t.means[e.Service] == nil {
			t.means[e.Service] = newMeans()
		}
	}
	for service := range t.services {
		t.wake(service)
	}
}

// Endpoint returns the configuration of an endpoint that may still be used:
// known, not draining and not leaving.
func (t *Table) Endpoint(name string, now time.Time) (vetchtrail.Endpoint, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.endpoints[name]
	if !ok || s.Draining || now.Before(s.leaving) {
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

// Fill appends the endpoints of a service to a view.
func (t *Table) Fill(v *vetchtrail.View, service string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m, ok := t.means[service]; ok {
		v.CacheGain = math.Max(0, m.miss.value-m.hit.value)
	}
	for _, s := range t.services[service] {
		v.Endpoints = append(v.Endpoints, s.view(t.means[service], now))
	}
}

func (s *state) view(m *means, now time.Time) vetchtrail.EndpointView {
	trust := math.Exp(-now.Sub(s.observed).Seconds() / forget.Seconds())
	v := vetchtrail.EndpointView{
		Name: s.Name, Region: s.region, Slots: s.Slots, Limit: s.allowedNow(), Own: s.own,
		Running: s.report.Running, Queued: s.report.Queued, Age: -1,
		Prefill: m.miss.value * notable(1+trust*(s.pace.value-1)),
		Service: m.service.value * notable(1+trust*(s.service.value/m.service.value-1)),
		Warmth:  s.warmth, Affine: s.affine,
	}
	if s.reported {
		v.Age = now.Sub(s.report.At)
		v.OwnSince = s.own - s.ownAt(s.report.At)
	}
	switch {
	case s.Draining, now.Before(s.leaving):
		v.Away, v.Why = true, vetchtrail.ReasonDraining
	case now.Before(s.ejected):
		v.Away, v.Why = true, vetchtrail.ReasonEjected
	case now.Before(s.backOff):
		v.Away, v.Why, v.Back = true, s.backWhy, s.backOff.Sub(now).Seconds()
	}
	return v
}

// allowedNow is the limit, less while the endpoint is cold.
func (s *state) allowedNow() int { return max(1, int(s.limit*s.warmth)) }

// ownAt returns the requests in flight at a moment, as far back as is kept.
func (s *state) ownAt(at time.Time) int {
	oldest := max(0, s.marks-ownHistory)
	for i := s.marks - 1; i >= oldest; i-- {
		if m := s.history[i%ownHistory]; !m.at.After(at) {
			return m.own
		}
	}
	if oldest > 0 {
		return s.history[oldest%ownHistory].own
	}
	return 0
}

func (s *state) mark(now time.Time, by int) {
	s.own += by
	s.history[s.marks%ownHistory] = ownMark{at: now, own: s.own}
	s.marks++
}

// Acquire takes room for one request at an endpoint. It returns false when the
// endpoint is out of use or at its limit.
func (t *Table) Acquire(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.endpoints[name]
	if !ok || s.Draining || now.Before(s.leaving) || now.Before(s.ejected) || now.Before(s.backOff) || s.own >= s.allowedNow() {
		return false
	}
	s.mark(now, 1)
	return true
}

// Observation is what a finished attempt showed of its endpoint.
type Observation struct {
	Outcome vetchtrail.Outcome
	Timing  vetchtrail.Timing
	Tokens  int  // of the prompt
	Affine  bool // the prompt's prefix belongs there
	Cancel  bool // the caller left: says nothing of the endpoint
}

// Release gives the room back and learns from the attempt.
func (t *Table) Release(name string, o Observation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.endpoints[name]
	if !ok {
		return
	}
	s.mark(now, -1)
	t.wake(s.Service)
	switch {
	case o.Cancel:
	case o.Outcome.Kind == vetchtrail.Answered:
		s.answered(o, t.means[s.Service], now)
	case o.Outcome.Reason == vetchtrail.ReasonRefused:
		s.limit = math.Max(1, s.limit*limitCut)
		s.avoid(vetchtrail.ReasonRefused, earlier(o.Outcome.RetryAt, now.Add(refusedMost)))
	case o.Outcome.Step == vetchtrail.StepConnect:
		s.avoid(vetchtrail.ReasonUnreachable, now.Add(downFor))
		s.warmth = coldStart
	case o.Outcome.Kind == vetchtrail.NotRun: // kept back here
	default:
		t.failed(s, now)
	}
}

func (s *state) answered(o Observation, m *means, now time.Time) {
	s.failures, s.ejects = 0, 0
	s.warmth = math.Min(1, s.warmth+warmStep)
	first := o.Timing.First.Sub(o.Timing.Sent).Seconds()
	whole := o.Timing.Done.Sub(o.Timing.Sent).Seconds()
	if whole <= 0 {
		return
	}
	s.observed = now
	s.service.observe(whole)
	m.service.observe(whole)
	if o.Tokens > 0 && s.own < s.Slots {
		s.observePace(first/float64(o.Tokens), o.Affine, m)
	}
	s.adapt(first)
}

// observePace learns from the seconds a prompt token took on a slot that was
// free.
func (s *state) observePace(token float64, affine bool, m *means) {
	expected := &m.miss
	if affine {
		expected = &m.hit
	}
	s.pace.observe(math.Min(math.Max(token/expected.value, fastest), slowest))
	expected.observe(token / math.Max(s.pace.value, 1))
}

// adapt moves the limit: up while requests start in good time, down while they
// are held back at the endpoint for longer than they take.
func (s *state) adapt(first float64) {
	if first > s.service.value {
		s.limit = math.Max(1, s.limit*0.95)
		return
	}
	if float64(s.own+1) >= s.limit {
		s.limit = math.Min(limitRoom*float64(s.Slots), s.limit+1/s.limit)
	}
}

// avoid takes an endpoint out of use for a while for a reason that is surely
// its own, so that no share of them bounds it.
func (s *state) avoid(why vetchtrail.Reason, until time.Time) { s.backWhy, s.backOff = why, until }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// failed counts a failure; after some in a row the endpoint is ejected, unless
// too many of its service are already.
func (t *Table) failed(s *state, now time.Time) {
	s.failures++
	s.limit = math.Max(1, s.limit*limitCut)
	if s.failures < failuresTo {
		return
	}
	out := 0
	for _, other := range t.services[s.Service] {
		if now.Before(other.ejected) {
			out++
		}
	}
	if float64(out+1) > math.Max(1, ejectShare*float64(len(t.services[s.Service]))) {
		return
	}
	s.ejected = now.Add(min(ejectFirst<<s.ejects, ejectMost))
	s.ejects = min(s.ejects+1, 5)
	s.failures = 0
	s.warmth = coldStart
}

// Report takes a report that this host fetched, if it is newer than the one
// held, and says whether it was.
func (t *Table) Report(name string, r vetchtrail.LoadReport, leavingUntil time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.endpoints[name]
	return ok && t.take(s, r, true, leavingUntil)
}

// ReportShort takes a report that another host fetched, by the short form of
// the endpoint's name.
func (t *Table) ReportShort(short uint32, r vetchtrail.LoadReport, leavingUntil time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.shorts[short]
	return ok && t.take(s, r, false, leavingUntil)
}

// Short is the short form of an endpoint's name between hosts. Two of the same
// within a data centre are unlikely, and would only mix their load reports.
func Short(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// take takes a report if it is newer. The caller holds the lock.
func (t *Table) take(s *state, r vetchtrail.LoadReport, polled bool, leavingUntil time.Time) bool {
	if s.reported && !r.At.After(s.report.At) {
		return false
	}
	s.report, s.reported, s.polled = r, true, polled
	if s.backWhy == vetchtrail.ReasonUnreachable {
		s.backOff = time.Time{} // it answers again
	}
	s.hearLeaving(r.Leaving, leavingUntil)
	t.wake(s.Service)
	return true
}

// hearLeaving takes an endpoint's own word that it is leaving, or that it is
// no longer.
func (s *state) hearLeaving(leaving bool, until time.Time) {
	if leaving {
		s.leaving = until
	} else if s.says {
		s.leaving = time.Time{}
	}
	s.says = leaving
}

// Reported returns when an endpoint's newest report was true.
func (t *Table) Reported(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.endpoints[name]; ok {
		return s.report.At
	}
	return time.Time{}
}

// Leave marks an endpoint as leaving until a moment; it is taken out of use at
// once.
func (t *Table) Leave(name string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.endpoints[name]; ok && until.After(s.leaving) {
		s.leaving = until
	}
}

// Down tells that an endpoint refused a connection.
func (t *Table) Down(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.endpoints[name]; ok {
		s.avoid(vetchtrail.ReasonUnreachable, now.Add(downFor))
		s.warmth = coldStart
	}
}

// Freed returns a channel that is closed when a service may have room.
func (t *Table) Freed(service string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.freed[service]
	if !ok {
		c = make(chan struct{})
		t.freed[service] = c
	}
	return c
}

func (t *Table) wake(service string) {
	if c, ok := t.freed[service]; ok {
		close(c)
		delete(t.freed, service)
	}
}

// Row is an endpoint's state for operators.
type Row struct {
	vetchtrail.Endpoint
	View   vetchtrail.EndpointView
	Report vetchtrail.LoadReport
}

// Fetched is a report that this host fetched itself.
type Fetched struct {
	Endpoint string
	Report   vetchtrail.LoadReport
}

// Fetched returns the newest reports that this host fetched itself, and those
// of leaving endpoints whoever fetched them: these are passed on by all.
func (t *Table) Fetched() []Fetched {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Fetched
	for _, s := range t.endpoints {
		if s.polled || s.says {
			out = append(out, Fetched{Endpoint: s.Name, Report: s.report})
		}
	}
	return out
}

// Rows returns the state of all endpoints.
func (t *Table) Rows(now time.Time) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Row, 0, len(t.endpoints))
	for _, s := range t.endpoints {
		out = append(out, Row{Endpoint: s.Endpoint, View: s.view(t.means[s.Service], now), Report: s.report})
	}
	return out
}

// Summary is what other data centres are told of a service here.
type Summary struct {
	Service string
	Free    int
	Slots   int
	Wait    time.Duration
}

// Summaries returns one for each service, in no order.
func (t *Table) Summaries(now time.Time) []Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Summary, 0, len(t.services))
	for name, states := range t.services {
		out = append(out, summarize(name, states, t.means[name], now))
	}
	return out
}

func summarize(name string, states []*state, m *means, now time.Time) Summary {
	sum := Summary{Service: name}
	best := math.Inf(1)
	for _, s := range states {
		v := s.view(m, now)
		if v.Away {
			continue
		}
		held := max(v.Own, v.Running+v.Queued+v.OwnSince)
		sum.Slots += v.Slots
		sum.Free += max(0, v.Slots-held)
		wait := v.Service * 0.1
		if held >= v.Slots {
			wait += float64(held-v.Slots+1) * v.Service / float64(v.Slots)
		}
		best = math.Min(best, wait)
	}
	if !math.IsInf(best, 1) {
		sum.Wait = time.Duration(best * float64(time.Second))
	}
	return sum
}

// notable is a ratio, or 1 if it is about that.
func notable(ratio float64) float64 {
	if math.Abs(ratio-1) < usual {
		return 1
	}
	return ratio
}

// average is a running mean. The first observations weigh more, so that what
// it started from is soon forgotten.
type average struct {
	value float64
	seen  int
}

func (a *average) observe(x float64) {
	a.seen++
	a.value += math.Max(smoothing, 1/float64(a.seen+1)) * (x - a.value)
}
