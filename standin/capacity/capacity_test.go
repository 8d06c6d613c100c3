package capacity

import (
	"bytes"
	"math"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFit guards against wrong slopes in the capacity tables. Parse must ignore the
// number of processors that go test appends to a case's name. Fit must use only the
// points with the fixed parameters, and must fail with fewer than three.
func TestFit(t *testing.T) {
	points, err := Parse(strings.NewReader(`goos: linux
BenchmarkX/hosts=10/endpoints=0-8   	 100	 1200 ns/op	 30.0 bytes/op
BenchmarkX/hosts=20/endpoints=0-8   	 100	 2200 ns/op	 50.0 bytes/op
BenchmarkX/hosts=40/endpoints=0-8   	 100	 4200 ns/op	 90.0 bytes/op
BenchmarkX/hosts=40/endpoints=9-8   	 100	 9999 ns/op	 99.0 bytes/op
`))
	assert.NilError(t, err)
	l, err := Fit(points, "BenchmarkX", "bytes/op", "hosts", map[string]float64{"endpoints": 0})
	assert.NilError(t, err)
	assert.Assert(t, math.Abs(l.Slope-2) < 1e-9 && math.Abs(l.At(100)-210) < 1e-9, "%+v", l)
	_, err = Fit(points, "BenchmarkX", "bytes/op", "endpoints", nil)
	assert.NilError(t, err)
	_, err = Fit(points, "BenchmarkX", "bytes/op", "hosts", map[string]float64{"endpoints": 9})
	assert.ErrorContains(t, err, "1 points instead of 3")
}

// TestPageMatchesModel guards against an outdated page: docs/CAPACITY.md must contain
// the tables that follow from the recorded benchmark figures and the constants in the
// code. The test fails when such a constant changes and the page does not.
func TestPageMatchesModel(t *testing.T) {
	figures, err := os.Open("../../docs/capacity-figures.txt")
	assert.NilError(t, err)
	defer func() { _ = figures.Close() }()
	points, err := Parse(figures)
	assert.NilError(t, err)
	m, err := NewModel(points)
	assert.NilError(t, err)
	var tables bytes.Buffer
	m.Write(&tables)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(page), tables.String()),
		"docs/CAPACITY.md has outdated tables; regenerate them as the page says")
}
