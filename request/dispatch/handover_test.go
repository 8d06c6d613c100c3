package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/membership"
	"vetchtrail/request/policy"
	"vetchtrail/schema"
)

// withOwner makes another host of the data centre the owner of the request's shard, and
// returns its name.
func withOwner(t *testing.T, d *Dispatcher, r *vetchtrail.Request) string {
	t.Helper()
	m := d.cfg.Membership.(*membership.Membership)
	for i := range 40 {
		name := fmt.Sprintf("owner-%d", i)
		m.Exchanged(&schema.Heartbeat{From: name, DataCentre: "a-1", Members: []*schema.Member{{
			Name: name, Incarnation: 1, Counter: 1, State: uint32(vetchtrail.HostReady), Peers: "10.0.0.3:1", Callers: "10.0.0.3:2",
		}}})
		if got := d.owner(r, time.Now()); got != "" {
			return got
		}
	}
	t.Fatal("no host outweighs this one")
	return ""
}

// TestHandOver: a request with a session goes to the owner of its shard, once; where that
// did not run it, it is placed here.
func TestHandOver(t *testing.T) {
	crowded := refuses(vetchtrail.StepDecide, vetchtrail.ReasonOverCapacity)
	leaves := refuses(vetchtrail.StepForward, vetchtrail.ReasonLeaving)
	unreached := func(*vetchtrail.Request, vetchtrail.Answer) vetchtrail.Outcome {
		return vetchtrail.Outcome{Kind: vetchtrail.NotRun, Status: 503, Step: vetchtrail.StepConnect, Reason: vetchtrail.ReasonUnreachable, HostLost: true}
	}
	cases := map[string]struct {
		change func(*vetchtrail.Request)
		off    bool
		steps  []step
		kind   vetchtrail.OutcomeKind
		seen   []string // "owner" stands for its name
	}{
		"the owner answers":      {nil, false, []step{answers("ok")}, vetchtrail.Answered, []string{"owner"}},
		"it refuses":             {nil, false, []step{crowded, answers("ok")}, vetchtrail.Answered, []string{"owner", "far"}},
		"it leaves":              {nil, false, []step{leaves, answers("ok")}, vetchtrail.Answered, []string{"owner", "1"}},
		"it is not reached":      {nil, false, []step{unreached, answers("ok")}, vetchtrail.Answered, []string{"owner", "1"}},
		"it is lost":             {nil, false, []step{breaks("")}, vetchtrail.Unknown, []string{"owner"}},
		"passed on already":      {func(r *vetchtrail.Request) { r.Hops, r.Allowed = 1, vetchtrail.AllRegions }, false, []step{answers("ok")}, vetchtrail.Answered, []string{"1"}},
		"it belongs to nobody":   {func(r *vetchtrail.Request) { r.Prompt = nil }, false, []step{answers("ok")}, vetchtrail.Answered, []string{"1"}},
		"sharding is turned off": {nil, true, []step{answers("ok")}, vetchtrail.Answered, []string{"1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &places{steps: c.steps}
			d := dispatcher(t, p, 1)
			r := &vetchtrail.Request{
				ID: "x", Service: "s", Route: "r", Attempts: 1, Deadline: time.Now().Add(10 * time.Second), Goal: time.Now().Add(time.Second),
				Prompt: []vetchtrail.PromptPart{{ID: 1, Tokens: 10}, {ID: 2, Tokens: 10}},
			}
			owner := withOwner(t, d, r)
			if c.change != nil {
				c.change(r)
			}
			if c.off {
				d.cfg.Policy = withoutSharding()
			}
			var g got
			o := d.Run(context.Background(), r, &g)
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			for i, at := range p.seen {
				if at == owner {
					p.seen[i] = "owner"
				}
			}
			assert.DeepEqual(t, p.seen, c.seen)
		})
	}
}

// TestHandedOverFresh: the owner of its shard is told whether a request is its caller's
// first try; a host elsewhere is not, as the sender has decided that.
func TestHandedOverFresh(t *testing.T) {
	cases := map[string]struct {
		owned bool
		want  bool
	}{
		"handed over": {true, true},
		"passed on":   {false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var fresh bool
			p := &places{steps: []step{func(r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
				fresh = r.Fresh
				return answers("ok")(r, a)
			}}}
			endpoints := 0
			if c.owned {
				endpoints = 1
			}
			d := dispatcher(t, p, endpoints)
			r := &vetchtrail.Request{
				ID: "x", Service: "s", Route: "r", Attempts: 1, Deadline: time.Now().Add(10 * time.Second), Fresh: true,
				Prompt: []vetchtrail.PromptPart{{ID: 1, Tokens: 10}, {ID: 2, Tokens: 10}},
			}
			if c.owned {
				withOwner(t, d, r)
			}
			o := d.Run(context.Background(), r, &got{})
			assert.Equal(t, o.Kind, vetchtrail.Answered)
			assert.Equal(t, fresh, c.want)
		})
	}
}

func withoutSharding() vetchtrail.Policy {
	return policy.Weighted{Off: vetchtrail.MechanismsOf(vetchtrail.Sharding)}
}
