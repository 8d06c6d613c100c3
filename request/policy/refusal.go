package policy

import (
	"math"
	"time"

	"vetchtrail"
)

const (
	// retryDelayShare is the delay after which the caller of a refused request should retry,
	// as a share of the time left until the deadline. Callers only follow a delay of up to a
	// third of that time.
	retryDelayShare = 0.25
	// minRetryDelay and maxRetryDelay bound the delay before a retry that a refusal
	// advertises.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// refusalReason returns the reason that a caller receives when its request can neither
// run nor wait anywhere.
func refusalReason(r *vetchtrail.Request, v *vetchtrail.View) vetchtrail.Reason {
	if r.AllowedRegions == 0 {
		return vetchtrail.ReasonResidency
	}
	reason := vetchtrail.ReasonNoEndpoint
	if r.StreamVersion.Known {
		reason = vetchtrail.ReasonOtherVersion
	}
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		switch {
		case !r.AllowedRegions.Has(e.Region) || e.UnavailableReason == vetchtrail.ReasonOtherVersion:
		case e.UnavailableReason != vetchtrail.ReasonUnreachable:
			return vetchtrail.ReasonOverCapacity
		default:
			reason = vetchtrail.ReasonUnreachable
		}
	}
	for i := range v.Remotes {
		m := &v.Remotes[i]
		switch unusableRemoteReason(m, r, v) {
		case vetchtrail.ReasonFull:
			return vetchtrail.ReasonOverCapacity
		case vetchtrail.ReasonTriedBefore:
			if m.SharesEndpoints { // a peer that reaches the endpoints had no capacity there
				return vetchtrail.ReasonOverCapacity
			}
		case vetchtrail.ReasonUnreachable, vetchtrail.ReasonDigestStale:
			reason = vetchtrail.ReasonUnreachable
		}
	}
	return reason
}

// retryDelay returns how long the caller of a request that finds no capacity should wait
// before it retries. A shortage lasts for seconds and callers retry only once or twice, so
// for a request of a route the delay is a share of the time left until its deadline.
func retryDelay(now time.Time, r *vetchtrail.Request) time.Duration {
	if r.Route == "" {
		return minRetryDelay
	}
	return max(minRetryDelay, time.Duration(retryDelayShare*float64(r.Deadline.Sub(now))))
}

// RetryAt returns when the caller of a request that finds no capacity should retry.
func RetryAt(now time.Time, r *vetchtrail.Request) time.Time {
	return now.Add(min(retryDelay(now, r), maxRetryDelay))
}

// refuse turns d into a refusal that advertises a retry after the given delay, limited
// to minRetryDelay and maxRetryDelay.
func refuse(d *vetchtrail.Decision, reason vetchtrail.Reason, now time.Time, delay time.Duration) vetchtrail.Decision {
	d.Kind, d.Reason = vetchtrail.Refuse, reason
	d.RetryAt = now.Add(min(max(delay, minRetryDelay), maxRetryDelay))
	return *d
}

// cappedDuration converts predicted seconds, which may be infinite, to a duration of at
// most ten times maxRetryDelay.
func cappedDuration(seconds float64) time.Duration {
	if math.IsInf(seconds, 1) || seconds > maxRetryDelay.Seconds()*10 {
		return maxRetryDelay * 10
	}
	return time.Duration(seconds * float64(time.Second))
}

// exactDuration converts seconds to a duration without a cap, for waits until a known time,
// such as the end of a pause.
func exactDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
