package returns

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/standin/eventqueue"
)

const (
	loadHosts     = 40
	loadEndpoints = 30
	endpointRate  = 20_000.0 // tokens a second
	regionSupply  = loadEndpoints * endpointRate
	loadTime      = 20 * time.Second
	exchange      = 500 * time.Millisecond
)

// loadKinds are the kinds of request; their index is their priority.
var loadKinds = [...]struct {
	work                     float64
	goal, deadline, response time.Duration
}{{2400, 1500 * time.Millisecond, 3 * time.Second, 300 * time.Millisecond}, {6600, time.Second, 12 * time.Second, 4 * time.Second}}

// TestReturnsAtOverload guards against callers that are told to return to the same shortage, or
// too late to be served. A region gets three times what it can process, and its callers follow
// the times of their refusals.
func TestReturnsAtOverload(t *testing.T) {
	cases := map[string]struct {
		shares [2]float64    // demand of each kind, in supplies of the region
		killed int           // hosts that end in the middle of the run
		clocks time.Duration // largest difference between two clocks
	}{
		"highest priority is all admitted": {[2]float64{2.4, 0.6}, 0, 0},
		"highest priority is refused too":  {[2]float64{1.5, 1.5}, 0, 0},
		"half of the hosts killed":         {[2]float64{2.4, 0.6}, loadHosts / 2, 0},
		"half killed, refused too":         {[2]float64{1.5, 1.5}, loadHosts / 2, 0},
		"clocks that differ":               {[2]float64{1.5, 1.5}, 0, 10 * time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &loadRun{t: t, now: start, shares: c.shares, rnd: rand.New(rand.NewPCG(11, 12)), correction: 1, live: loadHosts}
			for i := range s.plans {
				s.clocks[i] = c.clocks * time.Duration(i) / (loadHosts - 1)
				s.plans[i] = New(start.Add(s.clocks[i]))
			}
			s.measure()
			s.events.Schedule(start.Add(loadTime/2), func() { s.live -= c.killed })
			s.run()
			t.Logf("told %d, returned %d, served %d, within the objective %d of %d; told that a return is of no use %d, first attempts served %d of %d",
				s.told, s.returned, s.served, s.inObjective, s.planned, s.useless, s.firstServed, s.first)
			assert.Assert(t, float64(s.served) >= 0.9*float64(s.told))
			// What is reserved for any return is mostly used.
			assert.Assert(t, s.toldWork >= 0.5*lateShare*regionSupply*loadTime.Seconds())
		})
	}
}

// loadRun is a region in virtual time.
type loadRun struct {
	t          *testing.T
	events     eventqueue.EventQueue
	now        time.Time
	rnd        *rand.Rand
	shares     [2]float64
	plans      [loadHosts]*Plan
	clocks     [loadHosts]time.Duration
	live       int // hosts; the first ones live
	endpoints  [loadEndpoints]loadEndpoint
	correction float64 // of the supply, by the measured wait
	asked      [2]float64
	debts      [2]float64 // of admission, for error diffusion
	demand     vetchtrail.ServiceDemand

	first, firstServed, told, returned, served, useless, planned, inObjective int
	toldWork                                                                  float64
}

// loadRequest is a request of a caller, with its times by the clock of the test.
type loadRequest struct {
	kind           int
	goal, deadline time.Time
	returned       bool
	promised       bool // the slot is within the objective
}

// loadEndpoint processes one prompt at a time.
type loadEndpoint struct {
	queues  [2][]*loadRequest // by priority
	backlog [2]float64        // tokens, with those of the prompt that is being processed
	busy    bool
}

func (s *loadRun) run() {
	for kind := range loadKinds {
		s.arrive(kind)
	}
	for {
		at, do, ok := s.events.Next(start.Add(loadTime + 15*time.Second))
		if !ok {
			return
		}
		s.now = at
		do()
	}
}

// arrive schedules the first attempts of a kind.
func (s *loadRun) arrive(kind int) {
	k := &loadKinds[kind]
	rate := s.shares[kind] * regionSupply / k.work
	at := s.now.Add(seconds(s.rnd.ExpFloat64() / rate))
	if at.After(start.Add(loadTime)) {
		return
	}
	s.events.Schedule(at, func() {
		s.first++
		s.asked[kind] += k.work
		s.attempt(&loadRequest{kind: kind, goal: s.now.Add(k.goal), deadline: s.now.Add(k.deadline)})
		s.arrive(kind)
	})
}

// attempt has a caller send its request to a random host. Returns are admitted before first
// attempts; either is refused if its prompt would probably be processed too late.
func (s *loadRun) attempt(r *loadRequest) {
	k, host := &loadKinds[r.kind], s.rnd.IntN(s.live)
	e := &s.endpoints[s.rnd.IntN(loadEndpoints)]
	for range 2 {
		if other := &s.endpoints[s.rnd.IntN(loadEndpoints)]; other.wait(r.kind) < e.wait(r.kind) {
			e = other
		}
	}
	admitted := r.returned || s.admit(r.kind)
	if first := e.wait(r.kind); admitted && first <= k.goal && !s.now.Add(first+k.response).After(r.deadline) {
		e.queues[r.kind] = append(e.queues[r.kind], r)
		e.backlog[r.kind] += k.work
		s.process(e)
		return
	}
	s.refuse(host, r)
}

// refuse has a host plan the return of a refused request.
func (s *loadRun) refuse(host int, r *loadRequest) {
	k, clock := &loadKinds[r.kind], s.clocks[host]
	at, ok := s.plans[host].Add(Refused{
		Priority: int8(r.kind), Work: k.work, Goal: r.goal.Add(clock), Deadline: r.deadline.Add(clock), ResponseTime: k.response, Returned: r.returned,
	}, &s.demand, s.now.Add(clock), s.rnd)
	delay := at.Sub(s.now.Add(clock))
	if !ok {
		s.useless++
		assert.Assert(s.t, s.now.Add(delay).After(r.deadline))
		return
	}
	s.told++
	s.toldWork += k.work
	r.promised = delay <= time.Duration((1-firstEventShare)*float64(r.goal.Sub(s.now)))
	prompt := seconds(k.work / endpointRate)
	assert.Assert(s.t, !r.returned && !s.now.Add(delay+prompt+k.response).After(r.deadline), "told to return when it can't be served")
	assert.Assert(s.t, delay <= r.deadline.Sub(s.now)/3, "told to return later than callers do")
	r.returned = true
	s.events.Schedule(s.now.Add(delay), func() {
		s.returned++
		host := s.rnd.IntN(s.live)
		s.plans[host].Arrived(k.work, s.now.Add(s.clocks[host]))
		s.attempt(r)
	})
}

// wait returns how long an endpoint takes until it has processed a new prompt of a kind.
func (e *loadEndpoint) wait(kind int) time.Duration {
	return seconds((e.backlog[1] + e.backlog[kind]*float64(1-kind) + loadKinds[kind].work) / endpointRate)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// process has an idle endpoint process the next prompt, by priority and then by arrival. A
// request whose deadline has passed is dropped.
func (s *loadRun) process(e *loadEndpoint) {
	kind := 1
	if len(e.queues[1]) == 0 {
		kind = 0
	}
	if e.busy || len(e.queues[kind]) == 0 {
		return
	}
	k, r := &loadKinds[kind], e.queues[kind][0]
	e.queues[kind], e.busy = e.queues[kind][1:], true
	done := func() {
		e.busy = false
		e.backlog[kind] -= k.work
		s.process(e)
	}
	if !s.now.Before(r.deadline) {
		done()
		return
	}
	s.events.Schedule(s.now.Add(seconds(k.work/endpointRate)), func() {
		s.count(r, s.now.Add(k.response))
		done()
	})
}

// count counts a request whose response begins now.
func (s *loadRun) count(r *loadRequest, end time.Time) {
	switch {
	case end.After(r.deadline):
	case r.returned:
		s.served++
	default:
		s.firstServed++
	}
	if r.promised {
		s.planned++
		if !s.now.After(r.goal) {
			s.inObjective++
		}
	}
}

// admit decides on a first attempt by the admitted fraction of its priority.
func (s *loadRun) admit(kind int) bool {
	c := &s.demand.Classes[kind]
	s.debts[kind] += min(c.Admitted/max(c.Asked, 1), 1)
	if s.debts[kind] < 1 {
		return false
	}
	s.debts[kind]--
	return true
}

// measure renews the demand that all hosts know, from the time since the last call. First
// attempts are admitted by priority, after the returns that are planned for the next second.
func (s *loadRun) measure() {
	waiting := 0.0
	for i := range s.endpoints {
		waiting += (s.endpoints[i].backlog[0] + s.endpoints[i].backlog[1]) / endpointRate / loadEndpoints
	}
	s.correction = min(s.correction*1.02, 1)
	if waiting > loadKinds[0].goal.Seconds()/2 {
		s.correction = max(s.correction*0.9, 0.5)
	}
	reserved := [2]float64{}
	for i, p := range s.plans[:s.live] {
		now := s.now.Add(s.clocks[i])
		for _, o := range p.Offers(nil, now) {
			if o.At.Sub(now) < time.Second {
				reserved[o.Priority] += o.Work
			}
		}
	}
	d := vetchtrail.ServiceDemand{Supply: s.correction * regionSupply, Hosts: s.live}
	left := d.Supply
	for kind := len(loadKinds) - 1; kind >= 0; kind-- {
		asked := s.asked[kind] / exchange.Seconds()
		if s.now.Equal(start) {
			asked = s.shares[kind] * regionSupply
		}
		most := max(left-reserved[kind]-float64(kind)*d.Supply/10, 0)
		c := vetchtrail.ClassDemand{Priority: int8(kind), Asked: asked, Admitted: min(asked, most)}
		left -= c.Admitted + reserved[kind]
		d.Classes = append([]vetchtrail.ClassDemand{c}, d.Classes...)
	}
	s.asked = [2]float64{}
	if s.now.Before(start.Add(loadTime)) {
		s.events.Schedule(s.now.Add(exchange), s.measure)
	}
	s.demand = d
}
