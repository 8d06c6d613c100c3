package membership

import (
	"cmp"
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
	mine := lateness(duty, &m.self)
	m.eachInRegion(now, func(h *vetchtrail.Host) {
		if lateness(duty, h) >= mine {
			return
		}
		region++
		if h.DataCentre == m.self.DataCentre {
			dataCentre++
		}
	})
	return region, dataCentre
}

// Ranked returns the first n of the other live hosts of this host's region for a duty.
func (m *Membership) Ranked(duty string, n int, now time.Time) []vetchtrail.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := ranking{duty: duty}
	m.eachInRegion(now, r.add)
	return r.first(n)
}

// RankedIn returns the first n live hosts of a region for a duty, this one too if it is in
// the region.
func (m *Membership) RankedIn(region, duty string, n int, now time.Time) []vetchtrail.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := ranking{duty: duty}
	if region == m.self.Region {
		self := m.selfNow()
		r.add(&self)
		m.eachInRegion(now, r.add)
	} else {
		m.eachRemote(region, now, r.add)
	}
	return r.first(n)
}

// ranking orders hosts for a duty. It holds no copies of them, and works each one's place out once: duties
// are looked at several times a second among all hosts of a region.
type ranking struct {
	duty  string
	hosts []placed
}

type placed struct {
	late float64
	host *vetchtrail.Host
}

func (r *ranking) add(h *vetchtrail.Host) { r.hosts = append(r.hosts, placed{lateness(r.duty, h), h}) }

// first returns copies of the first n.
func (r *ranking) first(n int) []vetchtrail.Host {
	slices.SortFunc(r.hosts, func(a, b placed) int { return cmp.Compare(a.late, b.late) })
	out := make([]vetchtrail.Host, 0, min(n, len(r.hosts)))
	for _, p := range r.hosts[:min(n, len(r.hosts))] {
		out = append(out, *p.host)
	}
	return out
}

// eachInRegion calls f for the other hosts of the region that do duties, as far as they can be
// reached. The caller holds the lock.
func (m *Membership) eachInRegion(now time.Time, f func(h *vetchtrail.Host)) {
	for _, b := range m.members {
		if b.works(now) {
			f(&b.Host)
		}
	}
	m.eachRemote(m.self.Region, now, f)
}

// eachRemote calls f for the hosts of other data centres in a region that do duties, as far as
// they can be reached. The caller holds the lock.
func (m *Membership) eachRemote(region string, now time.Time, f func(h *vetchtrail.Host)) {
	for _, d := range m.remotes {
		if d.digest.GetRegion() != region || now.Sub(d.at) >= reachableFor {
			continue
		}
		hosts := d.all()
		for i := range hosts {
			if s := hosts[i].State; s == vetchtrail.HostReady || s == vetchtrail.HostStarting {
				f(&hosts[i])
			}
		}
	}
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
