package daemon

import (
	"vetchtrail"
	"vetchtrail/process/clock"
	"vetchtrail/process/ratelimits"
	"vetchtrail/schema"
)

// newRateLimits makes the host's part in keeping to the rates that endpoints name.
func (d *Daemon) newRateLimits(off vetchtrail.Mechanisms) {
	d.rateLimits = ratelimits.New(ratelimits.Config{
		Self: d.self, Table: d.table, Hosts: d.membership, Peers: d.peers, Clock: clock.Boot, Off: off.Has(vetchtrail.RateLimits), Log: d.log,
	})
}

// rates takes what other hosts' heartbeats tell of the rates that endpoints name.
type rates struct{ d *Daemon }

// Learn implements membership.Rates.
func (r rates) Learn(m *schema.EndpointRate) { r.d.rateLimits.Learn(m) }

// leavers takes what other hosts tell of endpoints that leave.
type leavers struct{ d *Daemon }

// Learn implements membership.Notices.
func (l leavers) Learn(from string, m *schema.EndpointLeaves) { l.d.notices.Learn(from, m) }
