package main

import (
	"image/color"
	"strings"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"vetchtrail/process/journal"
)

const (
	lossWidth  = 9 * vg.Inch
	lossHeight = 4 * vg.Inch
	lossBar    = 8 // points, of one second: a minute fits
)

// endKinds are the ends that the plot tells apart, from the bottom up, by the
// beginnings of their causes.
var endKinds = []struct {
	name   string
	begins []string
	colour color.Color
}{
	{"in time", []string{string(journal.CauseNone)}, color.RGBA{R: 90, G: 160, B: 90, A: 255}},
	{"late", []string{"late"}, color.RGBA{R: 230, G: 190, B: 70, A: 255}},
	{"refused", []string{"refused"}, color.RGBA{R: 220, G: 120, B: 60, A: 255}},
	{"failed or lost", []string{""}, color.RGBA{R: 180, G: 60, B: 60, A: 255}},
}

// kindOfEnd is the index in endKinds of a cause.
func kindOfEnd(c journal.Cause) int {
	for i, k := range endKinds {
		for _, b := range k.begins {
			if strings.HasPrefix(string(c), b) {
				return i
			}
		}
	}
	return len(endKinds) - 1
}

// plotLosses draws how the requests of each second ended, one upon the other.
func plotLosses(l *journal.Losses, file string) error {
	seconds := l.Rows[len(l.Rows)-1].Second + 1
	values := make([]plotter.Values, len(endKinds))
	for i := range values {
		values[i] = make(plotter.Values, seconds)
	}
	for _, r := range l.Rows {
		values[kindOfEnd(r.Cause)][r.Second] += float64(r.Count)
	}
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", "requests, by how they ended"
	var below *plotter.BarChart
	for i, k := range endKinds {
		bars, err := plotter.NewBarChart(values[i], vg.Points(lossBar))
		if err != nil {
			return errors.Wrap(err, "losses: plot")
		}
		bars.Color, bars.LineStyle.Width = k.colour, 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(k.name, bars)
	}
	p.Legend.Top = true
	if err := p.Save(lossWidth, lossHeight, file); err != nil {
		return errors.Wrap(err, "losses: plot")
	}
	return nil
}
