package membership

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"
)

// GossipPeersPerDoubling is the number of gossip peers that a host has for each
// doubling of the number of hosts in its data centre. A graph in which each node has that
// many random neighbours is almost surely connected, with a few steps between any two nodes.
const GossipPeersPerDoubling = 2

// drawGossipPeers draws Fanout of this host's gossip peers at random. The gossip peers are
// a fixed subset of the members while these are live. If a host drew from all members of a
// data centre of hundreds, nearly every exchange would need a new connection, and each host
// would end up with a connection to every other. The caller holds the lock.
func (m *Membership) drawGossipPeers(live []*member) []netip.AddrPort {
	peers := live
	if limit := GossipPeersPerDoubling * bits.Len(uint(len(live))); len(live) > limit {
		peers = m.gossipOrder(live)[:limit]
	}
	m.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	out := make([]netip.AddrPort, 0, Fanout+1)
	for _, b := range peers[:min(Fanout, len(peers))] {
		out = append(out, b.PeerAddr)
	}
	return out
}

// gossipOrder sorts members by a hash of this host's name and theirs, so that hosts
// differ in their gossip peers. The caller holds the lock.
func (m *Membership) gossipOrder(live []*member) []*member {
	type weighted struct {
		weight uint64
		host   *member
	}
	all := make([]weighted, 0, len(live))
	for _, b := range live {
		all = append(all, weighted{hashPair(m.self.Name, b.Name), b})
	}
	slices.SortFunc(all, func(a, b weighted) int { return cmp.Compare(b.weight, a.weight) })
	out := make([]*member, 0, len(all))
	for _, w := range all {
		out = append(out, w.host)
	}
	return out
}
