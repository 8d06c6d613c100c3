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
	"vetchtrail/request/budget"
	"vetchtrail/request/once"
	"vetchtrail/request/queue"
	"vetchtrail/version/rules"
)

const (
	maxAttempts = 2 // one retry, for requests that belong to no route
	// placesMost bounds the places tried for one request, those that could not
	// be reached too.
	placesMost = 4
	// raceTries is how often a decision is made again when its endpoint was
	// filled in between.
	raceTries = 3
	minBack   = 200 * time.Millisecond
)

// Statuses of answers that are the system's own.
const (
	statusBadRequest   = 400
	statusUnauthorized = 401
	statusForbidden    = 403
	statusNotFound     = 404
	statusConflict     = 409
	statusTooMany      = 429
	statusBadGateway   = 502
	statusUnavailable  = 503
)

// Config is what a Dispatcher needs.
type Config struct {
	Self       vetchtrail.Host
	Policy     vetchtrail.Policy
	Rules      func() *rules.Rules
	Table      vetchtrail.Endpoints
	Membership vetchtrail.Hosts
	Endpoints  vetchtrail.EndpointCaller
	Peers      vetchtrail.Forwarder
	Keeper     *once.Keeper
	Journal    vetchtrail.Recorder
	Seed       uint64 // of the random choices
	Budget     budget.Config
	Quotas     vetchtrail.Quotas     // nil: workspaces have none
	Quarantine vetchtrail.Quarantine // nil: nothing is held back
	Permits    vetchtrail.Permits    // nil: endpoints name no rates
	Off        vetchtrail.Mechanisms // that are not used
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
	d.cfg.Journal.Note(vetchtrail.Record{
		At: began, Request: r.ID, Service: r.Service, Route: r.Route, Workspace: r.Workspace, Hops: r.Hops,
		Ended: true, Outcome: o, Took: time.Since(began),
	})
	count(r, o, time.Since(began))
	return o
}

// Rejected notes a request whose caller did not show a workspace: nothing is done for it.
func (d *Dispatcher) Rejected(r *vetchtrail.Request, o vetchtrail.Outcome) {
	o.Peer = d.cfg.Self.Name
	d.cfg.Journal.Note(vetchtrail.Record{At: time.Now(), Request: r.ID, Route: r.Route, Ended: true, Outcome: o})
	count(r, o, 0)
}

func (d *Dispatcher) run(ctx context.Context, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	if r.Hops > 0 && r.Route != "" && d.cfg.Membership.Self().State == vetchtrail.HostLeaving {
		// Its stream could outlast this host; who sent it hears late of the stop.
		return d.refusal(vetchtrail.StepForward, vetchtrail.ReasonLeaving, time.Now().Add(minBack))
	}
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
	if r.Credential != (vetchtrail.KeyHash{}) {
		if holder, ok := now.Holder(r.Credential); !ok || holder != r.Workspace {
			return d.refusal(vetchtrail.StepDecide, vetchtrail.ReasonUnknownKey, time.Time{}), false
		}
	}
	j, why := judgement(now, r)
	if why != "" {
		return d.refusal(vetchtrail.StepDecide, why, time.Time{}), false
	}
	if hold, held := d.held(r); held {
		return d.heldBack(hold), false
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

// judgement is what rules say of a request, by its route or its service, or why it may
// not run.
func judgement(held *rules.Rules, r *vetchtrail.Request) (rules.Judgement, vetchtrail.Reason) {
	if r.Route != "" {
		return held.JudgeRoute(r.Route, r.Service, r.Workspace, r.Entry)
	}
	j, ok := held.Judge(r.Service, r.Workspace, r.Entry)
	if !ok {
		return j, vetchtrail.ReasonNoService
	}
	return j, ""
}

// Guard is asked just before the first byte of a request leaves for an
// endpoint: the configuration may have changed while it waited.
func (d *Dispatcher) Guard(e vetchtrail.Endpoint, r *vetchtrail.Request) vetchtrail.Reason {
	now := time.Now()
	if !now.Before(r.Deadline) {
		return vetchtrail.ReasonDeadline
	}
	newest := d.cfg.Rules()
	j, why := judgement(newest, r)
	g, known := newest.Region(e.Region)
	if why != "" || !known || !(j.Allowed & r.Allowed).Has(g.ID) {
		return vetchtrail.ReasonResidency
	}
	if _, held := d.held(r); held {
		return vetchtrail.ReasonHeldBack
	}
	// A stream that an endpoint holds can be taken up again there alone, also while it leaves.
	if why, _ := d.cfg.Table.Bars(e.Name, now); why != "" && (why != vetchtrail.ReasonDraining || r.Resume.Endpoint == "") {
		return why
	}
	if d.cfg.Permits != nil && !d.cfg.Permits.Covers(r.Permit, e) {
		return vetchtrail.ReasonLimited
	}
	return ""
}

// tried is what became of a request's earlier attempts.
type tried struct {
	places  []string
	refused bool // an endpoint here refused for its load
	waited  bool // it may wait for room here no longer
	arrived int  // attempts that arrived at a process
	sent    int  // attempts that arrived at the endpoint they were meant for
	last    vetchtrail.Outcome
}

// total is the request's outcome when its last attempt ended so. After an
// attempt that may have run, a later one that did not leaves it unknown.
func (t *tried) total(o vetchtrail.Outcome) vetchtrail.Outcome {
	if o.Kind != vetchtrail.NotRun || t.last.Kind != vetchtrail.Unknown || t.last.Step == "" {
		return o
	}
	first := t.last
	first.RetryAt = o.RetryAt
	return first
}

// attempts tries a request, and again where it surely did not run or may run
// twice.
func (d *Dispatcher) attempts(ctx context.Context, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	var t tried
	if r.Stream && r.Resumable {
		a = &follower{to: a, req: r}
	}
	if r.Hops == 0 {
		d.budget(r.Service).Earn(time.Now())
	}
	c := d.charge(r)
	defer c.settle()
	for n := 1; ; n++ {
		if o, ok := c.pay(ctx, n); !ok {
			return d.end(t.total(o), a)
		}
		p, o, ok := d.place(ctx, r, t, n)
		if !ok {
			return d.end(t.total(o), a)
		}
		o = d.try(ctx, r, p, n, a)
		c.used(o)
		// One that ran has used its time: a stream that began goes on, late or not. One that a
		// host of another data centre had no room for can still be told to come back.
		r.Fresh = r.Fresh && o.Kind == vetchtrail.NotRun && !arrived(o)
		o.Begun = o.Begun || r.Begun
		if o.Kind == vetchtrail.Answered {
			return o
		}
		t.note(p, o)
		o = t.total(o)
		if !d.mayRetry(ctx, r, o, &t, n) {
			return d.end(d.reckoned(r, p, o), a)
		}
		t.last = o
		if o, ok := d.judge(r); !ok {
			return d.end(t.total(o), a)
		}
	}
}

// reckoned is an outcome with the time to come back reckoned from all endpoints, where the last of them
// turned the request away for a time: that is when this one has room for this host, not when a caller has.
func (d *Dispatcher) reckoned(r *vetchtrail.Request, p placement, o vetchtrail.Outcome) vetchtrail.Outcome {
	now := time.Now()
	if why, _ := d.cfg.Table.Bars(p.endpoint.Name, now); p.dataCentre != "" || o.Kind != vetchtrail.NotRun || why != vetchtrail.ReasonPaused {
		return o
	}
	o.RetryAt = now.Add(minBack)
	switch dec := d.decide(r, tried{}); dec.Kind {
	case vetchtrail.WaitHere:
		o.RetryAt = vetchtrail.Later(o.RetryAt, now.Add(dec.Wait))
	case vetchtrail.Refuse:
		o.RetryAt = vetchtrail.Later(o.RetryAt, dec.RetryAt)
	}
	return o
}

// note remembers an attempt for the next.
func (t *tried) note(p placement, o vetchtrail.Outcome) {
	if arrived(o) {
		t.arrived++
	}
	if arrived(o) && o.Reason != vetchtrail.ReasonMisled {
		t.sent++ // else the endpoint has ended, and another process has its address
	}
	if o.Reason != vetchtrail.ReasonLeaving {
		t.places = append(t.places, p.name()) // else another host there may take it
	}
	t.refused = t.refused || (o.Reason == vetchtrail.ReasonRefused && p.dataCentre == "")
}

// arrived says whether an attempt got to some process, as far as is known.
func arrived(o vetchtrail.Outcome) bool {
	return o.Kind != vetchtrail.NotRun || o.Step == vetchtrail.StepAnswer
}

// end gives the caller the failure of an endpoint that no attempt bettered.
func (d *Dispatcher) end(o vetchtrail.Outcome, a vetchtrail.Answer) vetchtrail.Outcome {
	if o.Failure == nil || o.Begun {
		return o
	}
	if err := o.Failure.Replay(a); err != nil {
		o.Err = err
		return o
	}
	o.Kind, o.Status, o.Begun = vetchtrail.Answered, o.Failure.Status, true
	return o
}

// mayRetry says whether another attempt is safe and affordable. A host that
// was passed the request leaves it to the sender.
func (d *Dispatcher) mayRetry(ctx context.Context, r *vetchtrail.Request, o vetchtrail.Outcome, t *tried, n int) bool {
	switch {
	case n >= placesMost || r.Hops > 0 || ctx.Err() != nil:
		return false
	case t.sent >= attemptsOf(r):
		return false
	case o.Begun && !r.Resumable:
		return false
	case !time.Now().Before(r.Deadline):
		return false
	case o.Kind == vetchtrail.Unknown && !r.Repeats:
		return false
	case t.arrived == 0:
		return true // nobody has seen it: it costs nobody anything
	}
	ok := !d.cfg.Off.Has(vetchtrail.Retries) && d.budget(r.Service).Take(time.Now())
	countRetry(r.Service, ok)
	return ok
}

func attemptsOf(r *vetchtrail.Request) int {
	if r.Route == "" {
		return maxAttempts
	}
	return r.Attempts
}

// placement is where an attempt goes, with room taken there.
type placement struct {
	endpoint   vetchtrail.Endpoint
	host       vetchtrail.Host // with a data centre: elsewhere
	dataCentre string
	predicted  time.Duration // to the first of the answer
}

func (p placement) name() string {
	if p.dataCentre != "" {
		return p.dataCentre
	}
	return p.endpoint.Name
}

// try makes one attempt, the nth.
func (d *Dispatcher) try(ctx context.Context, r *vetchtrail.Request, p placement, n int, a vetchtrail.Answer) vetchtrail.Outcome {
	if p.dataCentre != "" {
		o := d.cfg.Peers.Forward(ctx, p.host, r, a)
		d.cfg.Membership.Returned(p.dataCentre, r.Service, o, time.Now())
		return asSeenHere(o)
	}
	o, timing := d.cfg.Endpoints.Call(ctx, p.endpoint, r, a)
	o.First = timing.First
	d.giveBack(r, o)
	d.cfg.Table.Release(p.endpoint.Name, vetchtrail.Observation{
		Request: r.ID, Born: p.endpoint.Born, Route: r.Route, Outcome: o, Timing: timing, Tokens: r.PromptTokens(), Cancel: ctx.Err() != nil,
		Predicted: p.predicted,
	}, time.Now())
	d.learn(ctx, p.endpoint, r, o, timing, n)
	return o
}

// asSeenHere words the refusal of a host whose configuration is another one:
// by the one held here the request is proper.
func asSeenHere(o vetchtrail.Outcome) vetchtrail.Outcome {
	if o.Kind == vetchtrail.NotRun && (o.Status == statusNotFound || o.Status == statusForbidden || o.Status == statusUnauthorized) {
		o.Status, o.RetryAt = statusUnavailable, time.Now().Add(minBack)
	}
	return o
}

// refusal is the outcome of a request that was given up on without running.
func (d *Dispatcher) refusal(step vetchtrail.Step, why vetchtrail.Reason, retryAt time.Time) vetchtrail.Outcome {
	o := vetchtrail.Outcome{Kind: vetchtrail.NotRun, Step: step, Reason: why, Peer: d.cfg.Self.Name, RetryAt: retryAt}
	switch why {
	case vetchtrail.ReasonNoService, vetchtrail.ReasonNoRoute:
		o.Status = statusNotFound
	case vetchtrail.ReasonResidency:
		o.Status = statusForbidden
	case vetchtrail.ReasonUnknownKey, vetchtrail.ReasonNoWorkspace:
		o.Status = statusUnauthorized
	case vetchtrail.ReasonNoHome:
		// The operators' configuration contradicts itself: no region may run what its
		// caller rightly asks for, until they mend it.
		o.Status = statusUnavailable
	case vetchtrail.ReasonQuota:
		o.Status = statusTooMany
	case vetchtrail.ReasonDeadline:
		o.Status = statusUnavailable // as 504 would leave open whether it ran
	default:
		o.Status = statusUnavailable
	}
	return o
}
