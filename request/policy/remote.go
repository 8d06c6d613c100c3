package policy

import (
	"math"
	"slices"

	"vetchtrail"
)

const (
	// doubt is the share of a digest's age that is added to the wait it tells of:
	// others have read the same.
	doubt = 0.05
	// awayMargin is the share by which another data centre must be better, so
	// that small errors of lagging digests don't send requests away.
	awayMargin = 0.97
)

// bestRemote returns the data centre with the lowest cost; -1: none.
func bestRemote(d *vetchtrail.Decision, s *scored, r *vetchtrail.Request, v *vetchtrail.View) (at int, cost float64) {
	at, cost = -1, math.Inf(1)
	if s.off.Has(vetchtrail.Forwarding) {
		return at, cost
	}
	for i := range v.Remotes {
		m := &v.Remotes[i]
		if why := unfitRemote(m, r, v); why != "" {
			d.Note(m.DataCentre, 0, why)
			continue
		}
		if endsLate(s, m.Gap, 2*m.Delay.Seconds()+m.Wait, r, v) {
			d.Note(m.DataCentre, m.Gap, vetchtrail.ReasonSlow)
			continue
		}
		c := v.Weights.Tail*(2*m.Delay.Seconds()+m.Wait+doubt*m.Age.Seconds()) + awayCost(m, v) + usualCost(s, r, v)
		d.Note(m.DataCentre, c, vetchtrail.ReasonCost)
		if c < cost {
			at, cost = i, c
		}
	}
	return at, cost
}

// usualCost is what a request costs at an idle endpoint, as far as those here
// show it: elsewhere it is no less.
func usualCost(s *scored, r *vetchtrail.Request, v *vetchtrail.View) float64 {
	if len(v.Endpoints) == 0 || r.Route == "" {
		return 0
	}
	e := &v.Endpoints[0]
	whole := idleTime(unreadElsewhere(s, r, v), e, v)
	return v.Weights.Tail*(e.Base+whole+e.Service*wholeShare) + v.Weights.Cost*(whole+e.Service) + v.Weights.Read*whole
}

// awayCost is what leaving the region costs; going to another data centre of
// the same region is not leaving it.
func awayCost(m *vetchtrail.RemoteView, v *vetchtrail.View) float64 {
	if m.Region == v.Region {
		return 0
	}
	return v.Weights.Away
}

func unfitRemote(m *vetchtrail.RemoteView, r *vetchtrail.Request, v *vetchtrail.View) vetchtrail.Reason {
	switch {
	case r.Hops >= vetchtrail.MaxHops:
		return vetchtrail.ReasonHops
	case !r.Allowed.Has(m.Region):
		return vetchtrail.ReasonResidency
	case !m.Reachable:
		return vetchtrail.ReasonUnreachable
	case m.Age > staleAfter:
		return vetchtrail.ReasonStale
	case len(v.Excluded) > 0 && slices.Contains(v.Excluded, m.DataCentre):
		return vetchtrail.ReasonExcluded
	case float64(m.Own) >= float64(m.Free)*m.Warmth:
		return vetchtrail.ReasonFull
	}
	return ""
}

// worthLeaving compares waiting here, and what the request costs then, with going
// elsewhere.
func worthLeaving(s *scored, r *vetchtrail.Request, v *vetchtrail.View, remoteCost float64) bool {
	return s.open > 0 || (v.Weights.Tail*s.wait+usualCost(s, r, v))*awayMargin > remoteCost
}

func runElsewhere(d *vetchtrail.Decision, s *scored, at int, cost float64, r *vetchtrail.Request, v *vetchtrail.View) vetchtrail.Decision {
	m := &v.Remotes[at]
	d.Wait = 2*m.Delay + seconds(m.Wait)
	if s.now.Add(d.Wait).After(r.Deadline) {
		return refuse(d, vetchtrail.ReasonDeadline, s.now, d.Wait)
	}
	if crowded(s, d.Wait, r) || unheard(s, d.Wait, r) {
		return refuse(d, vetchtrail.ReasonOverCapacity, s.now, backAfter(s.now, r))
	}
	d.Kind, d.Target, d.Name, d.Cost = vetchtrail.RunElsewhere, at, m.DataCentre, cost
	d.Reason = vetchtrail.ReasonChosen
	return *d
}
