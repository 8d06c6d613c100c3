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

// TestAdmissionInForce guards against streams that admission let pass and the policy refuses for
// reasons that admission replaces, and against streams that can't end in time and run.
func TestAdmissionInForce(t *testing.T) {
	for name, test := range map[string]struct {
		inForce, moreUrgent    bool
		interval, events, late float64 // seconds between events; their number; seconds until the first
		urgent                 float64 // View.UrgentInterval
		want                   vetchtrail.DecisionKind
	}{
		"half of its time":                        {interval: 0.05, events: 100, want: vetchtrail.Refuse},
		"half of its time, admitted":              {inForce: true, interval: 0.05, events: 100, want: vetchtrail.RunHere},
		"half of its time, admitted, less urgent": {inForce: true, moreUrgent: true, interval: 0.05, events: 100, want: vetchtrail.Refuse},
		"more than its time, admitted":            {inForce: true, interval: 0.11, events: 100, want: vetchtrail.Refuse},
		"misses its objective":                    {late: 3, want: vetchtrail.Refuse},
		"misses its objective, admitted":          {inForce: true, late: 3, want: vetchtrail.RunHere},
		"misses it, admitted, less urgent":        {inForce: true, moreUrgent: true, late: 3, want: vetchtrail.Refuse},
		"margin for more urgent ones":             {moreUrgent: true, interval: 0.1, events: 10, urgent: 0.2, want: vetchtrail.Refuse},
		"margin for more urgent ones, admitted":   {inForce: true, moreUrgent: true, interval: 0.1, events: 10, urgent: 0.2, want: vetchtrail.RunHere},
	} {
		t.Run(name, func(t *testing.T) {
			v := vetchtrail.View{
				Region: 1, Weights: vetchtrail.Weights{Tail: 1}, AdmissionInForce: test.inForce, MoreUrgent: test.moreUrgent,
				ExpectedEvents: test.events, UrgentInterval: test.urgent,
				Endpoints: []vetchtrail.EndpointView{endpoint("a", func(e *vetchtrail.EndpointView) { e.EventInterval, e.Backlog = test.interval, test.late })},
			}
			r := request(func(r *vetchtrail.Request) {
				r.Route, r.Stream, r.CallerCanRetry, r.Goal, r.Deadline = "r", true, true, now.Add(time.Second), now.Add(10*time.Second)
			})
			assert.Equal(t, Weighted{}.Decide(now, r, &v, rand.New(rand.NewPCG(1, 1))).Kind, test.want)
		})
	}
}
