package returns

import "time"

const (
	// followedShare is the largest delay that callers follow, as a share of the time that they
	// have left until their deadline.
	followedShare = 1.0 / 3
	// firstEventShare is the time that a return needs to its first event, as a share of the time
	// to its latency objective. Admission keeps the mean wait for capacity under half of the
	// objective; a single wait may be half as long again.
	firstEventShare = 0.75
	// maxStreamShare is the largest share of its time that a response may be expected to take.
	// The policy refuses a return whose stream would take more (maxStreamShareOnRetry).
	maxStreamShare = 0.7
	// unknownResponseShare is the assumed duration of a response that is not known, as a share
	// of the time until its deadline. The policy admits no first attempt whose stream would
	// take more (maxStreamShare).
	unknownResponseShare = 0.4
	// minDelay is the shortest delay that a refusal advertises.
	minDelay = 50 * time.Millisecond
	// maxDelay bounds how far returns are planned ahead, and with it the memory of a plan.
	maxDelay = 30 * time.Second
)

// Refused describes a refused request.
type Refused struct {
	Priority     int8
	Work         float64       // tokens
	Goal         time.Time     // latency objective; zero: none
	Deadline     time.Time     // of its caller
	ResponseTime time.Duration // expected time from its first event to the end of its response; 0: not known
	Returned     bool          // its caller was refused before
}

// limits returns the latest times at which the caller can return so that its response begins
// within its objective, and so that it ends before its deadline. Neither is later than what
// callers follow.
func (f *Refused) limits(now time.Time) (objective, deadline time.Time) {
	left := f.Deadline.Sub(now)
	followed := now.Add(min(scale(left, followedShare), maxDelay))
	firstEvent := time.Duration(0)
	if !f.Goal.IsZero() {
		firstEvent = max(scale(f.Goal.Sub(now), firstEventShare), 0)
	}
	response := f.ResponseTime
	if response == 0 {
		response = scale(left, unknownResponseShare)
	}
	deadline = earlier(followed, f.Deadline.Add(-scale(firstEvent+response, 1/maxStreamShare)))
	if f.Goal.IsZero() {
		return deadline, deadline
	}
	return earlier(deadline, f.Goal.Add(-firstEvent)), deadline
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(by * float64(d)) }

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
