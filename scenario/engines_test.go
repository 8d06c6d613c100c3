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

// engineRun is a deployment of which one engine says something of itself.
type engineRun struct {
	t   *testing.T
	dir string // of the programs' logs
	f   *fleet.Fleet
	d   deployment.Deployment
	in  string // region of the engine
	ctx context.Context

	mu       sync.Mutex
	outcomes map[string]int
	passed   []passed // answers that callers were given whole
}

// passed is an answer that a host passed on.
type passed struct {
	host, engine string
	asked, came  time.Time
}

func newEngineRun(t *testing.T) *engineRun {
	t.Helper()
	dir := t.TempDir()
	f, d, err := newFleet(dir, 3, 2, usualSlots, []string{"--step", "5ms"})
	assert.NilError(t, err)
	t.Cleanup(func() { closeFleet(f) })
	applyTo(t, f, d)
	return &engineRun{t: t, dir: dir, f: f, d: d, ctx: t.Context(), in: d.Spec.Regions[0].Name, outcomes: map[string]int{}}
}

// callers have some callers ask the hosts of the region different questions until ctx ends.
func (x *engineRun) callers(ctx context.Context, many int) *sync.WaitGroup {
	var hosts []int
	for i, h := range x.d.Hosts {
		if h.Region == x.in {
			hosts = append(hosts, i)
		}
	}
	all := &sync.WaitGroup{}
	for caller := range many {
		all.Go(func() {
			rnd := rand.New(rand.NewPCG(5, uint64(caller)))
			for n := 0; ctx.Err() == nil; n++ {
				host, asked := x.d.Hosts[hosts[rnd.IntN(len(hosts))]], time.Now()
				r := x.f.Client.Do(x.ctx, client.Ask{
					Host: host.Listen.Callers, Service: x.d.Spec.Model.Name,
					Prompt: "deed " + strconv.Itoa(caller) + " " + strconv.Itoa(n), Tokens: 4, Stream: true, Timeout: 3 * time.Second,
				})
				x.mu.Lock()
				x.outcomes[r.Outcome+" "+r.Reason]++
				if r.Whole {
					x.passed = append(x.passed, passed{host: host.Host, engine: r.Where, asked: asked, came: time.Now()})
				}
				x.mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return all
}

// engines returns the names of the region's model engines.
func (x *engineRun) engines() []string {
	var out []string
	for _, e := range x.d.Document.Endpoints {
		if e.Region == x.in && e.Service == x.d.Spec.Model.Name {
			out = append(out, e.Name)
		}
	}
	slices.Sort(out)
	return out
}

// busiest returns the engine that was given the most lately, once one was given enough.
func (x *engineRun) busiest() string {
	x.t.Helper()
	var name string
	assert.NilError(x.t, x.f.Await(x.ctx, "an engine is used", func() bool {
		lately, most := time.Now().Add(-time.Second), 30
		for _, e := range x.engines() {
			if n := after(x.started(e), lately); n > most {
				name, most = e, n
			}
		}
		return name != ""
	}))
	return name
}

// started returns when requests were started at an engine, in order.
func (x *engineRun) started(engineName string) []time.Time {
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

// says has an engine say something of itself, and returns when.
func (x *engineRun) says(name string, w engine.Words) time.Time {
	x.t.Helper()
	addr, err := x.f.EndpointAddr(name)
	assert.NilError(x.t, err)
	assert.NilError(x.t, x.f.Client.Put(x.ctx, addr, "/words", w))
	return time.Now()
}

// arrived returns when requests reached an engine, those too that it turned away, in order.
func (x *engineRun) arrived(name string) []time.Time {
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

// heard returns, for each host of the region, when it wrote a line of an engine first and how many
// requests it placed there since.
func (x *engineRun) heard(message, engineName string) (first map[string]time.Time, placed map[string]int) {
	x.t.Helper()
	first, placed = map[string]time.Time{}, map[string]int{}
	for _, h := range x.d.Hosts {
		text, err := os.ReadFile(filepath.Join(x.dir, h.Host+".log"))
		assert.NilError(x.t, err)
		for row := range bytes.Lines(text) {
			_, known := first[h.Host]
			switch l := string(row); {
			case !known && strings.Contains(l, `msg="`+message+`"`) && strings.Contains(l, " endpoint="+engineName+" "):
				first[h.Host], err = time.Parse(time.RFC3339, strings.TrimPrefix(strings.Fields(l)[0], "time="))
				assert.NilError(x.t, err)
			case known && strings.Contains(l, " msg=decision ") && strings.Contains(l, " target="+engineName+" "):
				placed[h.Host]++
			}
		}
	}
	return first, placed
}
