package load

import (
	"iter"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
)

// remoteEndpoint is an endpoint that this host sends no requests to, but whose cached prompts this host's
// endpoints can transfer. It holds only what a transfer needs, as most endpoints are remote to each host.
type remoteEndpoint struct {
	nameHash uint64
	version  string // of its software
	addr     netip.AddrPort
	region   vetchtrail.RegionID
}

// SetRemote replaces the remote endpoints. Those that are draining or can't transfer prompts are left out.
func (t *Table) SetRemote(endpoints iter.Seq[EndpointInRegion]) {
	remote := map[string][]remoteEndpoint{}
	for e := range endpoints {
		if e.MoveToken > 0 && !e.Draining {
			remote[e.Service] = append(remote[e.Service], remoteEndpoint{nameHash: xxhash.Sum64String(e.Name), version: e.SoftwareVersion, addr: e.Addr, region: e.RegionID})
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remote = remote
}

// preferredRemote returns a session's preferred endpoint among the remote ones of a software version, see
// preferredEndpoint; false: there are none.
func preferredRemote(remote []remoteEndpoint, version string, session uint64) (remoteEndpoint, bool) {
	best, at := uint64(0), -1
	for i := range remote {
		if remote[i].version != version {
			continue
		}
		if w := sessionWeight(remote[i].nameHash, session); at < 0 || w > best {
			best, at = w, i
		}
	}
	if at < 0 {
		return remoteEndpoint{}, false
	}
	return remote[at], true
}
