package daemon

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"vetchtrail/process/demand"
	"vetchtrail/schema"
)

// Capacity implements schema.DRPCOperatorsServer.
func (o *operatorServer) Capacity(_ context.Context, q *schema.CapacityRequest) (*schema.CapacityReply, error) {
	out, now := &schema.CapacityReply{Host: o.d.self.Name}, time.Now()
	for _, s := range o.d.changes.Rules().Services() {
		if q.GetService() == "" || q.GetService() == s.Name {
			out.Services = append(out.Services, toServiceCapacity(s.Name, o.d.demand.Capacity(s.Name, now), now))
		}
	}
	return out, nil
}

// toServiceCapacity converts the state of a service to a message. Higher priorities come first,
// and within a priority and attempt the workspaces that ask for most.
func toServiceCapacity(name string, c demand.Capacity, now time.Time) *schema.ServiceCapacity {
	m := &schema.ServiceCapacity{
		Service: name, Measured: c.Measured, InForce: c.InForce, Shortage: c.Shortage, Since: unixNanos(c.Since), Supply: c.Supply, Factor: c.Factor, Granted: c.Granted,
		Asked: c.Asked, Returns: schema.FromPlannedReturns(c.Returns, now), Hosts: int32(c.Hosts), Age: int64(c.Age),
	}
	for _, priority := range slices.Backward(slices.Sorted(maps.Keys(c.GrantedTo))) {
		m.PriorityGrants = append(m.PriorityGrants, &schema.PriorityGrant{Priority: int32(priority), Rate: c.GrantedTo[priority]})
	}
	for _, d := range c.Classes {
		m.Classes = append(m.Classes, &schema.ClassCapacity{
			Priority: int32(d.Priority), Workspace: d.Workspace, Returned: d.Return, Asked: d.Asked, Admitted: d.Admitted,
		})
	}
	slices.SortFunc(m.Classes, func(a, b *schema.ClassCapacity) int {
		return cmp.Or(cmp.Compare(b.GetPriority(), a.GetPriority()), compareAttempts(a, b), cmp.Compare(b.GetAsked(), a.GetAsked()), cmp.Compare(a.GetWorkspace(), b.GetWorkspace()))
	})
	return m
}

// compareAttempts sorts first attempts before returns.
func compareAttempts(a, b *schema.ClassCapacity) int {
	switch {
	case a.GetReturned() == b.GetReturned():
		return 0
	case b.GetReturned():
		return -1
	}
	return 1
}
