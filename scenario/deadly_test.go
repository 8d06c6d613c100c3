package scenario

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail/standin/client"
	"vetchtrail/standin/deployment"
	"vetchtrail/standin/engine"
	"vetchtrail/standin/fleet"
)

const (
	// deadlyText is in the one prompt under which engines end.
	deadlyText = "the parcel that ends its reader"
	// knownEnds is how many endpoints a request may end before it is known, and knownWithin
	// the time in which all hosts know it then.
	knownEnds   = 3
	knownWithin = 5 * time.Second
	// fewMore is how often a request that is known may still reach endpoints.
	fewMore = 3
)

// deadlyRun is a deployment whose engines end under one request.
type deadlyRun struct {
	t   *testing.T
	f   *fleet.Fleet
	d   deployment.Deployment
	ctx context.Context
	rnd *rand.Rand

	mu      sync.Mutex
	results []client.Result // of the deadly request
	others  map[string]int  // outcomes of the others
}

func newDeadlyRun(t *testing.T, hosts, engines int) *deadlyRun {
	t.Helper()
	f, d, err := newFleet(t.TempDir(), hosts, engines, usualSlots, []string{"--deadly", deadlyText, "--back", "700ms", "--step", "5ms"})
	assert.NilError(t, err)
	t.Cleanup(func() { closeFleet(f) })
	x := &deadlyRun{t: t, f: f, d: d, ctx: t.Context(), rnd: rand.New(rand.NewPCG(1, 2)), others: map[string]int{}}
	applyTo(t, f, d)
	return x
}

// ask sends a request through a host and returns what its caller saw.
func (x *deadlyRun) ask(host int, prompt string) client.Result {
	return x.f.Client.Do(x.ctx, client.Ask{
		Host: x.d.Hosts[host].Listen.Callers, Service: x.d.Spec.Model.Name, Prompt: prompt, Tokens: 8, Stream: true,
		Timeout: 3 * time.Second,
	})
}

// comeAgain has a caller send the deadly request every so often, at any host, until ctx ends.
func (x *deadlyRun) comeAgain(ctx context.Context, every time.Duration, hosts []int) {
	for ctx.Err() == nil {
		r := x.ask(hosts[x.rnd.IntN(len(hosts))], deadlyText)
		x.mu.Lock()
		x.results = append(x.results, r)
		x.mu.Unlock()
		time.Sleep(every)
	}
}

// others has callers ask other questions until ctx ends.
func (x *deadlyRun) askOthers(ctx context.Context, caller int) {
	rnd := rand.New(rand.NewPCG(3, uint64(caller)))
	for ctx.Err() == nil {
		r := x.ask(rnd.IntN(len(x.d.Hosts)), "parcel "+time.Now().String())
		x.mu.Lock()
		switch {
		case r.Whole:
			x.others["answered"]++
		default:
			x.others[r.Outcome+" "+r.Reason]++
		}
		x.mu.Unlock()
	}
}

// play has the deadly request come again beside others for a time.
func (x *deadlyRun) play(length, every time.Duration, hosts []int) {
	ctx, stop := context.WithTimeout(x.ctx, length)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { x.comeAgain(ctx, every, hosts) })
	for caller := range 4 {
		all.Go(func() { x.askOthers(ctx, caller) })
	}
	all.Wait()
}

// lives returns when endpoints ended, and when the deadly request came to one, in order.
func (x *deadlyRun) lives() (ends, arrivals []time.Time) {
	x.t.Helper()
	for _, e := range x.d.Document.Endpoints {
		if e.Service != x.d.Spec.Model.Name {
			continue
		}
		var l engine.Life
		err := x.f.Await(x.ctx, e.Name, func() bool { return x.f.Client.Get(x.ctx, e.Addr, "/life", &l) == nil })
		assert.NilError(x.t, err)
		ends, arrivals = append(ends, l.Ends...), append(arrivals, l.Deadly...)
	}
	slices.SortFunc(ends, time.Time.Compare)
	slices.SortFunc(arrivals, time.Time.Compare)
	return ends, arrivals
}

// after counts the moments after one.
func after(moments []time.Time, at time.Time) int {
	n := 0
	for _, m := range moments {
		if m.After(at) {
			n++
		}
	}
	return n
}

// allHosts are the numbers of a deployment's hosts.
func (x *deadlyRun) allHosts() []int {
	out := make([]int, len(x.d.Hosts))
	for i := range out {
		out[i] = i
	}
	return out
}

// TestDeadlyRequest: callers of two routes were refused or cut for seconds, four times in a
// minute and a half; nine endpoints ended each time, one every few tenths of a second, came
// back and ended again. One request of one caller had reached each of them last: it was sent
// again at another host whenever it failed, and every time it was a new request to the hosts.
// Of 645 requests that were sent to endpoints in that time, those of its size were at all
// eight endpoints that ended, in 12 tries; no other was at more than five.
func TestDeadlyRequest(t *testing.T) {
	t.Parallel()
	x := newDeadlyRun(t, 2, 2)
	x.play(14*time.Second, 100*time.Millisecond, x.allHosts())
	ends, arrivals := x.lives()
	t.Logf("%d ends, %d arrivals, others %v", len(ends), len(arrivals), x.others)
	assert.Assert(t, len(ends) >= knownEnds, "the fault was not brought about")
	more := after(arrivals, ends[knownEnds-1].Add(knownWithin))
	assert.Assert(t, more <= fewMore, "%d ended, and it was sent to endpoints %d times more", len(ends), more)
}
