package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestSwitchedOff: each mechanism of the policy decides where it is on, and not where
// it is off.
func TestSwitchedOff(t *testing.T) {
	stream := func(change func(*vetchtrail.Request)) func(*vetchtrail.Request) {
		return func(r *vetchtrail.Request) {
			r.Route, r.Stream, r.Fresh, r.Goal = "r", true, true, now.Add(time.Second)
			if change != nil {
				change(r)
			}
		}
	}
	one := func(change func(*vetchtrail.EndpointView)) []vetchtrail.EndpointView {
		return []vetchtrail.EndpointView{endpoint("a", change)}
	}
	far := []vetchtrail.RemoteView{remote("x", nil)}
	cases := map[string]struct {
		off     vetchtrail.Mechanism
		request func(*vetchtrail.Request)
		view    vetchtrail.View
		on, out vetchtrail.DecisionKind // with it, without it
	}{
		"pace":       {vetchtrail.Pace, stream(nil), vetchtrail.View{Events: 100, Endpoints: one(func(e *vetchtrail.EndpointView) { e.Gap = 0.1 })}, vetchtrail.Refuse, vetchtrail.RunHere},
		"urgency":    {vetchtrail.UrgentFirst, stream(nil), vetchtrail.View{Events: 10, UrgentPace: 0.2, Endpoints: one(func(e *vetchtrail.EndpointView) { e.Gap = 0.1 })}, vetchtrail.Refuse, vetchtrail.RunHere},
		"shedding":   {vetchtrail.Shedding, stream(nil), vetchtrail.View{Endpoints: one(func(e *vetchtrail.EndpointView) { e.Backlog = 3 })}, vetchtrail.Refuse, vetchtrail.RunHere},
		"forwarding": {vetchtrail.Forwarding, nil, vetchtrail.View{Remotes: far}, vetchtrail.RunElsewhere, vetchtrail.Refuse},
		"waiting":    {vetchtrail.Waiting, nil, vetchtrail.View{Endpoints: one(func(e *vetchtrail.EndpointView) { e.Own = e.Limit })}, vetchtrail.WaitHere, vetchtrail.Refuse},
		"failures":   {vetchtrail.FailureCost, nil, vetchtrail.View{Endpoints: one(func(e *vetchtrail.EndpointView) { e.Failing = 1 }), Remotes: []vetchtrail.RemoteView{remote("x", func(m *vetchtrail.RemoteView) { m.Delay = 300 * time.Millisecond })}}, vetchtrail.RunElsewhere, vetchtrail.RunHere},
		"kept elsewhere": {vetchtrail.KeptElsewhere, stream(func(r *vetchtrail.Request) {
			r.Prompt = []vetchtrail.PromptPart{{ID: 1, Tokens: 9000}, {ID: 2, Tokens: 1000}}
		}), vetchtrail.View{KeptShare: 1, IdleRead: 1e-4, Endpoints: one(func(e *vetchtrail.EndpointView) { e.Backlog, e.Kept = 0.5, 9000 }), Remotes: far}, vetchtrail.RunElsewhere, vetchtrail.RunHere},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			decide := func(off vetchtrail.Mechanisms) vetchtrail.DecisionKind {
				v := c.view
				v.Region, v.Weights = 1, vetchtrail.Weights{Tail: 1, Read: 1}
				return Weighted{Off: off}.Decide(now, request(c.request), &v, rand.New(rand.NewPCG(1, 1))).Kind
			}
			assert.Equal(t, decide(0), c.on)
			assert.Equal(t, decide(vetchtrail.MechanismsOf(c.off)), c.out)
		})
	}
}
