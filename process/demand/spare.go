package demand

import (
	"time"

	"vetchtrail"
	"vetchtrail/request/admission"
	"vetchtrail/schema"
)

// remoteBalance is what the digest of a data centre in another region says of a service.
type remoteBalance struct {
	region        string
	supply, asked float64
	at            time.Time // when the digest was made
}

// reach is the regions that may process requests of a priority.
type reach struct {
	regions vetchtrail.RegionSet
	at      time.Time // of the newest request
}

// recordRemote stores the figures of a data centre in another region.
func (s *service) recordRemote(region, dataCentre string, d *schema.ServiceDigest, at time.Time) {
	if s.remotes == nil {
		s.remotes = map[string]remoteBalance{}
	}
	s.remotes[dataCentre] = remoteBalance{region: region, supply: float64(d.GetSupply()), asked: float64(d.GetAsked()), at: at}
}

// observeReach records the regions that may process a request.
func (s *service) observeReach(r *vetchtrail.Request, now time.Time) {
	known := s.reaches[r.Priority]
	if now.Sub(known.at) > objectiveAge {
		known.regions = 0
	}
	s.reaches[r.Priority] = reach{regions: known.regions | r.AllowedRegions, at: now}
}

// regionBalances returns the balances of the other regions by their names. Each data centre of a
// region reports the supply of the whole region, whose endpoints all of its hosts call, and the
// demand of its own callers.
func (s *service) regionBalances(now time.Time) (names []string, balances []admission.Balance) {
	index := map[string]int{}
	for dataCentre, b := range s.remotes {
		if now.Sub(b.at) > admission.MaxAge {
			delete(s.remotes, dataCentre)
			continue
		}
		i, ok := index[b.region]
		if !ok {
			i = len(names)
			index[b.region] = i
			names, balances = append(names, b.region), append(balances, admission.Balance{})
		}
		balances[i].Supply = max(balances[i].Supply, b.supply)
		balances[i].Asked += b.asked
		balances[i].Age = max(balances[i].Age, now.Sub(b.at))
	}
	return names, balances
}

// grant determines what this region may use of the others' spare supply: for all priorities, and
// for single ones where not all may use a region. The caller holds the lock.
func (t *Table) grant(s *service, asked float64, now time.Time) (common float64, single map[int8]float64) {
	names, balances := s.regionBalances(now)
	if len(names) == 0 || t.cfg.RegionID == nil || t.cfg.WithoutGrants {
		return 0, nil
	}
	for i, rate := range admission.Grants(admission.Balance{Supply: s.supply.Rate, Asked: asked}, balances) {
		id, known := t.cfg.RegionID(names[i])
		if rate == 0 || !known {
			continue
		}
		highest, some, all := s.prioritiesIn(id, now)
		switch {
		case some && all:
			common += rate
		case some:
			if single == nil {
				single = map[int8]float64{}
			}
			single[highest] += rate
		}
	}
	return common, single
}

// prioritiesIn returns whether some or all of the priorities that are currently asked for may use
// a region, and the highest of them that may.
func (s *service) prioritiesIn(region vetchtrail.RegionID, now time.Time) (highest int8, some, all bool) {
	all = true
	for priority, r := range s.reaches {
		switch {
		case now.Sub(r.at) > objectiveAge: // no longer asked for
		case !r.regions.Has(region):
			all = false
		case !some || priority > highest:
			highest, some = priority, true
		}
	}
	return highest, some, all
}
