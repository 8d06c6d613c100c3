package membership

import (
	"time"

	"vetchtrail"
)

// Owner returns the host that places the requests of a shard, by rendezvous hashing over
// the ready hosts of its data centre. Hosts with different views may name different ones
// for a while: each can place any request.
func (m *Membership) Owner(s vetchtrail.Shard, now time.Time) (vetchtrail.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner(s, now)
}

// RegionOf returns the region of another data centre.
func (m *Membership) RegionOf(dataCentre string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.remotes[dataCentre]
	if !ok {
		return "", false
	}
	return d.digest.GetRegion(), true
}

// owner is Owner for a caller that holds the lock.
func (m *Membership) owner(s vetchtrail.Shard, now time.Time) (best vetchtrail.Host, ok bool) {
	if s.Key == "" {
		return best, false
	}
	most := uint64(0)
	better := func(name string) bool {
		w := weigh(s.Key, name)
		if ok && w <= most {
			return false
		}
		most, ok = w, true
		return true
	}
	if s.DataCentre == m.self.DataCentre {
		if m.self.State == vetchtrail.HostReady && better(m.self.Name) {
			best = m.self
		}
		for _, b := range m.members {
			if b.state(now) == vetchtrail.HostReady && !now.Before(m.avoid[b.Name]) && better(b.Name) {
				best = b.Host
			}
		}
		return best, ok
	}
	d, known := m.remotes[s.DataCentre]
	if !known || now.Sub(d.at) >= reachableFor {
		return best, false
	}
	for _, line := range m.takers(d, now) {
		if better(line.GetName()) {
			best = d.host(line)
		}
	}
	return best, ok
}
