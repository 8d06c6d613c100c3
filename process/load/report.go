package load

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
)

// RecordReport records a load report that this host fetched, if it is newer than the known one, and returns whether it
// was. If the endpoint is leaving by the report, it is out of use until leavingUntil.
func (t *Table) RecordReport(name string, r vetchtrail.LoadReport, leavingUntil time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.endpoints[name]
	if !ok || !t.acceptReport(s, r, true, leavingUntil) {
		return false
	}
	t.recordReached(s, byOwnReport, r.TakenAt, r.TakenAt)
	return true
}

// RecordReportByHash records a load report that another host fetched. The endpoint is given by the hash of its name
// (NameHash).
func (t *Table) RecordReportByHash(nameHash uint32, r vetchtrail.LoadReport, leavingUntil time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.byNameHash[nameHash]
	return ok && t.acceptReport(s, r, false, leavingUntil)
}

// NameHash is the hash of an endpoint's name, which replaces the name in messages between hosts. Two endpoints
// of a data centre are unlikely to have the same hash; if they do, their load reports are mixed up.
func NameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// acceptReport records a report if it is newer than the known one, and returns whether it was. The caller holds
// the lock.
func (t *Table) acceptReport(s *endpointState, r vetchtrail.LoadReport, receivedHere bool, leavingUntil time.Time) bool {
	if s.hasReport && !r.TakenAt.After(s.report.TakenAt) {
		return false
	}
	s.recentQueue.observe(r.Queued, r.TakenAt.Sub(s.report.TakenAt))
	s.report, s.hasReport, s.receivedHere = r, true, receivedHere
	s.full.reported(&r, t.hostCount())
	t.recordSlowdown(s)
	t.logReport(s)
	s.recordReportedLeaving(r.Leaving, leavingUntil)
	if r.StartedAt.After(s.availability.receivedAt) && !s.availability.expiresAt().IsZero() {
		s.availability.announcements = announcements{} // they came from an earlier process instance
	}
	t.wake(s.Service)
	return true
}

// recordReportedLeaving records whether the endpoint is leaving by its newest report.
func (s *endpointState) recordReportedLeaving(leaving bool, until time.Time) {
	s.availability.reportUntil, s.reportsLeaving = time.Time{}, leaving
	if leaving {
		s.availability.reportUntil = until
	}
}

// ReportedAt returns the time of an endpoint's newest report; zero: there is none.
func (t *Table) ReportedAt(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.endpoints[name]; ok {
		return s.report.TakenAt
	}
	return time.Time{}
}

// MarkLeaving records that the platform's list of endpoints states that an endpoint is leaving. The endpoint is out of
// use until the given time.
func (t *Table) MarkLeaving(name string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.endpoints[name]; ok {
		s.availability.platformUntil = vetchtrail.Later(s.availability.platformUntil, until)
	}
}

// MarkUnreachable records that an endpoint refused a connection of the poller.
func (t *Table) MarkUnreachable(name string, now time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.endpoints[name]; ok {
		t.recordUnreachable(s, now.Add(minConnectBackOff), now, err)
	}
}
