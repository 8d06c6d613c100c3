package policy

import (
	"time"

	"vetchtrail"
)

const (
	// batchSlowdown is the share of a request's service time by which a full batch
	// delays the request's first token.
	batchSlowdown = 0.1
	// fullQueueFactor is how many times longer a load report of a full endpoint stays
	// accurate: its queue lasts that many times longer than one request.
	fullQueueFactor = 5.0
	// maxReportAge is the age above which an endpoint's load report or a data centre's
	// digest is ignored.
	maxReportAge = 10 * time.Second
)

// meanOtherRequests returns the mean number of requests that other hosts have in flight at
// an endpoint, according to the fresh load reports of the endpoints that this host or its peers
// can use.
func meanOtherRequests(r *vetchtrail.Request, v *vetchtrail.View) float64 {
	sum, count := 0, 0
	for i := range v.Endpoints {
		e := &v.Endpoints[i]
		if hasFreshReport(e) && (e.ViaPeers || unusableReason(e, r, v) == "") {
			sum += reportedOtherRequests(e)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return float64(sum) / float64(count)
}

func hasFreshReport(e *vetchtrail.EndpointView) bool {
	return e.ReportAge >= 0 && e.ReportAge <= maxReportAge
}

// reportedOtherRequests returns how many requests of other hosts an endpoint had at the
// time of its load report: all that it reported less those of this host at that time.
func reportedOtherRequests(e *vetchtrail.EndpointView) int {
	return max(0, e.Running+e.Queued-(e.InFlight-e.InFlightChange))
}

// estimateRequests estimates how many requests an endpoint has now: those of this host,
// which are known exactly, and those of other hosts. Most requests in an old report have
// ended since. The older the report is, relative to a request's service time, the less the
// estimate follows it and the more it follows meanOthers, the mean over all endpoints.
// Otherwise all hosts with the same old reports would choose the same endpoint.
func estimateRequests(e *vetchtrail.EndpointView, meanOthers float64) float64 {
	if !hasFreshReport(e) {
		return float64(e.InFlight) + meanOthers
	}
	relativeAge := float64(e.ReportAge) / float64(time.Second) / max(e.ServiceTime, 1e-3)
	if e.Running+e.Queued >= e.Slots {
		relativeAge /= fullQueueFactor
	}
	confidence := 1 / (1 + relativeAge + relativeAge*relativeAge/2)
	return float64(e.InFlight) + meanOthers + confidence*(float64(reportedOtherRequests(e))-meanOthers)
}

// startDelay predicts the seconds until an endpoint that is estimated to have the given
// number of requests starts one more. Below capacity the delay rises slowly at first:
// the number is an estimate, and the chance that the endpoint is in fact full rises with
// its utilisation.
func startDelay(e *vetchtrail.EndpointView, requests float64) float64 {
	slots := float64(max(e.Slots, 1))
	if requests >= slots {
		return e.ServiceTime * (batchSlowdown + (requests-slots+1)/slots)
	}
	utilisation := requests / slots
	return e.ServiceTime * (batchSlowdown*utilisation + utilisation*utilisation*utilisation*utilisation/slots)
}
