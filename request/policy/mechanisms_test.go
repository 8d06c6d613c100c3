package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestSwitchedOffMechanisms checks for each mechanism of the policy, in a situation where
// only that mechanism counts, that the decision differs when it is switched off. If a
// mechanism ignored its setting, measurements with and without it would show no difference.
func TestSwitchedOffMechanisms(t *testing.T) {
	stream := func(change func(*vetchtrail.Request)) func(*vetchtrail.Request) {
		return func(r *vetchtrail.Request) {
			r.Route, r.Stream, r.CallerCanRetry, r.Goal = "r", true, true, now.Add(time.Second)
			if change != nil {
				change(r)
			}
		}
	}
	single := func(change func(*vetchtrail.EndpointView)) []vetchtrail.EndpointView {
		return []vetchtrail.EndpointView{endpoint("a", change)}
	}
	remotes := []vetchtrail.RemoteView{remote("x", nil)}
	cases := map[string]struct {
		off           vetchtrail.Mechanism // the one that is switched off
		request       func(*vetchtrail.Request)
		view          vetchtrail.View
		with, without vetchtrail.DecisionKind // the decisions with and without the mechanism
	}{
		"slow stream":        {vetchtrail.MechanismStreamPace, stream(nil), vetchtrail.View{ExpectedEvents: 100, Endpoints: single(func(e *vetchtrail.EndpointView) { e.EventInterval = 0.1 })}, vetchtrail.Refuse, vetchtrail.RunHere},
		"less urgent stream": {vetchtrail.MechanismUrgentFirst, stream(nil), vetchtrail.View{ExpectedEvents: 10, UrgentInterval: 0.2, Endpoints: single(func(e *vetchtrail.EndpointView) { e.EventInterval = 0.1 })}, vetchtrail.Refuse, vetchtrail.RunHere},
		"shedding":           {vetchtrail.MechanismShedding, stream(nil), vetchtrail.View{Endpoints: single(func(e *vetchtrail.EndpointView) { e.Backlog = 3 })}, vetchtrail.Refuse, vetchtrail.RunHere},
		"forwarding":         {vetchtrail.MechanismForwarding, nil, vetchtrail.View{Remotes: remotes}, vetchtrail.RunElsewhere, vetchtrail.Refuse},
		"waiting":            {vetchtrail.MechanismQueueing, nil, vetchtrail.View{Endpoints: single(func(e *vetchtrail.EndpointView) { e.InFlight = e.InFlightLimit })}, vetchtrail.WaitHere, vetchtrail.Refuse},
		"failing endpoint":   {vetchtrail.MechanismFailureCost, nil, vetchtrail.View{Endpoints: single(func(e *vetchtrail.EndpointView) { e.ExcessFailureRate = 1 }), Remotes: []vetchtrail.RemoteView{remote("x", func(m *vetchtrail.RemoteView) { m.Delay = 300 * time.Millisecond })}}, vetchtrail.RunElsewhere, vetchtrail.RunHere},
		"prompt cached elsewhere": {vetchtrail.MechanismRemoteCacheEstimate, stream(func(r *vetchtrail.Request) {
			r.Prompt = []vetchtrail.PromptPart{{ID: 1, Tokens: 9000}, {ID: 2, Tokens: 1000}}
		}), vetchtrail.View{CachedShare: 1, IdlePrefill: 1e-4, Endpoints: single(func(e *vetchtrail.EndpointView) { e.Backlog, e.CachedTokens = 0.5, 9000 }), Remotes: remotes}, vetchtrail.RunElsewhere, vetchtrail.RunHere},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			decide := func(switchedOff vetchtrail.Mechanisms) vetchtrail.DecisionKind {
				v := c.view
				v.Region, v.Weights = 1, vetchtrail.Weights{Tail: 1, Read: 1}
				return Weighted{SwitchedOff: switchedOff}.Decide(now, request(c.request), &v, rand.New(rand.NewPCG(1, 1))).Kind
			}
			assert.Equal(t, decide(0), c.with)
			assert.Equal(t, decide(vetchtrail.MechanismsOf(c.off)), c.without)
		})
	}
}
