package vetchtrail

import (
	"net/netip"
	"time"
)

// Host describes a machine of the system that accepts requests from callers.
type Host struct {
	Name        string
	Region      string
	DataCentre  string
	CallerAddr  netip.AddrPort // address for callers
	PeerAddr    netip.AddrPort // address for other hosts and operators
	Incarnation uint64         // start time of the process in Unix nanoseconds, so that each restart has a higher one
	Revision    uint64         // newest configuration that the host holds
	State       HostState
	LastSeen    time.Time // when this host last received an increased heartbeat counter of that host
	// Capacity is the number of requests per second that the host's network link and
	// processor allow. It weighs the host against others; 0: not known.
	Capacity uint32
}

// HostState is the state of a host, as it reports itself or as other hosts infer it from its
// heartbeats.
type HostState uint8

// States of a host.
const (
	HostStarting HostState = iota // it holds no configuration yet, or reaches no endpoint while other hosts do
	HostReady
	HostLeaving // it finishes the requests that it has and takes no new work
	HostSuspect // its heartbeats stopped recently
	HostDead
)

var hostStateNames = [...]string{"starting", "ready", "leaving", "suspect", "dead"}

// String returns the state in lower case.
func (s HostState) String() string { return nameAt(hostStateNames[:], int(s)) }

// nameAt returns the name with an index, or "unknown" if there is none.
func nameAt(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return "unknown"
	}
	return names[i]
}
