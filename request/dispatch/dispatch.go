// Package dispatch takes a request from its arrival to its end: it judges it by
// the configuration, decides, waits for room, calls the endpoint or another
// host, and retries where that is safe. Read it from Run downwards.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"vetchtrail"
	"vetchtrail/process/journal"
	"vetchtrail/process/load"
	"vetchtrail/process/membership"
	"vetchtrail/request/budget"
	"vetchtrail/request/once"
	"vetchtrail/request/queue"
	"vetchtrail/version/rules"
)

const (
	maxAttempts = 2 // one retry
	// raceTries is how often a decision is made again when its endpoint was
	// filled in between.
	raceTries = 3
	minBack   = 200 * time.Millisecond
)

// Statuses of answers that are the system's own.
const (
	statusBadRequest  = 400
	statusForbidden   = 403
	statusNotFound    = 404
	statusConflict    = 409
	statusBadGateway  = 502
	statusUnavailable = 503
	statusTimeout     = 504
)

// Config is what a Dispatcher needs.
type Config struct {
	Self       vetchtrail.Host
	Policy     vetchtrail.Policy
	Rules      func() *rules.Rules
	Table      *load.Table
	Membership *membership.Membership
	Endpoints  vetchtrail.EndpointCaller
	Peers      vetchtrail.Forwarder
	Keeper     *once.Keeper
	Journal    *journal.Journal
	Seed       uint64 // of the random choices
}

// Dispatcher runs requests. It is safe for use by many.
type Dispatcher struct {
	cfg      Config
	views    sync.Pool
	randoms  sync.Pool
	draws    atomic.Uint64
	inFlight atomic.Int64

	mu      sync.Mutex
	lines   map[string]*queue.Line
	budgets map[string]*budget.Budget
}

// New returns a dispatcher.
func New(c Config) *Dispatcher {
	d := &Dispatcher{cfg: c, lines: map[string]*queue.Line{}, budgets: map[string]*budget.Budget{}}
	d.views.New = func() any { return &vetchtrail.View{} }
	d.randoms.New = func() any { return rand.New(rand.NewPCG(c.Seed, d.draws.Add(1))) }
	return d
}

// InFlight returns how many requests are on their way.
func (d *Dispatcher) InFlight() int { return int(d.inFlight.Load()) }

// Run takes a request to its end. It returns when the outcome is known or has
// been given up on; what of an answer there was has gone to a.
func (d *Dispatcher) Run(ctx context.Context, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	began := time.Now()
	o := d.run(ctx, r, a)
	d.cfg.Journal.Note(journal.Record{
		At: began, Request: r.ID, Service: r.Service, Workspace: r.Workspace, Hops: r.Hops,
		Ended: true, Outcome: o, Took: time.Since(began),
	})
	count(r, o, time.Since(began))
	return o
}

func (d *Dispatcher) run(ctx context.Context, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	if o, ok := d.judge(r); !ok {
		return d.keyed(r, o)
	}
	if r.Resume.Endpoint != "" {
		return d.resume(ctx, r, a)
	}
	if r.Key != "" {
		return d.once(ctx, r, a)
	}
	return d.attempts(ctx, r, a)
}

// judge sets where the request may go by the newest configuration held, within
// what the host that sent it allowed.
func (d *Dispatcher) judge(r *vetchtrail.Request) (vetchtrail.Outcome, bool) {
	now := d.cfg.Rules()
	j, ok := now.Judge(r.Service, r.Workspace, r.Entry)
	if !ok {
		return d.refusal(vetchtrail.StepDecide, vetchtrail.ReasonNoService, time.Time{}), false
	}
	r.Home, r.Priority = j.Home, j.Priority
	if r.Hops == 0 {
		r.Allowed = j.Allowed
	}
	r.Allowed &= j.Allowed
	r.Revision = max(r.Revision, now.Revision())
	if r.Allowed == 0 {
		return d.refusal(vetchtrail.StepResidency, vetchtrail.ReasonResidency, time.Time{}), false
	}
	return vetchtrail.Outcome{}, true
}

// Guard is asked just before the first byte of a request leaves for an
// endpoint: the configuration may have changed while it waited.
func (d *Dispatcher) Guard(e vetchtrail.Endpoint, r *vetchtrail.Request) vetchtrail.Reason {
	now := time.Now()
	if !now.Before(r.Deadline) {
		return vetchtrail.ReasonDeadline
	}
	newest := d.cfg.Rules()
	j, ok := newest.Judge(r.Service, r.Workspace, r.Entry)
	g, known := newest.Region(e.Region)
	if !ok || !known || !(j.Allowed & r.Allowed).Has(g.ID) {
		return vetchtrail.ReasonResidency
	}
	if _, usable := d.cfg.Table.Endpoint(e.Name, now); !usable && r.Resume.Endpoint == "" {
		return vetchtrail.ReasonDraining
	}
	return ""
}

// tried is where a request was tried before.
type tried struct {
	places  []string
	refused bool // an endpoint here refused for its load
	last    vetchtrail.Outcome
}

// total is the request's outcome when its last attempt ended so. After an
// attempt that may have run, a later one that did not leaves it unknown.
func (t *tried) total(o vetchtrail.Outcome) vetchtrail.Outcome {
	if o.Kind != vetchtrail.NotRun || len(t.places) == 0 || t.last.Kind != vetchtrail.Unknown {
		return o
	}
	first := t.last
	first.RetryAt = o.RetryAt
	return first
}

// attempts tries a request, and once more where it surely did not run or may
// run twice.
func (d *Dispatcher) attempts(ctx context.Context, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	var t tried
	for n := 1; ; n++ {
		p, o, ok := d.place(ctx, r, t, n)
		if !ok {
			return t.total(o)
		}
		o = d.try(ctx, r, p, a)
		if o.Kind == vetchtrail.Answered {
			d.budget(r.Service).Earn()
			return o
		}
		o = t.total(o)
		if !d.mayRetry(ctx, r, o, n) {
			return o
		}
		t.last = o
		t.places = append(t.places, p.name())
		t.refused = t.refused || (o.Reason == vetchtrail.ReasonRefused && p.dataCentre == "")
		if o, ok := d.judge(r); !ok {
			return t.total(o)
		}
	}
}

// mayRetry says whether another attempt is safe and affordable. A host that
// was passed the request leaves it to the sender.
func (d *Dispatcher) mayRetry(ctx context.Context, r *vetchtrail.Request, o vetchtrail.Outcome, n int) bool {
	switch {
	case n >= maxAttempts || r.Hops > 0 || o.Begun || ctx.Err() != nil:
		return false
	case !time.Now().Before(r.Deadline):
		return false
	case o.Kind == vetchtrail.Unknown && !r.Repeats:
		return false
	}
	ok := d.budget(r.Service).Take()
	countRetry(r.Service, ok)
	return ok
}

// placement is where an attempt goes, with room taken there.
type placement struct {
	endpoint   vetchtrail.Endpoint
	host       vetchtrail.Host // with a data centre: elsewhere
	dataCentre string
}

func (p placement) name() string {
	if p.dataCentre != "" {
		return p.dataCentre
	}
	return p.endpoint.Name
}

// try makes one attempt.
func (d *Dispatcher) try(ctx context.Context, r *vetchtrail.Request, p placement, a vetchtrail.Answer) vetchtrail.Outcome {
	if p.dataCentre != "" {
		o := d.cfg.Peers.Forward(ctx, p.host, r, a)
		d.cfg.Membership.Returned(p.dataCentre, r.Service, o, time.Now())
		return o
	}
	o, timing := d.cfg.Endpoints.Call(ctx, p.endpoint, r, a)
	d.cfg.Table.Release(p.endpoint.Name, load.Observation{
		Outcome: o, Timing: timing, Tokens: r.Tokens, Cancel: ctx.Err() != nil,
	}, time.Now())
	return o
}

// refusal is the outcome of a request that was given up on without running.
func (d *Dispatcher) refusal(step vetchtrail.Step, why vetchtrail.Reason, retryAt time.Time) vetchtrail.Outcome {
	o := vetchtrail.Outcome{Kind: vetchtrail.NotRun, Step: step, Reason: why, Peer: d.cfg.Self.Name, RetryAt: retryAt}
	switch why {
	case vetchtrail.ReasonNoService:
		o.Status = statusNotFound
	case vetchtrail.ReasonResidency:
		o.Status = statusForbidden
	case vetchtrail.ReasonDeadline:
		o.Status = statusTimeout
	default:
		o.Status = statusUnavailable
	}
	return o
}

func (d *Dispatcher) line(service string) *queue.Line {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.lines[service]
	if !ok {
		l = queue.New(func() <-chan struct{} { return d.cfg.Table.Freed(service) })
		d.lines[service] = l
	}
	return l
}

func (d *Dispatcher) budget(service string) *budget.Budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.budgets[service]
	if !ok {
		b = &budget.Budget{}
		d.budgets[service] = b
	}
	return b
}
