package daemon

import (
	"time"

	"vetchtrail"
	"vetchtrail/process/clock"
	"vetchtrail/process/membership"
	"vetchtrail/process/quarantines"
)

// newQuarantines creates the host's part in the quarantine of poison requests, which crash
// endpoints.
func (d *Daemon) newQuarantines(switchedOff vetchtrail.Mechanisms) {
	d.quarantines = quarantines.New(quarantines.Config{
		Self: d.self, Regions: func() []string { return d.changes.Rules().RegionNames() }, Hosts: liveHosts{d.membership}, Peers: d.peers,
		ProcessEnded: d.prober.ProcessEnded, IsLeaving: d.endpointLeaving, Store: d.quarantineStore(), Clock: clock.Boot,
		SwitchedOff: switchedOff.Has(vetchtrail.MechanismQuarantine), Log: d.log,
	})
}

// liveHosts ranks the live hosts for package quarantines. It uses time.Now, as membership does. By
// the boot clock, which package quarantines uses, all times of membership would be in the future
// and hosts that have stopped would never expire.
type liveHosts struct{ *membership.Membership }

// FirstInRegion implements quarantines.Hosts.
func (l liveHosts) FirstInRegion(region, task string, n int) []vetchtrail.Host {
	return l.Membership.FirstInRegion(region, task, n, time.Now())
}

// endpointLeaving reports whether an endpoint in the endpoint table is known to be leaving.
func (d *Daemon) endpointLeaving(name string) bool {
	return d.table.IsLeaving(name, time.Now())
}

// quarantineStore returns the store in which quarantine entries are persisted, so that they
// survive a restart of all hosts.
func (d *Daemon) quarantineStore() vetchtrail.QuarantineStore {
	if d.hosted != nil {
		return d.hosted.Quarantine
	}
	return d.quarantineKVStore
}
