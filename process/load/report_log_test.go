package load

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// allReports returns the newest report of each endpoint that has one.
func allReports(t *Table) []ReportEntry {
	out, _ := t.ReportsAfter(0, time.Time{}, time.Time{})
	return out
}

// TestReportsAfter guards against reports that a host passes on to others twice, after a newer one of the
// same endpoint, from an earlier process instance, or too late. Only a leaving endpoint's report is passed
// on however old.
func TestReportsAfter(t *testing.T) {
	report := func(tab *Table, name string, age time.Duration, leaving bool) {
		tab.RecordReport(name, vetchtrail.LoadReport{TakenAt: now.Add(-age), Leaving: leaving}, now.Add(time.Hour))
	}
	cases := map[string]struct {
		first, then func(tab *Table)
		all, later  []string // returned after first, and after then
	}{
		"nothing new":      {func(tab *Table) { report(tab, "e001", 0, false) }, func(*Table) {}, []string{"e001"}, nil},
		"another endpoint": {func(tab *Table) { report(tab, "e001", 0, false) }, func(tab *Table) { report(tab, "e002", 0, false) }, []string{"e001"}, []string{"e002"}},
		"a newer report":   {func(tab *Table) { report(tab, "e001", time.Second, false) }, func(tab *Table) { report(tab, "e001", 0, false) }, []string{"e001"}, []string{"e001"}},
		"two of the same":  {func(tab *Table) { report(tab, "e001", 2, false); report(tab, "e001", 1, false) }, func(*Table) {}, []string{"e001"}, nil},
		"too old":          {func(tab *Table) { report(tab, "e001", time.Minute, false) }, func(tab *Table) { report(tab, "e002", time.Minute, false) }, nil, nil},
		"too old, leaving": {func(tab *Table) { report(tab, "e001", time.Minute, true) }, func(*Table) {}, []string{"e001"}, nil},
		"another instance": {func(tab *Table) { report(tab, "e001", 0, false) }, func(tab *Table) {
			report(tab, "e002", 0, false)
			tab.Configure([]EndpointInRegion{{Endpoint: vetchtrail.Endpoint{Name: "e002", Service: "s", Slots: 4, Born: now}}})
			tab.RecordAnnouncement("e002", now, vetchtrail.Availability{})
			report(tab, "e002", time.Second, false)
			tab.Configure([]EndpointInRegion{{Endpoint: vetchtrail.Endpoint{Name: "e002", Service: "s", Slots: 4, Born: now.Add(time.Second)}}})
		}, []string{"e001"}, nil},
		"older after newer": {func(tab *Table) { report(tab, "e001", 0, false) }, func(tab *Table) { report(tab, "e002", time.Second, false) }, []string{"e001"}, []string{"e002"}},
	}
	names := func(in []ReportEntry) []string {
		var out []string
		for _, r := range in {
			out = append(out, r.Endpoint)
		}
		return out
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tab := table(4)
			c.first(tab)
			all, number := tab.ReportsAfter(0, now.Add(-2*time.Second), now)
			assert.DeepEqual(t, names(all), c.all)
			c.then(tab)
			later, _ := tab.ReportsAfter(number, now.Add(-2*time.Second), now)
			assert.DeepEqual(t, names(later), c.later)
		})
	}
}
