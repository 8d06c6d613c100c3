package returns

import (
	"time"

	"vetchtrail"
	"vetchtrail/request/returns"
)

const (
	// reportExpiry is how long the report of another host counts: as long as it covers the next
	// second, for which admission reserves capacity. An older one would count as a host
	// without returns. Heartbeats are sent twice in this time.
	reportExpiry = returns.OfferHorizon - time.Second
	// maxHosts bounds the hosts whose reports are kept.
	maxHosts = 512
	// offerSlots is the number of slots for which planned returns are reported.
	offerSlots = int(returns.OfferHorizon / returns.OfferSlotLength)
)

// report is what another host reported.
type report struct {
	returns    []vetchtrail.PlannedReturn
	receivedAt time.Time
}

// Offers returns the returns to a service that this host has planned, for its heartbeats.
func (t *Returns) Offers(name string, now time.Time) []vetchtrail.PlannedReturn {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.services[name]; ok {
		return s.plan.Offers(nil, now)
	}
	return nil
}

// Receive records the returns that another host has planned. Each report replaces the
// host's earlier one, also if it is empty.
func (t *Returns) Receive(host, name string, list []vetchtrail.PlannedReturn, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name, now)
	if s == nil {
		return
	}
	if _, known := s.received[host]; !known && len(s.received) >= maxHosts {
		s.dropExpired(now)
		if len(s.received) >= maxHosts {
			return
		}
	}
	s.received[host] = report{returns: list, receivedAt: now}
}

func (s *service) dropExpired(now time.Time) {
	for host, r := range s.received {
		if now.Sub(r.receivedAt) > reportExpiry {
			delete(s.received, host)
		}
	}
}

// Planned returns the returns to a service that all live hosts of the region have planned, for
// ServiceDemand.Returns. Those of the next second are complete, except for what was planned
// after the hosts' last heartbeats. The hosts that this one received reports from are a sample: the sum of
// their returns and its own is scaled to the number of live hosts.
func (t *Returns) Planned(name string, hosts int, now time.Time) []vetchtrail.PlannedReturn {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[name]
	if !ok {
		return nil
	}
	s.dropExpired(now)
	sum := s.plan.Offers(nil, now)
	for _, r := range s.received {
		for _, p := range r.returns {
			sum = addReturn(sum, p, now)
		}
	}
	scale := float64(max(hosts, 1)) / float64(len(s.received)+1)
	for i := range sum {
		sum[i].Work *= scale
	}
	return sum
}

// addReturn adds a return to that of the same priority and slot in list, if its time is not
// over.
func addReturn(list []vetchtrail.PlannedReturn, p vetchtrail.PlannedReturn, now time.Time) []vetchtrail.PlannedReturn {
	slot := p.At.Sub(now) / returns.OfferSlotLength // 0 also for the slot that has begun
	if p.At.Sub(now) <= -returns.OfferSlotLength || int(slot) >= offerSlots {
		return list
	}
	at := now.Add(slot * returns.OfferSlotLength)
	for i := range list {
		if list[i].Priority == p.Priority && list[i].At.Equal(at) {
			list[i].Work += p.Work
			return list
		}
	}
	return append(list, vetchtrail.PlannedReturn{Priority: p.Priority, At: at, Work: p.Work})
}
