package membership

import (
	"math"
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

// SetListed replaces the hosts that the platform lists: the unknown ones are
// looked for at their addresses.
func (m *Membership) SetListed(hosts []vetchtrail.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed, m.lists = hosts, true
	m.seeds = slices.Clone(m.cfg.Seeds)
	for _, h := range hosts {
		m.seeds = append(m.seeds, h.Peers)
	}
}

// Before returns how many hosts of this host's region go before it for a duty that only
// a few may have at any moment: those that the platform lists, though some may be dead.
// All hosts hold the same lists, while each has heard of others; one that is not listed
// goes behind all. Where none is listed yet, those heard of are ranked.
func (m *Membership) Before(duty string, now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	names, self := m.listedHere()
	if len(names) == 0 {
		names, self = m.heardHere(now), true
	}
	if !self {
		return math.MaxInt
	}
	mine, before := weigh(duty, m.self.Name), 0
	for name := range names {
		if weigh(duty, name) > mine {
			before++
		}
	}
	return before
}

// listedHere returns the other hosts of the region that the platform lists, and whether
// it lists this one. The caller holds the lock.
func (m *Membership) listedHere() (names map[string]bool, self bool) {
	names = map[string]bool{}
	for _, h := range m.listed {
		switch {
		case h.Name == m.self.Name:
			self = true
		case h.Region == m.self.Region:
			names[h.Name] = true
		}
	}
	return names, self
}

// heardHere returns the other hosts of the region that were heard of. The caller holds
// the lock.
func (m *Membership) heardHere(now time.Time) map[string]bool {
	names := map[string]bool{}
	for _, b := range m.members {
		if b.state(now) != vetchtrail.HostDead {
			names[b.Name] = true
		}
	}
	for _, d := range m.remotes {
		if d.digest.GetRegion() != m.self.Region {
			continue
		}
		for _, line := range d.digest.GetMembers() {
			names[line.GetName()] = true
		}
	}
	return names
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
