package daemon

import (
	"vetchtrail"
	"vetchtrail/process/returns"
)

// newReturns creates the planner of the returns of refused callers, if the demand is known.
func (d *Daemon) newReturns(c Config) {
	if c.Demand == nil {
		return
	}
	switchedOff := vetchtrail.MechanismsOf(d.cfg.SwitchedOff...)
	d.returns = returns.New(returns.Config{
		Table: c.Demand, InForce: c.ReturnsInForce, SwitchedOff: switchedOff.Has(vetchtrail.MechanismPlannedReturns), Seed: d.randomSeed(),
	})
}
