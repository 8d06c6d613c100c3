package policy

import (
	"cmp"
	"math"
	"slices"

	"vetchtrail"
)

const (
	// digestAgePenalty is the share of a digest's age that is added to the time to first
	// token that the digest reports. Other hosts have received the same digest and may have
	// forwarded requests to the data centre since.
	digestAgePenalty = 0.05
	// remoteMargin is the share of the local cost that the remote cost must be below for a
	// request to be forwarded. Without the margin, small errors in old digests would cause
	// requests to be forwarded.
	remoteMargin = 0.97
)

// bestRemote returns the index of the remote data centre with the lowest cost, and that
// cost. The index is -1 if none can be used.
func bestRemote(d *vetchtrail.Decision, ev *evaluation, r *vetchtrail.Request, v *vetchtrail.View) (index int, cost float64) {
	index, cost = -1, math.Inf(1)
	if ev.switchedOff.Has(vetchtrail.MechanismForwarding) {
		return index, cost
	}
	for i := range v.Remotes {
		m := &v.Remotes[i]
		if reason := unusableRemoteReason(m, r, v); reason != "" || m.SharesEndpoints && !ev.peerUsable {
			d.AddCandidate(m.DataCentre, 0, cmp.Or(reason, vetchtrail.ReasonFull))
			continue
		}
		if m.SharesEndpoints {
			c := ev.peerCost + 2*v.Weights.Tail*m.Delay.Seconds()
			d.AddCandidate(m.DataCentre, c, vetchtrail.ReasonCost)
			if c < cost {
				index, cost = i, c
			}
			continue
		}
		if streamTooSlow(ev, m.EventInterval, 2*m.Delay.Seconds()+m.TimeToFirstToken, r, v) {
			d.AddCandidate(m.DataCentre, m.EventInterval, vetchtrail.ReasonSlow)
			continue
		}
		c := v.Weights.Tail*(2*m.Delay.Seconds()+m.TimeToFirstToken+digestAgePenalty*m.DigestAge.Seconds()) + crossRegionCost(m, v) + idleCost(ev, r, v)
		d.AddCandidate(m.DataCentre, c, vetchtrail.ReasonCost)
		if c < cost {
			index, cost = i, c
		}
	}
	return index, cost
}

// idleCost estimates the cost of a request at an idle endpoint, from the observations of
// a local endpoint. A request is assumed to cost at least as much in a remote data centre.
func idleCost(ev *evaluation, r *vetchtrail.Request, v *vetchtrail.View) float64 {
	if len(v.Endpoints) == 0 || r.Route == "" {
		return 0
	}
	e := &v.Endpoints[0]
	prefill := idlePrefillTime(remoteUncachedTokens(ev, r, v), e, v)
	return v.Weights.Tail*(e.BaseLatency+prefill+e.ServiceTime*serviceTimeWeight) + v.Weights.Cost*(prefill+e.ServiceTime) + v.Weights.Read*prefill
}

// crossRegionCost returns the cost of forwarding a request out of this host's region. A
// remote data centre of the same region costs nothing extra.
func crossRegionCost(m *vetchtrail.RemoteView, v *vetchtrail.View) float64 {
	if m.Region == v.Region {
		return 0
	}
	return v.Weights.Away
}

// unusableRemoteReason returns why a request can't be forwarded to a remote data centre.
// It is empty if the data centre can be used.
func unusableRemoteReason(m *vetchtrail.RemoteView, r *vetchtrail.Request, v *vetchtrail.View) vetchtrail.Reason {
	switch {
	case r.Hops >= vetchtrail.MaxHops:
		return vetchtrail.ReasonHops
	case !r.AllowedRegions.Has(m.Region):
		return vetchtrail.ReasonResidency
	case m.OtherVersion:
		return vetchtrail.ReasonOtherVersion
	case !m.Reachable:
		return vetchtrail.ReasonUnreachable
	case m.DigestAge > maxReportAge:
		return vetchtrail.ReasonDigestStale
	case len(v.Excluded) > 0 && slices.Contains(v.Excluded, m.DataCentre):
		return vetchtrail.ReasonTriedBefore
	case m.SharesEndpoints:
		return ""
	case float64(m.InFlight) >= float64(m.FreeSlots)*m.WarmUpShare:
		return vetchtrail.ReasonFull
	}
	return ""
}

// worthForwarding reports whether a request should be forwarded rather than wait here.
// It compares the cost of first waiting and then running here with the remote cost. If a
// local endpoint is available, Decide has already found it more expensive than the remote.
func worthForwarding(ev *evaluation, r *vetchtrail.Request, v *vetchtrail.View, remoteCost float64) bool {
	return ev.available > 0 || (v.Weights.Tail*ev.wait+idleCost(ev, r, v))*remoteMargin > remoteCost
}

// runElsewhere forwards a request to the data centre with the given index. It refuses
// the request instead if its first token would come too late.
func runElsewhere(d *vetchtrail.Decision, ev *evaluation, index int, cost float64, r *vetchtrail.Request, v *vetchtrail.View) vetchtrail.Decision {
	m := &v.Remotes[index]
	firstToken := m.TimeToFirstToken
	if m.SharesEndpoints {
		firstToken = ev.peerFirstToken
	}
	d.Wait = 2*m.Delay + cappedDuration(firstToken)
	if ev.now.Add(d.Wait).After(r.Deadline) {
		return refuse(d, vetchtrail.ReasonDeadline, ev.now, d.Wait)
	}
	if missesGoal(ev, d.Wait, r, v) || callerLeavesFirst(ev, d.Wait, r) {
		return refuse(d, vetchtrail.ReasonOverCapacity, ev.now, retryDelay(ev.now, r))
	}
	d.Kind, d.Target, d.Name, d.Cost = vetchtrail.RunElsewhere, index, m.DataCentre, cost
	d.Reason = vetchtrail.ReasonChosen
	return *d
}
