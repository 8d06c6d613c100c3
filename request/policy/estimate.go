package policy

import (
	"time"

	"vetchtrail"
)

const (
	// batchDrag is the share of a request's service time that a full batch
	// adds to the time to its first token.
	batchDrag = 0.1
	// fullLasts is how many times longer than a request a full endpoint's queue
	// lasts.
	fullLasts = 5.0
	// staleAfter is the age after which a report says nothing.
	staleAfter = 10 * time.Second
)

// meanOthers is how many requests of other hosts an endpoint holds in the mean,
// by the reports.
func meanOthers(r *vetchtrail.Request, v *vetchtrail.View) float64 {
	sum, n := 0, 0
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		if reported(e) && unfit(e, r, v) == "" {
			sum += othersAt(e)
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(sum) / float64(n)
}

func reported(e *vetchtrail.EndpointView) bool { return e.Age >= 0 && e.Age <= staleAfter }

// othersAt is what a report says beyond this host's own requests at its time.
func othersAt(e *vetchtrail.EndpointView) int {
	return max(0, e.Running+e.Queued-(e.Own-e.OwnSince))
}

// load estimates the requests at an endpoint: this host's own, which it knows,
// and those of others. A late report tells of requests that have mostly ended
// since: the older it is beside a request's service time, the more the mean
// over all endpoints stands for it. Hosts with the same late reports would
// else all choose the same endpoint.
func load(e *vetchtrail.EndpointView, others float64) float64 {
	if !reported(e) {
		return float64(e.Own) + others
	}
	late := float64(e.Age) / float64(time.Second) / max(e.Service, 1e-3)
	if e.Running+e.Queued >= e.Slots {
		late /= fullLasts
	}
	trust := 1 / (1 + late + late*late/2)
	return float64(e.Own) + others + trust*(float64(othersAt(e))-others)
}

// waitAt predicts the seconds until an endpoint with n requests starts one
// more. Short of full it grows slowly at first: n is an estimate, and the
// chance that it is full already grows with it.
func waitAt(e *vetchtrail.EndpointView, n float64) float64 {
	slots := float64(max(e.Slots, 1))
	if n >= slots {
		return e.Service * (batchDrag + (n-slots+1)/slots)
	}
	full := n / slots
	return e.Service * (batchDrag*full + full*full*full*full/slots)
}
