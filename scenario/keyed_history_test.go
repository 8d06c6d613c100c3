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

// attempt is the input of an operation: one attempt at a keyed request. With count it is a query
// instead, of how many times the stand-ins executed the request.
type attempt struct {
	key   string
	count bool
}

// response is the output of an operation: outcome and text for an attempt, runs for a query.
type response struct {
	outcome string // answered, not-run or unknown
	text    string
	runs    int // number of executions
}

// keyState is the state of one key in the model: whether its request ran, and the text of the
// response if it is known.
type keyState struct {
	ran  bool
	text string
}

// keyModel is the model of one key: its request runs at most once. Every attempt gets the text of
// the first response, or "unknown", or "not run" as long as the request has not run.
func keyModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{keyState{}} },
		Step: func(state, input, output any) []any {
			s, in, out := state.(keyState), input.(attempt), output.(response)
			if in.count {
				if (out.runs == 1) == s.ran && out.runs <= 1 {
					return []any{s}
				}
				return nil
			}
			switch {
			case out.outcome == "answered" && (!s.ran || s.text == "" || s.text == out.text):
				return []any{keyState{true, out.text}}
			case out.outcome == "not-run" && !s.ran:
				return []any{s}
			case out.outcome == "unknown" && !s.ran:
				return []any{s, keyState{ran: true}}
			case out.outcome == "unknown":
				return []any{s}
			}
			return nil
		},
	}
	return m.ToModel()
}

// historyRecorder collects the operations of a history.
type historyRecorder struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

// add records an operation.
func (r *historyRecorder) add(op porcupine.Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, op)
}

// faultInjector injects faults and counts them by kind.
type faultInjector struct {
	t     *testing.T
	f     *fleet.Fleet
	d     deployment.Deployment
	rnd   *rand.Rand
	ctx   context.Context
	count map[string]int // injected faults by kind
}

// callerCount is the number of callers that retry keyed requests concurrently.
const callerCount = 8

// run injects a kill, a freeze, a cut link, an outage of the store and lost responses in turn, until
// stop is closed.
func (x *faultInjector) run(stop <-chan struct{}) {
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
			assert.NilError(x.t, x.f.Suspend(host.Host))
			time.Sleep(1500 * time.Millisecond)
			assert.NilError(x.t, x.f.Resume(host.Host))
			x.count["freeze"]++
		case 2:
			assert.NilError(x.t, x.f.CutLink(x.ctx, from, to, true))
			time.Sleep(700 * time.Millisecond)
			assert.NilError(x.t, x.f.CutLink(x.ctx, from, to, false))
			x.count["cut"]++
		case 3:
			assert.NilError(x.t, x.f.Client.Put(x.ctx, x.d.Store, "/faults", kv.Faults{Outage: true}))
			time.Sleep(500 * time.Millisecond)
			assert.NilError(x.t, x.f.Client.Put(x.ctx, x.d.Store, "/faults", kv.Faults{}))
			x.count["outage"]++
		case 4:
			for _, e := range x.d.Document.Endpoints {
				if e.Service == x.d.Spec.Plain.Name {
					assert.NilError(x.t, x.f.Client.Put(x.ctx, e.Addr, "/faults", plain.Faults{LoseResponses: 3, Delay: 20 * time.Millisecond}))
				}
			}
			x.count["lost responses"]++
		}
	}
}

// TestKeyedRequestHistory tests promise 6. It guards against a keyed request that runs twice, and
// against retries that get different responses. Callers retry keyed requests at random hosts, while
// hosts are killed, or frozen for 1.5 s, links are cut, the store is down and responses are lost.
func TestKeyedRequestHistory(t *testing.T) {
	const seed, length = 6, 15 * time.Second
	t.Logf("seed %d", seed)
	ctx := context.Background()
	f, d, err := newFleet(t.TempDir(), 2, 1, defaultEngineSlots, nil)
	assert.NilError(t, err)
	defer closeFleet(f)
	applyConfiguration(t, f, d)
	var r historyRecorder
	stop := make(chan struct{})
	var all sync.WaitGroup
	for c := range callerCount {
		all.Go(func() { sendBookings(ctx, f, d, &r, c, rand.New(rand.NewPCG(seed, uint64(c))), stop) })
	}
	x := &faultInjector{t: t, f: f, d: d, rnd: rand.New(rand.NewPCG(seed, 99)), ctx: ctx, count: map[string]int{}}
	all.Go(func() { x.run(stop) })
	time.Sleep(length)
	close(stop)
	all.Wait()
	addExecutionCounts(t, f, &r)
	tally := map[string]int{}
	for _, op := range r.ops {
		if !op.Input.(attempt).count {
			tally[op.Output.(response).outcome]++
		}
	}
	t.Logf("injected faults: %v; outcomes: %v", x.count, tally)
	for _, kind := range []string{"kill", "freeze", "cut", "outage", "lost responses"} {
		assert.Assert(t, x.count[kind] > 0, "no %s was injected", kind)
	}
	assert.Assert(t, tally["answered"] > 0 && tally["unknown"] > 0, "%v", tally)
	for key, ops := range byKey(r.ops) {
		if porcupine.CheckOperationsTimeout(keyModel(), ops, time.Minute) != porcupine.Ok {
			for _, op := range ops {
				t.Logf("caller %d, from %d to %d: %+v", op.ClientId, op.Call, op.Return, op.Output)
			}
			t.Fatalf("the history of key %s does not fit the model", key)
		}
	}
}

// byKey groups the operations of a history by key.
func byKey(history []porcupine.Operation) map[string][]porcupine.Operation {
	keys := map[string][]porcupine.Operation{}
	for _, op := range history {
		k := op.Input.(attempt).key
		keys[k] = append(keys[k], op)
	}
	return keys
}

// sendBookings sends bookings one after the other until stop is closed. It sends each booking one to
// four times with the same key, to random hosts, even if it has already received a response.
func sendBookings(ctx context.Context, f *fleet.Fleet, d deployment.Deployment, r *historyRecorder, caller int, rnd *rand.Rand, stop <-chan struct{}) {
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
			sendBooking(ctx, f, d, r, caller, hosts.Key, to)
		}
	}
}

// unknownReturn is the return time of an operation without a known outcome. It is later than all
// others, as the operation may take effect at any time.
const unknownReturn = int64(1) << 62

// sendBooking sends a keyed request and records the operation.
func sendBooking(ctx context.Context, f *fleet.Fleet, d deployment.Deployment, r *historyRecorder, caller int, key string, to netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	call := time.Now().UnixNano()
	res := f.Client.CallPlain(ctx, to, http.MethodPost, d.Spec.Plain.Name, "/bookings", key, "", "mill 4")
	end := time.Now().UnixNano()
	out := response{outcome: res.Outcome, text: res.Text}
	if res.Status == http.StatusOK && res.Complete {
		out.outcome = "answered"
	}
	if out.outcome == "" || out.outcome == "unknown" {
		out, end = response{outcome: "unknown"}, unknownReturn
	}
	r.add(porcupine.Operation{ClientId: caller, Input: attempt{key: key}, Call: call, Output: out, Return: end})
}

// addExecutionCounts adds a last operation for each key: the query of how many times the stand-ins
// executed its request.
func addExecutionCounts(t *testing.T, f *fleet.Fleet, r *historyRecorder) {
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
			ClientId: callerCount, Input: attempt{key: key, count: true}, Call: unknownReturn + 1, Output: response{runs: runs[key]}, Return: unknownReturn + 2,
		})
	}
}

// applyConfiguration applies the deployment's configuration and waits until all hosts are ready and
// respond to a model request with status 200.
func applyConfiguration(t *testing.T, f *fleet.Fleet, d deployment.Deployment) {
	t.Helper()
	proposeDocument(t, d.Hosts[0].Listen.Peers, d)
	for _, h := range d.Hosts {
		assert.NilError(t, f.Await(context.Background(), h.Host+" ready", func() bool {
			return f.Client.Get(context.Background(), h.Listen.Callers, "/readyz", nil) == nil &&
				f.Client.Do(context.Background(), client.Request{Host: h.Listen.Callers, Service: d.Spec.Model.Name, Prompt: "x", Tokens: 1}).Status == http.StatusOK
		}))
	}
}
