package load

import (
	"iter"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"vetchtrail"
)

// farEndpoint is an endpoint that this host does not call: no more is kept of it than from where a prompt
// can be taken, as most of a fleet's endpoints are far for each of its hosts.
type farEndpoint struct {
	hash   uint64 // of its name
	addr   netip.AddrPort
	region vetchtrail.RegionID
}

// SetFar replaces the endpoints that this host does not call, from which those
// that it does can take kept prompts.
func (t *Table) SetFar(endpoints iter.Seq[Placed]) {
	far := map[string][]farEndpoint{}
	for e := range endpoints {
		if e.MoveToken > 0 && !e.Draining {
			far[e.Service] = append(far[e.Service], farEndpoint{hash: xxhash.Sum64String(e.Name), addr: e.Addr, region: e.RegionID})
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.far = far
}

// farHome returns the endpoint elsewhere that all hosts there send a session to; false: none is known.
func farHome(far []farEndpoint, session uint64) (farEndpoint, bool) {
	best, at := uint64(0), -1
	for i := range far {
		if w := weighSession(far[i].hash, session); at < 0 || w > best {
			best, at = w, i
		}
	}
	if at < 0 {
		return farEndpoint{}, false
	}
	return far[at], true
}
