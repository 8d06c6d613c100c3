package quota

import "time"

// RegionSplit is the division of one workspace's quota rate among the regions by their demand,
// as the owner in one region calculates it.
//
// Each region's rate is its demand plus an equal share of what no region demands. When a
// region's demand grows, the region itself counts the increase only after all other regions
// have confirmed it; when its demand falls, it counts the decrease at once. The other regions
// count either change when they receive the report. When the regions demand more than the
// quota, each has a share in proportion to its demand. So the rates that the regions use never
// add up to more than the quota, whichever messages are delayed or lost and whichever regions
// are partitioned.
type RegionSplit struct {
	regions int                     // number of regions in the deployment, this one included
	others  map[string]*otherRegion // by region
}

// otherRegion is the state of the exchange with another region.
type otherRegion struct {
	reports       map[string]demandReport // latest demand report of each of the region's owners, by host
	receivedAt    time.Time               // when the last report was received
	confirmedRate float64                 // the other region counts at least this demand of this region
	confirmed     bool                    // the other region has confirmed at least one report
}

// demandReport is a region's demand as one of its owners reported it.
type demandReport struct {
	rate     float64   // units per second
	sequence uint64    // number of the report; a higher one is newer
	at       time.Time // when the report was received
}

// ownerReportTTL is how long a report of a former owner counts in addition to that of the new one.
// Hosts disagree for that long on which host is the owner after one has started or crashed.
const ownerReportTTL = 2 * time.Second

// NewRegionSplit returns a RegionSplit without reports.
func NewRegionSplit(regions int) *RegionSplit {
	return &RegionSplit{regions: max(1, regions), others: map[string]*otherRegion{}}
}

// otherRegion returns the state of another region and creates it if needed.
func (s *RegionSplit) otherRegion(region string) *otherRegion {
	o, ok := s.others[region]
	if !ok {
		o = &otherRegion{reports: map[string]demandReport{}}
		s.others[region] = o
	}
	return o
}

// MarkSent records that a report of this region's demand was sent to another region, which may
// count the reported demand from now on. If it is lower than the confirmed demand, this region
// is limited to it at once.
func (s *RegionSplit) MarkSent(region string, rate float64) {
	if o := s.otherRegion(region); o.confirmed {
		o.confirmedRate = min(o.confirmedRate, rate)
	}
}

// MarkConfirmed records that another region has confirmed a report of this region's demand.
func (s *RegionSplit) MarkConfirmed(region string, rate float64) {
	o := s.otherRegion(region)
	o.confirmedRate, o.confirmed = rate, true
}

// Receive stores a demand report from an owner in another region, unless a newer one from that
// owner is already stored.
func (s *RegionSplit) Receive(region, owner string, sequence uint64, rate float64, now time.Time) {
	o := s.otherRegion(region)
	if previous, ok := o.reports[owner]; ok && sequence <= previous.sequence {
		return
	}
	o.reports[owner] = demandReport{rate: rate, sequence: sequence, at: now}
	o.receivedAt = now
	for host, report := range o.reports {
		if now.Sub(report.at) > ownerReportTTL {
			delete(o.reports, host)
		}
	}
}

// RegionRate returns the units per second of a quota's rate that this region may use, given
// its own demand.
func (s *RegionSplit) RegionRate(rate, ownDemand float64) float64 {
	equalRate := rate / float64(s.regions)
	own, sum := ownDemand, 0.0
	unknown := s.regions - 1
	for _, o := range s.others {
		if !o.confirmed || len(o.reports) == 0 {
			continue
		}
		unknown--
		own = min(own, o.confirmedRate)
		for _, report := range o.reports {
			sum += report.rate
		}
	}
	if unknown > 0 && unknown == s.regions-1 {
		return equalRate // the other regions assume the same of this one
	}
	if unknown > 0 { // unknown regions may use their equal share, and assume the same of this region
		own = min(own, equalRate)
		sum += equalRate * float64(unknown)
	}
	if own+sum >= rate {
		if own+sum == 0 {
			return 0
		}
		return min(rate, rate*own/(own+sum)) // rounding could make it exceed the rate
	}
	return own + (rate-own-sum)/float64(s.regions)
}

// ReportAge returns the longest time since any other region's last report. It is negative if a
// region has never reported.
func (s *RegionSplit) ReportAge(now time.Time) time.Duration {
	if len(s.others) < s.regions-1 {
		return -1
	}
	var oldest time.Duration
	for _, o := range s.others {
		if len(o.reports) == 0 {
			return -1
		}
		oldest = max(oldest, now.Sub(o.receivedAt))
	}
	return oldest
}
