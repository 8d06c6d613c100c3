package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/schema"
)

// leaver takes what other hosts tell of endpoints that leave into a host's table.
type leaver struct {
	table *load.Table
	at    time.Time
	told  int
}

func (l *leaver) Learn(_ string, m *schema.EndpointLeaves) {
	l.told++
	said, born := schema.ToLeaves(m, l.at)
	l.table.HearNoticeShort(m.GetEndpoint(), born, said, l.at)
}

// TestLeavesTold: heartbeats tell of endpoints that leave, once each to a host and again when a message was
// lost; who is met first hears of all, also of one that its lists don't hold yet.
func TestLeavesTold(t *testing.T) {
	born := now.Add(-time.Hour)
	listed := []load.Placed{{Endpoint: vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 4, Born: born}}}
	second := func(n int) time.Time { return now.Add(time.Duration(n) * time.Second) }
	a, b, c := newMember("a", "dc", 1), newMember("b", "dc", 2), newMember("c", "dc", 3)
	told := map[*Membership]*leaver{}
	for _, m := range []*Membership{a, b, c} {
		told[m] = &leaver{table: m.cfg.Load, at: now}
		m.cfg.Notices = told[m]
	}
	a.cfg.Load.Configure(listed)
	b.cfg.Load.Configure(listed)
	beat := func(x, y *Membership, n int) {
		told[x].at, told[y].at = second(n), second(n)
		swap(x, y, second(n))
	}
	usable := func(m *Membership, n int) bool { why, _ := m.cfg.Load.Bars("e", second(n)); return why == "" }
	beat(a, b, 0)
	beat(a, b, 1)
	assert.Equal(t, told[b].told, 0)
	a.cfg.Load.HearNotice("e", born, vetchtrail.Notice{Leaving: true, Asked: second(1), Heard: second(2)})
	assert.Assert(t, usable(b, 2))
	a.heartbeat(b.self.Peers, second(3)) // lost
	a.notTold(b.self.Peers)
	beat(a, b, 4)
	assert.Assert(t, !usable(b, 4), "after a lost message")
	beat(a, b, 5)
	assert.Equal(t, told[b].told, 1, "told again")

	beat(b, c, 60)
	beat(b, c, 61)
	assert.Equal(t, told[c].told, 1, "who is met late")
	c.cfg.Load.Configure(listed)
	assert.Assert(t, !usable(c, 62), "heard before its lists")
}

// TestLeavesWithin: swaps of digests tell of endpoints that leave within a region only.
func TestLeavesWithin(t *testing.T) {
	a := newMember("a", "dc", 1)
	a.cfg.WholeRegion = true
	a.cfg.Load.Configure([]load.Placed{{Endpoint: vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 4}}})
	at := time.Now()
	a.cfg.Load.HearNotice("e", time.Time{}, vetchtrail.Notice{Leaving: true, Asked: at, Heard: at})
	cases := map[string]struct {
		region string
		told   int
	}{"its own": {a.self.Region, 1}, "another": {"elsewhere", 0}, "not known": {"", 0}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			reply := a.Swapped(&schema.Digests{From: "b", Digest: &schema.Digest{DataCentre: "dc-2", Region: c.region}})
			assert.Equal(t, len(reply.GetLeaves()), c.told)
			b := newMember("b", "dc-2", 2)
			l := &leaver{table: b.cfg.Load, at: at}
			b.cfg.Notices = l
			b.swapped(reply, at, at)
			assert.Equal(t, l.told, c.told)
		})
	}
	assert.Equal(t, len(a.leavesWithin(a.self.Region, at.Add(2*leavesFresh))), 0, "told of for ever")
}

// TestStartTold: hosts are told when an endpoint that said that it leaves has started again, by who fetched its report.
func TestStartTold(t *testing.T) {
	listed := []load.Placed{{Endpoint: vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 4}}}
	second := func(n int) time.Time { return now.Add(time.Duration(n) * time.Second) }
	a, b := newMember("a", "dc", 1), newMember("b", "dc", 2)
	for _, m := range []*Membership{a, b} {
		m.cfg.Load.Configure(listed)
		m.cfg.Load.HearNotice("e", time.Time{}, vetchtrail.Notice{Leaving: true, Asked: now, Heard: now})
	}
	swap(a, b, second(1))
	swap(a, b, second(2))
	a.cfg.Load.Report("e", vetchtrail.LoadReport{At: second(3), Started: second(3)}, time.Time{})
	why, _ := b.cfg.Load.Bars("e", second(3))
	assert.Equal(t, why, vetchtrail.ReasonDraining)
	swap(a, b, second(4))
	why, _ = b.cfg.Load.Bars("e", second(4))
	assert.Equal(t, why, vetchtrail.Reason(""))
}
