package membership

import (
	"slices"
	"time"

	"vetchtrail"
)

// maxUnreachableFrom bounds the hosts that a digest names as reaching no endpoint of a service. Of further ones, other
// data centres learn by the requests that these refuse.
const maxUnreachableFrom = 64

// updateUnreachable updates which services this host reports as unreachable. A change increments the heartbeat
// counter, so that other hosts accept it at once. The caller holds the lock.
func (m *Membership) updateUnreachable(now time.Time) {
	unreachable := m.cfg.Load.UnreachableServices(now)
	if !slices.Equal(unreachable, m.unreachable) {
		m.unreachable = unreachable
		m.counter++
	}
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
