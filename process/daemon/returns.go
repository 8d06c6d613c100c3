package daemon

import (
	"vetchtrail"
	"vetchtrail/process/returns"
)

// newReturns creates the planner of the returns of refused callers. It plans where demand is
// measured.
func (d *Daemon) newReturns(switchedOff vetchtrail.Mechanisms) {
	d.returns = returns.New(returns.Config{
		Table: d.demand, InForce: d.demand.Measures, SwitchedOff: switchedOff.Has(vetchtrail.MechanismPlannedReturns), Seed: d.randomSeed(),
	})
}
