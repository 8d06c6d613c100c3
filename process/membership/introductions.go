package membership

import (
	"net/netip"

	"vetchtrail/schema"
)

const (
	// maxIntroductions is the number of hosts of its own data centre that a host is
	// introduced to in one digest exchange. It finds the others by heartbeats.
	maxIntroductions = 3
	// maxPendingIntroduced bounds the introduced addresses at which no host is known yet.
	maxPendingIntroduced = 16
)

// introductionsFor returns peer addresses of hosts in the data centre that sent a digest,
// if its members differ between that digest and the one that this host holds.
//
// Hosts of one data centre may have no other way to find each other: the platform
// lists only some hosts, and the seeds in the settings are in a few data centres. The
// caller holds the lock.
func (m *Membership) introductionsFor(in *schema.Digests) []string {
	held, ok := m.remotes[in.GetDigest().GetDataCentre()]
	if !ok || in.GetDigest().GetMembersHash() == held.digest.GetMembersHash() {
		return nil
	}
	entries := held.digest.GetMembers()
	var out []string
	for _, i := range m.rng.Perm(len(entries)) {
		if entries[i].GetName() != in.GetFrom() && len(out) < maxIntroductions {
			out = append(out, entries[i].GetPeers())
		}
	}
	return out
}

// recordIntroduced records the peer addresses that a reply to a digest introduces.
// Heartbeats are sent to them until their hosts are known. The caller holds the lock.
func (m *Membership) recordIntroduced(addresses []string) {
	for _, text := range addresses {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			m.cfg.Log.Error("address of an introduced host cannot be parsed", "address", text, "error", err)
			continue
		}
		if len(m.introduced) < maxPendingIntroduced {
			m.introduced[addr] = true
		}
	}
}

// pendingIntroduced returns the introduced addresses at which no host is known yet, and
// removes the others from the record. The caller holds the lock.
func (m *Membership) pendingIntroduced() []netip.AddrPort {
	for _, b := range m.members {
		delete(m.introduced, b.PeerAddr)
	}
	delete(m.introduced, m.self.PeerAddr)
	out := make([]netip.AddrPort, 0, len(m.introduced))
	for addr := range m.introduced {
		out = append(out, addr)
	}
	return out
}
