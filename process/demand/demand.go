// Package demand measures what this host's callers ask of services, exchanges it with the other
// hosts of the region, and decides with it which requests are admitted while a service is short
// of capacity. The decisions are made by package admission, and the supply comes from package
// load. The state is held in memory only and ends with the process.
package demand

import (
	"log/slog"
	"sync"
	"time"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/process/logs"
	"vetchtrail/request/admission"
)

const (
	// refreshInterval is the shortest time between two computations of a service's shares. State
	// of other hosts is some hundred milliseconds old.
	refreshInterval = 100 * time.Millisecond
	// heartbeatClasses bounds the classes of a service in a heartbeat. A host sends and receives
	// some eight a second, and control traffic is bounded to 4 KB/s.
	heartbeatClasses = 12
	// detailShare is the share of the supply from which the demand is sent by workspace. Peaks grow
	// from there to a shortage in some seconds, longer than an exchange takes.
	detailShare = 0.5
)

// Enforcement says where demand is measured and where admission is in force.
type Enforcement string

// Values of the setting admission.enforce. The platform's contracts or a service's endpoints call
// for admission.
const (
	EnforceAlways  Enforcement = "always"  // for all services
	EnforceAuto    Enforcement = "auto"    // where it is called for
	EnforceObserve Enforcement = "observe" // nowhere, but demand is measured where it is called for
	EnforceNever   Enforcement = "never"   // nowhere, and nothing is measured
)

// Enforcements are all values of the setting.
var Enforcements = []Enforcement{EnforceAlways, EnforceAuto, EnforceObserve, EnforceNever}

// SupplySource knows the endpoints' supply. *load.Table implements it.
type SupplySource interface {
	Supply(service string, now time.Time) load.Supply
	// ReportsSlowdown reports whether an endpoint of a service has reported a slowdown.
	ReportsSlowdown(service string) bool
	// SetQueueIntervals sets whether a service's event intervals are derived from the queues in
	// load reports.
	SetQueueIntervals(service string, inForce bool)
}

// Config configures a Table.
type Config struct {
	Supplies    SupplySource
	LiveHosts   func() int // of this data centre; must not call the Table
	RegionHosts func() int // of this region; must not call the Table
	// Planned returns the returns to a service that are planned by as many hosts as given; nil:
	// none are planned. It must not call the Table.
	Planned func(service string, hosts int, now time.Time) []vetchtrail.PlannedReturn
	// Region is the name of this region, and RegionID returns the id of a region. Without it, no
	// spare supply of other regions is used.
	Region        string
	WithoutGrants bool // the spare supply of other regions isn't used
	RegionID      func(name string) (vetchtrail.RegionID, bool)
	Quota         func(workspace string) vetchtrail.Quota // for the weights of workspaces; its rate is 0 without one
	Enforce       Enforcement
	Pressure      bool // the platform's contracts call for admission
	// PlansReturns is set if refusals tell callers when they can be served. Otherwise their retries
	// come into the same shortage, and are not preferred to first attempts: those can still be in
	// time.
	PlansReturns bool
	SwitchedOff  bool   // the mechanism is switched off
	Seed         uint64 // of the hosts' first decisions
	Log          *slog.Logger
}

// Table holds the demand for each service. It implements vetchtrail.DemandTable and
// vetchtrail.Admission, and is safe for concurrent use.
type Table struct {
	cfg        Config
	logLimiter logs.Throttle // by service

	mu       sync.Mutex
	services map[string]*service
}

// service is the state of one service. The lock of its Table guards it.
type service struct {
	name        string
	meter       admission.Meter
	hosts       admission.Measurements   // of the other hosts of this data centre
	dataCentres admission.Measurements   // of the other data centres of the region
	liveHosts   int                      // when this host last heard from another
	heardAt     time.Time                // when that was
	remotes     map[string]remoteBalance // data centres of other regions, by name
	reaches     map[int8]reach           // by priority
	objectives  map[string]objective     // by route
	controller  *admission.RegionShares
	shortage    bool // as last logged
	counters    map[int8]*counters
	gauges      *gauges

	refreshedAt time.Time
	supply      load.Supply
	own         []vetchtrail.ClassDemand
	local       []vetchtrail.ClassDemand   // of this data centre
	classes     []vetchtrail.ClassDemand   // of the region
	scratch     []vetchtrail.ClassDemand   // for the controller, which changes it
	planned     []vetchtrail.PlannedReturn // by the hosts of the region
	age         time.Duration              // of the oldest measurement that counts
	granted     float64                    // by other regions, to all priorities
	grantedTo   map[int8]float64           // by other regions, to single priorities
}

// objective is the latency objective of a route's requests in the last objectiveAge.
type objective struct {
	duration time.Duration
	at       time.Time
	priority int8
}

// objectiveAge is how long a latency objective counts after a request that had it: longer than
// the pauses between the requests of a kind, shorter than a peak.
const objectiveAge = 5 * time.Second

// New returns a Table without demand.
func New(c Config) *Table { return &Table{cfg: c, services: map[string]*service{}} }

// service returns the state of a service. The caller holds the lock.
func (t *Table) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{
			name: name, objectives: map[string]objective{}, reaches: map[int8]reach{}, controller: admission.NewRegionShares(t.cfg.Seed),
			counters: map[int8]*counters{}, gauges: newGauges(name),
		}
		t.services[name] = s
	}
	return s
}

// InForce implements vetchtrail.Admission.
func (t *Table) InForce(service string, now time.Time) bool {
	return t.cfg.Enforce != EnforceObserve && !t.cfg.SwitchedOff && t.Measures(service, now)
}

// Measures reports whether the demand for a service is measured and exchanged.
func (t *Table) Measures(service string, _ time.Time) bool {
	switch {
	case t.cfg.Enforce == EnforceNever:
		return false
	case t.cfg.Enforce == EnforceAlways || t.cfg.Pressure:
		return true
	}
	return t.cfg.Supplies.ReportsSlowdown(service)
}

// Admit implements vetchtrail.Admission.
func (t *Table) Admit(r *vetchtrail.Request, now time.Time) vetchtrail.AdmissionVerdict {
	if !t.Measures(r.Service, now) {
		return vetchtrail.AdmissionVerdict{Admitted: true, Share: 1}
	}
	inForce := t.InForce(r.Service, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(r.Service)
	t.refresh(s, now)
	s.observeObjective(r, now)
	s.observeReach(r, now)
	class, work := admission.ClassOf(r), s.work(r)
	class.Return = class.Return && t.cfg.PlansReturns
	share, admitted := 1.0, true
	if inForce {
		share, admitted = s.controller.Share(class), s.controller.Admit(class)
	}
	s.meter.Count(class, work, admitted, now)
	s.count(r.Priority, work, admitted)
	f := s.controller.Figures()
	return vetchtrail.AdmissionVerdict{
		Admitted: admitted, Shortage: f.Shortage.Active, Asked: f.Asked, Supply: f.Supply, Share: share, Age: s.age,
	}
}

// Work implements vetchtrail.DemandTable.
func (t *Table) Work(r *vetchtrail.Request) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.service(r.Service).work(r)
}

// work returns the prompt tokens that an endpoint probably processes for a request: all but the
// shared ones that it has cached. All parts of a prompt but the last may be shared.
func (s *service) work(r *vetchtrail.Request) float64 {
	all := r.PromptTokens()
	if len(r.Prompt) == 0 {
		return float64(all)
	}
	return float64(all) - s.supply.CachedShare*float64(all-r.Prompt[len(r.Prompt)-1].Tokens)
}

// observeObjective records the latency objective of a route by a first attempt. The longest one
// is the route's: of requests that waited before, a part of the time has passed.
func (s *service) observeObjective(r *vetchtrail.Request, now time.Time) {
	if r.Goal.IsZero() || !r.CallerCanRetry {
		return
	}
	d := r.Goal.Sub(now)
	if o, ok := s.objectives[r.Route]; !ok || d >= o.duration || now.Sub(o.at) > objectiveAge {
		s.objectives[r.Route] = objective{duration: d, at: now, priority: r.Priority}
	}
}

// lowestObjective returns the shortest latency objective among the routes of the lowest priority
// that is asked for; 0: not known.
func (s *service) lowestObjective(now time.Time) time.Duration {
	var lowest objective
	for route, o := range s.objectives {
		if now.Sub(o.at) > objectiveAge {
			delete(s.objectives, route)
			continue
		}
		if lowest.at.IsZero() || o.priority < lowest.priority || (o.priority == lowest.priority && o.duration < lowest.duration) {
			lowest = o
		}
	}
	return lowest.duration
}

// Demand implements vetchtrail.DemandTable.
func (t *Table) Demand(name string, now time.Time) vetchtrail.ServiceDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	t.refresh(s, now)
	d := vetchtrail.ServiceDemand{Supply: s.controller.Figures().Supply, Returns: s.planned, Hosts: s.regionHosts(t), Age: s.age}
	for _, c := range s.classes {
		c.Admitted = c.Asked * s.controller.Share(classKey(c))
		d.Classes = append(d.Classes, c)
	}
	return d
}
