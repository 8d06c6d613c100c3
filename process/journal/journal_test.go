package journal

import (
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestPlannedRetry guards against an outcome line that doesn't tell a slot from a time without
// use, and against new fields in the lines of deployments that plan no returns.
func TestPlannedRetry(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for plan, want := range map[vetchtrail.RetryPlan]string{
		vetchtrail.RetryInSlot: `"retry_plan":"slot","retry_in":300000000}`, vetchtrail.RetryTooLate: `"retry_plan":"too-late","retry_in":300000000}`, "": `"error":""}`,
	} {
		var out strings.Builder
		j := New(Config{Log: slog.New(slog.NewJSONHandler(&out, nil))})
		j.Record(vetchtrail.JournalRecord{
			At: start, Ended: true, Took: 200 * time.Millisecond, Outcome: vetchtrail.Outcome{RetryPlan: plan, RetryAt: start.Add(500 * time.Millisecond)},
		})
		j.writeQueued()
		var line Line
		assert.NilError(t, json.Unmarshal([]byte(out.String()), &line))
		assert.Assert(t, line.RetryPlan == string(plan) && (line.RetryIn == 300*time.Millisecond) == (plan != ""))
		assert.Assert(t, strings.HasSuffix(strings.TrimSpace(out.String()), want), "%s", out.String())
	}
}
