package daemon

import (
	"vetchtrail"
	"vetchtrail/process/clock"
	"vetchtrail/process/ratelimits"
	"vetchtrail/schema"
)

// newRateLimits creates the host's part in enforcing the rate limits that endpoints advertise.
func (d *Daemon) newRateLimits(switchedOff vetchtrail.Mechanisms) {
	d.rateLimits = ratelimits.New(ratelimits.Config{
		Self: d.self, Table: d.table, Hosts: d.membership, Peers: d.peers, Clock: clock.Boot, SwitchedOff: switchedOff.Has(vetchtrail.MechanismRateLimits), Log: d.log,
	})
}

// rateReceiver receives the endpoints' rate limits that other hosts report in heartbeats.
type rateReceiver struct{ d *Daemon }

// RecordFromPeer implements membership.RateLimits.
func (r rateReceiver) RecordFromPeer(m *schema.EndpointRate) { r.d.rateLimits.RecordFromPeer(m) }

// leavingReceiver receives the leaving endpoints that other hosts report.
type leavingReceiver struct{ d *Daemon }

// RecordFromPeer implements membership.LeavingEndpoints.
func (l leavingReceiver) RecordFromPeer(from string, m *schema.EndpointLeaves) {
	l.d.availability.RecordFromPeer(from, m)
}
