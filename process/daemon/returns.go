package daemon

import (
	"vetchtrail"
	"vetchtrail/process/returns"
)

// newReturns creates the planner of the returns of refused callers. It plans where admission is
// in force, which reserves capacity for them.
func (d *Daemon) newReturns(switchedOff vetchtrail.Mechanisms) {
	d.returns = returns.New(returns.Config{
		Table: d.demand, InForce: d.demand.InForce, SwitchedOff: switchedOff.Has(vetchtrail.MechanismPlannedReturns), Seed: d.randomSeed(),
	})
}
