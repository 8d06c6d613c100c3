package demand

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/load"
	"vetchtrail/request/admission"
	"vetchtrail/schema"
)

// TestCapacity guards against figures for operators that differ from those by which requests are
// admitted: grants counted twice, planned returns shown as demand of a workspace, and state that
// a question creates.
func TestCapacity(t *testing.T) {
	s := &supplies{Supply: load.Supply{Rate: 1000, CachedShare: 1, Wait: 500 * time.Millisecond, Queued: 5}}
	table := newTable(s, 1)
	table.cfg.Region, table.cfg.RegionID = "here", func(string) (vetchtrail.RegionID, bool) { return 1, true }
	table.cfg.Planned = func(_ string, _ int, now time.Time) []vetchtrail.PlannedReturn {
		return []vetchtrail.PlannedReturn{{Priority: 0, At: now.Add(time.Second / 2), Work: 50}}
	}
	idle := table.Capacity("chat", start)
	assert.Assert(t, idle.InForce && !idle.Shortage && idle.Supply == 1000 && idle.Hosts == 1 && len(table.services) == 0, "%+v", idle)

	now := start
	for range 300 { // 3,000 tokens a second
		now = now.Add(time.Second / 30)
		table.RecordDigest("there", "dc2", &schema.ServiceDigest{Service: "chat", Supply: 2000, Asked: 1000}, now)
		r := request("w", 100, now)
		r.AllowedRegions = 1 << 1
		table.Admit(r, now)
	}
	c, f := table.Capacity("chat", now), table.services["chat"].controller.Figures()
	assert.Assert(t, c.Shortage && !c.Since.IsZero() && c.Granted > 0, "%+v", c)
	assert.Assert(t, math.Abs(c.Supply-1000*c.Factor) < 1 && math.Abs(c.Supply+c.Granted-f.Supply) < 1, "%+v %+v", c, f)
	assert.Equal(t, len(c.Returns), 1)
	assert.Equal(t, len(c.Classes), 1)
	share := table.services["chat"].controller.Share(admission.Class{Workspace: "w"})
	assert.Assert(t, c.Classes[0].Workspace == "w" && c.Classes[0].Admitted == c.Classes[0].Asked*share, "%+v", c)

	table.cfg.Enforce = EnforceNever
	assert.DeepEqual(t, table.Capacity("chat", now), Capacity{})
}
