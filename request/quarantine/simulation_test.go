package quarantine

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/standin/eventqueue"
)

var simStart = time.Unix(1_800_000_000, 0)

// simulation runs a fleet of endpoints and callers on virtual time. Each endpoint runs 32 requests
// at once. There are 10,000 harmless requests, some poison requests that crash each endpoint that
// starts them and are retried, and unrelated crashes. A host retries a request lost in a crash
// once, at another endpoint. If that attempt is lost too, half of the callers of harmless requests
// send it once more, and callers of poison requests always do.
type simulation struct {
	strategy          Strategy
	rnd               *rand.Rand
	now               time.Time
	schedule          eventqueue.EventQueue
	endpoints         []*simEndpoint
	history           *CrashHistory
	entries           *Entries
	poisonDelay       time.Duration // mean time from a poison request's first byte to the crash
	unrelatedInterval time.Duration // mean time between unrelated crashes; 0: none

	poisonCrashes     map[vetchtrail.ContentHash]int       // crashes by poison request
	unrelatedCrashes  int                                  // number of unrelated crashes
	quarantinedPoison map[vetchtrail.ContentHash]time.Time // when each poison request was first quarantined
	crashesNeeded     []int                                // crashes by each poison request until it was quarantined
	falsePositives    map[vetchtrail.ContentHash]bool      // harmless requests that were quarantined
	falselyRefused    int                                  // refusals of harmless requests, as quarantined
	served            int
	lost              int
}

// simEndpoint is a simulated endpoint.
type simEndpoint struct {
	name     string
	instance int // number of crashes so far
	down     bool
	inFlight []*simRequest // in order of arrival
}

// simRequest is one caller's request, over all its attempts.
type simRequest struct {
	contentHash vetchtrail.ContentHash
	poison      bool
	attempts    int
	respondedAt time.Time // when its response began; zero: not yet
	generation  int       // changes with each attempt and loss, so that callbacks of older ones do nothing
	done        bool
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.schedule.Schedule(sim.now.Add(d), do)
}

func hashOf(n uint64) vetchtrail.ContentHash {
	var hash vetchtrail.ContentHash
	binary.BigEndian.PutUint64(hash[:], n)
	return hash
}

const (
	simSlots    = 32
	simRequests = 10_000
	simSeconds  = 100
	// streamingThreshold is how long a response must have been streaming for InFlight.Streaming.
	streamingThreshold = 500 * time.Millisecond
	meanFirstByte      = 400 * time.Millisecond // mean time to first byte
	meanRun            = 3 * time.Second
)

// newSimulation returns a simulation with its first events scheduled.
func newSimulation(s Strategy, endpoints, poison int, unrelatedInterval time.Duration, seed uint64) *simulation {
	sim := &simulation{
		strategy: s, rnd: rand.New(rand.NewPCG(seed, 11)), now: simStart, history: NewCrashHistory(), entries: NewEntries(),
		unrelatedInterval: unrelatedInterval,
		poisonCrashes:     map[vetchtrail.ContentHash]int{}, quarantinedPoison: map[vetchtrail.ContentHash]time.Time{}, falsePositives: map[vetchtrail.ContentHash]bool{},
	}
	for n := range endpoints {
		sim.endpoints = append(sim.endpoints, &simEndpoint{name: fmt.Sprint("e", n)})
	}
	for n := range simRequests {
		r := &simRequest{contentHash: hashOf(uint64(n + 1))}
		sim.after(sim.random(simSeconds*time.Second), func() { sim.send(r) })
	}
	for n := range poison {
		r := &simRequest{contentHash: hashOf(uint64(1_000_000 + n)), poison: true}
		sim.poisonCrashes[r.contentHash] = 0
		sim.after(sim.random(20*time.Second), func() { sim.send(r) })
	}
	if unrelatedInterval > 0 {
		sim.after(sim.random(2*unrelatedInterval), sim.crashUnrelated)
	}
	sim.after(100*time.Millisecond, sim.detect)
	return sim
}

func (sim *simulation) clock() time.Time { return sim.now }

func (sim *simulation) random(d time.Duration) time.Duration {
	return time.Duration(sim.rnd.Int64N(int64(d)))
}

func (sim *simulation) run() {
	for {
		at, do, ok := sim.schedule.Next(simStart.Add((simSeconds + 10) * time.Second))
		if !ok {
			return
		}
		sim.now = at
		do()
	}
}

// send sends a request to a random endpoint, unless it is quarantined.
func (sim *simulation) send(r *simRequest) {
	if _, quarantined := sim.entries.Lookup(r.contentHash, sim.clock); quarantined {
		if !r.poison {
			sim.falselyRefused++
		}
		sim.callerRetry(r)
		return
	}
	to := sim.endpoints[sim.rnd.IntN(len(sim.endpoints))]
	if to.down || len(to.inFlight) >= simSlots {
		sim.after(50*time.Millisecond+sim.random(50*time.Millisecond), func() { sim.send(r) })
		return
	}
	r.attempts++
	r.generation++
	r.respondedAt = time.Time{}
	generation := r.generation
	to.inFlight = append(to.inFlight, r)
	start := meanFirstByte/2 + sim.random(meanFirstByte)
	sim.after(start, func() { sim.respond(r, generation, to) })
}

// respond begins the response of an attempt. A poison request then crashes the endpoint, any other
// one completes after a while.
func (sim *simulation) respond(r *simRequest, generation int, e *simEndpoint) {
	if r.generation != generation || !slices.Contains(e.inFlight, r) {
		return
	}
	r.respondedAt = sim.now
	if r.poison {
		instance := e.instance
		sim.after(sim.poisonDelay/2+sim.random(sim.poisonDelay), func() {
			if e.instance == instance && !e.down {
				sim.poisonCrashes[r.contentHash]++
				sim.crash(e)
			}
		})
		return
	}
	sim.after(meanRun/2+sim.random(meanRun), func() {
		if r.generation != generation || !slices.Contains(e.inFlight, r) {
			return
		}
		e.inFlight = slices.DeleteFunc(e.inFlight, func(other *simRequest) bool { return other == r })
		r.done = true
		sim.served++
		if r.attempts > 1 { // hosts report only served requests that were lost before
			now := sim.now
			sim.after(sim.random(150*time.Millisecond), func() { sim.history.RecordServed(r.contentHash, now) })
		}
	})
}

// crash crashes an endpoint with all its requests, and has the hosts that sent them report it.
func (sim *simulation) crash(e *simEndpoint) {
	e.down = true
	e.instance++
	report := Crash{Endpoint: e.name, StartedAt: simStart.Add(time.Duration(e.instance)), At: sim.now}
	reports := [8]Crash{} // one report for each host, with the requests that it sent
	for i := range reports {
		reports[i] = report
	}
	for _, r := range e.inFlight {
		hostReport := &reports[sim.rnd.IntN(len(reports))]
		hostReport.InFlight = append(hostReport.InFlight, InFlight{ContentHash: r.contentHash, Streaming: !r.respondedAt.IsZero() && sim.now.Sub(r.respondedAt) > streamingThreshold})
		sim.retryLost(r)
	}
	e.inFlight = nil
	for _, hostReport := range reports {
		sim.after(150*time.Millisecond+sim.random(150*time.Millisecond), func() { sim.history.RecordCrash(hostReport, sim.now) })
	}
	sim.after(2*time.Second+sim.random(2*time.Second), func() { e.down = false })
}

// retryLost retries a request that was lost in a crash: after an odd attempt its host does, after
// an even one its caller may.
func (sim *simulation) retryLost(r *simRequest) {
	r.generation++
	if r.attempts%2 == 1 {
		sim.after(20*time.Millisecond, func() { sim.send(r) })
		return
	}
	sim.callerRetry(r)
}

// callerRetry sends a failed request again for its caller: always if it is a poison request,
// otherwise in half of the cases and only until its fourth attempt.
func (sim *simulation) callerRetry(r *simRequest) {
	switch {
	case r.poison:
		sim.after(300*time.Millisecond+sim.random(time.Second), func() { sim.send(r) })
	case r.attempts < 4 && sim.rnd.IntN(2) == 0:
		sim.after(200*time.Millisecond, func() { sim.send(r) })
	default:
		sim.lost++
	}
}

// crashUnrelated crashes a random endpoint, with no request as the cause, and schedules the next
// such crash.
func (sim *simulation) crashUnrelated() {
	e := sim.endpoints[sim.rnd.IntN(len(sim.endpoints))]
	if !e.down {
		sim.unrelatedCrashes++
		sim.crash(e)
	}
	sim.after(sim.random(2*sim.unrelatedInterval), sim.crashUnrelated)
}

// detect quarantines the requests that Detect returns, every 100 ms.
func (sim *simulation) detect() {
	for _, s := range sim.history.Detect(sim.strategy, sim.entries, sim.now) {
		sim.entries.Add(s.ContentHash, s.Crashes, sim.now)
		if crashes, poison := sim.poisonCrashes[s.ContentHash]; poison {
			if _, before := sim.quarantinedPoison[s.ContentHash]; !before {
				sim.quarantinedPoison[s.ContentHash] = sim.now
				sim.crashesNeeded = append(sim.crashesNeeded, crashes)
			}
			continue
		}
		sim.falsePositives[s.ContentHash] = true
	}
	sim.after(100*time.Millisecond, sim.detect)
}

// summary adds up the simulations of one case.
type summary struct {
	maxNeeded, totalNeeded, quarantined   int // crashes until quarantine: the most and their sum; number of poison requests quarantined
	falsePositives, falselyRefused        int
	poison, totalPoisonCrashes, unrelated int
}

// simRuns is the number of simulations of a case: two, unless VETCHTRAIL_PLAYS sets another.
func simRuns() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("VETCHTRAIL_PLAYS"), 10, 16); err == nil {
		return n
	}
	return 2
}

// simulate runs the simulations of one case.
func simulate(s Strategy, endpoints, poison int, unrelatedInterval, delay time.Duration) summary {
	var out summary
	for seed := range simRuns() {
		sim := newSimulation(s, endpoints, poison, unrelatedInterval, seed)
		sim.poisonDelay = delay
		sim.run()
		out.poison += poison
		out.unrelated += sim.unrelatedCrashes
		out.falsePositives += len(sim.falsePositives)
		out.falselyRefused += sim.falselyRefused
		for _, n := range sim.crashesNeeded {
			out.quarantined++
			out.totalNeeded += n
			out.maxNeeded = max(out.maxNeeded, n)
		}
		for _, n := range sim.poisonCrashes {
			out.totalPoisonCrashes += n
		}
	}
	return out
}

// TestStrategies compares the strategies: how many crashes each needs to quarantine a poison
// request, and how many harmless requests it quarantines. All poison requests must be quarantined.
// StrategyGreedy must quarantine no harmless request and stay within its bound of crashes.
func TestStrategies(t *testing.T) {
	type load struct {
		endpoints, poison int
		unrelated         time.Duration
		delay             time.Duration
	}
	const delay = 70 * time.Millisecond
	for name, l := range map[string]load{
		"12 endpoints, 1 poison":                    {12, 1, 0, delay},
		"12 endpoints, 1 poison, unrelated crashes": {12, 1, 4 * time.Second, delay},
		"12 endpoints, 1 poison while streaming":    {12, 1, 0, 2 * time.Second},
		"12 endpoints, 5 poison":                    {12, 5, 0, delay},
		"12 endpoints, 5 poison, unrelated crashes": {12, 5, 4 * time.Second, delay},
		"60 endpoints, 3 poison, unrelated crashes": {60, 3, 2 * time.Second, delay},
		"12 endpoints, unrelated crashes":           {12, 0, 2 * time.Second, delay},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for strategy, label := range map[Strategy]string{StrategyGreedy: "greedy", StrategyThreshold: "threshold"} {
				r := simulate(strategy, l.endpoints, l.poison, l.unrelated, l.delay)
				t.Logf("%s: poison %d, quarantined %d, after %.2f crashes in the mean, %d at most; crashes by them %d, unrelated %d; harmless requests quarantined %d, refused %d",
					label, r.poison, r.quarantined, float64(r.totalNeeded)/float64(max(1, r.quarantined)), r.maxNeeded, r.totalPoisonCrashes, r.unrelated, r.falsePositives, r.falselyRefused)
				assert.Equal(t, r.quarantined, r.poison)
				if strategy == StrategyGreedy {
					assert.Equal(t, r.falsePositives, 0)
					assert.Assert(t, r.maxNeeded <= 2*crashThreshold+maxExtraCrashes)
				}
			}
		})
	}
}
