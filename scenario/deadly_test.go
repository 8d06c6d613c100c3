package scenario

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
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
	// comesAgain is the caller's pause.
	comesAgain = 100 * time.Millisecond
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
	dir := t.TempDir()
	f, d, err := newFleet(dir, hosts, engines, usualSlots, []string{"--deadly", deadlyText, "--back", "700ms", "--step", "5ms"})
	assert.NilError(t, err)
	t.Cleanup(func() { closeFleet(f) })
	t.Cleanup(func() { tellEnds(t, dir) })
	x := &deadlyRun{t: t, f: f, d: d, ctx: t.Context(), rnd: rand.New(rand.NewPCG(1, 2)), others: map[string]int{}}
	applyTo(t, f, d)
	return x
}

// tellEnds logs, if a test failed, what the hosts wrote of ends and of what they hold back: what
// was not seen can't be told from what was not passed on without it.
func tellEnds(t *testing.T, dir string) {
	if !t.Failed() {
		return
	}
	const most = 400 // lines
	words := regexp.MustCompile(`msg="(endpoint ended|request held back|holds not swapped|holds not taken|host not told|counter of ends)`)
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	told := 0
	for _, path := range logs {
		text, errRead := os.ReadFile(path)
		err = errors.Join(err, errRead)
		for line := range strings.Lines(string(text)) {
			if words.MatchString(line) && told < most {
				told++
				t.Log(strings.TrimSpace(line))
			}
		}
	}
	if err != nil {
		t.Log("logs not read:", err)
	}
}

// ask sends a request through a host and returns what its caller saw.
func (x *deadlyRun) ask(host int, prompt string) client.Result {
	return x.f.Client.Do(x.ctx, client.Ask{
		Host: x.d.Hosts[host].Listen.Callers, Service: x.d.Spec.Model.Name, Prompt: prompt, Tokens: 8, Stream: true,
		Timeout: 3 * time.Second,
	})
}

// comeAgain has a caller send the deadly request again and again, at any of some hosts, until ctx ends.
func (x *deadlyRun) comeAgain(ctx context.Context, hosts []int) {
	for ctx.Err() == nil {
		r := x.ask(hosts[x.rnd.IntN(len(hosts))], deadlyText)
		x.mu.Lock()
		x.results = append(x.results, r)
		x.mu.Unlock()
		time.Sleep(comesAgain)
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
func (x *deadlyRun) play(length time.Duration, hosts []int) {
	ctx, stop := context.WithTimeout(x.ctx, length)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { x.comeAgain(ctx, hosts) })
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
	x.play(14*time.Second, x.allHosts())
	ends, arrivals := x.lives()
	t.Logf("%d ends, %d arrivals, others %v", len(ends), len(arrivals), x.others)
	assert.Assert(t, len(ends) >= knownEnds, "the fault was not brought about")
	more := after(arrivals, ends[knownEnds-1].Add(knownWithin))
	assert.Assert(t, more <= fewMore, "%d ended, and it was sent to endpoints %d times more", len(ends), more)
	x.heldBackTruly()
	assert.Equal(t, x.others["not-run held-back"], 0, "who did nothing was held back: %v", x.others)
}

// heldBackTruly checks what the caller of the deadly request was told last: at once, that it was
// not run this time and why, and no time at which to come back. Operators see it.
func (x *deadlyRun) heldBackTruly() {
	x.t.Helper()
	last := x.results[len(x.results)-1]
	assert.Equal(x.t, last.Status, 503)
	assert.Equal(x.t, last.Outcome+" "+last.Reason, "not-run held-back", last.Detail)
	assert.Assert(x.t, last.RetryAt.IsZero(), "told to come back")
	out, err := x.f.Tool(x.ctx, x.d.Hosts[0].Host, "quarantine", "list")
	assert.NilError(x.t, err, out)
	assert.Equal(x.t, strings.Count(out, "held back"), 1, out)
}

// sends asks the deadly request once at each host and returns how many endpoints it reached.
func (x *deadlyRun) sends() int {
	x.t.Helper()
	_, before := x.lives()
	for host := range x.d.Hosts {
		x.ask(host, deadlyText)
	}
	_, after := x.lives()
	return len(after) - len(before)
}

// TestDeadlyRequestOutlastsHosts: all hosts are killed together with what they remember, and the
// deadly request comes again. The store keeps what is held back.
func TestDeadlyRequestOutlastsHosts(t *testing.T) {
	t.Parallel()
	x := newDeadlyRun(t, 1, 2)
	x.play(5*time.Second, x.allHosts())
	x.heldBackTruly()
	for _, h := range x.d.Hosts {
		assert.NilError(t, x.f.Kill(h.Host))
	}
	for _, h := range x.d.Hosts {
		assert.NilError(t, x.f.StartHost(h.Host))
	}
	for i, h := range x.d.Hosts {
		assert.NilError(t, x.f.Await(x.ctx, h.Host+" serves", func() bool { return x.ask(i, "x").Whole }))
	}
	assert.Equal(t, x.sends(), 0)
}

// TestDeadlyRequestIsLetGo: an operator lets a request go that is held back; it runs again, and
// is held back again after one endpoint.
func TestDeadlyRequestIsLetGo(t *testing.T) {
	t.Parallel()
	x := newDeadlyRun(t, 1, 2)
	x.play(5*time.Second, x.allHosts())
	assert.Equal(t, x.sends(), 0)
	out, err := x.f.Tool(x.ctx, x.d.Hosts[0].Host, "quarantine", "list")
	assert.NilError(t, err, out)
	digest, _, _ := strings.Cut(strings.Split(out, "\n")[1], " ")
	out, err = x.f.Tool(x.ctx, x.d.Hosts[0].Host, "quarantine", "release", digest)
	assert.NilError(t, err, out)
	assert.NilError(t, x.f.Await(x.ctx, "all hosts let it go", func() bool { return x.sends() > 0 }))
	x.play(5*time.Second, x.allHosts())
	assert.Equal(t, x.sends(), 0)
}

// TestDeadlyRequestInARegionCutOff: it comes to a region that reaches neither the others nor the
// platform, which holds it back by itself, and the others do once it is heard again, before an
// endpoint of theirs ends.
func TestDeadlyRequestInARegionCutOff(t *testing.T) {
	t.Parallel()
	x := newDeadlyRun(t, 2, 3)
	cutOff := x.d.Spec.Regions[2].Name
	var inside, outside []int
	for i, h := range x.d.Hosts {
		if h.Region == cutOff {
			inside = append(inside, i)
			continue
		}
		outside = append(outside, i)
	}
	x.isolate(cutOff, true)
	x.play(6*time.Second, inside)
	ends, arrivals := x.lives()
	assert.Assert(t, len(ends) >= knownEnds, "the fault was not brought about")
	assert.Assert(t, after(arrivals, ends[knownEnds-1].Add(knownWithin)) <= fewMore)
	assert.Assert(t, x.holds(inside[0]) || x.holds(inside[1]), "the region does not hold it back by itself: it ended %v", ends)
	x.isolate(cutOff, false)
	for _, i := range outside {
		assert.NilError(t, x.f.Await(x.ctx, x.d.Hosts[i].Host+" knows", func() bool { return x.holds(i) }))
	}
	x.play(2*time.Second, outside)
	_, more := x.lives()
	assert.Equal(t, len(more), len(arrivals))
}

// holds says whether a host tells operators that a request is held back.
func (x *deadlyRun) holds(host int) bool {
	out, err := x.f.Tool(x.ctx, x.d.Hosts[host].Host, "quarantine", "list")
	if err != nil {
		x.t.Logf("%s: %v: %s", x.d.Hosts[host].Host, err, out)
	}
	return err == nil && strings.Contains(out, "held back")
}

// isolate cuts a region off from the others and the platform, or heals its links.
func (x *deadlyRun) isolate(region string, cut bool) {
	x.t.Helper()
	for _, r := range x.d.Spec.Regions {
		if r.Name != region {
			assert.NilError(x.t, x.f.Cut(x.ctx, region, r.Name, cut))
			assert.NilError(x.t, x.f.Cut(x.ctx, r.Name, region, cut))
		}
	}
	assert.NilError(x.t, x.f.Cut(x.ctx, region, deployment.PlatformName, cut))
}
