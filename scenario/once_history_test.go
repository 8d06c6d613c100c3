package scenario

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"vetchtrail/standin/client"
	"vetchtrail/standin/deployment"
	"vetchtrail/standin/fleet"
	"vetchtrail/standin/kv"
	"vetchtrail/standin/plain"
)

// attempt is one sending of a keyed request, or with count the number of its
// executions as the stand-ins counted them in the end.
type attempt struct {
	key   string
	count bool
}

// seen is what came of it.
type seen struct {
	outcome string // answered, not-run or unknown
	text    string
	runs    int
}

// once is a key's state: whether it ran, and the answer if that is known.
type once struct {
	ran  bool
	text string
}

// onceModel says: a key runs at most once; every repeat gets the first answer,
// "not run" only while it has not run, or "unknown".
func onceModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{once{}} },
		Step: func(state, input, output any) []any {
			s, in, out := state.(once), input.(attempt), output.(seen)
			if in.count {
				if (out.runs == 1) == s.ran && out.runs <= 1 {
					return []any{s}
				}
				return nil
			}
			switch {
			case out.outcome == "answered" && (!s.ran || s.text == "" || s.text == out.text):
				return []any{once{true, out.text}}
			case out.outcome == "not-run" && !s.ran:
				return []any{s}
			case out.outcome == "unknown" && !s.ran:
				return []any{s, once{ran: true}}
			case out.outcome == "unknown":
				return []any{s}
			}
			return nil
		},
	}
	return m.ToModel()
}

// recorder is a history being made.
type recorder struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (r *recorder) add(op porcupine.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
}

// faults makes failures until stop is closed, each seen to have happened.
type faults struct {
	t     *testing.T
	f     *fleet.Fleet
	d     deployment.Deployment
	rnd   *rand.Rand
	ctx   context.Context
	count map[string]int
}

const callers = 8

func (x *faults) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		host := x.d.Hosts[x.rnd.IntN(len(x.d.Hosts))]
		from, to := x.d.Spec.Regions[x.rnd.IntN(3)].Name, x.d.Spec.Regions[x.rnd.IntN(3)].Name
		switch n % 5 {
		case 0:
			assert.NilError(x.t, x.f.Kill(host.Host))
			time.Sleep(200 * time.Millisecond)
			assert.NilError(x.t, x.f.StartHost(host.Host))
			x.count["kill"]++
		case 1:
			assert.NilError(x.t, x.f.Freeze(host.Host))
			time.Sleep(1500 * time.Millisecond)
			assert.NilError(x.t, x.f.Thaw(host.Host))
			x.count["freeze"]++
		case 2:
			assert.NilError(x.t, x.f.Cut(x.ctx, from, to, true))
			time.Sleep(700 * time.Millisecond)
			assert.NilError(x.t, x.f.Cut(x.ctx, from, to, false))
			x.count["cut"]++
		case 3:
			assert.NilError(x.t, x.f.Client.Put(x.ctx, x.d.Store, "/faults", kv.Faults{Outage: true}))
			time.Sleep(500 * time.Millisecond)
			assert.NilError(x.t, x.f.Client.Put(x.ctx, x.d.Store, "/faults", kv.Faults{}))
			x.count["outage"]++
		case 4:
			for _, e := range x.d.Document.Endpoints {
				if e.Service == x.d.Spec.Plain.Name {
					assert.NilError(x.t, x.f.Client.Put(x.ctx, e.Addr, "/faults", plain.Faults{LoseAnswers: 3, Delay: 20 * time.Millisecond}))
				}
			}
			x.count["lost answers"]++
		}
	}
}

// TestOnceHistory: promise 6. Callers repeat keyed requests through any hosts
// while hosts are killed and frozen past every deadline, links cut, the store
// down and answers lost.
func TestOnceHistory(t *testing.T) {
	const seed, length = 6, 15 * time.Second
	t.Logf("seed %d", seed)
	ctx := context.Background()
	f, d, err := newFleet(t.TempDir(), 2, 1, usualSlots, nil)
	assert.NilError(t, err)
	defer closeFleet(f)
	applyTo(t, f, d)
	var r recorder
	stop := make(chan struct{})
	var all sync.WaitGroup
	for c := range callers {
		all.Go(func() { book(ctx, f, d, &r, c, rand.New(rand.NewPCG(seed, uint64(c))), stop) })
	}
	x := &faults{t: t, f: f, d: d, rnd: rand.New(rand.NewPCG(seed, 99)), ctx: ctx, count: map[string]int{}}
	all.Go(func() { x.run(stop) })
	time.Sleep(length)
	close(stop)
	all.Wait()
	countRuns(t, f, &r)
	tally := map[string]int{}
	for _, op := range r.ops {
		if !op.Input.(attempt).count {
			tally[op.Output.(seen).outcome]++
		}
	}
	t.Logf("faults made: %v; outcomes: %v", x.count, tally)
	for _, kind := range []string{"kill", "freeze", "cut", "outage", "lost answers"} {
		assert.Assert(t, x.count[kind] > 0, "no %s was made", kind)
	}
	assert.Assert(t, tally["answered"] > 0 && tally["unknown"] > 0, "%v", tally)
	for key, ops := range byKey(r.ops) {
		if porcupine.CheckOperationsTimeout(onceModel(), ops, time.Minute) != porcupine.Ok {
			for _, op := range ops {
				t.Logf("caller %d, from %d to %d: %+v", op.ClientId, op.Call, op.Return, op.Output)
			}
			t.Fatalf("the history of key %s can't be", key)
		}
	}
}

func byKey(history []porcupine.Operation) map[string][]porcupine.Operation {
	keys := map[string][]porcupine.Operation{}
	for _, op := range history {
		k := op.Input.(attempt).key
		keys[k] = append(keys[k], op)
	}
	return keys
}

// book makes bookings one after the other, each repeated until it is answered
// or a few times were in vain.
func book(ctx context.Context, f *fleet.Fleet, d deployment.Deployment, r *recorder, caller int, rnd *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		hosts, err := f.Client.Hosts(ctx, d.Hosts[rnd.IntN(len(d.Hosts))].Listen.Callers)
		if err != nil {
			continue
		}
		for range 1 + rnd.IntN(4) {
			to := d.Hosts[rnd.IntN(len(d.Hosts))].Listen.Callers
			send(ctx, f, d, r, caller, hosts.Key, to)
		}
	}
}

// unknownEnd is when an operation without a known outcome may have its effect:
// any time.
const unknownEnd = int64(1) << 62

func send(ctx context.Context, f *fleet.Fleet, d deployment.Deployment, r *recorder, caller int, key string, to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	call := time.Now().UnixNano()
	res := f.Client.Plain(ctx, to, http.MethodPost, d.Spec.Plain.Name, "/bookings", key, "", "mill 4")
	end := time.Now().UnixNano()
	out := seen{outcome: res.Outcome, text: res.Text}
	if res.Status == http.StatusOK && res.Whole {
		out.outcome = "answered"
	}
	if out.outcome == "" || out.outcome == "unknown" {
		out, end = seen{outcome: "unknown"}, unknownEnd
	}
	r.add(porcupine.Operation{ClientId: caller, Input: attempt{key: key}, Call: call, Output: out, Return: end})
}

// countRuns adds the stand-ins' counts as last operations.
func countRuns(t *testing.T, f *fleet.Fleet, r *recorder) {
	t.Helper()
	all, err := f.Executions(context.Background())
	assert.NilError(t, err)
	runs := map[string]int{}
	for _, list := range all {
		for _, e := range list {
			runs[e.Key]++
		}
	}
	keys := map[string]bool{}
	for _, op := range r.ops {
		keys[op.Input.(attempt).key] = true
	}
	for key := range keys {
		r.add(porcupine.Operation{
			ClientId: callers, Input: attempt{key: key, count: true}, Call: unknownEnd + 1, Output: seen{runs: runs[key]}, Return: unknownEnd + 2,
		})
	}
}

// applyTo applies the deployment's configuration and waits until all hosts
// are ready.
func applyTo(t *testing.T, f *fleet.Fleet, d deployment.Deployment) {
	t.Helper()
	propose(t, d.Hosts[0].Listen.Peers, d)
	for _, h := range d.Hosts {
		assert.NilError(t, f.Await(context.Background(), h.Host+" ready", func() bool {
			return f.Client.Get(context.Background(), h.Listen.Callers, "/readyz", nil) == nil &&
				f.Client.Do(context.Background(), client.Ask{Host: h.Listen.Callers, Service: d.Spec.Model.Name, Prompt: "x", Tokens: 1}).Status == http.StatusOK
		}))
	}
}
