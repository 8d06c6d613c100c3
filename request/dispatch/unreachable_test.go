package dispatch

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/journal"
	"vetchtrail/process/load"
	"vetchtrail/process/membership"
	"vetchtrail/process/reachability"
	"vetchtrail/request/budget"
	"vetchtrail/request/idempotency"
	"vetchtrail/request/policy"
	"vetchtrail/schema"
	"vetchtrail/version/rules"
)

const (
	cutAfter     = 5 * time.Second // from the start of the traffic
	cutLength    = 14 * time.Second
	contactTime  = 5 * time.Second        // from the start of the cut until its effects count
	dialTimeout  = 700 * time.Millisecond // of a connection whose packets are dropped
	callInterval = 50 * time.Millisecond  // between two requests of a host's callers
	hostLatency  = time.Millisecond       // between two hosts, one way
)

// cutFleet is a fleet in virtual time: real dispatchers, tables and memberships, and endpoints and a network
// that are simulated. Some hosts lose their paths to all endpoints for a while.
type cutFleet struct {
	drops bool // packets of cut hosts are dropped; false: their connections are refused
	hosts []*cutHost
	byTo  map[netip.AddrPort]*cutHost

	mu      sync.Mutex
	running map[string]int // requests at each endpoint
	ran     map[string]int // executions of each request
	cut     bool
}

// cutHost is one host of a cutFleet. It is the network as the host sees it.
type cutHost struct {
	fleet      *cutFleet
	cuttable   bool
	self       vetchtrail.Host
	region     vetchtrail.RegionID
	table      *load.Table
	members    *membership.Membership
	dispatcher *Dispatcher
	mu         sync.Mutex
	during     [2]int // first tries that count, and those served
	after      [2]int // first tries after the cut, and those served
}

func (h *cutHost) isCut() bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.cuttable && h.fleet.cut
}

// Call implements vetchtrail.EndpointCaller.
func (h *cutHost) Call(ctx context.Context, e vetchtrail.Endpoint, r *vetchtrail.Request, w vetchtrail.ResponseWriter) (vetchtrail.Outcome, vetchtrail.Timing) {
	if err := h.connect(ctx); err != nil {
		return vetchtrail.Outcome{
			Kind: vetchtrail.OutcomeNotRun, Status: 503, Step: vetchtrail.StepConnect, Reason: vetchtrail.ReasonUnreachable, Peer: e.Name, Err: err,
			RetryAt: time.Now().Add(100 * time.Millisecond),
		}, vetchtrail.Timing{}
	}
	sent := time.Now()
	h.table.RecordConnected(e, sent)
	h.table.RecordReport(e.Name, vetchtrail.LoadReport{TakenAt: sent, Running: h.fleet.changeRunning(e.Name, r.ID, 1)}, time.Time{})
	time.Sleep(60 * time.Millisecond)
	h.fleet.changeRunning(e.Name, "", -1)
	_ = w.Begin(200, nil)
	return vetchtrail.Outcome{Kind: vetchtrail.OutcomeAnswered, Status: 200, Step: vetchtrail.StepResponse, Peer: e.Name, ResponseStarted: true},
		vetchtrail.Timing{Sent: sent, FirstByte: time.Now(), Done: time.Now()}
}

// connect opens a connection to an endpoint.
func (h *cutHost) connect(ctx context.Context) error {
	switch {
	case !h.isCut():
		return nil
	case !h.fleet.drops:
		return errors.New("connection refused")
	}
	select {
	case <-ctx.Done():
	case <-time.After(dialTimeout):
	}
	return errors.New("i/o timeout")
}

// changeRunning changes the number of requests at an endpoint and returns it. A request that starts is counted.
func (f *cutFleet) changeRunning(endpoint, request string, by int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if request != "" {
		f.ran[request]++
	}
	f.running[endpoint] += by
	return f.running[endpoint]
}

// Forward implements vetchtrail.Forwarder.
func (h *cutHost) Forward(ctx context.Context, to vetchtrail.Host, r *vetchtrail.Request, w vetchtrail.ResponseWriter) vetchtrail.Outcome {
	time.Sleep(hostLatency)
	forwarded := *r
	forwarded.Hops++
	o := h.fleet.byTo[to.PeerAddr].dispatcher.Run(ctx, &forwarded, w)
	time.Sleep(hostLatency)
	return o
}

// ExchangeHeartbeats implements membership.Peers.
func (h *cutHost) ExchangeHeartbeats(_ context.Context, addr netip.AddrPort, m *schema.Heartbeat) (*schema.Heartbeat, error) {
	time.Sleep(hostLatency)
	return h.fleet.byTo[addr].members.HandleHeartbeat(m), nil
}

// ExchangeDigests implements membership.Peers.
func (h *cutHost) ExchangeDigests(_ context.Context, addr netip.AddrPort, m *schema.Digests) (*schema.Digests, error) {
	time.Sleep(hostLatency)
	return h.fleet.byTo[addr].members.HandleDigests(m), nil
}

// cutCase is a fleet with one data centre in each region. The endpoints are in region a.
type cutCase struct {
	hosts, cut  int // in region a
	outside     int // hosts in region b, which has no endpoints
	endpoints   int
	drops       bool
	onlyOutside bool // only the hosts of region b have callers
}

// newCutFleet starts the hosts of a fleet. They run until ctx ends.
func newCutFleet(ctx context.Context, t *testing.T, c cutCase) *cutFleet {
	t.Helper()
	ruleSet, err := rules.Restore([]vetchtrail.Edit{
		vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 0, Name: "a", DataCentres: []string{"a-1"}}},
		vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 1, Name: "b", DataCentres: []string{"b-1"}}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "s", AnswerWithin: time.Minute, Weights: vetchtrail.Weights{Tail: 1}}},
		vetchtrail.PutRoute{Route: vetchtrail.Route{
			Name: "r", Host: "h", PathPrefix: "/", Attempts: 1, AnswerWithin: 3 * time.Second, Homes: []string{"a"},
			Targets: []vetchtrail.Target{{Service: "s", Weight: 1}},
		}},
	}, 7)
	assert.NilError(t, err)
	f := &cutFleet{drops: c.drops, byTo: map[netip.AddrPort]*cutHost{}, running: map[string]int{}, ran: map[string]int{}}
	var seeds []netip.AddrPort
	for i := range c.hosts + c.outside {
		h := &cutHost{fleet: f, cuttable: i < c.cut, self: vetchtrail.Host{
			Name: fmt.Sprintf("h%02d", i), Region: "a", DataCentre: "a-1", State: vetchtrail.HostReady,
			PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i)), Incarnation: uint64(i + 1),
		}}
		if i >= c.hosts {
			h.region, h.self.Region, h.self.DataCentre = 1, "b", "b-1"
		}
		f.hosts = append(f.hosts, h)
		f.byTo[h.self.PeerAddr] = h
		seeds = append(seeds, h.self.PeerAddr)
	}
	for i, h := range f.hosts {
		h.build(ruleSet, seeds, c.endpoints, uint64(i))
	}
	for _, h := range f.hosts { // once all are built, as they call each other
		h.run(ctx)
	}
	return f
}

// build creates the parts of a host.
func (h *cutHost) build(ruleSet *rules.Rules, seeds []netip.AddrPort, endpoints int, seed uint64) {
	discardLog := slog.New(slog.DiscardHandler)
	h.table = load.New()
	var placed []load.EndpointInRegion
	for i := range endpoints {
		placed = append(placed, load.EndpointInRegion{Endpoint: vetchtrail.Endpoint{
			Name: fmt.Sprintf("e%02d", i), Service: "s", Region: "a", DataCentre: "a-1", Slots: 8, Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.1.1"), uint16(1000+i)),
		}})
	}
	if h.self.Region == "a" {
		h.table.Configure(placed)
	}
	h.members = membership.New(membership.Config{
		Self: h.self, Seeds: seeds, Load: h.table, Revision: ruleSet.Revision, Log: discardLog, RandomSeed: seed + 1, CallsWholeRegion: true,
	})
	h.dispatcher = New(Config{
		Self: h.self, Policy: policy.Weighted{}, Rules: func() *rules.Rules { return ruleSet }, Endpoints: h.table, Membership: h.members,
		EndpointCaller: h, Peers: h, IssuedKeys: idempotency.New(idempotency.Config{Host: h.self.Name, KeyTime: time.Minute}),
		Journal: journal.New(journal.Config{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}), Seed: seed,
		RetryBudget: budget.Config{Window: 10 * time.Second, Share: 0.2, Base: 10, Hosts: func() int { return 1 }},
	})
}

// run runs the host's tasks until ctx ends.
func (h *cutHost) run(ctx context.Context) {
	go h.table.Run(ctx)
	prober := reachability.New(reachability.Config{Table: h.table, Connect: func(ctx context.Context, _ vetchtrail.Endpoint) error { return h.connect(ctx) }})
	go prober.Run(ctx)
	go h.members.RunHeartbeats(ctx, h)
	go h.members.RunDigestExchanges(ctx, h)
}

// send sends requests of a host's callers, one each callInterval, until ctx ends. Requests whose caller gets no
// response with a success are not repeated.
func (h *cutHost) send(ctx context.Context, began time.Time) {
	var callers sync.WaitGroup
	defer callers.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		callers.Go(func() {
			at := time.Since(began)
			r := &vetchtrail.Request{
				ID: fmt.Sprint(h.self.Name, "-", n), Service: "s", Route: "r", MaxAttempts: 1, EntryRegion: h.region, CallerCanRetry: true,
				Goal: time.Now().Add(time.Second), Deadline: time.Now().Add(3 * time.Second),
			}
			var got responseRecorder
			o := h.dispatcher.Run(context.Background(), r, &got)
			h.count(at, o.Kind == vetchtrail.OutcomeAnswered)
		})
		time.Sleep(callInterval)
	}
}

// count counts a first try that was sent at a time after the start of the traffic.
func (h *cutHost) count(at time.Duration, served bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tries := &h.during
	switch {
	case at >= cutAfter+cutLength+contactTime:
		tries = &h.after
	case at < cutAfter+contactTime || at >= cutAfter+cutLength:
		return
	}
	tries[0]++
	if served {
		tries[1]++
	}
}

// play sends requests at all hosts that have callers, and cuts hosts off from the endpoints for a while.
func (f *cutFleet) play(ctx context.Context, onlyOutside bool) {
	began := time.Now()
	traffic, stop := context.WithTimeout(ctx, cutAfter+cutLength+2*contactTime)
	defer stop()
	var all sync.WaitGroup
	for _, h := range f.hosts {
		if !onlyOutside || h.self.Region == "b" {
			all.Go(func() { h.send(traffic, began) })
		}
	}
	f.setCut(cutAfter, true)
	f.setCut(cutLength, false)
	all.Wait()
}

// setCut cuts hosts off, or ends the cut, after a time.
func (f *cutFleet) setCut(after time.Duration, cut bool) {
	time.Sleep(after)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

// TestCutHostsServeTheirCallers guards against a host that refuses its callers because it reaches no endpoint itself.
func TestCutHostsServeTheirCallers(t *testing.T) {
	cases := map[string]cutCase{
		"connections refused, 2 of 3 hosts":          {hosts: 3, cut: 2, endpoints: 5},
		"packets dropped, 2 of 3 hosts":              {hosts: 3, cut: 2, endpoints: 5, drops: true},
		"packets dropped, 7 of 8 hosts":              {hosts: 8, cut: 7, endpoints: 12, drops: true},
		"a single endpoint, 1 of 2 hosts":            {hosts: 2, cut: 1, endpoints: 1},
		"packets dropped, many endpoints":            {hosts: 4, cut: 2, endpoints: 60, drops: true},
		"callers of another region, 2 of 3 hosts":    {hosts: 3, cut: 2, endpoints: 5, outside: 2, onlyOutside: true},
		"callers of another region, packets dropped": {hosts: 3, cut: 2, endpoints: 5, outside: 2, onlyOutside: true, drops: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				f := newCutFleet(ctx, t, c)
				time.Sleep(3 * time.Second) // the hosts meet
				f.play(ctx, c.onlyOutside)
				stop()
				synctest.Wait()
				f.check(t, c.onlyOutside)
			})
		})
	}
}

// check checks that callers were served at least two thirds as often at cut hosts as at the others, unless no more
// than 10 and 1 in 50 of all first tries failed there, and that no request ran twice. From contactTime after the cut all must be served.
func (f *cutFleet) check(t *testing.T, onlyOutside bool) {
	t.Helper()
	var affected, others, after [2]int
	for _, h := range f.hosts {
		sum := &others
		if h.cuttable || onlyOutside {
			sum = &affected
		}
		for i := range sum {
			sum[i] += h.during[i]
			after[i] += h.after[i]
		}
	}
	failed := affected[0] - affected[1]
	bound := 1.0
	if others[0] > 0 {
		bound = float64(others[1]) / float64(others[0])
	}
	share := float64(affected[1]) / float64(affected[0])
	t.Logf("served %d of %d where hosts were cut, %d of %d elsewhere; afterwards %d of %d", affected[1], affected[0], others[1], others[0], after[1], after[0])
	assert.Assert(t, affected[0] > 100 && after[0] > 100, "too few requests")
	assert.Assert(t, share >= bound*2/3 || failed <= 10+(affected[0]+others[0])/50, "%d of %d served", affected[1], affected[0])
	assert.Equal(t, after[1], after[0], "after the cut")
	for request, n := range f.ran {
		assert.Equal(t, n, 1, "%s ran more than once", request)
	}
}
