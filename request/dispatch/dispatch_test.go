package dispatch

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/journal"
	"vetchtrail/process/load"
	"vetchtrail/process/membership"
	"vetchtrail/request/budget"
	"vetchtrail/request/once"
	"vetchtrail/request/policy"
	"vetchtrail/schema"
	"vetchtrail/version/rules"
)

// step is what a place does with one attempt.
type step func(r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome

// places answers attempts, here and elsewhere, by a script.
type places struct {
	mu    sync.Mutex
	steps []step
	seen  []string // where the attempts went
	last  []string // the last event that each was told of
}

func (p *places) next(name string, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen = append(p.seen, name)
	p.last = append(p.last, r.LastEvent)
	s := p.steps[0]
	p.steps = p.steps[1:]
	o := s(r, a)
	o.Peer = name
	return o
}

func (p *places) Call(_ context.Context, e vetchtrail.Endpoint, r *vetchtrail.Request, a vetchtrail.Answer) (vetchtrail.Outcome, vetchtrail.Timing) {
	return p.next(e.Name, r, a), vetchtrail.Timing{}
}

func (p *places) Forward(_ context.Context, h vetchtrail.Host, r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
	return p.next(h.Name, r, a)
}

// got is what the caller received.
type got struct {
	heads  int
	status int
	body   strings.Builder
}

func (g *got) Begin(status int, _ []vetchtrail.HeaderField) error {
	g.heads++
	g.status = status
	return nil
}

func (g *got) Write(p []byte) error {
	g.body.Write(p)
	return nil
}

func answers(body string) step {
	return func(_ *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
		_ = a.Begin(200, nil)
		_ = a.Write([]byte(body))
		return vetchtrail.Outcome{Kind: vetchtrail.Answered, Status: 200, Step: vetchtrail.StepAnswer, Begun: true}
	}
}

func breaks(body string) step {
	return func(_ *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
		if body != "" {
			_ = a.Begin(200, nil)
			_ = a.Write([]byte(body))
		}
		return vetchtrail.Outcome{
			Kind: vetchtrail.Unknown, Status: 502, Step: vetchtrail.StepAnswer, Reason: vetchtrail.ReasonBroken, Begun: body != "",
		}
	}
}

// late does a step after some time.
func late(s step) step {
	return func(r *vetchtrail.Request, a vetchtrail.Answer) vetchtrail.Outcome {
		time.Sleep(30 * time.Millisecond)
		return s(r, a)
	}
}

func refuses(where vetchtrail.Step, why vetchtrail.Reason) step {
	return func(*vetchtrail.Request, vetchtrail.Answer) vetchtrail.Outcome {
		return vetchtrail.Outcome{Kind: vetchtrail.NotRun, Status: 503, Step: where, Reason: why}
	}
}

func fails(*vetchtrail.Request, vetchtrail.Answer) vetchtrail.Outcome {
	return vetchtrail.Outcome{
		Kind: vetchtrail.Unknown, Status: 502, Step: vetchtrail.StepAnswer, Reason: vetchtrail.ReasonFailed,
		Failure: &vetchtrail.KeptAnswer{Status: 500, Body: []byte("failed")},
	}
}

func lacksRoute(*vetchtrail.Request, vetchtrail.Answer) vetchtrail.Outcome {
	return vetchtrail.Outcome{Kind: vetchtrail.NotRun, Status: 404, Step: vetchtrail.StepDecide, Reason: vetchtrail.ReasonNoRoute}
}

func dispatcher(t *testing.T, p *places, endpoints int) *Dispatcher {
	t.Helper()
	held, err := rules.Restore([]vetchtrail.Edit{
		vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 0, Name: "a", DataCentres: []string{"a-1"}}},
		vetchtrail.PutRegion{Region: vetchtrail.Region{ID: 1, Name: "b", DataCentres: []string{"b-1"}}},
		vetchtrail.PutService{Service: vetchtrail.Service{Name: "s", AnswerWithin: time.Minute, Weights: vetchtrail.Weights{Tail: 1}}},
		vetchtrail.PutRoute{Route: vetchtrail.Route{
			Name: "r", Host: "h", PathPrefix: "/", Attempts: 1, AnswerWithin: time.Minute,
			Targets: []vetchtrail.Target{{Service: "s", Weight: 1}},
		}},
		vetchtrail.PutRoute{Route: vetchtrail.Route{
			Name: "at-b", Host: "h", PathPrefix: "/b/", Attempts: 2, AnswerWithin: time.Minute, Homes: []string{"b"},
			Targets: []vetchtrail.Target{{Service: "s", Weight: 1}},
		}},
	}, 7)
	assert.NilError(t, err)
	table := load.New()
	var placed []load.Placed
	for i := range endpoints {
		placed = append(placed, load.Placed{Endpoint: vetchtrail.Endpoint{
			Name: string(rune('1' + i)), Service: "s", Region: "a", DataCentre: "a-1", Slots: 4, Addr: netip.MustParseAddrPort("10.0.0.1:1"),
		}})
	}
	table.Configure(placed)
	self := vetchtrail.Host{Name: "self", Region: "a", DataCentre: "a-1", State: vetchtrail.HostReady}
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	m := membership.New(membership.Config{Self: self, Load: table, Revision: held.Revision, Log: quiet})
	m.Swapped(&schema.Digests{From: "far", Digest: &schema.Digest{
		DataCentre: "b-1", Region: "b", Revision: 7,
		Members:  []*schema.Member{{Name: "far", State: uint32(vetchtrail.HostReady), Peers: "10.0.0.2:1"}},
		Services: []*schema.ServiceDigest{{Service: "s", Free: 4, Slots: 4}},
	}})
	return New(Config{
		Self: self, Policy: policy.Weighted{}, Rules: func() *rules.Rules { return held }, Table: table, Membership: m,
		Endpoints: p, Peers: p, Keeper: once.New(once.Config{Host: "self", KeyTime: time.Minute}), Journal: journal.New(journal.Config{Log: quiet}),
		Budget: budget.Config{Window: time.Second, Base: 100, Hosts: func() int { return 1 }},
	})
}

// TestAttempts: what becomes of a request of a route, and of its caller's
// answer, by what the places do that it is sent to.
func TestAttempts(t *testing.T) {
	one, two := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	safe := func(r *vetchtrail.Request) { r.Repeats, r.Attempts = true, 2 }
	resumable := func(r *vetchtrail.Request) { r.Stream, r.Resumable, r.Repeats, r.Attempts = true, true, true, 2 }
	cases := map[string]struct {
		change    func(*vetchtrail.Request)
		steps     []step
		endpoints int // here; 0: only elsewhere
		kind      vetchtrail.OutcomeKind
		status    int // of the outcome
		body      string
		tries     int
		last      string // event that the last attempt was told of
	}{
		"answered":                     {nil, []step{answers("ok")}, 2, vetchtrail.Answered, 200, "ok", 1, ""},
		"lost, may not repeat":         {nil, []step{breaks("")}, 2, vetchtrail.Unknown, 502, "", 1, ""},
		"refused, one attempt":         {nil, []step{refuses(vetchtrail.StepAnswer, vetchtrail.ReasonRefused)}, 2, vetchtrail.NotRun, 503, "", 1, ""},
		"another process there":        {nil, []step{refuses(vetchtrail.StepAnswer, vetchtrail.ReasonMisled), answers("ok")}, 2, vetchtrail.Answered, 200, "ok", 2, ""},
		"not reached":                  {nil, []step{refuses(vetchtrail.StepConnect, vetchtrail.ReasonUnreachable), answers("ok")}, 2, vetchtrail.Answered, 200, "ok", 2, ""},
		"refused, two attempts":        {safe, []step{refuses(vetchtrail.StepAnswer, vetchtrail.ReasonRefused), answers("ok")}, 2, vetchtrail.Answered, 200, "ok", 2, ""},
		"lost, may repeat":             {safe, []step{breaks(""), answers("ok")}, 2, vetchtrail.Answered, 200, "ok", 2, ""},
		"failed, bettered":             {safe, []step{fails, answers("ok")}, 2, vetchtrail.Answered, 200, "ok", 2, ""},
		"failed twice":                 {safe, []step{fails, fails}, 2, vetchtrail.Answered, 500, "failed", 2, ""},
		"lost, then not run":           {safe, []step{breaks(""), refuses(vetchtrail.StepAnswer, vetchtrail.ReasonRefused)}, 2, vetchtrail.Unknown, 502, "", 2, ""},
		"stream goes on":               {resumable, []step{breaks(one), answers(two)}, 2, vetchtrail.Answered, 200, one + two, 2, "1"},
		"stream goes on past its goal": {func(r *vetchtrail.Request) { resumable(r); r.Fresh, r.Goal = true, time.Now().Add(20*time.Millisecond) }, []step{late(breaks(one)), answers(two)}, 2, vetchtrail.Answered, 200, one + two, 2, "1"},
		"stream breaks twice":          {resumable, []step{breaks(one), breaks(two)}, 2, vetchtrail.Unknown, 502, one + two, 2, "1"},
		"no failure as its end":        {resumable, []step{breaks(one), fails}, 2, vetchtrail.Unknown, 502, one, 2, "1"},
		"stream may not go on":         {func(r *vetchtrail.Request) { r.Stream, r.Attempts = true, 2 }, []step{breaks(one)}, 2, vetchtrail.Unknown, 502, one, 1, ""},
		"elsewhere":                    {nil, []step{answers("ok")}, 0, vetchtrail.Answered, 200, "ok", 1, ""},
		"a leaving host elsewhere":     {nil, []step{refuses(vetchtrail.StepForward, vetchtrail.ReasonLeaving), answers("ok")}, 0, vetchtrail.Answered, 200, "ok", 2, ""},
		"elsewhere lacks the route":    {nil, []step{lacksRoute}, 0, vetchtrail.NotRun, 503, "", 1, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &places{steps: c.steps}
			d := dispatcher(t, p, c.endpoints)
			r := &vetchtrail.Request{ID: "x", Service: "s", Route: "r", Attempts: 1, Deadline: time.Now().Add(10 * time.Second), Goal: time.Now().Add(time.Second)}
			if c.change != nil {
				c.change(r)
			}
			var g got
			o := d.Run(context.Background(), r, &g)
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			assert.Equal(t, o.Status, c.status)
			assert.Equal(t, g.body.String(), c.body)
			assert.Assert(t, g.heads <= 1, "%d heads", g.heads)
			assert.Equal(t, len(p.seen), c.tries, "%v", p.seen)
			assert.Equal(t, p.last[len(p.last)-1], c.last)
		})
	}
}

// TestLeavingTakesNothing: a host that leaves refuses what others pass on to it,
// and serves what its own callers still ask.
func TestLeavingTakesNothing(t *testing.T) {
	cases := map[string]struct {
		hops int
		kind vetchtrail.OutcomeKind
	}{
		"of its own callers": {0, vetchtrail.Answered},
		"passed on":          {1, vetchtrail.NotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := dispatcher(t, &places{steps: []step{answers("ok")}}, 1)
			d.cfg.Membership.(*membership.Membership).SetState(vetchtrail.HostLeaving)
			r := &vetchtrail.Request{
				ID: "x", Service: "s", Route: "r", Attempts: 1, Hops: c.hops, Allowed: vetchtrail.AllRegions, Deadline: time.Now().Add(10 * time.Second),
			}
			var g got
			assert.Equal(t, d.Run(context.Background(), r, &g).Kind, c.kind)
		})
	}
}

// TestLastChance: who finds no room here in its time is passed on if another data
// centre can serve it, and only else told to come back.
func TestLastChance(t *testing.T) {
	cases := map[string]struct {
		change func(*vetchtrail.Request)
		far    []step
		kind   vetchtrail.OutcomeKind
		seen   int
	}{
		"there is room elsewhere": {nil, []step{answers("ok")}, vetchtrail.Answered, 1},
		"it may not go there":     {func(r *vetchtrail.Request) { r.Hops, r.Allowed = 1, vetchtrail.AllRegions }, nil, vetchtrail.NotRun, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &places{steps: c.far}
			d := dispatcher(t, p, 1)
			slow := &schema.Digest{DataCentre: "b-1", Region: "b", Revision: 7, Services: []*schema.ServiceDigest{{Service: "s", Free: 4, Slots: 4, WaitMillis: 2000}},
				Members: []*schema.Member{{Name: "far", State: uint32(vetchtrail.HostReady), Peers: "10.0.0.2:1"}}}
			d.cfg.Membership.(*membership.Membership).Swapped(&schema.Digests{From: "far", Digest: slow})
			for i := range 8 {
				d.cfg.Table.Acquire("1", &vetchtrail.Request{ID: string(rune('a' + i)), Service: "s"}, time.Now())
			}
			now := time.Now()
			r := &vetchtrail.Request{
				ID: "x", Service: "s", Route: "r", Attempts: 1, Deadline: now.Add(10 * time.Second), Patience: now.Add(50 * time.Millisecond),
			}
			if c.change != nil {
				c.change(r)
			}
			var g got
			o := d.Run(context.Background(), r, &g)
			assert.Equal(t, o.Kind, c.kind, "%v", o)
			assert.Equal(t, len(p.seen), c.seen)
			assert.Equal(t, o.Kind != vetchtrail.NotRun || !o.RetryAt.IsZero(), true)
		})
	}
}
