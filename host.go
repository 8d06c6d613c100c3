package vetchtrail

import (
	"net/netip"
	"time"
)

// Host is one entry host of the system, as its peers know it.
type Host struct {
	Name        string
	Region      string
	DataCentre  string
	Callers     netip.AddrPort // where callers connect
	Peers       netip.AddrPort // where peers and operators connect
	Incarnation uint64         // random for each start of the process
	Revision    uint64         // newest configuration the host holds
	State       HostState
	Heard       time.Time // when its heartbeat counter last grew here
	// Capacity is the requests a second that the host can take, by its link and processor,
	// to weigh it against others; 0: not told.
	Capacity uint32
}

// HostState is what a host says, or others believe, of itself.
type HostState uint8

// States of a host.
const (
	HostStarting HostState = iota // holds no configuration yet
	HostReady
	HostLeaving // serves what it has, takes no new work
	HostSuspect // its heartbeats stopped a short while ago
	HostDead
)

var hostStateNames = [...]string{"starting", "ready", "leaving", "suspect", "dead"}

// String returns the state in lower case.
func (s HostState) String() string { return nameOf(hostStateNames[:], int(s)) }

func nameOf(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return "unknown"
	}
	return names[i]
}
