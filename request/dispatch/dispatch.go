// Package dispatch processes a request on one host from its arrival to its outcome.
// It checks the request against the configuration, has the policy decide where it
// runs, waits for capacity, sends it to an endpoint or forwards it to another host,
// and retries where that is safe.
//
// The package contains no placement policy (package policy), no load or
// membership tracking (packages load and membership) and no connections
// (packages endpoint and peer). Start reading at Dispatcher.Run.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"vetchtrail"
	"vetchtrail/request/budget"
	"vetchtrail/request/idempotency"
	"vetchtrail/request/queue"
	"vetchtrail/version/rules"
)

const (
	// defaultAttemptLimit allows one retry for requests that belong to no route. Refusals by
	// endpoints of this data centre don't count.
	defaultAttemptLimit = 2
	// maxTotalAttempts bounds all attempts of one request, including those at
	// targets that could not be reached.
	maxTotalAttempts = 4
	// maxPlacementRounds bounds how often the policy decides on one attempt before the
	// request joins the queue. It decides again if the target can't be acquired, because
	// other requests took its capacity after the decision.
	maxPlacementRounds = 3
	// minRetryDelay is the shortest retry delay that this package chooses itself. Times from
	// quotas and rate limits may be shorter.
	minRetryDelay = 200 * time.Millisecond
	// bufferRetryDelay is the retry delay of a request whose body doesn't fit within the bound on
	// buffered bytes. Most requests that use them end within a second.
	bufferRetryDelay = time.Second
)

// HTTP statuses: the bounds of those of a success, and those of responses that this host creates itself.
const (
	statusOK           = 200
	statusRedirect     = 300
	statusBadRequest   = 400
	statusUnauthorized = 401
	statusForbidden    = 403
	statusNotFound     = 404
	statusConflict     = 409
	statusTooMany      = 429
	statusBadGateway   = 502
	statusUnavailable  = 503
)

// Config holds the dependencies and settings of a Dispatcher.
type Config struct {
	Self           vetchtrail.Host           // this host
	Policy         vetchtrail.Policy         // decides where a request runs
	Rules          func() *rules.Rules       // returns the newest configuration on this host
	Endpoints      vetchtrail.EndpointTable  // load and availability of this data centre's endpoints
	Membership     vetchtrail.HostTable      // other hosts and data centres
	EndpointCaller vetchtrail.EndpointCaller // sends requests to endpoints
	Peers          vetchtrail.Forwarder      // forwards requests to other hosts
	IssuedKeys     *idempotency.Registry     // idempotency keys that this process issued
	Journal        vetchtrail.Recorder       // records decisions and outcomes
	Seed           uint64                    // of the policy's random numbers
	RetryBudget    budget.Config             // retry budget of each service
	Quotas         vetchtrail.QuotaLimiter   // nil: workspaces have no quotas
	Quarantine     vetchtrail.Quarantine     // nil: no request is quarantined
	RateLimits     vetchtrail.RateLimiter    // nil: advertised rate limits are not enforced
	// ProcessEnded reports whether the process of an endpoint has ended: the endpoint refuses
	// connections, and this host reaches others; nil: not checked.
	ProcessEnded func(ctx context.Context, e vetchtrail.Endpoint) bool
	Admission    vetchtrail.Admission     // nil: every request is admitted
	SwitchedOff  vetchtrail.Mechanisms    // mechanisms that are switched off
	Returns      vetchtrail.ReturnPlanner // nil: the policy chooses the times of retries
	// Listing returns the listing by which endpoints are chosen, or nil if there is none yet; nil: endpoints
	// don't come from a platform's listing.
	Listing func() *vetchtrail.Listing
	// KnownWithin is the age from which a listing counts as outdated.
	KnownWithin time.Duration
	Origins     vetchtrail.StreamOrigins // nil: all endpoints of a service have the same software version
	// ReturnsInForce returns whether returns to a service are planned; nil: for all services.
	// It is only used with Returns.
	ReturnsInForce func(service string, now time.Time) bool
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	cfg           Config
	viewPool      sync.Pool                    // of *vetchtrail.View
	randomPool    sync.Pool                    // of *rand.Rand
	randomStreams atomic.Uint64                // random generators created; gives each its own sequence
	versions      atomic.Pointer[versionIndex] // of the newest listing that was asked for versions
	inFlight      atomic.Int64
	ending        context.Context // ended by EndRequests
	end           context.CancelFunc
	taking        context.Context // ended by StopTaking
	stopTaking    context.CancelFunc

	mu         sync.Mutex // guards the maps and cfg.RetryBudget
	waitQueues map[queueKey]*queue.Queue
	budgets    map[string]*budget.Budget // by service
}

// New returns a Dispatcher with empty queues and no retries made.
func New(c Config) *Dispatcher {
	d := &Dispatcher{cfg: c, waitQueues: map[queueKey]*queue.Queue{}, budgets: map[string]*budget.Budget{}}
	d.ending, d.end = context.WithCancel(context.Background())
	d.taking, d.stopTaking = context.WithCancel(context.Background())
	d.viewPool.New = func() any { return &vetchtrail.View{} }
	d.randomPool.New = func() any { return rand.New(rand.NewPCG(c.Seed, d.randomStreams.Add(1))) }
	return d
}

// InFlight returns the number of calls of Run that have not returned.
func (d *Dispatcher) InFlight() int { return int(d.inFlight.Load()) }

// StopTaking makes the dispatcher refuse requests that other hosts forward, and those that wait for capacity or
// would have to wait, unless their responses have begun.
func (d *Dispatcher) StopTaking() { d.stopTaking() }

// EndRequests ends the requests in progress, and those that begin later, with what is known of them.
func (d *Dispatcher) EndRequests() { d.end() }

// Run processes a request to its final outcome, writes what it receives of the
// response to w, and records and counts the outcome. The outcome is unknown if the
// request may have run, its response was lost, and it may not be retried.
func (d *Dispatcher) Run(ctx context.Context, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	ctx, cancel := d.untilEnding(ctx)
	defer cancel()
	started, callerCanRetry, revisionTaken := time.Now(), r.CallerCanRetry, r.Revision
	o := d.planReturn(r, d.run(ctx, r, w), callerCanRetry)
	d.cfg.Journal.Record(vetchtrail.JournalRecord{
		At: started, Request: r.ID, Service: r.Service, Route: r.Route, Workspace: r.Workspace, Hops: r.Hops,
		Ended: true, Outcome: o, Took: time.Since(started), Revision: d.cfg.Rules().Revision(), RevisionTaken: revisionTaken,
	})
	countRequest(r, o, time.Since(started))
	countCut(r, o)
	return o
}

// untilEnding returns a context that EndRequests ends too, and the function that releases it.
func (d *Dispatcher) untilEnding(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.ending, func() { cancel(vetchtrail.ErrHostLeaving) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// RecordRejection records and counts a request that was refused before Run, such as one whose
// caller sent no valid workspace key.
func (d *Dispatcher) RecordRejection(r *vetchtrail.Request, o vetchtrail.Outcome) {
	o.Peer = d.cfg.Self.Name
	d.cfg.Journal.Record(vetchtrail.JournalRecord{At: time.Now(), Request: r.ID, Route: r.Route, Ended: true, Outcome: o})
	countRequest(r, o, 0)
}

// RefuseOverBuffers records and counts a request whose body doesn't fit within the bound on
// buffered bytes, and returns its outcome.
func (d *Dispatcher) RefuseOverBuffers(r *vetchtrail.Request) vetchtrail.Outcome {
	o := d.refusalBeforeKeyCheck(r, d.refusal(vetchtrail.StepParse, vetchtrail.ReasonOverCapacity, time.Now().Add(bufferRetryDelay)))
	d.RecordRejection(r, o)
	return o
}

// RefuseLeaving records and counts a request that this host doesn't run as it is about to stop, and
// returns its outcome.
func (d *Dispatcher) RefuseLeaving(r *vetchtrail.Request) vetchtrail.Outcome {
	o := d.refusalBeforeKeyCheck(r, d.refusal(vetchtrail.StepParse, vetchtrail.ReasonLeaving, time.Now().Add(minRetryDelay)))
	d.RecordRejection(r, o)
	return o
}

// run checks a request and runs it by its type: a request that resumes a stream, a
// request with an idempotency key, or any other.
func (d *Dispatcher) run(ctx context.Context, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	if r.Hops > 0 && d.refusesForwarded(r) {
		// The response stream could outlast this host. The host that forwarded the
		// request may not have received this host's new state yet.
		return d.refusalBeforeKeyCheck(r, d.refusal(vetchtrail.StepForward, vetchtrail.ReasonLeaving, time.Now().Add(minRetryDelay)))
	}
	if o, ok := d.applyRules(r); !ok {
		return d.refusalBeforeKeyCheck(r, o)
	}
	if r.ResumeAt.Endpoint != "" {
		return d.resumeStream(ctx, r, w)
	}
	if o, ok := d.findOrigin(ctx, r); !ok {
		return o
	}
	if r.IdempotencyKey != "" {
		return d.runWithKey(ctx, r, w)
	}
	return d.runWithRetries(ctx, r, w)
}

// refusesForwarded reports whether this host takes no more requests like this one from other hosts.
func (d *Dispatcher) refusesForwarded(r *vetchtrail.Request) bool {
	return d.taking.Err() != nil || r.Route != "" && d.cfg.Membership.Self().State == vetchtrail.HostLeaving
}

// applyRules checks a request against the newest configuration and the
// quarantine, and sets its home, priority and allowed regions. For a forwarded
// request it only narrows the allowed regions. It returns false with the refusal if
// the request may not run.
func (d *Dispatcher) applyRules(r *vetchtrail.Request) (vetchtrail.Outcome, bool) {
	newest := d.cfg.Rules()
	if r.CallerKeyHash != (vetchtrail.KeyHash{}) {
		if workspace, ok := newest.KeyWorkspace(r.CallerKeyHash); !ok || workspace != r.Workspace {
			return d.refusal(vetchtrail.StepDecide, vetchtrail.ReasonUnknownKey, time.Time{}), false
		}
	}
	constraints, reason := constraintsOf(newest, r)
	if reason != "" {
		return d.refusal(vetchtrail.StepDecide, reason, time.Time{}), false
	}
	if entry, quarantined := d.quarantined(r); quarantined {
		return d.quarantineRefusal(entry), false
	}
	r.HomeRegion, r.Priority = constraints.Home, constraints.Priority
	if r.Hops == 0 {
		r.AllowedRegions = constraints.Allowed
	}
	r.AllowedRegions &= constraints.Allowed
	r.Revision = max(r.Revision, newest.Revision())
	if r.AllowedRegions == 0 {
		return d.refusal(vetchtrail.StepResidency, vetchtrail.ReasonResidency, time.Time{}), false
	}
	return vetchtrail.Outcome{}, true
}

// constraintsOf returns the home, priority and allowed regions that the
// configuration defines for a request, by its route or, without one, by its
// service. If the request may not run at all, it returns the reason. The rest of a
// response that has begun keeps a route that was moved or removed since, but not a
// region, key or workspace that was taken away.
func constraintsOf(newest *rules.Rules, r *vetchtrail.Request) (rules.Constraints, vetchtrail.Reason) {
	if r.Route != "" {
		constraints, reason := newest.RouteConstraints(r.Route, r.Service, r.Workspace, r.EntryRegion)
		if reason == vetchtrail.ReasonNoRoute && r.ResponseStarted {
			return newest.BegunConstraints(rules.Constraints{Home: r.HomeRegion, Allowed: r.AllowedRegions, Priority: r.Priority}, r.Workspace)
		}
		return constraints, reason
	}
	constraints, ok := newest.ServiceConstraints(r.Service, r.Workspace, r.EntryRegion)
	if !ok {
		return constraints, vetchtrail.ReasonUnknownService
	}
	return constraints, ""
}

// CheckBeforeSend checks a request just before its first byte is sent to an endpoint.
// It returns the reason not to send it, or an empty reason if it may be sent. The
// configuration, the quarantine, the endpoint's availability and its rate limit may
// have changed since the endpoint was chosen.
func (d *Dispatcher) CheckBeforeSend(e vetchtrail.Endpoint, r *vetchtrail.Request) vetchtrail.Reason {
	now := time.Now()
	if !now.Before(r.Deadline) {
		return vetchtrail.ReasonDeadline
	}
	newest := d.cfg.Rules()
	constraints, reason := constraintsOf(newest, r)
	region, known := newest.Region(e.Region)
	if reason != "" || !known || !(constraints.Allowed & r.AllowedRegions).Has(region.ID) {
		return vetchtrail.ReasonResidency // also if the route, service or workspace was removed
	}
	if _, quarantined := d.quarantined(r); quarantined {
		return vetchtrail.ReasonQuarantined
	}
	// The version of a stream's first event is that of the entry by which it is sent.
	if listed, ok := d.cfg.Endpoints.Find(e.Name); ok && listed.SoftwareVersion != e.SoftwareVersion || !r.AcceptsVersion(e.SoftwareVersion) {
		return vetchtrail.ReasonOtherVersion
	}
	// A stream can be resumed only at the endpoint that has it, so draining does
	// not prevent that.
	if reason, _ := d.cfg.Endpoints.Blocked(e.Name, now); reason != "" && (reason != vetchtrail.ReasonDraining || r.ResumeAt.Endpoint == "") {
		return reason
	}
	if d.cfg.RateLimits != nil && !d.cfg.RateLimits.Allows(r.Reservation, e) {
		return vetchtrail.ReasonRateLimited
	}
	d.recordListingAge(now)
	d.retrySent(r)
	return ""
}

// attemptHistory summarizes the earlier attempts of a request.
type attemptHistory struct {
	excluded      []string           // endpoints and data centres that are not tried again
	refusedHere   bool               // an endpoint of this data centre refused because of its load
	waitExhausted bool               // the request may no longer wait for capacity here
	reached       int                // attempts that reached any process
	reachedTarget int                // attempts that reached the endpoint they were sent to, and whose process has not ended
	last          vetchtrail.Outcome // overall outcome of the earlier attempts; without a step: there were none
}

// overallOutcome returns the outcome of the request, where o is the outcome of its
// last attempt. If an earlier attempt may have run and the last one did not, the
// outcome of the request stays unknown.
func (h *attemptHistory) overallOutcome(o vetchtrail.Outcome) vetchtrail.Outcome {
	// OutcomeUnknown is the zero value. If h.last has no step, there was no earlier attempt.
	if o.Kind != vetchtrail.OutcomeNotRun || h.last.Kind != vetchtrail.OutcomeUnknown || h.last.Step == "" {
		return o
	}
	earlier := notContinued(h.last, o.Reason)
	earlier.RetryAt = o.RetryAt
	return earlier
}

// runWithRetries attempts a request until it is answered or may not be retried.
// It retries only requests that certainly did not run or that may run twice.
func (d *Dispatcher) runWithRetries(ctx context.Context, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	var history attemptHistory
	if r.Avoid != "" {
		history.excluded = append(history.excluded, r.Avoid)
	}
	if r.Hops == 0 {
		d.budget(r.Service).CountRequest(time.Now())
	}
	use := d.quotaUse(r)
	defer use.returnUnused()
	defer d.returnRetry(r)
	for n := 1; ; n++ {
		if o, ok := use.take(ctx, n); !ok {
			return d.replayFailure(history.overallOutcome(o), w)
		}
		if o, ok := d.admit(r, n); !ok {
			return o
		}
		p, o, ok := d.findPlacement(ctx, r, history, n)
		if !ok {
			return d.replayFailure(history.overallOutcome(o), w)
		}
		if r.Hops == 0 {
			r.Final = d.isFinal(r, p, &history, n, time.Now())
			countAttempt(r.Service, n, &history)
		}
		o, p, n = d.runReplaceable(ctx, r, p, &history, n, use, w, nil)
		o.ResponseStarted = o.ResponseStarted || r.ResponseStarted
		overall := history.overallOutcome(o)
		// After an attempt that may have reached an endpoint, the request no longer
		// counts as one that its caller can retry: part of its time is spent, and a
		// stream that has begun continues even if it is late. If a remote data centre
		// only had no capacity, the policy may still refuse the request with a retry
		// time.
		r.CallerCanRetry = r.CallerCanRetry && overall.Kind == vetchtrail.OutcomeNotRun && !reached(overall)
		if o.Kind == vetchtrail.OutcomeAnswered {
			return o
		}
		history.add(r, p, o, d.processEnded(ctx, r, p, o))
		history.last = overall
		if reason := d.retryRefusal(ctx, r, overall, &history, n); reason != "" {
			return d.replayFailure(d.withRetryTime(r, p, notContinued(overall, reason)), w)
		}
		if o, ok := d.applyRules(r); !ok {
			return d.replayFailure(history.overallOutcome(o), w)
		}
	}
}

// withRetryTime corrects the retry time of a request that did not run because its
// endpoint, in this data centre, is paused. The end of that pause is the wrong time:
// another endpoint may have capacity earlier. So the policy decides once more,
// without the request's history, and the retry time follows from that decision.
func (d *Dispatcher) withRetryTime(r *vetchtrail.Request, p placement, o vetchtrail.Outcome) vetchtrail.Outcome {
	now := time.Now()
	if reason, _ := d.cfg.Endpoints.Blocked(p.endpoint.Name, now); p.dataCentre != "" || o.Kind != vetchtrail.OutcomeNotRun || reason != vetchtrail.ReasonPaused {
		return o
	}
	o.RetryAt = now.Add(minRetryDelay)
	switch dec := d.decide(r, attemptHistory{}); dec.Kind {
	case vetchtrail.WaitHere:
		o.RetryAt = vetchtrail.Later(o.RetryAt, now.Add(dec.Wait))
	case vetchtrail.Refuse:
		o.RetryAt = vetchtrail.Later(o.RetryAt, dec.RetryAt)
	}
	return o
}

// add records an attempt that was not answered. An attempt at an endpoint whose process has
// ended doesn't count towards the route's limit.
func (h *attemptHistory) add(r *vetchtrail.Request, p placement, o vetchtrail.Outcome, processEnded bool) {
	if reached(o) {
		h.reached++
	}
	h.refusedHere = h.refusedHere || (o.Reason == vetchtrail.ReasonEndpointRefused && p.dataCentre == "")
	if r.Route == "" && o.Reason == vetchtrail.ReasonEndpointRefused && p.dataCentre == "" {
		// A request without a route may wait until its deadline, and the endpoint table keeps
		// the endpoint out of use until it accepts requests again. So it neither counts nor is
		// excluded: when one endpoint pauses, its load fills the queues of the others for
		// some milliseconds, and two refusals in a row are likely.
		return
	}
	// With ReasonOtherProcess, the request reached another process that now has the
	// endpoint's address.
	if reached(o) && o.Reason != vetchtrail.ReasonOtherProcess && !processEnded {
		h.reachedTarget++
	}
	if !anotherHostMayRun(p, o) {
		h.excluded = append(h.excluded, p.name())
	}
}

// anotherHostMayRun reports whether another host of the data centre that a request was forwarded to
// may run it: the host is leaving, or did not reach the endpoint.
func anotherHostMayRun(p placement, o vetchtrail.Outcome) bool {
	atHost := o.Step == vetchtrail.StepDecide || o.Step == vetchtrail.StepConnect
	noPath := o.Kind == vetchtrail.OutcomeNotRun && atHost && o.Reason == vetchtrail.ReasonUnreachable && !o.HostLost
	return o.Reason == vetchtrail.ReasonLeaving || p.dataCentre != "" && noPath
}

// reached reports whether an attempt reached, or may have reached, any process.
// An attempt that did not run reached one if it ended at StepResponse, because a
// response refused it.
func reached(o vetchtrail.Outcome) bool {
	return o.Kind != vetchtrail.OutcomeNotRun || o.Step == vetchtrail.StepResponse
}

// replayFailure writes the deferred error response of an endpoint to the caller
// when no further attempt is made. It does nothing if there is none or if part of a
// response was written already.
func (d *Dispatcher) replayFailure(o vetchtrail.Outcome, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	if o.DeferredFailure == nil || o.ResponseStarted {
		return o
	}
	if err := o.DeferredFailure.Replay(w); err != nil {
		o.Err = err
		return o
	}
	o.Kind, o.Status, o.ResponseStarted = vetchtrail.OutcomeAnswered, o.DeferredFailure.Status, true
	return o
}

// retryRefusal returns why no other attempt may be made, or nothing if one is safe and within the
// retry budget. A host that received the request from another host never retries it; only the host
// that forwarded it may.
func (d *Dispatcher) retryRefusal(ctx context.Context, r *vetchtrail.Request, o vetchtrail.Outcome, history *attemptHistory, attempt int) vetchtrail.Reason {
	switch {
	case ctx.Err() != nil:
		return vetchtrail.CancelReason(ctx)
	case r.Hops > 0:
		return vetchtrail.ReasonHops
	case attempt >= maxTotalAttempts, history.reachedTarget >= attemptLimit(r):
		return vetchtrail.ReasonAttempts
	case o.ResponseStarted && !r.Resumable:
		return vetchtrail.ReasonNotResumable
	case r.LastEventID != "" && !d.knowsVersion(r):
		return vetchtrail.ReasonUnknownOrigin
	case !time.Now().Before(r.Deadline):
		return vetchtrail.ReasonDeadline
	case o.Kind == vetchtrail.OutcomeUnknown && !r.Repeatable:
		return vetchtrail.ReasonNotRepeatable
	case history.reached == 0:
		return "" // no process received it, so a retry adds no load
	case r.RetryUnsent:
		return ""
	}
	ok := !d.cfg.SwitchedOff.Has(vetchtrail.MechanismRetries) && d.takeRetry(r, attempt)
	countRetry(r.Service, ok)
	if !ok {
		return vetchtrail.ReasonRetryBudget
	}
	return ""
}

// notContinued returns the outcome of a request that no other attempt follows, with the reason.
func notContinued(o vetchtrail.Outcome, reason vetchtrail.Reason) vetchtrail.Outcome {
	if o.ResponseStarted && o.Kind != vetchtrail.OutcomeAnswered {
		o.NotContinued = reason
	}
	return o
}

// attemptLimit returns how many endpoints may receive a request.
func attemptLimit(r *vetchtrail.Request) int {
	if r.Route == "" {
		return defaultAttemptLimit
	}
	return r.MaxAttempts
}

// placement is the target of one attempt: an endpoint of this data centre with
// capacity acquired for the attempt, or a host of a remote data centre.
type placement struct {
	endpoint      vetchtrail.Endpoint // unset if dataCentre is set
	host          vetchtrail.Host     // set if dataCentre is set
	dataCentre    string              // empty: the target is the endpoint
	predictedTTFT time.Duration       // predicted time to first token
}

// name returns the name of the target's data centre or endpoint.
func (p placement) name() string {
	if p.dataCentre != "" {
		return p.dataCentre
	}
	return p.endpoint.Name
}

// runAttempt sends a request to its target. It reports the outcome to the
// membership, or to the endpoint table and the quarantine if the target is an
// endpoint.
func (d *Dispatcher) runAttempt(ctx context.Context, r *vetchtrail.Request, p placement, attempt int, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	r.ResponseVersion = vetchtrail.StreamVersion{}
	if p.dataCentre != "" {
		sent := time.Now()
		o := d.cfg.Peers.Forward(ctx, p.host, r, &beginObserver{ResponseWriter: w, begun: func() { d.retrySent(r) }})
		if reached(o) {
			d.retrySent(r)
		}
		d.cfg.Membership.ForwardEnded(p.dataCentre, r.Service, o, time.Now())
		d.recordForward(r, p, o, sent, attempt)
		return mapRemoteRefusal(o)
	}
	r.ResponseVersion = vetchtrail.VersionOf(p.endpoint)
	o, timing := d.cfg.EndpointCaller.Call(ctx, p.endpoint, r, w)
	o.FirstByte = timing.FirstByte
	d.returnReservation(r, o)
	d.cfg.Endpoints.Release(p.endpoint.Name, vetchtrail.Observation{
		Request: r.ID, StartedAt: p.endpoint.Born, Route: r.Route, Outcome: o, Timing: timing, PromptTokens: r.PromptTokens(),
		Cancelled:          ctx.Err() != nil && !o.EndpointSilent || o.Reason == vetchtrail.ReasonOverCapacity,
		PredictedFirstByte: p.predictedTTFT,
	}, time.Now())
	d.reportAttempt(ctx, p.endpoint, r, o, timing, attempt)
	return o
}

// recordForward counts a forwarded request, and records in the journal one that the other host did
// not run. The outcome of a request shows only its last attempt.
func (d *Dispatcher) recordForward(r *vetchtrail.Request, p placement, o vetchtrail.Outcome, sent time.Time, attempt int) {
	countForward(p.dataCentre, o)
	if o.Kind != vetchtrail.OutcomeNotRun {
		return
	}
	refused := o
	refused.Peer = p.host.Name
	d.cfg.Journal.Record(vetchtrail.JournalRecord{
		At: sent, Request: r.ID, Service: r.Service, Route: r.Route, Workspace: r.Workspace, Attempt: attempt,
		ForwardedTo: p.dataCentre, Outcome: refused, Took: time.Since(sent),
	})
}

// mapRemoteRefusal turns the status 401, 403 or 404 of another host's refusal
// into 503 with a retry time. This host's configuration allows the request, so
// the other host has a different configuration and the caller did nothing wrong.
func mapRemoteRefusal(o vetchtrail.Outcome) vetchtrail.Outcome {
	if o.Kind == vetchtrail.OutcomeNotRun && (o.Status == statusNotFound || o.Status == statusForbidden || o.Status == statusUnauthorized) {
		o.Status, o.RetryAt = statusUnavailable, time.Now().Add(minRetryDelay)
	}
	return o
}

// refusal returns the outcome of a request that this host refused without
// running it.
func (d *Dispatcher) refusal(step vetchtrail.Step, reason vetchtrail.Reason, retryAt time.Time) vetchtrail.Outcome {
	o := vetchtrail.Outcome{Kind: vetchtrail.OutcomeNotRun, Step: step, Reason: reason, Peer: d.cfg.Self.Name, RetryAt: retryAt}
	switch reason {
	case vetchtrail.ReasonUnknownService, vetchtrail.ReasonNoRoute:
		o.Status = statusNotFound
	case vetchtrail.ReasonResidency:
		o.Status = statusForbidden
	case vetchtrail.ReasonUnknownKey, vetchtrail.ReasonUnknownWorkspace:
		o.Status = statusUnauthorized
	case vetchtrail.ReasonNoCommonHome:
		// The route and the workspace allow no common region. The caller can't
		// change that; the operators have to correct the configuration.
		o.Status = statusUnavailable
	case vetchtrail.ReasonOverQuota:
		o.Status = statusTooMany
	case vetchtrail.ReasonDeadline:
		o.Status = statusUnavailable // 504 would leave open whether the request ran
	default:
		o.Status = statusUnavailable
	}
	return o
}
