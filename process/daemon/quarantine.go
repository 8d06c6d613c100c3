package daemon

import (
	"time"

	"vetchtrail"
	"vetchtrail/process/clock"
	"vetchtrail/process/membership"
	"vetchtrail/process/quarantines"
)

// newQuarantines makes the host's part in holding back requests under which endpoints end.
func (d *Daemon) newQuarantines(off vetchtrail.Mechanisms) {
	d.quarantines = quarantines.New(quarantines.Config{
		Self: d.self, Regions: func() []string { return d.changes.Rules().RegionNames() }, Hosts: liveHosts{d.membership}, Peers: d.peers,
		Refuses: d.endpoints.Refuses, Leaving: d.leavingEndpoint, Keeper: d.holdKeeper(), Clock: clock.Boot,
		Off: off.Has(vetchtrail.HoldingBack), Log: d.log,
	})
}

// liveHosts are the hosts that live now.
type liveHosts struct{ *membership.Membership }

// RankedIn implements quarantines.Hosts.
func (l liveHosts) RankedIn(region, duty string, n int) []vetchtrail.Host {
	return l.Membership.RankedIn(region, duty, n, time.Now())
}

// leavingEndpoint says whether an endpoint is known to leave.
func (d *Daemon) leavingEndpoint(name string) bool {
	return d.table.Leaves(name, time.Now())
}

// holdKeeper is where holds outlast all hosts.
func (d *Daemon) holdKeeper() vetchtrail.HoldKeeper {
	if d.hosted != nil {
		return d.hosted.Holds
	}
	return d.kept
}
