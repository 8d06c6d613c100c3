package load

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"vetchtrail"
	_ "vetchtrail/standin/seeded"
)

// availabilityModel is a model of one endpoint that starts again and again under its name and whose
// responses announce that it is leaving or paused, while the listing, reports and other processes at its address
// contradict that. It records next to the table what the responses announced.
type availabilityModel struct {
	t            *rapid.T
	table        *Table
	now          time.Time
	startedAt    []time.Time       // of the process instances so far
	listed       int               // instance that is listed; -1: none is
	leavingUntil map[int]time.Time // by instance
	pausedUntil  map[int]time.Time // by instance
	othersUntil  time.Time         // until when another source may keep the endpoint out of use
}

const maxInstances = 4

func (m *availabilityModel) endpoint(instance int) vetchtrail.Endpoint {
	return vetchtrail.Endpoint{Name: "e000", Service: "s", Slots: 4, Born: m.startedAt[instance]}
}

// list configures the table with an instance of the endpoint, or without the endpoint.
func (m *availabilityModel) list(instance int) {
	m.listed = instance
	var endpoints []EndpointInRegion
	if instance >= 0 {
		endpoints = []EndpointInRegion{{Endpoint: m.endpoint(instance)}}
	}
	m.table.Configure(endpoints)
}

// start starts the next instance, which is listed later.
func (m *availabilityModel) start(*rapid.T) {
	if len(m.startedAt) < maxInstances {
		m.now = m.now.Add(10 * time.Millisecond)
		m.startedAt = append(m.startedAt, m.now)
	}
}

// relist lists any instance, or none. An earlier instance is listed as in an older copy of the listing.
func (m *availabilityModel) relist(t *rapid.T) {
	m.list(rapid.IntRange(-1, len(m.startedAt)-1).Draw(t, "listed"))
}

// response is a response of any instance, also one that was in transit for long. Its request was sent to that
// instance.
func (m *availabilityModel) response(t *rapid.T) {
	instance := rapid.IntRange(0, len(m.startedAt)-1).Draw(t, "instance")
	n := vetchtrail.Availability{
		Leaving: rapid.IntRange(0, 3).Draw(t, "leaving") == 0, ReceivedAt: m.now, RequestedAt: m.startedAt[instance].Add(time.Millisecond),
	}
	if pause := rapid.IntRange(-5, 20).Draw(t, "pause"); pause > 0 {
		n.PausedUntil = n.ReceivedAt.Add(time.Duration(pause) * time.Second)
		m.pausedUntil[instance] = vetchtrail.Later(m.pausedUntil[instance], n.PausedUntil)
	}
	m.table.AvailabilityReported(m.endpoint(instance), n, nil)
	m.note(instance, n.Leaving, n.ReceivedAt)
}

// released is the end of a request that the endpoint completed, or refused without announcing a pause.
func (m *availabilityModel) released(t *rapid.T) {
	if m.listed < 0 {
		return
	}
	o := vetchtrail.Outcome{Kind: vetchtrail.OutcomeAnswered, Step: vetchtrail.StepResponse, Status: 200}
	if rapid.Bool().Draw(t, "refused") {
		o = vetchtrail.Outcome{Kind: vetchtrail.OutcomeNotRun, Step: vetchtrail.StepResponse, Reason: vetchtrail.ReasonEndpointRefused, RetryAt: m.now.Add(100 * time.Millisecond)}
	}
	m.table.Release("e000", vetchtrail.Observation{StartedAt: m.startedAt[m.listed], Outcome: o}, m.now)
}

// reported is another host's message that an instance announced that it is leaving, some time after the
// announcement.
func (m *availabilityModel) reported(t *rapid.T) {
	instance := rapid.IntRange(0, len(m.startedAt)-1).Draw(t, "instance")
	announcedAt := vetchtrail.Later(m.now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond), m.startedAt[instance].Add(time.Millisecond))
	if instance+1 < len(m.startedAt) {
		announcedAt = vetchtrail.Earlier(announcedAt, m.startedAt[instance+1].Add(-time.Millisecond)) // the instance has ended by then
	}
	m.table.RecordAnnouncementByHash(NameHash("e000"), m.startedAt[instance], vetchtrail.Availability{Leaving: true, RequestedAt: announcedAt, ReceivedAt: announcedAt}, m.now)
	m.note(instance, true, announcedAt)
}

// note records until when an instance's announcement must be valid.
func (m *availabilityModel) note(instance int, leaving bool, announcedAt time.Time) {
	if leaving {
		m.leavingUntil[instance] = vetchtrail.Later(m.leavingUntil[instance], announcedAt.Add(leavingValidFor))
	}
}

// report is a load report of the listed endpoint.
func (m *availabilityModel) report(t *rapid.T) {
	leaving := rapid.Bool().Draw(t, "leaving")
	until := m.now.Add(time.Second)
	if m.table.RecordReport("e000", vetchtrail.LoadReport{TakenAt: m.now, Leaving: leaving}, until) && leaving {
		m.othersUntil = vetchtrail.Later(m.othersUntil, until)
	}
}

// leave is an entry of the platform's list of endpoints.
func (m *availabilityModel) leave(*rapid.T) {
	until := m.now.Add(2 * time.Second)
	m.table.MarkLeaving("e000", until)
	m.othersUntil = vetchtrail.Later(m.othersUntil, until)
}

// otherProcess is a response of another process at the endpoint's address.
func (m *availabilityModel) otherProcess(*rapid.T) {
	if m.listed < 0 {
		return
	}
	m.table.Release("e000", vetchtrail.Observation{
		StartedAt: m.startedAt[m.listed], Outcome: vetchtrail.Outcome{Kind: vetchtrail.OutcomeNotRun, Step: vetchtrail.StepResponse, Reason: vetchtrail.ReasonOtherProcess},
	}, m.now)
	m.othersUntil = vetchtrail.Later(m.othersUntil, m.now.Add(otherProcessBackOff))
}

// wait lets time pass: some seconds, or up to as long as an announcement is valid.
func (m *availabilityModel) wait(t *rapid.T) {
	most := 3 * time.Second
	if rapid.IntRange(0, 9).Draw(t, "long") == 0 {
		most = leavingValidFor
	}
	m.now = m.now.Add(time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(most)).Draw(t, "time")))
}

// check requires that the listed instance's announcements are valid, whatever other sources reported since, and
// that those of other instances are not.
func (m *availabilityModel) check(t *rapid.T) {
	if m.listed < 0 {
		return
	}
	reason, until := m.table.Blocked("e000", m.now)
	leaving, paused := m.now.Before(m.leavingUntil[m.listed]), m.now.Before(m.pausedUntil[m.listed])
	switch {
	case leaving:
		assert.Equal(t, reason, vetchtrail.ReasonDraining, "instance %d announced that it is leaving", m.listed)
	case !m.now.Before(m.othersUntil) && paused:
		assert.Equal(t, reason, vetchtrail.ReasonPaused, "instance %d is paused", m.listed)
		assert.Equal(t, until, m.pausedUntil[m.listed])
	case !m.now.Before(m.othersUntil):
		assert.Equal(t, reason, vetchtrail.Reason(""), "instance %d accepts requests", m.listed)
	}
	if leaving || paused {
		assert.Assert(t, reason != "", "instance %d accepts no requests", m.listed)
		assert.Assert(t, viewOf(m.table, m.now).Unavailable)
		assert.Assert(t, !m.table.Acquire("e000", &vetchtrail.Request{ID: "a", Service: "s"}, m.now))
	}
}

// TestAnnouncementsPerInstance guards against an announcement that is lost, shortened or applied to another
// process instance. It applies responses, listings, reports and restarts in any order.
func TestAnnouncementsPerInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &availabilityModel{t: t, table: New(), now: now, startedAt: []time.Time{now}, leavingUntil: map[int]time.Time{}, pausedUntil: map[int]time.Time{}}
		m.list(0)
		t.Repeat(map[string]func(*rapid.T){
			"begin instance": m.start, "list": m.relist, "answer": m.response, "update from peer": m.reported, "report": m.report, "leave": m.leave,
			"misdirected": m.otherProcess, "released": m.released, "pass time": m.wait, "": m.check,
		})
	})
}

// TestLeavingExpires guards against an endpoint that gets no requests any more because it announced that it is
// leaving, but still runs. The announcement expires, and the next one is news again. A shorter back-off for
// another reason doesn't shorten it.
func TestLeavingExpires(t *testing.T) {
	tab := New()
	e := vetchtrail.Endpoint{Name: "e000", Service: "s", Slots: 4}
	tab.Configure([]EndpointInRegion{{Endpoint: e}})
	announce := func(at time.Time) AnnouncementChange {
		return tab.RecordAnnouncement("e000", time.Time{}, vetchtrail.Availability{Leaving: true, RequestedAt: at, ReceivedAt: at})
	}
	usable := func(at time.Time) bool { reason, _ := tab.Blocked("e000", at); return reason == "" }
	assert.Assert(t, announce(now).Leaving)
	assert.Assert(t, !announce(now.Add(time.Minute)).Leaving, "reported as news again")
	assert.Assert(t, !announce(now.Add(time.Second)).Leaving, "an older announcement that arrives late is news")
	tab.Release("e000", vetchtrail.Observation{
		Outcome: vetchtrail.Outcome{Kind: vetchtrail.OutcomeNotRun, Step: vetchtrail.StepResponse, Reason: vetchtrail.ReasonOtherProcess},
	}, now.Add(time.Minute))
	assert.Assert(t, !usable(now.Add(time.Minute+leavingValidFor-1)), "a shorter back-off shortens it")
	again := now.Add(time.Minute + leavingValidFor)
	assert.Assert(t, usable(again))
	assert.Assert(t, announce(again).Leaving)
	assert.Assert(t, !usable(again.Add(time.Second)))
	assert.Equal(t, len(tab.LeavingAfter(now.Add(time.Minute), again)), 1)
}

// TestUnlistedInstances guards against the loss of announcements of endpoints that are not listed yet, and
// against unbounded memory for them: beyond the bound, the announcement that expires first is dropped.
func TestUnlistedInstances(t *testing.T) {
	tab := New()
	for n := range maxUnlisted + 10 {
		at := now.Add(time.Duration(n) * time.Millisecond)
		tab.RecordAnnouncement(fmt.Sprint("e", n), time.Time{}, vetchtrail.Availability{Leaving: true, RequestedAt: at, ReceivedAt: at})
	}
	assert.Equal(t, len(tab.unlisted), maxUnlisted)
	last := fmt.Sprint("e", maxUnlisted+9)
	tab.Configure([]EndpointInRegion{
		{Endpoint: vetchtrail.Endpoint{Name: last, Service: "s", Slots: 4}},
		{Endpoint: vetchtrail.Endpoint{Name: "e0", Service: "s", Slots: 4}},
	})
	reason, _ := tab.Blocked(last, now.Add(time.Minute))
	assert.Equal(t, reason, vetchtrail.ReasonDraining)
	reason, _ = tab.Blocked("e0", now.Add(time.Minute))
	assert.Equal(t, reason, vetchtrail.Reason(""), "the announcement that expires first is dropped for the last")
	assert.Equal(t, len(tab.unlisted), maxUnlisted-1)
}

// TestLeavingIsNoFailure guards against the ejection of an endpoint that ends with requests in flight after it
// announced that it is leaving.
func TestLeavingIsNoFailure(t *testing.T) {
	cases := map[string]struct{ announced, ejected bool }{"announced": {true, false}, "not announced": {false, true}}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := New()
			tab.Configure([]EndpointInRegion{
				{Endpoint: vetchtrail.Endpoint{Name: "e000", Service: "s", Slots: 9}}, {Endpoint: vetchtrail.Endpoint{Name: "e001", Service: "s", Slots: 9}},
			})
			for n := range failuresToEject {
				assert.Assert(t, tab.Acquire("e000", &vetchtrail.Request{ID: fmt.Sprint(n), Service: "s"}, now))
			}
			if c.announced {
				tab.RecordAnnouncement("e000", time.Time{}, vetchtrail.Availability{Leaving: true, RequestedAt: now, ReceivedAt: now})
			}
			for n := range failuresToEject {
				tab.Release("e000", vetchtrail.Observation{
					Request: fmt.Sprint(n), Outcome: vetchtrail.Outcome{Kind: vetchtrail.OutcomeUnknown, Step: vetchtrail.StepResponse, Reason: vetchtrail.ReasonResponseLost},
				}, now)
			}
			assert.Equal(t, now.Before(tab.endpoints["e000"].ejectedUntil), c.ejected)
		})
	}
}

// TestAvailabilityStatus guards against operators that can't see which source reports that an endpoint is
// leaving, since when, and until when it is paused.
func TestAvailabilityStatus(t *testing.T) {
	e := vetchtrail.Endpoint{Name: "e000", Service: "s", Slots: 4}
	later := now.Add(time.Minute)
	cases := map[string]struct {
		announce func(tab *Table)
		by       LeavingBy
		status   EndpointStatus
	}{
		"nothing": {func(*Table) {}, "", EndpointStatus{}},
		"its responses, after the list of hosts": {func(tab *Table) {
			tab.MarkLeaving("e000", later)
			tab.RecordAnnouncement("e000", time.Time{}, vetchtrail.Availability{Leaving: true, RequestedAt: now, ReceivedAt: now})
		}, ByResponses, EndpointStatus{LeavingSince: now}},
		"the list of hosts": {func(tab *Table) { tab.MarkLeaving("e000", later) }, ByEndpointList, EndpointStatus{}},
		"a load report":     {func(tab *Table) { tab.RecordReport("e000", vetchtrail.LoadReport{TakenAt: now, Leaving: true}, later) }, ByReport, EndpointStatus{}},
		"the listing": {func(tab *Table) {
			drained := e
			drained.Draining = true
			tab.Configure([]EndpointInRegion{{Endpoint: drained}})
		}, ByListing, EndpointStatus{}},
		"paused": {func(tab *Table) {
			tab.RecordAnnouncement("e000", time.Time{}, vetchtrail.Availability{PausedUntil: later, RequestedAt: now, ReceivedAt: now})
		}, "", EndpointStatus{PausedUntil: later}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := New()
			tab.Configure([]EndpointInRegion{{Endpoint: e}})
			c.announce(tab)
			status := tab.EndpointStatuses(now)[0]
			assert.Equal(t, status.LeavingBy, c.by)
			assert.Equal(t, status.LeavingSince, c.status.LeavingSince)
			assert.Equal(t, status.PausedUntil, c.status.PausedUntil)
		})
	}
}

// TestReportOfNewProcess guards against an announcement that outlives its process: a load report with a
// process start time after the announcement withdraws it. A report without a start time or with an earlier one
// doesn't.
func TestReportOfNewProcess(t *testing.T) {
	cases := map[string]struct {
		started time.Time
		want    vetchtrail.Reason
	}{
		"start not known":             {time.Time{}, vetchtrail.ReasonDraining},
		"before the announcement":     {now.Add(-time.Hour), vetchtrail.ReasonDraining},
		"after the announcement":      {now.Add(time.Second), ""},
		"when it was received":        {now, vetchtrail.ReasonDraining},
		"long after the announcement": {now.Add(time.Minute), ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := New()
			tab.Configure([]EndpointInRegion{{Endpoint: vetchtrail.Endpoint{Name: "e000", Service: "s", Slots: 4}}})
			tab.RecordAnnouncement("e000", time.Time{}, vetchtrail.Availability{Leaving: true, PausedUntil: now.Add(time.Hour), RequestedAt: now, ReceivedAt: now})
			assert.Assert(t, tab.RecordReport("e000", vetchtrail.LoadReport{TakenAt: now.Add(2 * time.Minute), StartedAt: c.started}, time.Time{}))
			reason, _ := tab.Blocked("e000", now.Add(2*time.Minute))
			assert.Equal(t, reason, c.want)
			assert.Assert(t, allReports(tab)[0].EverAnnounced, "other hosts don't receive its start time")
		})
	}
}

// BenchmarkFillLeaving measures how long the view for a decision takes to build if none or a tenth of the endpoints
// are leaving. Nothing may be allocated.
func BenchmarkFillLeaving(b *testing.B) {
	for _, share := range []int{0, 10} {
		b.Run(fmt.Sprintf("one-in=%d", share), func(b *testing.B) {
			t := table(267)
			n := 0
			for name := range t.endpoints {
				if n++; share > 0 && n%share == 0 {
					t.RecordAnnouncement(name, time.Time{}, vetchtrail.Availability{Leaving: true, RequestedAt: now, ReceivedAt: now})
				}
			}
			r, v := &vetchtrail.Request{Service: "s"}, vetchtrail.View{}
			b.ReportAllocs()
			for b.Loop() {
				v.Endpoints = v.Endpoints[:0]
				t.Fill(&v, r, now)
			}
		})
	}
}
