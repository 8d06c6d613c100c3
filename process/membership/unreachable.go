package membership

import (
	"slices"
	"time"

	"vetchtrail"
)

// maxUnreachableFrom bounds the hosts that a digest names as reaching no endpoint of a service. Of further ones, other
// data centres learn by the requests that these refuse.
const maxUnreachableFrom = 64

const (
	// cutOffAfter is how long a host must have reached no endpoint to count as cut off. It is over suspectAfter, so that
	// hosts that lose their paths at the same time know it of each other by then.
	cutOffAfter = suspectAfter + HeartbeatInterval
	// cutOffFor is how long a host that still reaches nothing counts as cut off after enough others reached their
	// endpoints, of whom it hears at each heartbeat. It is below cutOffAfter: before another host can count as cut off, this one doesn't.
	cutOffFor = 2 * HeartbeatInterval
	// minReachingShare is the share of the live hosts of a data centre, as 1/minReachingShare, that must reach their
	// endpoints for others to count as cut off: the callers of those turn to them.
	minReachingShare = 2
)

// updateUnreachable updates which services this host reports as unreachable. A change increments the heartbeat
// counter, so that other hosts accept it at once. The caller holds the lock.
func (m *Membership) updateUnreachable(now time.Time) {
	unreachable := m.cfg.Load.UnreachableServices(now)
	if !slices.Equal(unreachable, m.unreachable) {
		m.unreachable = unreachable
		m.counter++
	}
	m.updateCutOff(now)
}

// updateCutOff finds out whether this host is cut off: it reaches no endpoint, and enough hosts of its data centre reach
// theirs. It then reports itself as not ready, as it would gather callers by refusing their requests sooner than others
// answer. The caller holds the lock.
func (m *Membership) updateCutOff(now time.Time) {
	was := !m.cutOffUntil.IsZero()
	reachesNothing := len(m.unreachable) > 0 && m.cfg.Load.ReachesNothing(now, cutOffAfter)
	switch {
	case reachesNothing && m.othersReach(now):
		m.cutOffUntil = now.Add(cutOffFor)
	case !reachesNothing || !now.Before(m.cutOffUntil):
		m.cutOffUntil = time.Time{}
	}
	is := !m.cutOffUntil.IsZero()
	if is != was {
		m.counter++
		m.cfg.Log.Warn("cut off from endpoints", "cut_off", is, "services", len(m.unreachable))
	}
}

// othersReach reports whether enough of the live hosts of this data centre reach their endpoints. The caller holds the lock.
func (m *Membership) othersReach(now time.Time) bool {
	live, reaching := 1, 0
	for _, b := range m.members {
		switch state := b.state(now); {
		case state == vetchtrail.HostReady && len(b.unreachable) == 0:
			live, reaching = live+1, reaching+1
		case state <= vetchtrail.HostReady:
			live++
		}
	}
	return reaching*minReachingShare >= live
}

// unreachableFrom returns the short ids of the hosts of this data centre that reach no endpoint of a service, by the
// hash of the service's name. The caller holds the lock.
func (m *Membership) unreachableFrom(now time.Time) map[uint32][]uint32 {
	out := map[uint32][]uint32{}
	add := func(shortID uint32, services []uint32) {
		for _, service := range services {
			if len(out[service]) < maxUnreachableFrom {
				out[service] = append(out[service], shortID)
			}
		}
	}
	m.updateUnreachable(now)
	add(m.selfShortID(), m.unreachable)
	for _, b := range m.members {
		if b.state(now) <= vetchtrail.HostLeaving {
			add(b.shortID, b.unreachable)
		}
	}
	return out
}
