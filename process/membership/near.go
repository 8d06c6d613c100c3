package membership

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
)

// NearEach is how many hosts a host exchanges heartbeats with for each doubling of its data centre. A graph
// in which each node is joined to so many others at random is connected, and no two are further apart than a few steps.
const NearEach = 2

// drawNear returns some hosts to exchange heartbeats with, drawn from a part of the live ones that stays the same
// while they live. Drawn from all, each exchange in a data centre of hundreds needs a new connection, and each host
// holds one with each other. The caller holds the lock.
func (m *Membership) drawNear(live []*member) []netip.AddrPort {
	near := live
	if most := NearEach * bits.Len(uint(len(live))); len(live) > most {
		near = m.nearest(live)[:most]
	}
	m.rnd.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	out := make([]netip.AddrPort, 0, Fanout+1)
	for _, b := range near[:min(Fanout, len(near))] {
		out = append(out, b.Peers)
	}
	return out
}

// nearest orders hosts by their weight for this one, the greatest first.
func (m *Membership) nearest(live []*member) []*member {
	type weighed struct {
		weight uint64
		host   *member
	}
	all := make([]weighed, 0, len(live))
	for _, b := range live {
		all = append(all, weighed{weigh(m.self.Name, b.Name), b})
	}
	slices.SortFunc(all, func(a, b weighed) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*member, 0, len(all))
	for _, w := range all {
		out = append(out, w.host)
	}
	return out
}
