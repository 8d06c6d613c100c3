package scenario

import (
	"bytes"
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail/standin/client"
	"vetchtrail/standin/deployment"
	"vetchtrail/standin/engine"
	"vetchtrail/standin/fleet"
	"vetchtrail/standin/ledger"
)

// engineRun is a running deployment in which one engine announces its availability or a rate limit,
// while callers send requests to the hosts of its region.
type engineRun struct {
	t      *testing.T
	dir    string // of the programs' logs
	f      *fleet.Fleet
	d      deployment.Deployment
	region string // of the engine and of the hosts that callers use
	ctx    context.Context

	mu       sync.Mutex
	outcomes map[string]int    // number of requests by outcome and reason; " " for answered requests, which have neither
	relayed  []relayedResponse // complete responses
}

// relayedResponse is a response that a host relayed to a caller, with the times at which the caller
// sent the request and had received the whole response.
type relayedResponse struct {
	host, engine       string
	sentAt, receivedAt time.Time
}

// newEngineRun starts a deployment of three hosts and two engines in each region.
func newEngineRun(t *testing.T) *engineRun {
	t.Helper()
	dir := t.TempDir()
	f, d, err := newFleet(dir, 3, 2, defaultEngineSlots, []string{"--step", "5ms"})
	assert.NilError(t, err)
	t.Cleanup(func() { closeFleet(f) })
	applyConfiguration(t, f, d)
	return &engineRun{t: t, dir: dir, f: f, d: d, ctx: t.Context(), region: d.Spec.Regions[0].Name, outcomes: map[string]int{}}
}

// startCallers starts callers that send different prompts to random hosts of the region until ctx
// ends. It returns a wait group with which to wait for their last responses.
func (x *engineRun) startCallers(ctx context.Context, count int) *sync.WaitGroup {
	var hosts []int
	for i, h := range x.d.Hosts {
		if h.Region == x.region {
			hosts = append(hosts, i)
		}
	}
	callers := &sync.WaitGroup{}
	for caller := range count {
		callers.Go(func() {
			rnd := rand.New(rand.NewPCG(5, uint64(caller)))
			for n := 0; ctx.Err() == nil; n++ {
				host, sentAt := x.d.Hosts[hosts[rnd.IntN(len(hosts))]], time.Now()
				r := x.f.Client.Do(x.ctx, client.Request{
					Host: host.Listen.Callers, Service: x.d.Spec.Model.Name,
					Prompt: "deed " + strconv.Itoa(caller) + " " + strconv.Itoa(n), Tokens: 4, Stream: true, Timeout: 3 * time.Second,
				})
				x.mu.Lock()
				x.outcomes[r.Outcome+" "+r.Reason]++
				if r.Complete {
					x.relayed = append(x.relayed, relayedResponse{host: host.Host, engine: r.Endpoint, sentAt: sentAt, receivedAt: time.Now()})
				}
				x.mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return callers
}

// modelEngines returns the names of the region's model engines.
func (x *engineRun) modelEngines() []string {
	var out []string
	for _, e := range x.d.Document.Endpoints {
		if e.Region == x.region && e.Service == x.d.Spec.Model.Name {
			out = append(out, e.Name)
		}
	}
	slices.Sort(out)
	return out
}

// busiestEngine waits until an engine of the region has started more than 30 requests in the last
// second, and returns the engine that has started the most.
func (x *engineRun) busiestEngine() string {
	x.t.Helper()
	var name string
	assert.NilError(x.t, x.f.Await(x.ctx, "an engine with more than 30 requests in a second", func() bool {
		aSecondAgo, most := time.Now().Add(-time.Second), 30
		for _, e := range x.modelEngines() {
			if n := countAfter(x.executionTimes(e), aSecondAgo); n > most {
				name, most = e, n
			}
		}
		return name != ""
	}))
	return name
}

// executionTimes returns the times at which an engine started requests, in order.
func (x *engineRun) executionTimes(engineName string) []time.Time {
	x.t.Helper()
	all, err := x.f.Executions(x.ctx)
	assert.NilError(x.t, err)
	var out []time.Time
	for _, e := range all[engineName] {
		out = append(out, e.At)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// announce makes an engine announce its availability in its responses from now on, and returns the
// current time.
func (x *engineRun) announce(name string, announcement engine.Announcement) time.Time {
	x.t.Helper()
	addr, err := x.f.EndpointAddr(name)
	assert.NilError(x.t, err)
	assert.NilError(x.t, x.f.Client.Put(x.ctx, addr, "/words", announcement))
	return time.Now()
}

// arrivalTimes returns the times at which requests reached an engine, rejected ones included, in
// order.
func (x *engineRun) arrivalTimes(name string) []time.Time {
	x.t.Helper()
	addr, err := x.f.EndpointAddr(name)
	assert.NilError(x.t, err)
	var list []ledger.Execution
	assert.NilError(x.t, x.f.Client.Get(x.ctx, addr, "/arrivals", &list))
	var out []time.Time
	for _, e := range list {
		out = append(out, e.At)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// firstLogged returns, for each host that logged a message about an engine, the time of the first
// line with the message, and the number of decisions for this engine that the host logged after it.
func (x *engineRun) firstLogged(message, engineName string) (first map[string]time.Time, decisionCounts map[string]int) {
	x.t.Helper()
	first, decisionCounts = map[string]time.Time{}, map[string]int{}
	for _, h := range x.d.Hosts {
		text, err := os.ReadFile(filepath.Join(x.dir, h.Host+".log"))
		assert.NilError(x.t, err)
		for line := range bytes.Lines(text) {
			_, found := first[h.Host]
			switch l := string(line); {
			case !found && strings.Contains(l, `msg="`+message+`"`) && strings.Contains(l, " endpoint="+engineName+" "):
				first[h.Host], err = time.Parse(time.RFC3339, strings.TrimPrefix(strings.Fields(l)[0], "time="))
				assert.NilError(x.t, err)
			case found && strings.Contains(l, " msg=decision ") && strings.Contains(l, " target="+engineName+" "):
				decisionCounts[h.Host]++
			}
		}
	}
	return first, decisionCounts
}
