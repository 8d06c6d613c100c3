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

func propose(t *testing.T, addr netip.AddrPort, d deployment.Deployment) {
	t.Helper()
	ctx := context.Background()
	c, err := operator.Dial(ctx, operator.Config{Addr: addr})
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	wanted, err := d.Document.Rules()
	assert.NilError(t, err)
	ch := operator.NewChange("test", "first", 0, rules.Empty().Difference(wanted))
	reply, err := c.Propose(ctx, &schema.ProposeRequest{Change: schema.FromChange(ch)})
	assert.NilError(t, err)
	assert.Equal(t, reply.GetResult(), schema.ProposeReply_ACCEPTED, reply.GetText())
}

// swap is a change written against a revision.
type swap struct {
	id     string
	expect uint64
}

// end is what the operator was told.
type end struct {
	result   schema.ProposeReply_Result
	revision uint64
}

// registerModel is the configuration as a register that is only replaced from
// the revision that was read, and never goes back.
func registerModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{uint64(1)} },
		Step: func(state, input, output any) []any {
			now, in, out := state.(uint64), input.(swap), output.(end)
			switch {
			case out.result == schema.ProposeReply_ACCEPTED && out.revision == now+1 && in.expect == now:
				return []any{out.revision}
			case out.result == schema.ProposeReply_CONFLICT && in.expect != now:
				return []any{now}
			case out.result == schema.ProposeReply_UNAVAILABLE:
				return []any{now}
			case out.result == schema.ProposeReply_UNKNOWN && in.expect == now:
				return []any{now, now + 1}
			case out.result == schema.ProposeReply_UNKNOWN:
				return []any{now}
			}
			return nil
		},
	}
	return m.ToModel()
}

// readings are the revisions seen to be in force on the hosts.
type readings struct {
	mu     sync.Mutex
	newest map[string]uint64
	wrong  []string
}

func (x *readings) saw(host string, revision uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if revision < x.newest[host] {
		x.wrong = append(x.wrong, fmt.Sprintf("%s went back from %d to %d", host, x.newest[host], revision))
	}
	x.newest[host] = max(revision, x.newest[host])
}

// TestConfigurationHistory: promise 9. Operators race at several hosts while
// the store loses answers, limits its rate and goes down, hosts are replaced
// and links cut; readers watch that no host in service ever goes back.
func TestConfigurationHistory(t *testing.T) {
	const seed, length = 9, 15 * time.Second
	t.Logf("seed %d", seed)
	f, d, err := newFleet(t.TempDir(), 2, 1, usualSlots, nil)
	assert.NilError(t, err)
	defer closeFleet(f)
	applyTo(t, f, d)
	var r recorder
	x := &readings{newest: map[string]uint64{}}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for c := range 4 {
		all.Go(func() { operate(d, &r, c, rand.New(rand.NewPCG(seed, uint64(c))), stop) })
	}
	for _, h := range d.Hosts {
		all.Go(func() { watch(f, h.Host, h.Listen.Callers, h.Listen.Peers, x, stop) })
	}
	made := map[string]int{}
	all.Go(func() { storeFaults(t, f, d, rand.New(rand.NewPCG(seed, 99)), made, stop) })
	time.Sleep(length)
	close(stop)
	all.Wait()

	last, history := settled(t, f, d)
	tally := map[string]int{}
	for _, op := range r.ops {
		in, out := op.Input.(swap), op.Output.(end)
		tally[out.result.String()]++
		at, stands := history[in.id]
		switch out.result {
		case schema.ProposeReply_ACCEPTED:
			assert.Assert(t, stands && at == out.revision, "accepted change %s is at %d instead of %d", in.id, at, out.revision)
		case schema.ProposeReply_CONFLICT, schema.ProposeReply_UNAVAILABLE:
			assert.Assert(t, !stands, "refused change %s stands at %d", in.id, at)
		}
	}
	t.Logf("faults made: %v; proposals: %v; last revision %d", made, tally, last)
	for _, kind := range []string{"lost answers", "rate limit", "outage", "kill", "cut"} {
		assert.Assert(t, made[kind] > 0, "no %s was made", kind)
	}
	assert.Equal(t, len(x.wrong), 0, "%v", x.wrong)
	assert.Assert(t, tally["ACCEPTED"] > 0 && tally["CONFLICT"] > 0, "%v", tally)
	assert.Equal(t, porcupine.CheckOperationsTimeout(registerModel(), r.ops, time.Minute), porcupine.Ok)
}

// operate reads the configuration and proposes changes against it.
func operate(d deployment.Deployment, r *recorder, caller int, rnd *rand.Rand, stop <-chan struct{}) {
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
		ch := operator.NewChange("operator", "race", expect, []vetchtrail.Edit{
			vetchtrail.PutWorkspace{Workspace: vetchtrail.Workspace{Name: fmt.Sprintf("ws-%d-%d", caller, n)}},
		})
		proposeOnce(addr, ch, r, caller)
	}
}

func proposeOnce(addr netip.AddrPort, ch vetchtrail.Change, r *recorder, caller int) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	call := time.Now().UnixNano()
	out := end{result: schema.ProposeReply_UNKNOWN}
	c, err := operator.Dial(ctx, operator.Config{Addr: addr})
	if err != nil {
		return // nothing was said
	}
	defer func() { _ = c.Close() }()
	reply, err := c.Propose(ctx, &schema.ProposeRequest{Change: schema.FromChange(ch)})
	if err == nil {
		out = end{result: reply.GetResult(), revision: reply.GetRevision()}
	}
	finish := time.Now().UnixNano()
	if out.result == schema.ProposeReply_UNKNOWN {
		finish = unknownEnd
	}
	r.add(porcupine.Operation{ClientId: caller, Input: swap{ch.ID, ch.Expect}, Call: call, Output: out, Return: finish})
}

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

// watch reads what is in force on a host while it is in service, also over
// replacements of its process.
func watch(f *fleet.Fleet, host string, callers, peers netip.AddrPort, x *readings, stop <-chan struct{}) {
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
			x.saw(host, n)
		}
	}
}

func storeFaults(t *testing.T, f *fleet.Fleet, d deployment.Deployment, rnd *rand.Rand, made map[string]int, stop <-chan struct{}) {
	ctx := context.Background()
	set := func(k kv.Faults) { assert.NilError(t, f.Client.Put(ctx, d.Store, "/faults", k)) }
	for n := 0; ; n++ {
		select {
		case <-stop:
			set(kv.Faults{})
			return
		case <-time.After(200 * time.Millisecond):
		}
		switch n % 5 {
		case 0:
			set(kv.Faults{LoseAnswers: 2})
			made["lost answers"]++
		case 1:
			set(kv.Faults{Writes: 3, Reads: 60})
			time.Sleep(time.Second)
			set(kv.Faults{})
			made["rate limit"]++
		case 2:
			set(kv.Faults{Outage: true})
			time.Sleep(700 * time.Millisecond)
			set(kv.Faults{})
			made["outage"]++
		case 3:
			h := d.Hosts[rnd.IntN(len(d.Hosts))].Host
			assert.NilError(t, f.Kill(h))
			assert.NilError(t, f.StartHost(h))
			made["kill"]++
		case 4:
			from, to := d.Spec.Regions[rnd.IntN(3)].Name, d.Spec.Regions[rnd.IntN(3)].Name
			assert.NilError(t, f.Cut(ctx, from, to, true))
			assert.NilError(t, f.Cut(ctx, from, deployment.PlatformName, true))
			time.Sleep(time.Second)
			assert.NilError(t, f.Cut(ctx, from, to, false))
			assert.NilError(t, f.Cut(ctx, from, deployment.PlatformName, false))
			made["cut"]++
		}
	}
}

// settled waits until all hosts hold the same revision, and returns it with
// the place of each change by its id.
func settled(t *testing.T, f *fleet.Fleet, d deployment.Deployment) (uint64, map[string]uint64) {
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
	places := map[string]uint64{}
	for _, h := range d.Hosts { // a host that began from a snapshot lacks the older ones
		c, err := operator.Dial(ctx, operator.Config{Addr: h.Listen.Peers})
		assert.NilError(t, err)
		reply, err := c.History(ctx, &schema.HistoryRequest{})
		assert.NilError(t, err)
		for _, ch := range reply.GetChanges() {
			at, ok := places[ch.GetId()]
			assert.Assert(t, !ok || at == ch.GetRevision(), "change %s is at %d and at %d", ch.GetId(), at, ch.GetRevision())
			places[ch.GetId()] = ch.GetRevision()
		}
		assert.NilError(t, c.Close())
	}
	return last, places
}
