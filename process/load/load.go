// Package load holds the load and the availability of the endpoints of this host's data centre: their load
// reports, this host's requests in flight, observed speeds and failures, rate limits, and whether the endpoints are
// leaving. The policy chooses endpoints by this state, and the outcome of each request updates it.
//
// The package neither chooses endpoints nor sends requests or fetches reports. Its state is held in memory only
// and ends with the process.
package load

import (
	"cmp"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"vetchtrail"
)

const (
	// meanSmoothing is the weight of a new observation in a running mean.
	meanSmoothing = 0.05
	// An endpoint counts as slower than its service only after minObservations, and only if its mean exceeds the
	// service's by the share slowdownTolerance. Means of few requests differ by chance and would unbalance the
	// load. An endpoint that seems faster counts as equal: it would attract load until it is no longer faster.
	minObservations   = 8
	slowdownTolerance = 0.4
	// initialServiceSeconds and initialTokenSeconds are the estimates before the first observation.
	initialServiceSeconds = 1.0    // seconds that a request occupies a slot
	initialTokenSeconds   = 0.0002 // seconds that a prompt token takes
	minTokenSlowdown      = 0.1    // bounds of an endpoint's time for a token, as a multiple of its service's
	maxTokenSlowdown      = 50.0
	// observationDecay is the time in which the difference between an endpoint's observations and its service's
	// mean falls to 1/e, so that an endpoint that was slow is tried again.
	observationDecay = 10 * time.Second
	// maxLimitPerSlot bounds an endpoint's limit, as a multiple of its slots. Requests beyond its slots queue
	// at the endpoint.
	maxLimitPerSlot = 2.0
	// limitCutFactor multiplies the limit after a refusal or a timeout.
	limitCutFactor = 0.7
	// A request counts as queued at its endpoint if the time to its first byte was more than lateStartFactor
	// times the mean time of a whole request. Requests that aren't queued differ by less.
	lateStartFactor = 4.0
	// failuresToEject is the number of failures in a row after which an endpoint is ejected.
	failuresToEject = 3
	// An endpoint that refuses connections gets no requests for minConnectBackOff, doubled for each further
	// refusal up to maxConnectBackOff. A load report that this host received ends the back-off sooner; one that
	// another host received shows only that the other host reaches the endpoint.
	minConnectBackOff = time.Second
	maxConnectBackOff = 8 * time.Second
	// maxRefusalBackOff bounds the back-off that an endpoint requests when it refuses a request.
	maxRefusalBackOff = 5 * time.Second
	// otherProcessBackOff is how long an endpoint gets no requests after another process responded at its
	// address. The platform's listing usually drops such an endpoint sooner.
	otherProcessBackOff = time.Minute
	// An ejection lasts minEjection, doubled for each further one up to maxEjection.
	minEjection = 2 * time.Second
	maxEjection = time.Minute
	// An endpoint is ejected when its run of error responses would happen by chance with a probability below
	// maxErrorRunProbability. With some hundred responses a second, one endpoint is ejected wrongly in some ten
	// seconds, for two seconds.
	maxErrorRunProbability = 0.001
	// minUsualErrorShare and maxUsualErrorShare bound the share of errors that is assumed for the other
	// endpoints. The lower bound keeps an endpoint in use that completes two of three requests without an error:
	// it is still useful.
	minUsualErrorShare = 0.3
	maxUsualErrorShare = 0.5
	// maxEjectedShare is the share of a service's endpoints that may be ejected at once. When more fail, the
	// cause is not in the endpoints.
	maxEjectedShare = 0.34
	initialWarmUp   = 0.2 // warm-up share of an endpoint that returns
	warmUpStep      = 0.1 // added to the warm-up share by each response that is not an error
	// maxInFlightHistory is how many changes of the requests in flight are kept for each endpoint, to
	// correct reports that arrive late.
	maxInFlightHistory = 64
)

// Table is the state of the endpoints of one data centre. It is safe for concurrent use.
type Table struct {
	mu            sync.Mutex
	endpoints     map[string]*endpointState   // by name
	services      map[string][]*endpointState // by service
	byNameHash    map[uint32]*endpointState   // see NameHash
	serviceStats  map[string]*serviceStats    // by service
	freed         map[string]chan struct{}    // by service; closed when capacity is freed
	switchedOff   vetchtrail.Mechanisms       // mechanisms that are not used
	peerCount     func() int                  // see SetPeers; nil: this host is the only one
	seed          uint64
	remote        map[string][]remoteEndpoint      // by service; in other regions, sources of cached prompts
	unlisted      map[instanceKey]unlistedInstance // announcements of instances that are not listed now
	unlistedRates map[instanceKey]unlistedRate     // rate limits of instances that are not listed now
	leavingLog    []leavingLogEntry                // oldest first
	reportLog     []reportLogEntry                 // oldest first
	reportNumber  uint64                           // reports accepted so far
	runningAt     time.Time                        // of the last call of RecordRunning; zero: there was none
	placesBySpeed bool                             // see SetPlacesBySpeed
	stoppedUntil  time.Time                        // when this host's process last went on after it was stopped
	startingUntil time.Time                        // until when this host counts as starting; zero: see TakeInitial
	toProbe       map[string]bool                  // services with endpoints to probe
	log           *slog.Logger
}

// endpointState is what is known of one process instance of an endpoint.
type endpointState struct {
	vetchtrail.Endpoint
	region               vetchtrail.RegionID
	nameHash             uint64
	report               vetchtrail.LoadReport // the newest
	hasReport            bool
	receivedHere         bool                     // this host received the report from the endpoint
	reportNumber         uint64                   // Table.reportNumber when the report was accepted
	inFlight             int                      // this host's requests in flight
	inFlightHistory      []inFlightChange         // a ring once it is full
	inFlightChanges      int                      // recorded so far
	limit                float64                  // upper bound of inFlight, before the warm-up share is applied
	serviceTime          average                  // seconds that a request occupies a slot
	tokenSlowdown        average                  // seconds to the first byte for each prompt token, as a multiple of the service's
	observedAt           time.Time                // when serviceTime and tokenSlowdown were last observed
	warmUp               float64                  // share of its limit that it may get, up to 1
	failuresInRow        int                      // requests without a whole response, since the last response without an error or the last ejection
	errorsInRow          int                      // error responses since the last response without an error, see minErrorStatus
	ejections            int                      // since the last response without an error; counted up to 5
	pendingPrompts       map[string]pendingPrompt // of this host's requests without a first byte, by request ID
	sessionUses          sessionUses
	coldStart            coldStartLimiter
	totalColdRate        float64 // requests per second that it accepts from all hosts together during its cold start
	eventInterval        eventInterval
	recentQueue          recentQueue
	uneven               *uneven         // nil: it has reported no slowdown
	restarted            bool            // an earlier instance of the same name was known
	startedStreams       map[string]bool // this host's streams with a first byte, by request ID; false: it is paused
	pausedStreams        int             // started streams that this host doesn't read, as their callers read too slowly
	lastSeen             time.Time       // when the first byte of a response or an event of a stream last arrived
	connectFailuresInRow int
	reach                reachability
	errorShare           average   // share of its responses that are errors
	errorShareAt         time.Time // when errorShare was last observed
	ejectedUntil         time.Time
	backOffUntil         time.Time // after its own refusal, or as it is unreachable
	backOffReason        vetchtrail.Reason
	full                 fullQueue
	availability         availabilityBySource
	everAnnounced        bool                 // a response once contained an announcement of its availability
	reportsLeaving       bool                 // by its newest report it is leaving
	rateLimit            vetchtrail.RateLimit // last advertised
	rateLimitedSince     time.Time            // when it last began to advertise a rate limit; zero: this instance never did
	rateExhaustedUntil   time.Time            // no request fits its rate limit before then
	initialRequests      int                  // see TakeInitial
	rateLeft             float64              // requests that its rate limit allowed at once when the owner was last queried
}

// serviceStats are a service's observations over all of its endpoints.
type serviceStats struct {
	serviceTime         average // seconds that a request occupies a slot
	tokenTime           average // seconds to the first byte, for each prompt token
	promptStats         promptStats
	prefillFit          linearFit // seconds to the first byte, by the prompt tokens to process
	eventIntervalFit    linearFit // seconds between two events of a stream, by the requests that run
	errorShare          average   // share of the responses that are errors
	path                path
	brittleUntil        time.Time // until when its endpoints are brittle
	brittleRefusals     int       // how many requests a second each survives to refuse then
	streamsByRoute      map[string]*streamStats
	uncachedTokens      average // prompt tokens that an endpoint must process for one request
	predictionRatio     predictionRatio
	predictionHistogram *metrics.Histogram // of observed over predicted times to the first event
	othersQueued        float64            // mean number of other hosts' requests in an endpoint's queue

	reportsSlowdown       bool // an endpoint of the service has reported a slowdown
	slowdown              serviceSlowdown
	lightFit              linearFit // seconds to the first byte at low load and without slowdown, by the prompt tokens to process
	queueIntervals        queueIntervals
	queueIntervalsInForce bool // see SetQueueIntervals
}

func newServiceStats(service string) *serviceStats {
	return &serviceStats{
		predictionHistogram: predictionHistogram(service),
		serviceTime:         average{value: initialServiceSeconds},
		tokenTime:           average{value: initialTokenSeconds},
		promptStats:         newPromptStats(),
		predictionRatio:     predictionRatio{median: 1},
		prefillFit:          newPrefillFit(),
		lightFit:            newPrefillFit(),
		eventIntervalFit:    linearFit{maxSlope: maxIntervalSecondsPerRequest},
		streamsByRoute:      map[string]*streamStats{},
	}
}

// New returns an empty table.
func New() *Table {
	return &Table{
		endpoints:     map[string]*endpointState{},
		services:      map[string][]*endpointState{},
		serviceStats:  map[string]*serviceStats{},
		freed:         map[string]chan struct{}{},
		unlisted:      map[instanceKey]unlistedInstance{},
		unlistedRates: map[instanceKey]unlistedRate{},
		toProbe:       map[string]bool{},
		log:           slog.New(slog.DiscardHandler),
	}
}

// EndpointInRegion is an endpoint with the id of its region.
type EndpointInRegion struct {
	vetchtrail.Endpoint
	RegionID vetchtrail.RegionID
	// TotalColdRate is the rate that the endpoint accepts from all hosts together during its cold start, if ColdRate
	// is only this host's share; 0: ColdRate is that of all hosts.
	TotalColdRate float64
}

// Configure replaces the table's endpoints. An endpoint that stays keeps its state if it has the same address,
// service and process instance.
func (t *Table) Configure(endpoints []EndpointInRegion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.endpoints
	t.endpoints = make(map[string]*endpointState, len(endpoints))
	t.services = map[string][]*endpointState{}
	t.byNameHash = make(map[uint32]*endpointState, len(endpoints))
	for _, e := range endpoints {
		s, ok := old[e.Name]
		if !ok || s.Addr != e.Addr || s.Service != e.Service || s.isOtherInstance(e.Born) {
			s = &endpointState{
				nameHash: xxhash.Sum64String(e.Name), limit: float64(e.Slots), serviceTime: average{value: initialServiceSeconds},
				tokenSlowdown: average{value: 1}, warmUp: 1,
			}
			t.restoreAnnouncements(s, e.Endpoint)
			t.restoreRate(s, e.Endpoint)
			if ok {
				s.restarted = true
				s.carryOver(old[e.Name], e.Born)
			}
			t.logLeaving(keyOf(NameHash(e.Name), e.Born), &s.availability.announcements)
		}
		s.coldStart.configure(e.ColdUntil, e.ColdRate)
		s.Endpoint, s.region, s.totalColdRate = e.Endpoint, e.RegionID, cmp.Or(e.TotalColdRate, e.ColdRate)
		t.endpoints[e.Name] = s
		t.byNameHash[NameHash(e.Name)] = s
		t.services[e.Service] = append(t.services[e.Service], s)
		if t.serviceStats[e.Service] == nil {
			t.serviceStats[e.Service] = newServiceStats(e.Service)
		}
		if s != old[e.Name] {
			t.serviceStats[e.Service].path.lostUntil = time.Time{} // nothing is known of the way to this one
		}
	}
	for name, s := range old {
		if t.endpoints[name] != s {
			t.keepAnnouncements(s)
			t.keepUnlistedRate(keyOf(NameHash(s.Name), s.Born), unlistedRate{addr: s.Addr, limit: s.rateLimit, limitedSince: s.rateLimitedSince})
		}
	}
	for service := range t.services {
		t.wake(service)
	}
}

// SetColdStartRate sets this host's share of the requests a second that an endpoint accepts during its cold
// start.
func (t *Table) SetColdStartRate(name string, rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.endpoints[name]; ok {
		s.ColdRate = rate
		s.coldStart.configure(s.ColdUntil, rate)
	}
}

// isOtherInstance reports whether a start time belongs to a process instance of the endpoint other than the known
// one. The state of one instance is not valid for another, and outcomes of requests that were sent to an earlier
// one are ignored. A start time that isn't known matches any.
func (s *endpointState) isOtherInstance(startedAt time.Time) bool {
	return !s.Born.IsZero() && !startedAt.IsZero() && !s.Born.Equal(startedAt)
}

// instance returns the state of an endpoint, and false if it is of another process instance or there is none.
// The caller holds the lock.
func (t *Table) instance(name string, startedAt time.Time) (*endpointState, bool) {
	s, ok := t.endpoints[name]
	return s, ok && !s.isOtherInstance(startedAt)
}

// SetSwitchedOff replaces the set of mechanisms that are not used.
func (t *Table) SetSwitchedOff(switchedOff vetchtrail.Mechanisms) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.switchedOff = switchedOff
}

// Find returns a configured endpoint, whether or not it is in use.
func (t *Table) Find(name string) (vetchtrail.Endpoint, bool) {
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

// Fill appends the endpoints of the request's service to a view, and sets the view's estimates for that
// service.
func (t *Table) Fill(v *vetchtrail.View, r *vetchtrail.Request, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := t.services[r.Service]
	if svc, ok := t.serviceStats[r.Service]; ok {
		svc.recordStreamRequest(r, now)
		v.IdlePrefill, v.CachedShare, v.PredictionRatio = svc.promptStats.idleTokenTime, svc.promptStats.cachedShare.value, svc.predictionRatio.median
		v.ExpectedEvents, v.UrgentInterval = svc.expectedEvents(r.Route), svc.urgentEventInterval(r, now)
		v.MoreUrgent = svc.moreUrgentRequested(r.Priority, now)
		svc.othersQueued = meanOthersQueued(states, now)
	}
	session, sticky := r.Session()
	if svc := t.serviceStats[r.Service]; svc != nil && svc.reportsSlowdown && t.placesBySpeed {
		v.Uncertainty = svc.uncertainty()
	}
	preferred := -1
	if sticky {
		preferred = preferredEndpoint(states, session.ID, now)
	}
	for i, s := range states {
		e, backlog := s.view(t, now), 0.0
		if !r.AcceptsVersion(s.SoftwareVersion) {
			e.Unavailable, e.UnavailableReason, e.ViaPeers = true, vetchtrail.ReasonOtherVersion, false
		}
		if !t.switchedOff.Has(vetchtrail.MechanismPromptBacklog) {
			backlog = s.backlog(r.Priority, t.serviceStats[r.Service], now)
		}
		if sticky && !t.switchedOff.Has(vetchtrail.MechanismAffinity) {
			e.CachedTokens = t.cachedTokens(s, r, session, i == preferred, now)
		}
		t.scalePredictions(s, &e, backlog+float64(r.PromptTokens()-e.CachedTokens), now)
		e.Backlog = e.Prefill * backlog
		if e.ViaPeers {
			v.ViaPeers++
		}
		v.Endpoints = append(v.Endpoints, e)
	}
}

// view returns the endpoint's state and estimates as of now, for a decision. The times are the usual ones of the
// service, see scalePredictions. The caller holds the lock.
func (s *endpointState) view(t *Table, now time.Time) vetchtrail.EndpointView {
	svc := t.serviceStats[s.Service]
	weight := math.Exp(-now.Sub(s.observedAt).Seconds() / observationDecay.Seconds())
	v := vetchtrail.EndpointView{
		Name: s.Name, Region: s.region, Slots: s.Slots, InFlightLimit: t.currentLimit(s, now), InFlight: s.inFlight,
		Running: s.report.Running, Queued: s.report.Queued, ReportAge: -1,
		Prefill:     svc.tokenTime.value * significantSlowdown(1+weight*(s.tokenSlowdown.value-1), s.tokenSlowdown.count),
		ServiceTime: svc.serviceTime.value * significantSlowdown(1+weight*(s.serviceTime.value/svc.serviceTime.value-1), s.serviceTime.count),
		WarmUpShare: s.warmUp, ExcessFailureRate: s.excessErrorShare(svc, now), EventInterval: t.expectedEventInterval(s, svc, now), RateLimited: s.rateLimit.Advertised, Rate: s.rateLimit.Rate, RateLeft: s.rateLeft,
	}
	if svc.prefillFit.known() {
		v.BaseLatency, v.Prefill = svc.prefillFit.line()
	}
	if s.uneven != nil && svc.lightFit.count >= minObservations {
		v.BaseLatency, v.Prefill = svc.lightFit.line()
	}
	if left, limited := s.initialLeft(t, now); limited {
		v.InFlightLimit = min(v.InFlightLimit, s.inFlight+left)
	}
	if s.hasReport {
		v.ReportAge = now.Sub(s.report.TakenAt)
		v.InFlightChange = s.inFlight - s.inFlightAt(s.report.TakenAt)
	}
	switch {
	case s.isLeaving(now):
		v.Unavailable, v.UnavailableReason = true, vetchtrail.ReasonDraining
	case now.Before(s.availability.pausedUntil):
		v.Unavailable, v.UnavailableReason, v.AvailableIn = true, vetchtrail.ReasonPaused, s.availability.pausedUntil.Sub(now).Seconds()
	case svc.path.lost(now):
		v.Unavailable, v.UnavailableReason, v.ViaPeers = true, vetchtrail.ReasonUnreachable, true
	case now.Before(s.ejectedUntil):
		v.Unavailable, v.UnavailableReason = true, vetchtrail.ReasonEjected
	case s.backedOff(now):
		v.Unavailable, v.UnavailableReason, v.AvailableIn = true, s.backOffReason, s.backOffLeft(v.ServiceTime, now)
		v.ViaPeers = s.reachedByOthers(now)
	case t.silent(s, now):
		v.Unavailable, v.UnavailableReason, v.Connected = true, vetchtrail.ReasonSilent, s.connectedSinceSilent()
	case s.rateLimit.Advertised && now.Before(s.rateExhaustedUntil):
		v.Unavailable, v.UnavailableReason, v.AvailableIn = true, vetchtrail.ReasonRateLimited, s.rateExhaustedUntil.Sub(now).Seconds()
	case !s.coldStart.allows(now):
		v.Unavailable, v.UnavailableReason, v.AvailableIn = true, vetchtrail.ReasonColdStart, s.coldStart.wait(now).Seconds()
	}
	return v
}
