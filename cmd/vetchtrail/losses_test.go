package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"vetchtrail/process/journal"
)

// sampleLosses returns losses of two routes, two regions and two seconds, with and
// without a workspace.
func sampleLosses() *journal.Losses {
	return &journal.Losses{From: time.Unix(1_800_000_000, 0), Rows: []journal.CauseCount{
		{Second: 0, Service: "s", Route: "r", Home: "north", Cause: journal.CauseNone, Count: 8},
		{Second: 0, Service: "s", Route: "r", Home: "south", Cause: journal.CauseRefusedFirstAttempt, Count: 1},
		{Second: 2, Service: "s", Route: "r", Home: "south", Workspace: "w", Cause: journal.CauseStreamBroken, Count: 5},
		{Second: 2, Service: "s", Route: "q", Home: "south", Cause: journal.CauseNone, Count: 1},
	}}
}

// TestPrintLosses guards against wrong counts and a wrong order in the printed tables,
// which would lead an operator to the wrong cause. Causes and routes must be sorted with
// the most frequent first, the seconds with the most losses by time, and the workspaces
// with the highest share of losses first.
func TestPrintLosses(t *testing.T) {
	var b bytes.Buffer
	printLosses(&b, sampleLosses())
	for _, want := range []string{
		"CAUSE\tALL\tr\tq\nin time\t9\t8\t1\ncut with its endpoint\t5\t5\t0\nrefused at its first try\t1\t1\t0\n",
		"WORKSPACE\tREQUESTS\tIN TIME\tMOST OFTEN\nw\t5\t0\tcut with its endpoint (5)\n(none)\t10\t9\trefused at its first try (1)\n",
		"0\t9\t8\tsouth (1)\trefused at its first try (1)\n2\t6\t1\tsouth (5)\tcut with its endpoint (5)\n",
	} {
		assert.Assert(t, strings.Contains(b.String(), want), b.String())
	}
}

// TestWriteLossesCSV guards against CSV columns that don't match the header. The output
// must be the header line and one line for each row.
func TestWriteLossesCSV(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, writeLossesCSV(&b, sampleLosses()))
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	assert.Equal(t, lines[0], "second,service,route,region,workspace,cause,count")
	assert.Equal(t, lines[3], "2,s,r,south,w,cut with its endpoint,5")
	assert.Equal(t, len(lines), 5)
}

// TestPlotLosses guards against a plot without its legend, and against accepting a file
// name of an unknown format.
func TestPlotLosses(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.svg")
	assert.NilError(t, plotLosses(sampleLosses(), file))
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), "failed or lost"))
	assert.ErrorContains(t, plotLosses(sampleLosses(), filepath.Join(t.TempDir(), "a.doc")), "losses: plot")
}
