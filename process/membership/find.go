package membership

import (
	"slices"
	"strings"
	"time"

	"vetchtrail"
	"vetchtrail/schema"
)

// Serving returns the ready hosts nearest to a place: those of its data centre,
// or else of its region, or else of the homes; where there are no homes, all that
// can be reached.
func (m *Membership) Serving(region, dataCentre string, homes []string, now time.Time) []vetchtrail.Host {
	var all []vetchtrail.Host
	for _, h := range append(m.Hosts(now), m.Elsewhere(now)...) {
		if h.State == vetchtrail.HostReady {
			all = append(all, h)
		}
	}
	for _, near := range []func(vetchtrail.Host) bool{
		func(h vetchtrail.Host) bool { return h.DataCentre == dataCentre },
		func(h vetchtrail.Host) bool { return h.Region == region },
		func(h vetchtrail.Host) bool { return slices.Contains(homes, h.Region) },
	} {
		if found := filter(all, near); len(found) > 0 {
			return found
		}
	}
	if len(homes) > 0 {
		return nil // a host that has just started knows few: another answers better
	}
	return all
}

func filter(hosts []vetchtrail.Host, keep func(vetchtrail.Host) bool) []vetchtrail.Host {
	var out []vetchtrail.Host
	for _, h := range hosts {
		if keep(h) {
			out = append(out, h)
		}
	}
	return out
}

// Elsewhere returns the ready hosts of other data centres that can be reached.
func (m *Membership) Elsewhere(now time.Time) []vetchtrail.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []vetchtrail.Host
	for _, d := range m.remotes {
		if now.Sub(d.at) >= reachableFor {
			continue
		}
		for _, line := range readyOf(d.digest.GetMembers()) {
			out = append(out, d.host(line))
		}
	}
	slices.SortFunc(out, func(a, b vetchtrail.Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// AnyPeer returns some other host that is likely to live, of this data centre if
// there is one.
func (m *Membership) AnyPeer(now time.Time) (vetchtrail.Host, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []vetchtrail.Host
	for _, b := range m.members {
		if b.state(now) <= vetchtrail.HostLeaving {
			all = append(all, b.Host)
		}
	}
	for _, d := range m.remotes {
		if len(all) == 0 && now.Sub(d.at) < reachableFor {
			for _, line := range d.digest.GetMembers() {
				all = append(all, d.host(line))
			}
		}
	}
	if len(all) == 0 {
		return vetchtrail.Host{}, false
	}
	return all[m.rnd.IntN(len(all))], true
}

// SetListed replaces the hosts that the platform lists: the unknown ones are
// looked for at their addresses.
func (m *Membership) SetListed(hosts []vetchtrail.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = hosts
	m.seeds = slices.Clone(m.cfg.Seeds)
	for _, h := range hosts {
		m.seeds = append(m.seeds, h.Peers)
	}
}

// Before returns how many hosts of this host's region go before it for a duty:
// the listed ones and those heard of, though some may be dead.
func (m *Membership) Before(duty string, now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := map[string]bool{}
	for _, b := range m.members {
		names[b.Name] = b.state(now) != vetchtrail.HostDead
	}
	for _, d := range m.remotes {
		for _, line := range d.digest.GetMembers() {
			names[line.GetName()] = d.digest.GetRegion() == m.self.Region
		}
	}
	for _, h := range m.listed {
		names[h.Name] = names[h.Name] || h.Region == m.self.Region
	}
	mine, before := weigh(duty, m.self.Name), 0
	for name, counts := range names {
		if counts && name != m.self.Name && weigh(duty, name) > mine {
			before++
		}
	}
	return before
}

// Count returns how many hosts are known, this one and those lately dead
// included: limits that hold over all hosts are divided by it.
func (m *Membership) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1 + len(m.members)
	for _, d := range m.remotes {
		n += len(d.digest.GetMembers())
	}
	return max(n, len(m.listed))
}

func readyOf(lines []*schema.Member) []*schema.Member {
	var ready []*schema.Member
	for _, line := range lines {
		if line.GetState() == uint32(vetchtrail.HostReady) {
			ready = append(ready, line)
		}
	}
	return ready
}
