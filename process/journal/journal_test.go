package journal

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// TestPlannedRetry guards against an outcome line that doesn't tell a slot from a time without
// use, and against new fields in the lines of deployments that plan no returns.
func TestPlannedRetry(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for name, c := range map[string]struct {
		plan vetchtrail.RetryPlan
		in   time.Duration
	}{
		"slot":        {vetchtrail.RetryInSlot, 300 * time.Millisecond},
		"too late":    {vetchtrail.RetryTooLate, 300 * time.Millisecond},
		"not planned": {"", 0},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			j := New(Config{Log: slog.New(slog.NewJSONHandler(&out, nil))})
			j.Record(vetchtrail.JournalRecord{
				At: start, Ended: true, Took: 200 * time.Millisecond, Outcome: vetchtrail.Outcome{RetryPlan: c.plan, RetryAt: start.Add(500 * time.Millisecond)},
			})
			j.writeQueued()
			var line Line
			assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
			assert.Equal(t, line.RetryPlan, string(c.plan))
			assert.Equal(t, line.RetryIn, c.in)
			assert.Equal(t, bytes.Contains(out.Bytes(), []byte("retry_")), c.plan != "")
		})
	}
}
