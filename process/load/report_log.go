package load

import (
	"slices"
	"time"

	"vetchtrail"
)

// maxReportLog bounds the log of accepted reports: some seconds at a thousand reports a second.
const maxReportLog = 1 << 12

// reportLogEntry records that an endpoint's report was accepted.
type reportLogEntry struct {
	endpoint       *endpointState
	number         uint64 // of the report, counted from 1 over all endpoints
	newestUnixNano int64  // time of the newest report up to this entry
}

// logReport records that the endpoint's report was accepted. The caller holds the lock.
func (t *Table) logReport(s *endpointState) {
	t.reportNumber++
	s.reportNumber = t.reportNumber
	entry := reportLogEntry{endpoint: s, number: t.reportNumber, newestUnixNano: s.report.TakenAt.UnixNano()}
	if n := len(t.reportLog); n > 0 {
		entry.newestUnixNano = max(entry.newestUnixNano, t.reportLog[n-1].newestUnixNano)
	}
	if len(t.reportLog) >= maxReportLog {
		t.reportLog = slices.Delete(t.reportLog, 0, maxReportLog/2)
	}
	t.reportLog = append(t.reportLog, entry)
}

// ReportEntry is an endpoint's newest report, as this host sends it to other hosts.
type ReportEntry struct {
	Endpoint      string
	NameHash      uint32 // hash of its name, see the function NameHash
	Report        vetchtrail.LoadReport
	ReceivedHere  bool // this host received it from the endpoint: fetched, or with a response
	EverAnnounced bool // a response of the endpoint once announced that it is leaving or paused
	// Speed and SpeedCount are the endpoint's speed as a multiple of its service's and the observations of it, both by
	// this host alone; 0: there are no recent ones, or the endpoint has reported no slowdown.
	Speed      float64
	SpeedCount int
}

// ReportsAfter returns the reports that this host accepted after the one with the given number and that are
// newer than a time, and the number of the last accepted report. Of an endpoint's reports only the newest is
// returned. The last accepted is first. If the given number is 0, the reports by which an endpoint is leaving
// are returned however old they are, after the others.
func (t *Table) ReportsAfter(number uint64, after, now time.Time) ([]ReportEntry, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ReportEntry
	oldest := after.UnixNano()
	for _, entry := range slices.Backward(t.reportLog) {
		if entry.number <= number || entry.newestUnixNano <= oldest {
			break
		}
		// A state that is no longer in the table belongs to an earlier process instance, whose report is not
		// valid for the present one.
		if s := entry.endpoint; s.reportNumber == entry.number && t.endpoints[s.Name] == s && (s.reportsLeaving || s.report.TakenAt.After(after)) {
			out = append(out, s.newestReport(now))
		}
	}
	if number > 0 {
		return out, t.reportNumber
	}
	for _, s := range t.endpoints {
		if s.reportsLeaving && !s.report.TakenAt.After(after) {
			out = append(out, s.newestReport(now))
		}
	}
	return out, t.reportNumber
}

func (s *endpointState) newestReport(now time.Time) ReportEntry {
	out := ReportEntry{Endpoint: s.Name, NameHash: uint32(s.nameHash), Report: s.report, ReceivedHere: s.receivedHere, EverAnnounced: s.everAnnounced}
	if s.uneven != nil {
		out.Speed, out.SpeedCount = s.uneven.speed.own(now)
	}
	return out
}
