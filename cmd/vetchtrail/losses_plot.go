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
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 8 // points for one second; the bars of a minute fit into the width
)

// plotCategories are the categories of outcomes in the plot, from the bottom of a bar to
// its top. A cause belongs to the first category that has a prefix of its text.
var plotCategories = []struct {
	name     string
	prefixes []string
	colour   color.Color
}{
	{"in time", []string{string(journal.CauseNone)}, color.RGBA{R: 90, G: 160, B: 90, A: 255}},
	{"late", []string{"late"}, color.RGBA{R: 230, G: 190, B: 70, A: 255}},
	{"refused", []string{"refused"}, color.RGBA{R: 220, G: 120, B: 60, A: 255}},
	{"failed or lost", []string{""}, color.RGBA{R: 180, G: 60, B: 60, A: 255}},
}

// categoryOf returns the index of the category in plotCategories that a cause belongs to.
func categoryOf(c journal.Cause) int {
	for i, category := range plotCategories {
		for _, prefix := range category.prefixes {
			if strings.HasPrefix(string(c), prefix) {
				return i
			}
		}
	}
	return len(plotCategories) - 1
}

// plotLosses draws a stacked bar for each second with the number of requests by
// category. The file's extension selects the format.
func plotLosses(l *journal.Losses, file string) error {
	seconds := l.Rows[len(l.Rows)-1].Second + 1
	values := make([]plotter.Values, len(plotCategories))
	for i := range values {
		values[i] = make(plotter.Values, seconds)
	}
	for _, r := range l.Rows {
		values[categoryOf(r.Cause)][r.Second] += float64(r.Count)
	}
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", "requests, by how they ended"
	var previous *plotter.BarChart
	for i, category := range plotCategories {
		bars, err := plotter.NewBarChart(values[i], vg.Points(barWidth))
		if err != nil {
			return errors.Wrap(err, "losses: plot")
		}
		bars.Color, bars.LineStyle.Width = category.colour, 0
		if previous != nil {
			bars.StackOn(previous)
		}
		previous = bars
		p.Add(bars)
		p.Legend.Add(category.name, bars)
	}
	p.Legend.Top = true
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Wrap(err, "losses: plot")
	}
	return nil
}
