package daemon

import (
	"time"

	"vetchtrail"
	"vetchtrail/process/clock"
	"vetchtrail/process/membership"
	"vetchtrail/process/quarantines"
)

// newQuarantines creates the host's part in the quarantine of poison requests, under which
// endpoints crash.
func (d *Daemon) newQuarantines(off vetchtrail.Mechanisms) {
	d.quarantines = quarantines.New(quarantines.Config{
		Self: d.self, Regions: func() []string { return d.changes.Rules().RegionNames() }, Hosts: liveHosts{d.membership}, Peers: d.peers,
		RefusesConnections: d.endpoints.RefusesConnection, IsLeaving: d.endpointLeaving, Persister: d.quarantinePersister(), Clock: clock.Boot,
		Disabled: off.Has(vetchtrail.MechanismQuarantine), Log: d.log,
	})
}

// liveHosts ranks the live hosts for package quarantines. It uses time.Now, as membership does:
// by the boot clock of the quarantines, hosts that are gone would never expire.
type liveHosts struct{ *membership.Membership }

// FirstInRegion implements quarantines.Hosts.
func (l liveHosts) FirstInRegion(region, task string, n int) []vetchtrail.Host {
	return l.Membership.FirstInRegion(region, task, n, time.Now())
}

// endpointLeaving reports whether a listed endpoint is known to be leaving.
func (d *Daemon) endpointLeaving(name string) bool {
	return d.table.IsLeaving(name, time.Now())
}

// quarantinePersister returns where quarantine entries are persisted, so that they outlast a
// restart of all hosts.
func (d *Daemon) quarantinePersister() vetchtrail.QuarantineStore {
	if d.hosted != nil {
		return d.hosted.Quarantine
	}
	return d.quarantineStore
}
