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

func losses() *journal.Losses {
	return &journal.Losses{From: time.Unix(1_800_000_000, 0), Rows: []journal.Loss{
		{Second: 0, Service: "s", Route: "r", Home: "north", Cause: journal.CauseNone, Count: 8},
		{Second: 0, Service: "s", Route: "r", Home: "south", Cause: journal.CauseRefusedFirst, Count: 1},
		{Second: 2, Service: "s", Route: "r", Home: "south", Workspace: "w", Cause: journal.CauseCut, Count: 5},
		{Second: 2, Service: "s", Route: "q", Home: "south", Cause: journal.CauseNone, Count: 1},
	}}
}

// TestLossesPrinted: the table has causes by route, most frequent first, and the
// seconds that lost most.
func TestLossesPrinted(t *testing.T) {
	var b bytes.Buffer
	printLosses(&b, losses())
	for _, want := range []string{
		"CAUSE\tALL\tr\tq\nin time\t9\t8\t1\ncut with its endpoint\t5\t5\t0\nrefused at its first try\t1\t1\t0\n",
		"WORKSPACE\tREQUESTS\tIN TIME\tMOST OFTEN\nw\t5\t0\tcut with its endpoint (5)\n(none)\t10\t9\trefused at its first try (1)\n",
		"0\t9\t8\tsouth (1)\trefused at its first try (1)\n2\t6\t1\tsouth (5)\tcut with its endpoint (5)\n",
	} {
		assert.Assert(t, strings.Contains(b.String(), want), b.String())
	}
}

// TestLossesWritten: the CSV has a line for each row, with its head.
func TestLossesWritten(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, writeLosses(&b, losses()))
	lines := strings.Split(strings.TrimSpace(b.String()), "\n")
	assert.Equal(t, lines[0], "second,service,route,region,workspace,cause,count")
	assert.Equal(t, lines[3], "2,s,r,south,w,cut with its endpoint,5")
	assert.Equal(t, len(lines), 5)
}

// TestLossesPlotted: the plot is written, and a format that there is none of refused.
func TestLossesPlotted(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.svg")
	assert.NilError(t, plotLosses(losses(), file))
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), "failed or lost"))
	assert.ErrorContains(t, plotLosses(losses(), filepath.Join(t.TempDir(), "a.doc")), "losses: plot")
}
