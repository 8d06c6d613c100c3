package policy

import (
	"math"
	"time"

	"vetchtrail"
)

const (
	// backShare is the share of the time left after which the caller of a refused
	// request may come back: callers heed up to a third.
	backShare = 0.25
	// minRetry and maxRetry bound the time to come back that a refusal names.
	minRetry = 200 * time.Millisecond
	maxRetry = 30 * time.Second
)

// refusal finds the reason that a caller is told when nothing is fit.
func refusal(r *vetchtrail.Request, v *vetchtrail.View) vetchtrail.Reason {
	if r.Allowed == 0 {
		return vetchtrail.ReasonResidency
	}
	for i := range v.Endpoints {
		if r.Allowed.Has(v.Endpoints[i].Region) {
			return vetchtrail.ReasonOverCapacity
		}
	}
	why := vetchtrail.ReasonNoEndpoint
	for i := range v.Remotes {
		switch unfitRemote(&v.Remotes[i], r, v) {
		case vetchtrail.ReasonFull:
			return vetchtrail.ReasonOverCapacity
		case vetchtrail.ReasonUnreachable, vetchtrail.ReasonStale:
			why = vetchtrail.ReasonUnreachable
		}
	}
	return why
}

// backAfter is when the caller of a request that finds no room may come back. A
// shortage lasts for seconds and callers ask again only once or twice: those of
// routes are told a good part of the time that they have.
func backAfter(now time.Time, r *vetchtrail.Request) time.Duration {
	if r.Route == "" {
		return minRetry
	}
	return max(minRetry, time.Duration(backShare*float64(r.Deadline.Sub(now))))
}

func refuse(d *vetchtrail.Decision, why vetchtrail.Reason, now time.Time, after time.Duration) vetchtrail.Decision {
	d.Kind, d.Reason = vetchtrail.Refuse, why
	d.RetryAt = now.Add(min(max(after, minRetry), maxRetry))
	return *d
}

func seconds(s float64) time.Duration {
	if math.IsInf(s, 1) || s > maxRetry.Seconds()*10 {
		return maxRetry * 10
	}
	return time.Duration(s * float64(time.Second))
}

// exactly is a time that is known, not predicted: it has no bound.
func exactly(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
