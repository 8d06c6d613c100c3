package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/connection/operator"
	"vetchtrail/schema"
	"vetchtrail/standin/deployment"
	"vetchtrail/standin/fleet"
	"vetchtrail/standin/kv"
	"vetchtrail/version/rules"
)

// proposeDocument proposes the deployment's configuration as the first revision; it must be accepted.
func proposeDocument(t *testing.T, addr netip.AddrPort, d deployment.Deployment) {
	t.Helper()
	ctx := context.Background()
	c, err := operator.Dial(ctx, operator.Config{Addr: addr})
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	wanted, err := d.Document.Rules()
	assert.NilError(t, err)
	change := operator.NewChange("test", "first", 0, rules.Empty().Difference(wanted))
	reply, err := c.Propose(ctx, &schema.ProposeRequest{Change: schema.FromChange(change)})
	assert.NilError(t, err)
	assert.Equal(t, reply.GetResult(), schema.ProposeReply_ACCEPTED, reply.GetText())
}

// proposal is the input of an operation: a change that expects a revision.
type proposal struct {
	id     string
	expect uint64
}

// proposalResult is the output of an operation: the reply to the operator.
type proposalResult struct {
	result   schema.ProposeReply_Result
	revision uint64
}

// registerModel models the configuration as a register that holds the revision. A change is accepted
// only if it expects the current revision, and then increments it. The revision never decreases.
func registerModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(1)} },
		Step: func(state, input, output any) []any {
			current, in, out := state.(uint64), input.(proposal), output.(proposalResult)
			switch {
			case out.result == schema.ProposeReply_ACCEPTED && out.revision == current+1 && in.expect == current:
				return []any{out.revision}
			case out.result == schema.ProposeReply_CONFLICT && in.expect != current:
				return []any{current}
			case out.result == schema.ProposeReply_UNAVAILABLE:
				return []any{current}
			case out.result == schema.ProposeReply_UNKNOWN && in.expect == current:
				return []any{current, current + 1}
			case out.result == schema.ProposeReply_UNKNOWN:
				return []any{current}
			}
			return nil
		},
	}
	return m.ToModel()
}

// observedRevisions contains the newest revision that was read from each host, and a message for
// each time that a host returned an older one.
type observedRevisions struct {
	mu          sync.Mutex
	newest      map[string]uint64
	regressions []string
}

// record adds a revision that was read from a host.
func (x *observedRevisions) record(host string, revision uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if revision < x.newest[host] {
		x.regressions = append(x.regressions, fmt.Sprintf("%s went back from revision %d to %d", host, x.newest[host], revision))
	}
	x.newest[host] = max(revision, x.newest[host])
}

// TestConfigurationHistory tests promise 9. It guards against changes that are lost or applied twice,
// and against hosts that replace their configuration by an older one. Several operators propose
// changes to different hosts at the same time, while the store loses responses, limits its rate or
// is down, hosts are replaced and links are cut. Meanwhile the test reads the revisions of all ready
// hosts.
func TestConfigurationHistory(t *testing.T) {
	const seed, length = 9, 15 * time.Second
	t.Logf("seed %d", seed)
	f, d, err := newFleet(t.TempDir(), 2, 1, defaultEngineSlots, nil)
	assert.NilError(t, err)
	defer closeFleet(f)
	applyConfiguration(t, f, d)
	var r historyRecorder
	revisions := &observedRevisions{newest: map[string]uint64{}}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for c := range 4 {
		all.Go(func() { proposeChanges(d, &r, c, rand.New(rand.NewPCG(seed, uint64(c))), stop) })
	}
	for _, h := range d.Hosts {
		all.Go(func() { watchRevisions(f, h.Host, h.Listen.Callers, h.Listen.Peers, revisions, stop) })
	}
	injected := map[string]int{}
	all.Go(func() { injectFaults(t, f, d, rand.New(rand.NewPCG(seed, 99)), injected, stop) })
	time.Sleep(length)
	close(stop)
	all.Wait()

	last, history := awaitSameRevision(t, f, d)
	tally := map[string]int{}
	for _, op := range r.ops {
		in, out := op.Input.(proposal), op.Output.(proposalResult)
		tally[out.result.String()]++
		foundAt, recorded := history[in.id]
		switch out.result {
		case schema.ProposeReply_ACCEPTED:
			assert.Assert(t, recorded && foundAt == out.revision, "accepted change %s is at revision %d, want %d", in.id, foundAt, out.revision)
		case schema.ProposeReply_CONFLICT, schema.ProposeReply_UNAVAILABLE:
			assert.Assert(t, !recorded, "rejected change %s is in the history at revision %d", in.id, foundAt)
		}
	}
	t.Logf("injected faults: %v; proposals: %v; last revision %d", injected, tally, last)
	for _, kind := range []string{"lost responses", "rate limit", "outage", "kill", "cut"} {
		assert.Assert(t, injected[kind] > 0, "no %s was injected", kind)
	}
	assert.Equal(t, len(revisions.regressions), 0, "%v", revisions.regressions)
	assert.Assert(t, tally["ACCEPTED"] > 0 && tally["CONFLICT"] > 0, "%v", tally)
	assert.Equal(t, porcupine.CheckOperationsTimeout(registerModel(), r.ops, time.Minute), porcupine.Ok)
}

// proposeChanges repeats until stop is closed: it reads the revision of a random host and proposes a
// change that expects this revision.
func proposeChanges(d deployment.Deployment, r *historyRecorder, caller int, rnd *rand.Rand, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rnd.IntN(100)) * time.Millisecond):
		}
		addr := d.Hosts[rnd.IntN(len(d.Hosts))].Listen.Peers
		expect, ok := revisionOf(addr)
		if !ok || expect == 0 {
			continue
		}
		change := operator.NewChange("operator", "race", expect, []vetchtrail.Edit{
			vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: fmt.Sprintf("ws-%d-%d", caller, n)}},
		})
		proposeOnce(addr, change, r, caller)
	}
}

// proposeOnce proposes a change and records the operation, unless the host could not be reached.
func proposeOnce(addr netip.AddrPort, change vetchtrail.Change, r *historyRecorder, caller int) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	call := time.Now().UnixNano()
	out := proposalResult{result: schema.ProposeReply_UNKNOWN}
	c, err := operator.Dial(ctx, operator.Config{Addr: addr})
	if err != nil {
		return // the host could not be reached: the change was not proposed
	}
	defer func() { _ = c.Close() }()
	reply, err := c.Propose(ctx, &schema.ProposeRequest{Change: schema.FromChange(change)})
	if err == nil {
		out = proposalResult{result: reply.GetResult(), revision: reply.GetRevision()}
	}
	returned := time.Now().UnixNano()
	if out.result == schema.ProposeReply_UNKNOWN {
		returned = unknownReturn
	}
	r.add(porcupine.Operation{ClientId: caller, Input: proposal{change.ID, change.Expect}, Call: call, Output: out, Return: returned})
}

// revisionOf returns the configuration revision of a host, and whether the host responded.
func revisionOf(addr netip.AddrPort) (uint64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c, err := operator.Dial(ctx, operator.Config{Addr: addr})
	if err != nil {
		return 0, false
	}
	defer func() { _ = c.Close() }()
	reply, err := c.Configuration(ctx, &schema.ConfigurationRequest{})
	return reply.GetSnapshot().GetRevision(), err == nil
}

// watchRevisions polls the revision of a host until stop is closed, and records it whenever the host
// is ready. It continues when the host's process is replaced.
func watchRevisions(f *fleet.Fleet, host string, callers, peers netip.AddrPort, revisions *observedRevisions, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		ready := f.Client.Get(ctx, callers, "/readyz", nil) == nil
		cancel()
		if !ready {
			continue
		}
		if n, ok := revisionOf(peers); ok && n > 0 {
			revisions.record(host, n)
		}
	}
}

// injectFaults injects faults of the store, kills of hosts and cut links in turn, until stop is
// closed, and counts them by kind.
func injectFaults(t *testing.T, f *fleet.Fleet, d deployment.Deployment, rnd *rand.Rand, injected map[string]int, stop <-chan struct{}) {
	ctx := context.Background()
	setStoreFaults := func(k kv.Faults) { assert.NilError(t, f.Client.Put(ctx, d.Store, "/faults", k)) }
	for n := 0; ; n++ {
		select {
		case <-stop:
			setStoreFaults(kv.Faults{})
			return
		case <-time.After(200 * time.Millisecond):
		}
		switch n % 5 {
		case 0:
			setStoreFaults(kv.Faults{LoseResponses: 2})
			injected["lost responses"]++
		case 1:
			setStoreFaults(kv.Faults{Writes: 3, Reads: 60})
			time.Sleep(time.Second)
			setStoreFaults(kv.Faults{})
			injected["rate limit"]++
		case 2:
			setStoreFaults(kv.Faults{Outage: true})
			time.Sleep(700 * time.Millisecond)
			setStoreFaults(kv.Faults{})
			injected["outage"]++
		case 3:
			h := d.Hosts[rnd.IntN(len(d.Hosts))].Host
			assert.NilError(t, f.Kill(h))
			assert.NilError(t, f.StartHost(h))
			injected["kill"]++
		case 4:
			from, to := d.Spec.Regions[rnd.IntN(3)].Name, d.Spec.Regions[rnd.IntN(3)].Name
			assert.NilError(t, f.CutLink(ctx, from, to, true))
			assert.NilError(t, f.CutLink(ctx, from, deployment.PlatformName, true))
			time.Sleep(time.Second)
			assert.NilError(t, f.CutLink(ctx, from, to, false))
			assert.NilError(t, f.CutLink(ctx, from, deployment.PlatformName, false))
			injected["cut"]++
		}
	}
}

// awaitSameRevision waits until all hosts have the same revision. It returns this revision, and the
// revision that each change in the hosts' histories made, by the id of the change.
func awaitSameRevision(t *testing.T, f *fleet.Fleet, d deployment.Deployment) (uint64, map[string]uint64) {
	t.Helper()
	ctx := context.Background()
	var last uint64
	assert.NilError(t, f.Await(ctx, "the same revision on all hosts", func() bool {
		seen := map[uint64]bool{}
		for _, h := range d.Hosts {
			n, ok := revisionOf(h.Listen.Peers)
			if !ok {
				return false
			}
			seen[n] = true
			last = max(last, n)
		}
		return len(seen) == 1
	}))
	revisions := map[string]uint64{}
	for _, h := range d.Hosts { // all of them, as a host that started from a snapshot lacks the older changes
		c, err := operator.Dial(ctx, operator.Config{Addr: h.Listen.Peers})
		assert.NilError(t, err)
		reply, err := c.History(ctx, &schema.HistoryRequest{})
		assert.NilError(t, err)
		for _, change := range reply.GetChanges() {
			at, ok := revisions[change.GetId()]
			assert.Assert(t, !ok || at == change.GetRevision(), "change %s is at revision %d and at revision %d", change.GetId(), at, change.GetRevision())
			revisions[change.GetId()] = change.GetRevision()
		}
		assert.NilError(t, c.Close())
	}
	return last, revisions
}
