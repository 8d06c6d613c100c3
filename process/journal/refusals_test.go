package journal

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
)

// refusalLog returns the log lines that a Journal writes for a refused request.
func refusalLog(reason vetchtrail.Reason, canRetry bool, plan vetchtrail.RetryPlan) string {
	var out strings.Builder
	j := New(Config{Log: slog.New(slog.NewJSONHandler(&out, nil)).With("host", "a")})
	start := time.Unix(1_800_000_000, 0)
	r := vetchtrail.JournalRecord{At: start, Request: "x1", Service: "chat", Route: "r", Home: "h", Attempt: 1, CallerCanRetry: canRetry}
	r.Decision = vetchtrail.Decision{Kind: vetchtrail.Refuse, Reason: vetchtrail.ReasonOverCapacity}
	r.Decision.AddCandidate("chat", 0.25, reason)
	j.Record(r)
	r.Ended, r.Took = true, time.Millisecond
	r.Outcome = vetchtrail.Outcome{Kind: vetchtrail.OutcomeNotRun, Step: vetchtrail.StepDecide, Reason: vetchtrail.ReasonOverCapacity, RetryPlan: plan, RetryAt: start.Add(301 * time.Millisecond)}
	j.Record(r)
	j.writeQueued()
	return out.String()
}

// TestRefusals guards against refusals by admission that are counted as a lack of endpoints, and
// against callers with a reserved slot that are counted as lost for good, by the lines that the
// daemon writes.
func TestRefusals(t *testing.T) {
	const slot, tooLate = vetchtrail.RetryInSlot, vetchtrail.RetryTooLate
	for name, c := range map[string]struct {
		reason  vetchtrail.Reason
		first   bool // first attempt
		plan    vetchtrail.RetryPlan
		cause   Cause
		verdict string // end of the verdict
	}{
		"admission, first attempt":           {vetchtrail.ReasonAdmission, true, "", CauseNotAdmittedFirstAttempt, "over-capacity at decide, by admission"},
		"admission, first attempt, slot":     {vetchtrail.ReasonAdmission, true, slot, CauseNotAdmittedInSlot, "by admission, retry planned after 300ms, for which capacity is reserved"},
		"admission, first attempt, too late": {vetchtrail.ReasonAdmission, true, tooLate, CauseNotAdmittedTooLate, "by admission, no retry before its deadline can be served; told 300ms"},
		"admission, return":                  {vetchtrail.ReasonAdmission, false, "", CauseNotAdmittedRetry, "by admission"},
		"admission, return, too late":        {vetchtrail.ReasonAdmission, false, tooLate, CauseNotAdmittedRetry, "told 300ms"},
		"full, first attempt":                {vetchtrail.ReasonFull, true, "", CauseRefusedFirstAttempt, "over-capacity at decide"},
		"full, first attempt, slot":          {vetchtrail.ReasonFull, true, slot, CauseRefusedInSlot, "decide, retry planned after 300ms, for which capacity is reserved"},
		"full, first attempt, too late":      {vetchtrail.ReasonFull, true, tooLate, CauseRefusedTooLate, "told 300ms"},
		"full, return, too late":             {vetchtrail.ReasonFull, false, tooLate, CauseRefusedRetry, "told 300ms"},
	} {
		t.Run(name, func(t *testing.T) {
			log := refusalLog(c.reason, c.first, c.plan)
			l, err := ReadLosses(strings.NewReader(log))
			assert.NilError(t, err)
			assert.Equal(t, len(l.Rows), 1)
			assert.Equal(t, l.Rows[0].Cause, c.cause)
			h, err := ReadHistory("x1", strings.NewReader(log))
			assert.NilError(t, err)
			assert.Assert(t, strings.HasSuffix(h.Verdict(), c.verdict), h.Verdict())
		})
	}
}
