// Package capacity calculates the resources that each role of a daemon uses at a given
// size of the system: network traffic, processor time, memory and calls of the store. It
// fits straight lines to the results of the repository's benchmarks and extrapolates
// them. It runs no benchmarks itself.
package capacity

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Point is one line of benchmark output.
type Point struct {
	Benchmark string             // name without its cases
	Params    map[string]float64 // parameters in the name of the case, such as hosts=20
	Metrics   map[string]float64 // results by unit, such as bytes/op
}

// paramPattern matches a parameter in the name of a benchmark's case.
var paramPattern = regexp.MustCompile(`([a-z]+)=(\d+)`)

// Parse reads the output of go test -bench. It skips lines that are not results.
func Parse(in io.Reader) ([]Point, error) {
	var out []Point
	s := bufio.NewScanner(in)
	for s.Scan() {
		fields := strings.Fields(s.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name, _, _ := strings.Cut(fields[0], "/")
		p := Point{Benchmark: name, Params: map[string]float64{}, Metrics: map[string]float64{}}
		nameWithoutProcs := strings.TrimSuffix(fields[0], "-"+procsSuffix(fields[0]))
		for _, m := range paramPattern.FindAllStringSubmatch(nameWithoutProcs, -1) {
			p.Params[m[1]], _ = strconv.ParseFloat(m[2], 64)
		}
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, errors.Wrapf(err, "capacity.Parse: %s", s.Text())
			}
			p.Metrics[fields[i+1]] = value
		}
		out = append(out, p)
	}
	return out, s.Err()
}

// procsSuffix returns the part of a benchmark's name after the last hyphen: the
// number of processors that go test appends.
func procsSuffix(name string) string {
	return name[strings.LastIndex(name, "-")+1:]
}

// LinearFit is a straight line through the points of a benchmark: a metric as a
// function of one parameter.
type LinearFit struct {
	Benchmark string
	Metric    string
	Param     string
	Points    int     // to which the line is fitted
	Intercept float64 // value at parameter 0
	Slope     float64
	MinParam  float64 // smallest and largest parameter measured
	MaxParam  float64
}

// At returns the value of the line at a parameter.
func (l LinearFit) At(param float64) float64 { return l.Intercept + l.Slope*param }

// minPoints is the smallest number of points that Fit accepts. Any two points lie on a
// line, so that two don't show whether the metric is linear.
const minPoints = 3

// Fit fits a line by least squares to the points of a benchmark, over one parameter.
// It uses only the points whose other parameters have the fixed values.
func Fit(points []Point, benchmark, metric, param string, fixed map[string]float64) (LinearFit, error) {
	l := LinearFit{Benchmark: benchmark, Metric: metric, Param: param}
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		x, ok := p.Params[param]
		if p.Benchmark != benchmark || !ok || !hasParams(p.Params, fixed) {
			continue
		}
		y, ok := p.Metrics[metric]
		if !ok {
			continue
		}
		if l.Points == 0 || x < l.MinParam {
			l.MinParam = x
		}
		l.MaxParam = max(l.MaxParam, x)
		l.Points++
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if l.Points < minPoints {
		return l, errors.Errorf("capacity.Fit: %s %s over %s has %d points instead of %d", benchmark, metric, param, l.Points, minPoints)
	}
	n := float64(l.Points)
	l.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	l.Intercept = (sy - l.Slope*sx) / n
	return l, nil
}

// hasParams reports whether the parameters include the fixed values.
func hasParams(params, fixed map[string]float64) bool {
	for k, v := range fixed {
		if params[k] != v {
			return false
		}
	}
	return true
}
