// Package quota holds the rules that keep the requests of a workspace within its quota over
// all hosts. It does no input or output: callers pass the time as an argument, and messages
// between hosts are plain values. Package process/quotas sends them.
//
// One host of each region, the owner, holds the region's share of a quota in a token bucket
// and leases units from it to the hosts on request (Owner). The owners of the regions exchange
// the demand of their callers, so that the regions' shares follow demand and never add up to
// more than the quota (RegionSplit). A host spends the units that it has leased
// (LeaseHolder). While it reaches no owner it uses an equal share (EqualShare).
//
// AssignedShare and ShareAssigner are an alternative without leases: hosts are assigned rates
// by recent demand, and the total may briefly exceed the quota.
package quota
