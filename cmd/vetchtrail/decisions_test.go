package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"vetchtrail/schema"
)

// TestPrintRecord guards against an explanation that shows a share of admission as the cost of an
// endpoint, and against one without the planned retry.
func TestPrintRecord(t *testing.T) {
	for name, c := range map[string]struct {
		record *schema.DecisionRecord
		want   string // end of the text
	}{
		"endpoint":      {&schema.DecisionRecord{Candidates: []*schema.Candidate{{Name: "e1", Cost: 0.5, Reason: "full"}}}, "\tnot e1\tcost 0.5000\tfull\n"},
		"admission":     {&schema.DecisionRecord{Candidates: []*schema.Candidate{{Name: "chat", Cost: 0.125, Reason: "admission"}}}, "\tnot admitted to chat\t12.5% of its class are admitted\tadmission\n"},
		"without retry": {&schema.DecisionRecord{Outcome: "not-run", Step: "decide", Reason: "full"}, "(step decide, reason full)\n"},
		"slot":          {&schema.DecisionRecord{Outcome: "not-run", RetryPlan: "slot", RetryIn: 300_000_000}, "), retry planned after 300ms, for which capacity is reserved\n"},
		"too late":      {&schema.DecisionRecord{Outcome: "not-run", RetryPlan: "too-late", RetryIn: 300_000_000}, "), no retry before its deadline can be served; told 300ms\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var b bytes.Buffer
			printRecord(&b, c.record)
			assert.Assert(t, strings.HasSuffix(b.String(), c.want), b.String())
		})
	}
}
