package membership

import (
	"net/netip"

	"vetchtrail/schema"
)

const (
	// introducedMost is how many hosts of its own data centre a host is told of by one
	// elsewhere. Each of them knows others.
	introducedMost = 3
	// metMost bounds the addresses that a host was told and has not found there yet.
	metMost = 16
)

// introduce returns hosts of another data centre for one of that data centre whose members
// are not those that this host holds of it: only some hosts are listed by the platform, and
// a host's settings name peers of a few data centres only: those of a data centre without a seed would not
// know each other. The caller holds the lock.
func (m *Membership) introduce(in *schema.Digests) []string {
	held, ok := m.remotes[in.GetDigest().GetDataCentre()]
	if !ok || in.GetDigest().GetMembersHash() == held.digest.GetMembersHash() {
		return nil
	}
	lines := held.digest.GetMembers()
	var out []string
	for _, i := range m.rnd.Perm(len(lines)) {
		if lines[i].GetName() != in.GetFrom() && len(out) < introducedMost {
			out = append(out, lines[i].GetPeers())
		}
	}
	return out
}

// meet notes addresses of hosts of this data centre that another one told of: they are
// sent heartbeats until they are known. The caller holds the lock.
func (m *Membership) meet(introduced []string) {
	for _, text := range introduced {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			m.cfg.Log.Error("introduced host not taken", "address", text, "error", err)
			continue
		}
		if len(m.met) < metMost {
			m.met[addr] = true
		}
	}
}

// toMeet returns the addresses that this host was told of and does not know yet. The
// caller holds the lock.
func (m *Membership) toMeet() []netip.AddrPort {
	for _, b := range m.members {
		delete(m.met, b.Peers)
	}
	delete(m.met, m.self.Peers)
	out := make([]netip.AddrPort, 0, len(m.met))
	for addr := range m.met {
		out = append(out, addr)
	}
	return out
}
