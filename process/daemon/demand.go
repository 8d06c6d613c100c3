package daemon

import (
	"time"

	"vetchtrail"
	"vetchtrail/process/demand"
	"vetchtrail/schema"
)

// newDemand creates the host's part in the admission of requests by demand and supply.
func (d *Daemon) newDemand(switchedOff vetchtrail.Mechanisms) {
	d.demand = demand.New(demand.Config{
		Supplies: d.table, LiveHosts: d.membership.LiveHosts, RegionHosts: d.membership.RegionHosts,
		Planned: func(service string, hosts int, now time.Time) []vetchtrail.PlannedReturn {
			return d.returns.Planned(service, hosts, now)
		},
		Region: d.cfg.Region, WithoutGrants: switchedOff.Has(vetchtrail.MechanismGrants),
		RegionID: func(name string) (vetchtrail.RegionID, bool) {
			region, ok := d.changes.Rules().Region(name)
			return region.ID, ok
		},
		PlansReturns: !switchedOff.Has(vetchtrail.MechanismPlannedReturns),
		Quota:        func(workspace string) vetchtrail.Quota { return d.changes.Rules().Quota(workspace) },
		Enforce:      d.cfg.Admission.Enforce,
		Pressure:     d.hosted != nil && d.hosted.Admission, SwitchedOff: switchedOff.Has(vetchtrail.MechanismAdmission),
		Seed: d.randomSeed(), Log: d.log,
	})
}

// demandExchange passes the demand for services to and from the messages of membership, which is
// created before the demand table.
type demandExchange struct{ d *Daemon }

// HeartbeatDemands implements membership.Demands.
func (x demandExchange) HeartbeatDemands(now time.Time) []*schema.ServiceDemand {
	out := x.d.demand.HeartbeatDemands(now)
	for _, m := range out {
		m.Returns = schema.FromPlannedReturns(x.d.returns.Offers(m.GetService(), now), now)
	}
	return out
}

// RecordHeartbeat implements membership.Demands.
func (x demandExchange) RecordHeartbeat(from string, demands []*schema.ServiceDemand, now time.Time) {
	x.d.demand.RecordHeartbeat(from, demands, now)
	for _, m := range demands {
		x.d.returns.Receive(from, m.GetService(), schema.ToPlannedReturns(m.GetReturns(), now), now)
	}
}

// DigestDemand implements membership.Demands.
func (x demandExchange) DigestDemand(service string, now time.Time, m *schema.ServiceDigest) {
	x.d.demand.DigestDemand(service, now, m)
}

// RecordDigest implements membership.Demands.
func (x demandExchange) RecordDigest(region, dataCentre string, s *schema.ServiceDigest, at time.Time) {
	x.d.demand.RecordDigest(region, dataCentre, s, at)
}
