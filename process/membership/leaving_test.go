package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/schema"
)

// leavingRecorder writes the leaving endpoints that other hosts report to a host's load
// table, and counts them.
type leavingRecorder struct {
	table    *load.Table
	at       time.Time // when the reports are received
	received int
}

// RecordFromPeer implements LeavingEndpoints.
func (l *leavingRecorder) RecordFromPeer(_ string, m *schema.EndpointLeaves) {
	l.received++
	availability, startedAt := schema.ToLeaving(m, l.at)
	l.table.RecordAnnouncementByHash(m.GetEndpoint(), startedAt, availability, l.at)
}

// TestLeavingEndpointSentOnce guards against a host that is sent a leaving endpoint with
// each heartbeat, or never: a heartbeat with it may be lost, or the host may become known
// only later. A host must also accept the report of an endpoint that is not yet on its own
// listing.
func TestLeavingEndpointSentOnce(t *testing.T) {
	startedAt := now.Add(-time.Hour)
	listed := []load.EndpointInRegion{{Endpoint: vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 4, Born: startedAt}}}
	second := func(n int) time.Time { return now.Add(time.Duration(n) * time.Second) }
	a, b, c := newMembership("a", "dc", 1), newMembership("b", "dc", 2), newMembership("c", "dc", 3)
	recorders := map[*Membership]*leavingRecorder{}
	for _, m := range []*Membership{a, b, c} {
		recorders[m] = &leavingRecorder{table: m.cfg.Load, at: now}
		m.cfg.LeavingEndpoints = recorders[m]
	}
	a.cfg.Load.Configure(listed)
	b.cfg.Load.Configure(listed)
	exchangeAt := func(x, y *Membership, n int) {
		recorders[x].at, recorders[y].at = second(n), second(n)
		exchange(x, y, second(n))
	}
	usable := func(m *Membership, n int) bool { reason, _ := m.cfg.Load.Blocked("e", second(n)); return reason == "" }
	exchangeAt(a, b, 0)
	exchangeAt(a, b, 1)
	assert.Equal(t, recorders[b].received, 0)
	a.cfg.Load.RecordAnnouncement("e", startedAt, vetchtrail.Availability{Leaving: true, RequestedAt: second(1), ReceivedAt: second(2)})
	assert.Assert(t, usable(b, 2))
	a.heartbeatTo(b.self.PeerAddr, second(3)) // not delivered
	a.sendInFull(b.self.PeerAddr)
	exchangeAt(a, b, 4)
	assert.Assert(t, !usable(b, 4), "not sent again after a lost heartbeat")
	exchangeAt(a, b, 5)
	assert.Equal(t, recorders[b].received, 1, "sent twice")

	exchangeAt(b, c, 60)
	exchangeAt(b, c, 61)
	assert.Equal(t, recorders[c].received, 1, "sent to a host that became known later")
	c.cfg.Load.Configure(listed)
	assert.Assert(t, !usable(c, 62), "received before the endpoint was listed")
}

// TestLeavingEndpointStaysInRegion guards against digest exchanges that send leaving
// endpoints to other regions, whose hosts never call them, or that do not send them to remote
// data centres of the same region, whose hosts do.
func TestLeavingEndpointStaysInRegion(t *testing.T) {
	a := newMembership("a", "dc", 1)
	a.cfg.CallsWholeRegion = true
	a.cfg.Load.Configure([]load.EndpointInRegion{{Endpoint: vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 4}}})
	at := time.Now()
	a.cfg.Load.RecordAnnouncement("e", time.Time{}, vetchtrail.Availability{Leaving: true, RequestedAt: at, ReceivedAt: at})
	cases := map[string]struct {
		region   string
		received int
	}{"same region": {a.self.Region, 1}, "another region": {"elsewhere", 0}, "unknown region": {"", 0}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			reply := a.HandleDigests(&schema.Digests{From: "b", Digest: &schema.Digest{DataCentre: "dc-2", Region: c.region}})
			assert.Equal(t, len(reply.GetLeaves()), c.received)
			b := newMembership("b", "dc-2", 2)
			l := &leavingRecorder{table: b.cfg.Load, at: at}
			b.cfg.LeavingEndpoints = l
			b.mergeDigestReply(reply, at, at)
			assert.Equal(t, l.received, c.received)
		})
	}
	assert.Equal(t, len(a.leavingForRegion(a.self.Region, at.Add(2*leavingRelayTime))), 0, "still sent")
}

// TestRestartReported guards against hosts that still avoid an endpoint because it announced
// that it is leaving, although it has restarted since. The host that fetched the endpoint's
// load report must send the others its start time.
func TestRestartReported(t *testing.T) {
	listed := []load.EndpointInRegion{{Endpoint: vetchtrail.Endpoint{Name: "e", Service: "s", Slots: 4}}}
	second := func(n int) time.Time { return now.Add(time.Duration(n) * time.Second) }
	a, b := newMembership("a", "dc", 1), newMembership("b", "dc", 2)
	for _, m := range []*Membership{a, b} {
		m.cfg.Load.Configure(listed)
		m.cfg.Load.RecordAnnouncement("e", time.Time{}, vetchtrail.Availability{Leaving: true, RequestedAt: now, ReceivedAt: now})
	}
	exchange(a, b, second(1))
	exchange(a, b, second(2))
	a.cfg.Load.RecordReport("e", vetchtrail.LoadReport{TakenAt: second(3), StartedAt: second(3)}, time.Time{})
	reason, _ := b.cfg.Load.Blocked("e", second(3))
	assert.Equal(t, reason, vetchtrail.ReasonDraining)
	exchange(a, b, second(4))
	reason, _ = b.cfg.Load.Blocked("e", second(4))
	assert.Equal(t, reason, vetchtrail.Reason(""))
}
