package daemon

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail"
	"vetchtrail/process/demand"
)

// TestServiceCapacityOrder guards against classes in an order that splits a priority or a kind of
// attempt: the operators' table sums up neighbours.
func TestServiceCapacityOrder(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	m := toServiceCapacity("chat", demand.Capacity{
		InForce: true, Shortage: true, Since: now, GrantedTo: map[int8]float64{1: 10, 3: 30},
		Classes: []vetchtrail.ClassDemand{
			{Priority: 1, Workspace: "a", Asked: 5}, {Priority: 3, Workspace: "a", Return: true, Asked: 9}, {Priority: 3, Workspace: "a", Asked: 1},
			{Priority: 1, Workspace: "b", Asked: 7}, {Priority: 1, Workspace: "a", Return: true, Asked: 8}, {Priority: 3, Workspace: "b", Asked: 1},
		},
		Returns: []vetchtrail.PlannedReturn{{Priority: 1, At: now.Add(time.Second), Work: 4}},
	}, now)
	got := ""
	for _, c := range m.GetClasses() {
		got += fmt.Sprintf("%d %t %s, ", c.GetPriority(), c.GetReturned(), c.GetWorkspace())
	}
	assert.Equal(t, got, "3 false a, 3 false b, 3 true a, 1 false b, 1 false a, 1 true a, ")
	assert.Equal(t, m.GetPriorityGrants()[0].GetPriority(), int32(3))
	assert.Equal(t, m.GetReturns()[0].GetInMillis(), uint32(1000))
	assert.Equal(t, m.GetSince(), now.UnixNano())
}
