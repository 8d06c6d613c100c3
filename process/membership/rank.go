package membership

import (
	"cmp"
	"slices"
	"time"

	"vetchtrail"
)

// Rank returns this host's rank for a task among the live hosts of its region and of its
// data centre, by weighted rendezvous hashing: the number of hosts that rank before it.
// Hosts with different views may have the same rank for a while, so a task must
// tolerate being done twice.
func (m *Membership) Rank(task string, now time.Time) (region, dataCentre int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	exponent := m.exponentOf(task)
	own := rankKey(task, &m.self, exponent)
	m.eachOtherInRegion(now, func(h *vetchtrail.Host) {
		if rankKey(task, h, exponent) >= own {
			return
		}
		region++
		if h.DataCentre == m.self.DataCentre {
			dataCentre++
		}
	})
	return region, dataCentre
}

// FirstOthers returns the first n of the other live hosts of this host's region for a
// task.
func (m *Membership) FirstOthers(task string, n int, now time.Time) []vetchtrail.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := ranking{task: task, exponent: m.exponentOf(task)}
	m.eachOtherInRegion(now, r.add)
	return r.first(n)
}

// FirstInRegion returns the first n live hosts of a region for a task. This host is
// among the candidates if it is in the region.
func (m *Membership) FirstInRegion(region, task string, n int, now time.Time) []vetchtrail.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := ranking{task: task, exponent: m.exponentOf(task)}
	if region == m.self.Region {
		self := m.selfAt(now)
		r.add(&self)
		m.eachOtherInRegion(now, r.add)
	} else {
		m.eachRemote(region, now, r.add)
	}
	return r.first(n)
}

// exponentOf returns the exponent of the hosts' capacities for a task.
func (m *Membership) exponentOf(task string) float64 {
	if slices.Contains(m.cfg.HeavyTasks, task) {
		return heavyTaskExponent
	}
	return 1
}

// ranking sorts hosts for a task. To be cheap, it points to the hosts instead of copying
// them and computes each key once: all hosts of a region are ranked several times a second.
type ranking struct {
	task     string
	exponent float64
	hosts    []ranked
}

// ranked is a host with its rankKey.
type ranked struct {
	key  float64
	host *vetchtrail.Host
}

// add adds a host to the ranking. The host must not change before first is called.
func (r *ranking) add(h *vetchtrail.Host) {
	r.hosts = append(r.hosts, ranked{rankKey(r.task, h, r.exponent), h})
}

// first returns copies of the first n hosts.
func (r *ranking) first(n int) []vetchtrail.Host {
	slices.SortFunc(r.hosts, func(a, b ranked) int { return cmp.Compare(a.key, b.key) })
	out := make([]vetchtrail.Host, 0, min(n, len(r.hosts)))
	for _, p := range r.hosts[:min(n, len(r.hosts))] {
		out = append(out, *p.host)
	}
	return out
}

// eachOtherInRegion calls f for the other hosts of this host's region that tasks may be
// assigned to and that can be reached. The caller holds the lock.
func (m *Membership) eachOtherInRegion(now time.Time, f func(h *vetchtrail.Host)) {
	for _, b := range m.members {
		if b.takesTasks(now) {
			f(&b.Host)
		}
	}
	m.eachRemote(m.self.Region, now, f)
}

// eachRemote calls f for the hosts of remote data centres in a region that tasks may be
// assigned to and that can be reached. The caller holds the lock.
func (m *Membership) eachRemote(region string, now time.Time, f func(h *vetchtrail.Host)) {
	for _, d := range m.remotes {
		if d.digest.GetRegion() != region || now.Sub(d.digestTime) >= reachableFor {
			continue
		}
		hosts := d.allHosts()
		for i := range hosts {
			if s := hosts[i].State; s == vetchtrail.HostReady || s == vetchtrail.HostStarting {
				f(&hosts[i])
			}
		}
	}
}

// SeenShare returns the share of the known hosts of this host's region, itself included,
// from which heartbeats or digests still arrive. The others have stopped, or still run but
// are cut off.
func (m *Membership) SeenShare(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	all, seen := 1, 1
	for _, b := range m.members {
		all++
		if b.state(now) < vetchtrail.HostSuspect {
			seen++
		}
	}
	for _, d := range m.remotes {
		if d.digest.GetRegion() != m.self.Region {
			continue
		}
		all += len(d.digest.GetMembers())
		if now.Sub(d.digestTime) < reachableFor {
			seen += len(d.digest.GetMembers())
		}
	}
	return float64(seen) / float64(all)
}
