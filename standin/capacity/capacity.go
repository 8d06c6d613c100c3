// Package capacity works out what each role of a daemon needs at a given size
// from slopes that the repository's benchmarks measured.
package capacity

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Point is one line of a benchmark: its sizes and its figures, by name.
type Point struct {
	Benchmark string
	Sizes     map[string]float64 // as in hosts=20
	Figures   map[string]float64 // as in bytes/op
}

var sizeOf = regexp.MustCompile(`([a-z]+)=(\d+)`)

// Parse reads the output of go test -bench.
func Parse(in io.Reader) ([]Point, error) {
	var out []Point
	s := bufio.NewScanner(in)
	for s.Scan() {
		fields := strings.Fields(s.Text())
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name, _, _ := strings.Cut(fields[0], "/")
		p := Point{Benchmark: name, Sizes: map[string]float64{}, Figures: map[string]float64{}}
		whole := strings.TrimSuffix(fields[0], "-"+lastPart(fields[0]))
		for _, m := range sizeOf.FindAllStringSubmatch(whole, -1) {
			p.Sizes[m[1]], _ = strconv.ParseFloat(m[2], 64)
		}
		for i := 2; i+1 < len(fields); i += 2 {
			x, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, errors.Wrapf(err, "capacity.Parse: %s", s.Text())
			}
			p.Figures[fields[i+1]] = x
		}
		out = append(out, p)
	}
	return out, s.Err()
}

func lastPart(name string) string {
	return name[strings.LastIndex(name, "-")+1:]
}

// Line is a figure as a straight function of one size.
type Line struct {
	Benchmark string
	Figure    string
	Size      string
	Points    int
	Start     float64 // at size 0
	Slope     float64
	Least     float64 // smallest and largest size measured
	Most      float64
}

// At returns the figure at a size.
func (l Line) At(size float64) float64 { return l.Start + l.Slope*size }

const fewest = 3 // points that show a slope

// Fit fits a line through a benchmark's points, over one size, with the others
// as given.
func Fit(points []Point, benchmark, figure, size string, others map[string]float64) (Line, error) {
	l := Line{Benchmark: benchmark, Figure: figure, Size: size}
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		x, ok := p.Sizes[size]
		if p.Benchmark != benchmark || !ok || !matches(p.Sizes, others) {
			continue
		}
		y, ok := p.Figures[figure]
		if !ok {
			continue
		}
		if l.Points == 0 || x < l.Least {
			l.Least = x
		}
		l.Most = max(l.Most, x)
		l.Points++
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if l.Points < fewest {
		return l, errors.Errorf("capacity.Fit: %s %s over %s has %d points instead of %d", benchmark, figure, size, l.Points, fewest)
	}
	n := float64(l.Points)
	l.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	l.Start = (sy - l.Slope*sx) / n
	return l, nil
}

func matches(sizes, others map[string]float64) bool {
	for k, v := range others {
		if sizes[k] != v {
			return false
		}
	}
	return true
}
