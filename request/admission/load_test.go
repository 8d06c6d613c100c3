package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"vetchtrail"
	"vetchtrail/standin/eventqueue"
)

// The model: 90 hosts in two data centres, 20 endpoints that each process 50,000 tokens a second by
// priority and then arrival, and drop a request at its deadline. Callers don't retry.
const (
	hostCount     = 90
	endpointCount = 20
	tokenRate     = 50_000.0
	workspaces    = 16 // the first one sends half
	faultAt       = 6 * time.Second
	measuredFrom  = 10 * time.Second // the system has had time to notice the fault
	// reportAge is the age of an endpoint's queue as hosts see it, half of the range of 0.5 to 1 s.
	reportAge    = 750 * time.Millisecond
	observeEvery = 50 * time.Millisecond
	updateEvery  = 250 * time.Millisecond
)

// kind is one of four kinds of request.
type kind struct {
	share               float64 // of the work
	tokens              float64
	priority            int8
	objective, deadline time.Duration
}

var kinds = []kind{
	{0.4, 6600, 1, time.Second, 12 * time.Second},
	{0.2, 6600, 1, time.Second, 12 * time.Second},
	{0.25, 2400, 0, 1500 * time.Millisecond, 3 * time.Second},
	{0.15, 2400, 0, 2 * time.Second, 3 * time.Second},
}

type modelRequest struct {
	kind, workspace int
	arrived         time.Time
}

type modelEndpoint struct {
	queue  []modelRequest
	tokens float64 // queued and in process
	busy   bool
	lost   bool
	seen   []float64 // tokens at the last times of observation, oldest first
}

type modelHost struct {
	control Controller // nil: today's rules
	meter   Meter
	heard   Measurements
	digests Measurements
	sent    [endpointCount]float64 // since the queue that this host sees
	lost    bool
}

// model is one run.
type model struct {
	eventqueue.EventQueue
	now, start    time.Time
	length        time.Duration
	random        *rand.Rand
	hosts         []modelHost
	endpoints     []modelEndpoint
	lossRate      float64 // of messages
	cutOff        bool    // the two halves are cut off from each other
	inTime, asked [4][workspaces]float64
}

// way creates a host's controller; nil: today's rules.
type way func(seed uint64) Controller

func run(w way, load float64, length time.Duration, fault func(*model)) *model {
	m := &model{start: time.Unix(1000, 0), length: length, random: rand.New(rand.NewPCG(1, 2)), hosts: make([]modelHost, hostCount), endpoints: make([]modelEndpoint, endpointCount)}
	m.now = m.start
	for i := range m.hosts {
		if w != nil {
			m.hosts[i].control = w(uint64(i) * 0x9e3779b97f4a7c15)
		}
	}
	m.observe()
	for i := range kinds {
		m.arrive(i, load*endpointCount*tokenRate*kinds[i].share/kinds[i].tokens)
	}
	m.every(observeEvery, m.observe)
	m.every(updateEvery, m.update)
	m.every(500*time.Millisecond, m.exchange)
	if fault != nil {
		m.Schedule(m.start.Add(faultAt), func() { fault(m) })
	}
	for {
		at, do, ok := m.Next(m.start.Add(length))
		if !ok {
			return m
		}
		m.now = at
		do()
	}
}

func (m *model) every(d time.Duration, do func()) {
	m.Schedule(m.now.Add(d), func() { do(); m.every(d, do) })
}

// arrive lets a request of a kind arrive at random times with the given rate.
func (m *model) arrive(k int, rate float64) {
	m.Schedule(m.now.Add(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second))), func() {
		r := modelRequest{kind: k, arrived: m.now}
		if m.random.IntN(2) == 0 {
			r.workspace = 1 + m.random.IntN(workspaces-1)
		}
		if m.measured(r) {
			m.asked[k][r.workspace] += kinds[k].tokens
		}
		m.handle(r)
		m.arrive(k, rate)
	})
}

func (m *model) measured(r modelRequest) bool { return r.arrived.Sub(m.start) > measuredFrom }

// handle has a live host decide on a request, and sends it to the better of two endpoints.
func (m *model) handle(r modelRequest) {
	host := m.random.IntN(hostCount)
	for m.hosts[host].lost {
		host = m.random.IntN(hostCount)
	}
	h, k := &m.hosts[host], kinds[r.kind]
	c := Class{Priority: k.priority, Workspace: fmt.Sprint(r.workspace)}
	if h.control != nil {
		admitted := h.control.Admit(c)
		h.meter.Count(c, k.tokens, admitted, m.now)
		if !admitted {
			return
		}
	}
	at := -1
	for range 2 {
		if i := m.random.IntN(endpointCount); m.usable(host, i) && (at < 0 || m.backlog(h, i) < m.backlog(h, at)) {
			at = i
		}
	}
	for at < 0 {
		if i := m.random.IntN(endpointCount); m.usable(host, i) {
			at = i
		}
	}
	// Today's rules refuse what would probably miss its objective (policy.missesGoal).
	if h.control == nil && m.backlog(h, at)/tokenRate > 1.1*k.objective.Seconds() {
		return
	}
	h.sent[at] += k.tokens
	e := &m.endpoints[at]
	e.queue = append(e.queue, r)
	e.tokens += k.tokens
	m.process(e)
}

func (m *model) usable(host, endpoint int) bool {
	return !m.endpoints[endpoint].lost && (!m.cutOff || host%2 == endpoint%2)
}

func (m *model) backlog(h *modelHost, endpoint int) float64 {
	return m.endpoints[endpoint].seen[0] + h.sent[endpoint]
}

// process begins the most urgent request of an idle endpoint.
func (m *model) process(e *modelEndpoint) {
	if e.busy || e.lost {
		return
	}
	e.queue = slices.DeleteFunc(e.queue, func(r modelRequest) bool {
		dropped := m.now.Sub(r.arrived) > kinds[r.kind].deadline
		if dropped {
			e.tokens -= kinds[r.kind].tokens
		}
		return dropped
	})
	best := -1
	for i, r := range e.queue {
		if best < 0 || kinds[r.kind].priority > kinds[e.queue[best].kind].priority {
			best = i
		}
	}
	if best < 0 {
		return
	}
	r := e.queue[best]
	e.queue, e.busy = slices.Delete(e.queue, best, best+1), true
	k := kinds[r.kind]
	m.Schedule(m.now.Add(time.Duration(k.tokens/tokenRate*float64(time.Second))), func() {
		e.busy = false
		e.tokens -= k.tokens
		if !e.lost && m.measured(r) && m.now.Sub(r.arrived) <= k.objective {
			m.inTime[r.kind][r.workspace] += k.tokens
		}
		m.process(e)
	})
}

// observe records the endpoints' queues, and forgets what hosts sent before those that they see.
func (m *model) observe() {
	for i := range m.endpoints {
		e := &m.endpoints[i]
		e.seen = append(e.seen, e.tokens)
		if len(e.seen) > int(reportAge/observeEvery) {
			e.seen = e.seen[1:]
		}
	}
	for i := range m.hosts {
		for j := range m.hosts[i].sent {
			m.hosts[i].sent[j] *= 1 - observeEvery.Seconds()/reportAge.Seconds()
		}
	}
}

// update updates the hosts' controllers.
func (m *model) update() {
	for i := range m.hosts {
		h := &m.hosts[i]
		if h.control == nil || h.lost {
			continue
		}
		s := State{Objective: kinds[2].objective, Classes: h.meter.Append(nil, m.now)}
		usable, tokens := 0, 0.0
		for j := range m.endpoints {
			if m.usable(i, j) {
				usable++
				tokens += m.backlog(h, j)
			}
		}
		s.Supply, s.Queued = float64(usable)*tokenRate, int(tokens/kinds[0].tokens)-usable
		s.Wait = time.Duration(tokens / s.Supply * float64(time.Second))
		if _, ok := h.control.(*RegionShares); ok {
			s.Classes = m.region(i, s.Classes)
		}
		h.control.Update(s, m.now)
	}
}

// region returns the demand of the region as a host sees it.
func (m *model) region(host int, own []vetchtrail.ClassDemand) []vetchtrail.ClassDemand {
	h := &m.hosts[host]
	n, _ := h.heard.Heard(m.now)
	return h.digests.Append(nil, h.heard.Append(nil, own, m.liveHosts(host%2)/float64(n+1), m.now), 1, m.now)
}

func (m *model) liveHosts(dataCentre int) float64 {
	live := 0.0
	for i := range m.hosts {
		if i%2 == dataCentre && !m.hosts[i].lost {
			live++
		}
	}
	return live
}

// exchange lets each host exchange heartbeats with two of its data centre, and the data centres'
// digests come to all hosts of the other.
func (m *model) exchange() {
	for i := range m.hosts {
		own := Fold(m.hosts[i].meter.Append(nil, m.now), MaxClasses)
		for range 2 {
			peer := (i + 2*(1+m.random.IntN(hostCount/2-1))) % hostCount
			if !m.hosts[i].lost && !m.hosts[peer].lost && m.random.Float64() >= m.lossRate {
				m.hosts[peer].heard.Record(fmt.Sprint(i), own, m.now.Add(-reportAge))
				m.hosts[i].heard.Record(fmt.Sprint(peer), m.hosts[peer].meter.Append(nil, m.now), m.now.Add(-reportAge))
			}
		}
	}
	for side := range 2 {
		maker := side
		for m.hosts[maker].lost {
			maker += 2
		}
		h := &m.hosts[maker]
		n, _ := h.heard.Heard(m.now)
		digest := Fold(h.heard.Append(nil, h.meter.Append(nil, m.now), m.liveHosts(side)/float64(n+1), m.now), MaxClasses)
		for i := 1 - side; i < hostCount; i += 2 {
			if !m.cutOff && m.random.Float64() >= m.lossRate {
				m.hosts[i].digests.Record("other", digest, m.now.Add(-reportAge))
			}
		}
	}
}

// result is what a run showed.
type result struct {
	goodput   float64 // work in time, as a share of the capacity
	workspace float64 // the worst workspace's work in time, as a share of an equal share
	kind      float64 // the worst kind's share in time, as a share of the mean over kinds
}

func (r result) String() string {
	return fmt.Sprintf("goodput %.2f, worst workspace %.2f, worst kind %.2f", r.goodput, r.workspace, r.kind)
}

func (m *model) result() result {
	total, mean, worst := 0.0, 0.0, 1.0
	var byWorkspace [workspaces]float64
	for k := range kinds {
		asked, inTime := 0.0, 0.0
		for w := range workspaces {
			asked += m.asked[k][w]
			inTime += m.inTime[k][w]
			byWorkspace[w] += m.inTime[k][w]
		}
		total += inTime
		mean += inTime / asked / float64(len(kinds))
		worst = min(worst, inTime/asked)
	}
	return result{
		goodput:   total / (endpointCount * tokenRate * (m.length - measuredFrom).Seconds()),
		workspace: slices.Min(byWorkspace[:]) / (total / workspaces), kind: worst / mean,
	}
}
