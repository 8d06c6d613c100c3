package membership

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"vetchtrail"
)

// ownersFor is for how long shards are taken to have the owners that were found: finding
// them weighs each host for each shard, and hosts come and go in seconds.
const ownersFor = 250 * time.Millisecond

// divided are the shards of a service in a data centre.
type divided struct {
	dataCentre, service string
	of                  int
}

// owners are the hosts that own shards, by the shards' index.
type owners struct {
	hosts []vetchtrail.Host
	until time.Time
}

// Owner returns the host that places the requests of a shard. Hosts with different views
// may name different ones for a while: each can place any request.
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
func (m *Membership) owner(s vetchtrail.Shard, now time.Time) (vetchtrail.Host, bool) {
	if s.Of == 0 {
		return vetchtrail.Host{}, false
	}
	key := divided{dataCentre: s.DataCentre, service: s.Service, of: s.Of}
	o, ok := m.owned[key]
	if !ok || !now.Before(o.until) || (s.Index < len(o.hosts) && now.Before(m.avoid[o.hosts[s.Index].Name])) {
		o = owners{hosts: assign(key, m.takersIn(s.DataCentre, now)), until: now.Add(ownersFor)}
		m.owned[key] = o
	}
	if s.Index >= len(o.hosts) {
		return vetchtrail.Host{}, false
	}
	return o.hosts[s.Index], true
}

// assign gives each shard the host that weighs most for it, by rendezvous hashing, of
// those that own no more than their part yet: without that bound one host of ten held two
// fifths of a data centre's requests, more than its link carried. No hosts: no owners.
func assign(d divided, hosts []vetchtrail.Host) []vetchtrail.Host {
	if len(hosts) == 0 {
		return nil
	}
	most := (d.of + len(hosts) - 1) / len(hosts)
	held := make([]int, len(hosts))
	out := make([]vetchtrail.Host, 0, d.of)
	for i := range d.of {
		best, weight := -1, uint64(0)
		shard := d.service + " " + strconv.Itoa(i)
		for j, h := range hosts {
			if w := weigh(shard, h.Name); held[j] < most && (best < 0 || w > weight) {
				best, weight = j, w
			}
		}
		held[best]++
		out = append(out, hosts[best])
	}
	return out
}

// takersIn returns the hosts of a data centre that may be passed requests, by name. The
// caller holds the lock.
func (m *Membership) takersIn(dataCentre string, now time.Time) []vetchtrail.Host {
	var out []vetchtrail.Host
	if dataCentre == m.self.DataCentre {
		if m.self.State == vetchtrail.HostReady {
			out = append(out, m.self)
		}
		for _, b := range m.members {
			if b.state(now) == vetchtrail.HostReady && !now.Before(m.avoid[b.Name]) {
				out = append(out, b.Host)
			}
		}
	} else if d, ok := m.remotes[dataCentre]; ok && now.Sub(d.at) < reachableFor {
		for _, line := range m.takers(d, now) {
			out = append(out, d.host(line))
		}
	}
	slices.SortFunc(out, func(a, b vetchtrail.Host) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
