package journal

import (
	"slices"
	"time"

	"vetchtrail"
)

// Causes of refusals for lack of capacity, beside CauseRefusedFirstAttempt and CauseRefusedRetry.
// Refusals by admission are apart from those for which no endpoint was found. With a slot, the
// caller is expected back: its retry is a request of its own.
const (
	CauseNotAdmittedFirstAttempt Cause = "refused by admission at its first try"
	CauseNotAdmittedInSlot       Cause = "refused by admission at its first try, with a slot to come back"
	CauseNotAdmittedTooLate      Cause = "refused by admission at its first try, too late to come back"
	CauseNotAdmittedRetry        Cause = "refused by admission when its caller came back"
	CauseRefusedInSlot           Cause = "refused at its first try, with a slot to come back"
	CauseRefusedTooLate          Cause = "refused at its first try, too late to come back"
)

// refusalCause returns why a request was refused for lack of capacity. Retries are told apart by
// admission only: capacity is never reserved for another one.
func (r *requestLog) refusalCause() Cause {
	if !r.firstDecision.CallerCanRetry {
		return r.byAdmission(CauseNotAdmittedRetry, CauseRefusedRetry)
	}
	switch vetchtrail.RetryPlan(r.outcome.RetryPlan) {
	case vetchtrail.RetryInSlot:
		return r.byAdmission(CauseNotAdmittedInSlot, CauseRefusedInSlot)
	case vetchtrail.RetryTooLate:
		return r.byAdmission(CauseNotAdmittedTooLate, CauseRefusedTooLate)
	}
	return r.byAdmission(CauseNotAdmittedFirstAttempt, CauseRefusedFirstAttempt)
}

// byAdmission returns one of two causes: admitted if admission let the request pass.
func (r *requestLog) byAdmission(refused, admitted Cause) Cause {
	if r.firstDecision.refusedByAdmission() {
		return refused
	}
	return admitted
}

// refusedByAdmission reports whether a decision is a refusal by admission. Admission is asked
// before any endpoint, so that it is a request's first decision.
func (l *Line) refusedByAdmission() bool {
	return l.Msg == MsgDecision && l.Decision == vetchtrail.Refuse.String() && slices.ContainsFunc(l.Candidates, func(c loggedCandidate) bool {
		return c.Reason == string(vetchtrail.ReasonAdmission)
	})
}

// DescribeRetry returns what the caller of a refused request was told about a retry, after a
// comma; empty if its time was not planned.
func DescribeRetry(plan string, after time.Duration) string {
	in := after.Round(time.Millisecond).String()
	switch vetchtrail.RetryPlan(plan) {
	case vetchtrail.RetryInSlot:
		return ", retry planned after " + in + ", for which capacity is reserved"
	case vetchtrail.RetryTooLate:
		return ", no retry before its deadline can be served; told " + in
	}
	return ""
}
