// Package returns plans when the callers of refused requests should retry, and exchanges what is
// planned with the other hosts. Its state is held in memory and ends with the process: callers
// that this process told to return still do, but no capacity is reserved for them any more.
// The rules are in package request/returns.
package returns

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"vetchtrail"
	"vetchtrail/request/returns"
)

const (
	// maxServices bounds the services for which returns are planned, and with it the memory.
	maxServices = 64
	// maxRoutes bounds the routes of a service whose response times are kept.
	maxRoutes = 64
	// idleTime is how long after its last request the plan of a service may be dropped. All of
	// its returns are over by then.
	idleTime = time.Minute
	// responseTimeWeight is the weight of a new observation in the mean response time. It
	// follows a change within some tens of responses.
	responseTimeWeight = 0.1
)

// Config configures Returns.
type Config struct {
	Table vetchtrail.DemandTable
	// InForce returns whether returns are planned for a service: where admission is in force,
	// which reserves capacity for them. nil: for all services.
	InForce     func(service string, now time.Time) bool
	SwitchedOff bool // none are planned
	Seed        uint64
}

// Returns implements vetchtrail.ReturnPlanner. It is safe for concurrent use.
type Returns struct {
	cfg Config

	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*service
}

// service is the state of one service.
type service struct {
	plan          *returns.Plan
	responseTimes map[string]time.Duration // mean time from the first byte to the end, by route
	received      map[string]report        // by host
	counters      map[counterKey]*metrics.Counter
	usedAt        time.Time
}

// New returns Returns that have planned nothing.
func New(c Config) *Returns {
	return &Returns{cfg: c, random: rand.New(rand.NewPCG(c.Seed, 0)), services: map[string]*service{}}
}

// InForce returns whether returns are planned for a service.
func (t *Returns) InForce(name string, now time.Time) bool {
	return !t.cfg.SwitchedOff && (t.cfg.InForce == nil || t.cfg.InForce(name, now))
}

// Plan implements vetchtrail.ReturnPlanner. The time is zero where returns are not in force and
// where nothing is known of the demand.
func (t *Returns) Plan(r *vetchtrail.Request, now time.Time) (at time.Time, ok bool) {
	if !t.InForce(r.Service, now) {
		return time.Time{}, false
	}
	demand := t.cfg.Table.Demand(r.Service, now)
	if demand.Supply <= 0 && len(demand.Classes) == 0 {
		return time.Time{}, false
	}
	refused := returns.Refused{Priority: r.Priority, Work: t.cfg.Table.Work(r), Goal: r.Goal, Deadline: r.Deadline, Returned: !r.CallerCanRetry}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(r.Service, now)
	if s == nil {
		return time.Time{}, false
	}
	refused.ResponseTime = s.responseTimes[r.Route]
	at, ok = s.plan.Add(refused, &demand, now, t.random)
	if ok {
		s.count(r, eventPlanned)
	} else {
		s.count(r, eventNoSlot)
	}
	return at, ok
}

// Ended implements vetchtrail.ReturnPlanner. First attempts only count for the response time of
// their route.
func (t *Returns) Ended(r *vetchtrail.Request, o vetchtrail.Outcome, now time.Time) {
	if !t.InForce(r.Service, now) {
		return
	}
	work := 0.0
	if !r.CallerCanRetry {
		work = t.cfg.Table.Work(r) // not under the mutex, as a DemandTable may call Planned
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(r.Service, now)
	if s == nil {
		return
	}
	if o.Kind == vetchtrail.OutcomeAnswered && !o.FirstByte.IsZero() {
		s.observeResponse(r.Route, now.Sub(o.FirstByte))
	}
	if r.CallerCanRetry {
		return
	}
	s.plan.Arrived(work, now)
	s.count(r, eventArrived)
	switch o.Kind {
	case vetchtrail.OutcomeAnswered:
		s.count(r, eventServed)
	case vetchtrail.OutcomeNotRun:
		s.count(r, eventRefused)
	}
}

// observeResponse updates the mean response time of a route.
func (s *service) observeResponse(route string, took time.Duration) {
	mean, known := s.responseTimes[route]
	switch {
	case known:
		s.responseTimes[route] = mean + time.Duration(responseTimeWeight*float64(took-mean))
	case len(s.responseTimes) < maxRoutes:
		s.responseTimes[route] = took
	}
}

// service returns the state of a service, or nil if there are too many in use.
func (t *Returns) service(name string, now time.Time) *service {
	s, ok := t.services[name]
	if !ok {
		if len(t.services) >= maxServices && !t.dropIdle(now) {
			return nil
		}
		s = &service{plan: returns.New(now), responseTimes: map[string]time.Duration{}, received: map[string]report{}, counters: map[counterKey]*metrics.Counter{}}
		t.services[name] = s
	}
	s.usedAt = now
	return s
}

// dropIdle removes the services that have not been used for some time. It returns whether there
// were any.
func (t *Returns) dropIdle(now time.Time) bool {
	before := len(t.services)
	for name, s := range t.services {
		if now.Sub(s.usedAt) > idleTime {
			delete(t.services, name)
		}
	}
	return len(t.services) < before
}
