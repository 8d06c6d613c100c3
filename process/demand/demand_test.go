package demand

import (
	"fmt"
	"log/slog"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/request/admission"
	"vetchtrail/schema"
)

var start = time.Unix(1000, 0)

// supplies is a SupplySource with a fixed supply.
type supplies struct {
	load.Supply
	slowdown bool
}

func (s *supplies) ReportsSlowdown(string) bool { return s.slowdown }

func (s *supplies) SetQueueIntervals(string, bool) {}

// source adapts supplies to SupplySource, as a method can't have the name of an embedded field.
type source struct{ *supplies }

func (s source) Supply(string, time.Time) load.Supply { return s.supplies.Supply }

func newTable(s *supplies, hosts int) *Table {
	return New(Config{
		Supplies: source{s}, LiveHosts: func() int { return hosts }, RegionHosts: func() int { return hosts }, Quota: func(string) vetchtrail.Quota { return vetchtrail.Quota{} },
		Enforce: EnforceAlways, Log: slog.New(slog.DiscardHandler),
	})
}

func request(workspace string, tokens int, now time.Time) *vetchtrail.Request {
	return &vetchtrail.Request{
		Service: "chat", Workspace: workspace, Route: "r", Stream: true, CallerCanRetry: true, Goal: now.Add(time.Second),
		Prompt: []vetchtrail.PromptPart{{ID: 1, Tokens: tokens}, {ID: 2, Tokens: tokens}},
	}
}

// TestInForce guards against admission where nothing calls for it, and against its absence where
// the platform or an endpoint does.
func TestInForce(t *testing.T) {
	for name, test := range map[string]struct {
		enforce                         Enforcement
		pressure, slowdown, switchedOff bool
		want                            bool
	}{
		"nothing calls for it":             {enforce: EnforceAuto},
		"the platform":                     {enforce: EnforceAuto, pressure: true, want: true},
		"an endpoint":                      {enforce: EnforceAuto, slowdown: true, want: true},
		"always":                           {enforce: EnforceAlways, want: true},
		"never":                            {enforce: EnforceNever, pressure: true, slowdown: true},
		"only observed":                    {enforce: EnforceObserve, pressure: true, slowdown: true},
		"always, but the mechanism is off": {enforce: EnforceAlways, switchedOff: true},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(&supplies{slowdown: test.slowdown}, 1)
			table.cfg.Enforce, table.cfg.Pressure, table.cfg.SwitchedOff = test.enforce, test.pressure, test.switchedOff
			assert.Equal(t, table.InForce("chat", start), test.want)
			measures := test.enforce == EnforceAlways || (test.enforce != EnforceNever && (test.pressure || test.slowdown))
			assert.Equal(t, table.Measures("chat", start), measures)
		})
	}
}

// TestRegionDemand guards against demand that is lost or counted twice between hosts and data
// centres, demand of lost hosts, and a host alone that takes its own demand for the region's.
func TestRegionDemand(t *testing.T) {
	s := &supplies{Supply: load.Supply{Rate: 1000, CachedShare: 1}}
	a, b, other := newTable(s, 10), newTable(s, 10), newTable(s, 5)
	// A request of 200 tokens, half of them cached, is a work of 100.
	for range 3 {
		a.Admit(request("w", 100, start), start)
		other.Admit(request("w", 100, start), start)
	}
	b.Admit(request("w", 100, start), start)
	at := start.Add(admission.Window - 1) // at its end, the whole window counts
	b.RecordHeartbeat("a", a.HeartbeatDemands(at), at)
	asked := func(now time.Time) float64 {
		sum := 0.0
		for _, c := range b.Demand("chat", now).Classes {
			sum += c.Asked
		}
		return math.Round(sum)
	}
	assert.Equal(t, asked(at), 10*(300+100)/2.0)
	var digest schema.ServiceDigest
	other.DigestDemand("chat", at, &digest)
	assert.Equal(t, digest.GetSupply(), uint32(1000))
	b.RecordDigest("", "dc2", &schema.ServiceDigest{Service: "chat", Demands: digest.GetDemands()}, at)
	b.Admit(request("w", 100, at), at.Add(refreshInterval))
	d := b.Demand("chat", at.Add(2*refreshInterval))
	assert.Equal(t, d.Hosts, 10)
	assert.Equal(t, d.Age, 2*refreshInterval)

	lost := start.Add(admission.Window + 2*admission.MaxAge) // where a window begins
	assert.Equal(t, asked(lost), 0.0)
	b.cfg.LiveHosts = func() int { return 1 }
	b.Admit(request("w", 100, lost), lost)
	assert.Equal(t, asked(lost.Add(admission.Window-1)), 10*100.0, "alone: its own demand times the hosts that it last knew")
	b.Admit(request("w", 100, lost), lost.Add(2*aloneTime))
	assert.Equal(t, asked(lost.Add(2*aloneTime+admission.Window-1)), 100.0, "the others are forgotten")
}

// TestShortage guards against refusals without a shortage, and against a shortage in which more
// than the supply is admitted.
func TestShortage(t *testing.T) {
	s := &supplies{Supply: load.Supply{Rate: 1000, CachedShare: 1, Wait: 500 * time.Millisecond, Queued: 5}}
	table := newTable(s, 1)
	admitted, now := 0, start
	for range 600 { // 3,000 tokens a second
		now = now.Add(time.Second / 30)
		if table.Admit(request("w", 100, now), now).Admitted && now.Sub(start) > 10*time.Second {
			admitted += 100
		}
	}
	assert.Assert(t, admitted > 9000 && admitted < 11000, "%d tokens admitted of a supply of 10,000", admitted)
	v := table.Admit(request("w", 100, now), now)
	assert.Assert(t, v.Shortage && v.Share < 0.5 && v.Supply < v.Asked, "%+v", v)
	s.Queued = 0
	later := now.Add(2 * time.Second)
	table.Admit(request("w", 100, later), later)
	later = later.Add(2 * time.Second)
	assert.Assert(t, table.Admit(request("w", 100, later), later).Admitted)
}

// TestObjective guards against the objective of a more urgent route, and against the time left of a
// request that waited, instead of the objective of the lowest priority: the supply would be
// corrected by the wrong wait.
func TestObjective(t *testing.T) {
	table, now := newTable(&supplies{}, 1), start
	for _, q := range []struct {
		route     string
		priority  int8
		objective time.Duration
	}{{"urgent", 1, time.Second}, {"slow", 0, 2 * time.Second}, {"fast", 0, 1500 * time.Millisecond}, {"fast", 0, 100 * time.Millisecond}} {
		r := request("w", 100, now)
		r.Route, r.Priority, r.Goal = q.route, q.priority, now.Add(q.objective)
		table.Admit(r, now)
	}
	s := table.services["chat"]
	assert.Equal(t, s.lowestObjective(now), 1500*time.Millisecond)
	assert.Equal(t, s.lowestObjective(now.Add(2*objectiveAge)), time.Duration(0))
}

// TestReturnsPreferred guards against retries that come into the same shortage and take the
// capacity of first attempts, which can still be in time.
func TestReturnsPreferred(t *testing.T) {
	for planned, name := range map[bool]string{true: "planned", false: "not planned"} {
		t.Run(name, func(t *testing.T) {
			table := newTable(&supplies{}, 1)
			table.cfg.PlansReturns = planned
			r := request("w", 100, start)
			r.CallerCanRetry = false
			table.Admit(r, start)
			assert.Equal(t, table.Demand("chat", start.Add(refreshInterval)).Classes[0].Return, planned)
		})
	}
}

// TestAdmitAllocates guards against allocations for each request, which the page rules out.
func TestAdmitAllocates(t *testing.T) {
	s := &supplies{Supply: load.Supply{Rate: 1000, CachedShare: 1, Wait: time.Second, Queued: 5}}
	table, now, r := newTable(s, 1), start, request("w", 100, start)
	allocations := testing.AllocsPerRun(5000, func() {
		now = now.Add(time.Millisecond)
		r.Goal = now.Add(time.Second)
		table.Admit(r, now)
	})
	assert.Equal(t, allocations, 0.0)
}

// TestMessageSize guards against demand that takes too much of the control traffic: of the 4 KB/s
// of a host, half at most, with eight heartbeats a second.
func TestMessageSize(t *testing.T) {
	table := newTable(&supplies{}, 1)
	for i := range 100 {
		table.Admit(request(fmt.Sprintf("workspace-%02d", i), 3000+i, start), start)
	}
	for rate, want := range map[float64]int{1e7: 1, 1e5: heartbeatClasses/2 + 1} { // far from a shortage, and near it
		table.cfg.Supplies.(source).Rate = rate
		table.services["chat"].refreshedAt = time.Time{}
		demands := table.HeartbeatDemands(start)
		t.Logf("%d classes in %d bytes", len(demands[0].GetClasses()), proto.Size(demands[0]))
		assert.Equal(t, len(demands[0].GetClasses()), want)
		assert.Assert(t, 8*proto.Size(demands[0]) <= 2048)
	}
}
