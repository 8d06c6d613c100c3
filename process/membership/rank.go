package membership

import (
	"slices"
	"time"

	"vetchtrail"
)

// Rank returns how many live hosts of this host's region, and of its data centre, go
// before it for a duty, by rendezvous hashing. Hosts with different views may have the
// same rank for a while: a duty must bear being done twice.
func (m *Membership) Rank(duty string, now time.Time) (region, dataCentre int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mine := lateness(duty, m.self)
	for _, h := range m.regionHosts(now) {
		if lateness(duty, h) >= mine {
			continue
		}
		region++
		if h.DataCentre == m.self.DataCentre {
			dataCentre++
		}
	}
	return region, dataCentre
}

// Ranked returns the first n of the other live hosts of this host's region for a duty.
func (m *Membership) Ranked(duty string, n int, now time.Time) []vetchtrail.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := m.regionHosts(now)
	slices.SortFunc(live, func(a, b vetchtrail.Host) int { return before(duty, a, b) })
	return live[:min(n, len(live))]
}

// RankedIn returns the first n live hosts of a region for a duty, this one too if it is in
// the region.
func (m *Membership) RankedIn(region, duty string, n int, now time.Time) []vetchtrail.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	var live []vetchtrail.Host
	if region == m.self.Region {
		live = append(m.regionHosts(now), m.selfNow())
	} else {
		live = m.remoteHosts(region, now)
	}
	slices.SortFunc(live, func(a, b vetchtrail.Host) int { return before(duty, a, b) })
	return live[:min(n, len(live))]
}

// regionHosts returns the other hosts of the region that do duties, as far as they can be
// reached. The caller holds the lock.
func (m *Membership) regionHosts(now time.Time) []vetchtrail.Host {
	var out []vetchtrail.Host
	for _, b := range m.members {
		if b.works(now) {
			out = append(out, b.Host)
		}
	}
	return append(out, m.remoteHosts(m.self.Region, now)...)
}

// remoteHosts returns the hosts of other data centres in a region that do duties, as far as
// they can be reached. The caller holds the lock.
func (m *Membership) remoteHosts(region string, now time.Time) []vetchtrail.Host {
	var out []vetchtrail.Host
	for _, d := range m.remotes {
		if d.digest.GetRegion() != region || now.Sub(d.at) >= reachableFor {
			continue
		}
		for _, line := range d.digest.GetMembers() {
			if s := vetchtrail.HostState(line.GetState()); s == vetchtrail.HostReady || s == vetchtrail.HostStarting {
				out = append(out, d.host(line))
			}
		}
	}
	return out
}

// HeardPart returns the part of the hosts of this host's region, itself among them, that it
// hears of. The others may have ended, or be cut off and live.
func (m *Membership) HeardPart(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	all, heard := 1, 1
	for _, b := range m.members {
		all++
		if b.state(now) < vetchtrail.HostSuspect {
			heard++
		}
	}
	for _, d := range m.remotes {
		if d.digest.GetRegion() != m.self.Region {
			continue
		}
		all += len(d.digest.GetMembers())
		if now.Sub(d.at) < reachableFor {
			heard += len(d.digest.GetMembers())
		}
	}
	return float64(heard) / float64(all)
}
