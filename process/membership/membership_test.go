package membership

import (
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/schema"
)

var now = time.Unix(1_800_000_000, 0)

func newMember(name, dataCentre string, last byte) *Membership {
	addr := func(port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, last}), port)
	}
	return New(Config{
		Self: vetchtrail.Host{
			Name: name, Region: "region-of-" + dataCentre, DataCentre: dataCentre, Callers: addr(8080), Peers: addr(7070),
			Incarnation: 100, State: vetchtrail.HostReady,
		},
		Load: load.New(), Revision: func() uint64 { return 5 }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Seed: uint64(last),
	})
}

// swap is one exchange of heartbeats.
func swap(a, b *Membership, at time.Time) {
	b.merge(a.heartbeat(b.self.Peers, at), at)
	a.merge(b.heartbeat(a.self.Peers, at), at)
}

func stateOfC(m *Membership, at time.Time) vetchtrail.HostState {
	h, ok := m.Find("c", at)
	if !ok {
		return vetchtrail.HostDead
	}
	return h.State
}

// TestStates: a host that goes silent is suspected, then given up; hearing of
// it through another keeps it; its next incarnation replaces it.
func TestStates(t *testing.T) {
	a, b, c := newMember("a", "dc", 1), newMember("b", "dc", 2), newMember("c", "dc", 3)
	swap(a, b, now)
	swap(b, c, now)
	swap(a, b, now)
	assert.Equal(t, stateOfC(a, now), vetchtrail.HostReady, "heard of through b")
	assert.Equal(t, stateOfC(a, now.Add(suspectAfter+1)), vetchtrail.HostSuspect)
	// c can't reach a, but b can, and its counter grows.
	c.counter++
	swap(b, c, now.Add(time.Second))
	swap(a, b, now.Add(time.Second))
	assert.Equal(t, stateOfC(a, now.Add(suspectAfter+1)), vetchtrail.HostReady)
	assert.Equal(t, stateOfC(a, now.Add(time.Second+deadAfter+1)), vetchtrail.HostDead)
	// An old word can't bring it back, a new incarnation can.
	later := now.Add(time.Minute / 2)
	b.merge(a.heartbeat(b.self.Peers, later), later)
	assert.Equal(t, stateOfC(a, later), vetchtrail.HostDead)
	c2 := newMember("c", "dc", 3)
	c2.self.Incarnation = 101
	c2.SetState(vetchtrail.HostLeaving)
	swap(a, c2, later)
	assert.Equal(t, stateOfC(a, later), vetchtrail.HostLeaving)
	swap(a, c, later)
	h, _ := a.Find("c", later)
	assert.Equal(t, h.Incarnation, uint64(101), "a delayed heartbeat of the old process")
}

// TestDuties: each duty has as many hosts as asked while all see each other,
// and passes on when its host is gone.
func TestDuties(t *testing.T) {
	var all []*Membership
	for i := range 5 {
		all = append(all, newMember(fmt.Sprint("h", i), "dc", byte(i+1)))
	}
	for _, a := range all {
		for _, b := range all {
			if a != b {
				swap(a, b, now)
			}
		}
	}
	for d := range 40 {
		duty := fmt.Sprint("duty ", d)
		on := map[string]bool{}
		for _, m := range all {
			if m.OnDuty(duty, 2, now) {
				on[m.self.Name] = true
			}
		}
		assert.Equal(t, len(on), 2, duty)
		for _, m := range all {
			first := m.Ranked(duty, 1, now)
			assert.Assert(t, len(first) == 1 && (on[first[0].Name] || on[m.self.Name]), "%s takes %v for one that does %s", m.self.Name, first, duty)
		}
	}
	assert.Equal(t, len(all[0].Ranked("any", 1, now.Add(deadAfter+1))), 0, "none is known to live")
	assert.Assert(t, all[0].OnDuty("any", 1, now.Add(deadAfter+1)), "alone, a host has all duties")
}

// TestRegionReturns: another data centre is unreachable when its digests stop,
// and cold when they come back.
func TestRegionReturns(t *testing.T) {
	a, x := newMember("a", "dc", 1), newMember("x", "other", 9)
	x.cfg.Load.Configure([]load.Placed{{Endpoint: vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 10}}})
	place := func(string) (vetchtrail.RegionID, bool) { return 2, true }
	view := func(at time.Time) vetchtrail.RemoteView {
		var v vetchtrail.View
		a.Fill(&v, "s", place, at)
		assert.Equal(t, len(v.Remotes), 1)
		return v.Remotes[0]
	}
	a.swapped(&schema.Digests{Digest: x.ownDigest(now)}, now.Add(-20*time.Millisecond), now)
	assert.Equal(t, view(now).Reachable, true)
	assert.Equal(t, view(now).Delay, 10*time.Millisecond)
	assert.Equal(t, view(now).Free, 10)
	gone := now.Add(reachableFor + 1)
	assert.Equal(t, view(gone).Reachable, false)
	back := now.Add(time.Minute)
	a.swapped(&schema.Digests{Digest: x.ownDigest(back)}, back, back)
	assert.Equal(t, view(back).Warmth, coldRegion)
	for range 9 {
		a.Returned("other", "s", vetchtrail.Outcome{Kind: vetchtrail.Answered}, back)
	}
	assert.Equal(t, view(back).Warmth, 1.0)
	a.Returned("other", "s", vetchtrail.Outcome{Kind: vetchtrail.NotRun, Peer: "x", Reason: vetchtrail.ReasonUnreachable, HostLost: true}, back)
	assert.Equal(t, view(back).Reachable, false)
	assert.Equal(t, view(back.Add(unreachedTime)).Reachable, true)
}

// TestForwardLost: the loss of a host takes that host out of use, and its data centre
// only with the last one; the loss of an endpoint behind a host takes nothing.
func TestForwardLost(t *testing.T) {
	hostLost := func(name string) vetchtrail.Outcome {
		return vetchtrail.Outcome{Peer: name, Step: vetchtrail.StepForward, Reason: vetchtrail.ReasonLost, HostLost: true}
	}
	endpointLost := vetchtrail.Outcome{Peer: "e", Step: vetchtrail.StepAnswer, Reason: vetchtrail.ReasonLost}
	endpointDown := vetchtrail.Outcome{Kind: vetchtrail.NotRun, Peer: "e", Step: vetchtrail.StepConnect, Reason: vetchtrail.ReasonUnreachable}
	cases := map[string]struct {
		returned []vetchtrail.Outcome
		after    time.Duration
		picked   string // names that may be picked
	}{
		"nothing":                         {nil, 0, "xy"},
		"an endpoint's answer lost":       {[]vetchtrail.Outcome{endpointLost}, 0, "xy"},
		"an endpoint that doesn't listen": {[]vetchtrail.Outcome{endpointDown}, 0, "xy"},
		"one host":                        {[]vetchtrail.Outcome{hostLost("x")}, 0, "y"},
		"both hosts":                      {[]vetchtrail.Outcome{hostLost("x"), hostLost("y")}, 0, ""},
		"both hosts, a while ago":         {[]vetchtrail.Outcome{hostLost("x"), hostLost("y")}, unreachedTime, "xy"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			a, x, y := newMember("a", "dc", 1), newMember("x", "other", 9), newMember("y", "other", 8)
			x.cfg.Load.Configure([]load.Placed{{Endpoint: vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 10}}})
			swap(x, y, now)
			a.swapped(&schema.Digests{Digest: x.ownDigest(now)}, now, now)
			for _, o := range c.returned {
				a.Returned("other", "s", o, now)
			}
			at := now.Add(c.after)
			picked := map[string]bool{}
			for range 50 {
				if h, ok := a.Pick("other", "s", at); ok {
					picked[h.Name] = true
				}
			}
			for _, n := range []string{"x", "y"} {
				assert.Equal(t, picked[n], strings.Contains(c.picked, n), n)
			}
			var v vetchtrail.View
			a.Fill(&v, "s", func(string) (vetchtrail.RegionID, bool) { return 2, true }, at)
			assert.Equal(t, v.Remotes[0].Reachable, c.picked != "")
			assert.Equal(t, v.Remotes[0].Warmth < 1, len(c.returned) == 2)
		})
	}
}

// TestGossip: whatever hosts meet, fail to, restart or fall silent, no view of a
// host goes back to an older process, and once all have met, all agree.
func TestGossip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const hosts = 4
		name := func(i int) string { return fmt.Sprint("h", i) }
		var all [hosts]*Membership
		for i := range all {
			all[i] = newMember(name(i), "dc", byte(i+1))
		}
		at, incarnation := now, uint64(100)
		newest := map[string]uint64{} // by viewer and viewed
		pick := func() int { return rapid.IntRange(0, hosts-1).Draw(rt, "host") }
		rt.Repeat(map[string]func(*rapid.T){
			"meet": func(rt *rapid.T) {
				a, b := pick(), pick()
				if a == b {
					rt.Skip("itself")
				}
				all[a].counter++
				h := all[a].heartbeat(all[b].self.Peers, at)
				if rapid.Bool().Draw(rt, "lost") {
					return
				}
				all[b].merge(h, at)
				all[a].merge(all[b].heartbeat(all[a].self.Peers, at), at)
			},
			"restart": func(*rapid.T) {
				i := pick()
				incarnation++
				all[i] = newMember(name(i), "dc", byte(i+1))
				all[i].self.Incarnation = incarnation
				for k := range all {
					delete(newest, name(i)+name(k))
				}
			},
			"silence": func(*rapid.T) { at = at.Add(suspectAfter) },
			"": func(rt *rapid.T) {
				for _, m := range all {
					for seen, b := range m.members {
						key := m.self.Name + seen
						assert.Assert(rt, b.Incarnation >= newest[key], "%s went back", key)
						newest[key] = b.Incarnation
					}
				}
			},
		})
		for range 3 { // a short line may have to be asked for in full
			for _, a := range all {
				for _, b := range all {
					if a != b {
						a.counter++
						swap(a, b, at)
					}
				}
			}
		}
		for _, a := range all {
			for _, b := range all {
				h, ok := a.Find(b.self.Name, at)
				assert.Assert(rt, ok, "%s does not know %s", a.self.Name, b.self.Name)
				assert.Equal(rt, h.Incarnation, b.self.Incarnation)
				assert.Equal(rt, h.State, vetchtrail.HostReady)
			}
		}
	})
}

// pair is a sender and a receiver that know all there is.
func pair(hosts, endpoints, dataCentres int) (a, b *Membership) {
	a, b = newMember("dc-host-001", "dc", 1), newMember("dc-host-002", "dc", 2)
	var placed []load.Placed
	for i := range endpoints {
		placed = append(placed, load.Placed{Endpoint: vetchtrail.Endpoint{Name: fmt.Sprintf("dc-engine-%03d", i), Service: "model", Slots: 8}})
	}
	a.cfg.Load.Configure(placed)
	b.cfg.Load.Configure(placed)
	for i := range hosts - 2 {
		swap(a, newMember(fmt.Sprintf("dc-host-%03d", i+3), "dc", byte(i+3)), now)
	}
	swap(a, b, now)
	for i := range dataCentres {
		x := newMember(fmt.Sprintf("other-%02d-host-001", i), fmt.Sprintf("other-%02d", i), 1)
		x.cfg.Load.Configure([]load.Placed{{Endpoint: vetchtrail.Endpoint{Name: "e", Service: "model", Slots: 8}}})
		for k := range hosts - 1 {
			y := newMember(fmt.Sprintf("other-%02d-host-%03d", i, k+2), fmt.Sprintf("other-%02d", i), byte(k+2))
			x.merge(y.heartbeat(x.self.Peers, now), now)
		}
		a.swapped(&schema.Digests{Digest: x.ownDigest(now)}, now, now)
	}
	return a, b
}

// BenchmarkHeartbeat: one heartbeat made, encoded, decoded and merged, with
// everything in it new since the last, by hosts, endpoints and data centres.
func BenchmarkHeartbeat(b *testing.B) {
	for _, s := range []struct{ hosts, endpoints, dataCentres int }{
		{5, 0, 0}, {10, 0, 0}, {20, 0, 0}, {40, 0, 0},
		{20, 67, 0}, {20, 134, 0}, {20, 267, 0},
		{20, 0, 11}, {20, 0, 22}, {20, 0, 44},
	} {
		b.Run(fmt.Sprintf("hosts=%d/endpoints=%d/datacentres=%d", s.hosts, s.endpoints, s.dataCentres), func(b *testing.B) {
			from, to := pair(s.hosts, s.endpoints, s.dataCentres)
			at, size, n := now, 0, 0
			b.ReportAllocs()
			for b.Loop() {
				at = at.Add(time.Millisecond)
				renew(from, at)
				wire, _ := proto.Marshal(from.heartbeat(to.self.Peers, at))
				var h schema.Heartbeat
				_ = proto.Unmarshal(wire, &h)
				to.merge(&h, at)
				size += len(wire)
				n++
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/op")
		})
	}
}

// renew makes all that a host holds newer.
func renew(m *Membership, at time.Time) {
	m.counter++
	for _, x := range m.members {
		x.counter++
		x.Heard = at
	}
	for _, d := range m.remotes {
		d.digest.Newest++ // so that it is handed on
		d.at = at
	}
	for _, row := range m.cfg.Load.Endpoints() {
		m.cfg.Load.Report(row.Name, vetchtrail.LoadReport{At: at, Running: 5, Queued: 2}, at)
	}
}

// BenchmarkDigest: one digest made and encoded, by the data centre's hosts.
func BenchmarkDigest(b *testing.B) {
	for _, hosts := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			m, _ := pair(hosts, 267, 0)
			size, n := 0, 0
			for b.Loop() {
				wire, _ := proto.Marshal(m.ownDigest(now))
				size += len(wire)
				n++
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/op")
		})
	}
}

// TestOlderDigest: a digest that another host hands on and that is older than
// the one held tells its members at most, never what was true before.
func TestOlderDigest(t *testing.T) {
	far := []*schema.Member{{Name: "far", State: uint32(vetchtrail.HostReady), Peers: "10.0.0.2:1"}}
	services := []*schema.ServiceDigest{{Service: "s", Free: 4, Slots: 4}}
	newer := func() *schema.Digest {
		return &schema.Digest{DataCentre: "b", Region: "rb", Revision: 2, Services: services, MembersHash: hashOf(far)}
	}
	cases := map[string]struct {
		first    *schema.Digest // the newer one
		older    *schema.Digest
		services int
		members  int
	}{
		"with members that are held": {
			&schema.Digest{DataCentre: "b", Region: "rb", Revision: 2, Services: services, MembersHash: hashOf(far), Members: far},
			&schema.Digest{DataCentre: "b", Region: "rb", MembersHash: hashOf(far), Members: far}, 1, 1,
		},
		"with members that are missing": {newer(), &schema.Digest{DataCentre: "b", Region: "rb", MembersHash: hashOf(far), Members: far}, 1, 1},
		"with other members":            {newer(), &schema.Digest{DataCentre: "b", Region: "rb", Members: []*schema.Member{{Name: "gone"}}}, 1, 0},
		"without members":               {newer(), &schema.Digest{DataCentre: "b", Region: "rb"}, 1, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := New(Config{
				Self: vetchtrail.Host{Name: "a1", Region: "ra", DataCentre: "a"}, Load: load.New(),
				Revision: func() uint64 { return 1 }, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			})
			now := time.Now()
			m.mergeDigest(c.first, now, now)
			m.mergeDigest(c.older, now.Add(-time.Second), now)
			held := m.remotes["b"].digest
			assert.Equal(t, len(held.GetServices()), c.services)
			assert.Equal(t, held.GetRevision(), uint64(2))
			assert.Equal(t, len(held.GetMembers()), c.members)
		})
	}
}
