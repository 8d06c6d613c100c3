package membership

import (
	"math"
	"slices"
	"strings"
	"time"

	"vetchtrail"
	"vetchtrail/schema"
)

// startTime is how long after its start a host counts as one that may have failed with the whole fleet.
const startTime = 15 * time.Second

// NearestReady returns the ready hosts nearest to a caller: those of its data centre,
// or else of its region, or else of the home regions. Without home regions it falls
// back to all ready hosts that can be reached. With home regions it does so only for
// startTime, and if the platform lists no nearer host: the whole fleet may have failed.
func (m *Membership) NearestReady(region, dataCentre string, homes []string, now time.Time) []vetchtrail.Host {
	var all []vetchtrail.Host
	for _, h := range append(m.LocalHosts(now), m.ReadyRemoteHosts(now)...) {
		if h.State == vetchtrail.HostReady {
			all = append(all, h)
		}
	}
	inRegion := func(h vetchtrail.Host) bool { return h.Region == region }
	inHome := func(h vetchtrail.Host) bool { return slices.Contains(homes, h.Region) }
	for _, near := range []func(vetchtrail.Host) bool{
		func(h vetchtrail.Host) bool { return h.DataCentre == dataCentre }, inRegion, inHome,
	} {
		if found := filter(all, near); len(found) > 0 {
			return found
		}
	}
	if len(homes) == 0 {
		return all
	}
	// Requests that may be processed only in their home regions are not led elsewhere, except after
	// a failure: other requests to the same name can then be served.
	if now.Sub(m.startedAt) < startTime && m.listsNone(func(h vetchtrail.Host) bool { return inRegion(h) || inHome(h) }) {
		return all
	}
	return nil // this host may know few others; another host gives a better answer
}

// listsNone reports whether there is a listing, and no host on it for which match is true.
func (m *Membership) listsNone(match func(vetchtrail.Host) bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.haveListing && !slices.ContainsFunc(m.listedHosts, match)
}

// filter returns the hosts for which keep is true.
func filter(hosts []vetchtrail.Host, keep func(vetchtrail.Host) bool) []vetchtrail.Host {
	var out []vetchtrail.Host
	for _, h := range hosts {
		if keep(h) {
			out = append(out, h)
		}
	}
	return out
}

// ReadyRemoteHosts returns the ready hosts of remote data centres that can be reached,
// sorted by name.
func (m *Membership) ReadyRemoteHosts(now time.Time) []vetchtrail.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []vetchtrail.Host
	for _, d := range m.remotes {
		if now.Sub(d.digestTime) >= reachableFor {
			continue
		}
		for _, entry := range readyEntries(d.digest.GetMembers()) {
			out = append(out, d.hostOf(entry))
		}
	}
	slices.SortFunc(out, func(a, b vetchtrail.Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// SetListedHosts replaces the hosts that the platform lists. Their peer addresses
// become seeds, in addition to those of the settings.
func (m *Membership) SetListedHosts(hosts []vetchtrail.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listedHosts, m.haveListing = hosts, true
	m.seeds = slices.Clone(m.cfg.Seeds)
	for _, h := range hosts {
		m.seeds = append(m.seeds, h.PeerAddr)
	}
	m.regionCount.Store(int64(m.countRegion()))
}

// ListedRank returns this host's rank for a task, by rendezvous hashing: the number of
// hosts of its region that rank before it. It is for tasks that at most n hosts may do
// at any time, those with a rank below n.
//
// For that it ranks the hosts that the platform lists, although some of them may be
// dead: all hosts hold the same listing, while the hosts known by heartbeats and digests
// differ from host to host. A host that is not listed ranks behind all. The known hosts
// are ranked only while no other host of the region is listed.
func (m *Membership) ListedRank(task string, now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	names, self := m.othersListedInRegion()
	if len(names) == 0 {
		names, self = m.othersKnownInRegion(now), true
	}
	if !self {
		return math.MaxInt
	}
	own, before := hashPair(task, m.self.Name), 0
	for name := range names {
		if hashPair(task, name) > own {
			before++
		}
	}
	return before
}

// othersListedInRegion returns the names of the region's other hosts on the platform's
// listing, and whether this host is on it. The caller holds the lock.
func (m *Membership) othersListedInRegion() (names map[string]bool, self bool) {
	names = map[string]bool{}
	for _, h := range m.listedHosts {
		switch {
		case h.Name == m.self.Name:
			self = true
		case h.Region == m.self.Region:
			names[h.Name] = true
		}
	}
	return names, self
}

// othersKnownInRegion returns the names of the region's other hosts that are known by
// heartbeats or digests, except dead ones of this data centre. The caller holds the
// lock.
func (m *Membership) othersKnownInRegion(now time.Time) map[string]bool {
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
		for _, entry := range d.digest.GetMembers() {
			names[entry.GetName()] = true
		}
	}
	return names
}

// Count returns the number of hosts among which a limit of all hosts is divided: the known or the listed hosts,
// whichever are more, or the number of regions times the hosts of this region if that is more still. A host that starts
// while its region is cut off learns of no other region's hosts, and the hosts of each region would use the
// whole limit. This host counts, and so do dead hosts that are not forgotten yet.
func (m *Membership) Count() int {
	regions := 1
	if m.cfg.Regions != nil {
		regions = m.cfg.Regions()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1 + len(m.members)
	for _, d := range m.remotes {
		n += len(d.digest.GetMembers())
	}
	return max(n, len(m.listedHosts), regions*m.countRegion())
}

// LimitDivisor returns Count once there is a listing, and 0 before: the host may know only itself.
func (m *Membership) LimitDivisor() int {
	m.mu.Lock()
	listed := m.haveListing
	m.mu.Unlock()
	if !listed {
		return 0
	}
	return m.Count()
}

// countRegion returns what RegionCount does, as of now. The caller holds the lock.
func (m *Membership) countRegion() int {
	n := 1 + len(m.members)
	for _, d := range m.remotes {
		if d.digest.GetRegion() == m.self.Region {
			n += len(d.digest.GetMembers())
		}
	}
	listed := 1
	for _, h := range m.listedHosts {
		if h.Region == m.self.Region && h.Name != m.self.Name {
			listed++
		}
	}
	return max(n, listed)
}

// readyEntries returns the entries of hosts that are ready.
func readyEntries(entries []*schema.Member) []*schema.Member {
	var ready []*schema.Member
	for _, entry := range entries {
		if entry.GetState() == uint32(vetchtrail.HostReady) {
			ready = append(ready, entry)
		}
	}
	return ready
}
