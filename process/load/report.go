package load

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
)

// Report takes a report that this host fetched, if it is newer than the one
// held, and says whether it was.
func (t *Table) Report(name string, r vetchtrail.LoadReport, leavingUntil time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.endpoints[name]
	return ok && t.take(s, r, true, leavingUntil)
}

// ReportShort takes a report that another host fetched, by the short form of
// the endpoint's name.
func (t *Table) ReportShort(short uint32, r vetchtrail.LoadReport, leavingUntil time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.shorts[short]
	return ok && t.take(s, r, false, leavingUntil)
}

// Short is the short form of an endpoint's name between hosts. Two of the same
// within a data centre are unlikely, and would only mix their load reports.
func Short(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// take takes a report if it is newer. The caller holds the lock.
func (t *Table) take(s *state, r vetchtrail.LoadReport, polled bool, leavingUntil time.Time) bool {
	if s.reported && !r.At.After(s.report.At) {
		return false
	}
	s.report, s.reported, s.polled = r, true, polled
	t.noteHeard(s)
	if s.backWhy == vetchtrail.ReasonUnreachable {
		s.backOff = time.Time{} // it answers again
	}
	s.hearLeaving(r.Leaving, leavingUntil)
	if r.Started.After(s.leaving.heard) && !s.leaving.ends().IsZero() {
		s.leaving.answers = answers{} // they were another process's
	}
	t.wake(s.Service)
	return true
}

// hearLeaving takes an endpoint's own word that it is leaving, or that it is
// no longer.
func (s *state) hearLeaving(leaving bool, until time.Time) {
	s.leaving.reported, s.says = time.Time{}, leaving
	if leaving {
		s.leaving.reported = until
	}
}

// Reported returns when an endpoint's newest report was true.
func (t *Table) Reported(name string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.endpoints[name]; ok {
		return s.report.At
	}
	return time.Time{}
}

// Leave marks an endpoint as leaving until a moment; it is taken out of use at
// once.
func (t *Table) Leave(name string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.endpoints[name]; ok {
		s.leaving.listed = vetchtrail.Later(s.leaving.listed, until)
	}
}

// Down tells that an endpoint refused a connection.
func (t *Table) Down(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.endpoints[name]; ok {
		s.avoid(vetchtrail.ReasonUnreachable, now.Add(downFor))
		s.warmth = coldStart
	}
}
