package soak

import (
	"fmt"
	"image/color"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Write writes the report as text: the numbers of faults, requests and notes by name, then the
// violations.
func (r *Report) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "seed\t%d\nfaults\t%d\n", r.Seed, len(r.Faults))
	kinds := Tally{}
	for _, f := range r.Faults {
		kinds[string(f.Kind)]++
	}
	for _, list := range []struct {
		name  string
		tally Tally
	}{{"fault", kinds}, {"requests", r.Outcomes}, {"noted", r.Notes}} {
		for _, name := range slices.Sorted(maps.Keys(list.tally)) {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\n", list.name, name, list.tally[name])
		}
	}
	for _, v := range r.Violations {
		_, _ = fmt.Fprintf(w, "BROKEN\tat %.1f s\t%s: %s\n", v.At.Seconds(), v.Promise, v.Detail)
	}
	_, _ = fmt.Fprintf(w, "promises broken\t%d\n", len(r.Violations))
	return w.Flush()
}

// Size of the timeline's image.
const (
	plotWidth  = 28 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// outcomeLines are the lines of the timeline: outcomes of requests and their colours.
var outcomeLines = []struct {
	name   string
	colour color.RGBA
}{
	{"answered", color.RGBA{R: 0x2a, G: 0x8c, B: 0x4a, A: 0xff}},
	{"not-run", color.RGBA{R: 0xd0, G: 0x8a, B: 0x10, A: 0xff}},
	{"unknown", color.RGBA{R: 0xc0, G: 0x30, B: 0x30, A: 0xff}},
	{"cut", color.RGBA{R: 0x70, G: 0x40, B: 0xa0, A: 0xff}},
}

// Plot writes the timeline as an SVG file: the outcomes of requests in each second as lines, and
// the faults as bars below them.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("soak, seed %d: %d faults, %d promises broken", r.Seed, len(r.Faults), len(r.Violations))
	p.X.Label.Text, p.Y.Label.Text = "seconds", "requests a second; below: faults"
	for _, o := range outcomeLines {
		points := make(plotter.XYs, len(r.OutcomesBySecond))
		for i, t := range r.OutcomesBySecond {
			points[i] = plotter.XY{X: float64(i), Y: float64(t[o.name])}
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "soak.Plot")
		}
		l.Color, l.Width = o.colour, vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(o.name, l)
	}
	if err := r.addFaultBars(p); err != nil {
		return err
	}
	p.Legend.Top = true
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Wrap(err, "soak.Plot")
	}
	return nil
}

// addFaultBars adds a bar for each fault, in one row for each kind.
func (r *Report) addFaultBars(p *plot.Plot) error {
	rows := map[Kind]int{}
	for _, f := range r.Faults {
		if _, ok := rows[f.Kind]; !ok {
			rows[f.Kind] = len(rows) + 1
		}
		y := -float64(rows[f.Kind]) * rowHeight
		l, err := plotter.NewLine(plotter.XYs{{X: f.Start.Seconds(), Y: y}, {X: f.End().Seconds(), Y: y}})
		if err != nil {
			return errors.Wrap(err, "soak.Plot")
		}
		l.Width = vg.Points(3)
		p.Add(l)
	}
	labels := plotter.XYLabels{}
	for kind, row := range rows {
		labels.XYs = append(labels.XYs, plotter.XY{X: 0, Y: -float64(row) * rowHeight})
		labels.Labels = append(labels.Labels, string(kind))
	}
	if len(rows) == 0 {
		return nil
	}
	names, err := plotter.NewLabels(labels)
	if err != nil {
		return errors.Wrap(err, "soak.Plot")
	}
	p.Add(names)
	return nil
}

// rowHeight is the distance between two rows of faults, in units of the vertical axis (requests a
// second).
const rowHeight = 6.0
