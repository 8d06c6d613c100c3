package main

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"vetchtrail/schema"
)

// TestPrintCapacity guards against sums that mix priorities or attempts, and against figures of
// services where admission is not in force, which measure nothing.
func TestPrintCapacity(t *testing.T) {
	reply := &schema.CapacityReply{Host: "a", Services: []*schema.ServiceCapacity{
		{
			Service: "chat", Measured: true, InForce: true, Supply: 1000, Factor: 0.8, Asked: 3000, Hosts: 9, Age: 700_000_000,
			Classes: []*schema.ClassCapacity{
				{Priority: 2, Workspace: "w", Asked: 400, Admitted: 400},
				{Priority: 2, Workspace: "v", Asked: 200, Admitted: 200},
				{Priority: 2, Workspace: "w", Returned: true, Asked: 100, Admitted: 100},
				{Priority: 1, Asked: 2000, Admitted: 300},
			},
			Returns: []*schema.PlannedReturns{{Priority: 1, InMillis: 250, Work: 70}},
		},
		{Service: "embed", Measured: true, Factor: 1, Hosts: 9},
		{Service: "title"},
	}}
	var b bytes.Buffer
	printCapacity(&b, reply)
	for _, want := range []string{
		"\nchat\tin force\tnone\t1000\t0.80\t0\t3000\t1000\t9\t700ms\nembed\tobserved\tnone\tunknown\t1.00\t0\t0\t0\t9\t0s\ntitle\tnot in force\t-\t-\t-\t-\t-\t-\t-\t-\n",
		"\nchat\t2\tfirst\t(all)\t600\t600\t1.00\nchat\t2\tfirst\tw\t400\t400\t1.00\nchat\t2\tfirst\tv\t200\t200\t1.00\nchat\t2\treturn\t(all)\t100\t100\t1.00\n",
		"\nchat\t1\tfirst\t(all)\t2000\t300\t0.15\nchat\t1\tfirst\t(none or several)\t2000\t300\t0.15\n",
		"\nchat\t1\t250ms\t70\n",
	} {
		assert.Assert(t, strings.Contains(b.String(), want), b.String())
	}
	assert.Assert(t, !strings.Contains(b.String(), "GRANTED TO IT ALONE"))
}
