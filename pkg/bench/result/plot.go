package result

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 20 * vg.Millimeter
)

// Bar is one bar of a plot.
type Bar struct {
	Name  string
	Value float64
}

// Bars writes a bar chart to a file; its extension gives the format.
func Bars(file, title, axis string, bars []Bar) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, axis
	p.Y.Min = 0
	values, names := make(plotter.Values, len(bars)), make([]string, len(bars))
	for i, b := range bars {
		values[i], names[i] = b.Value, b.Name
	}
	chart, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	p.Add(chart)
	p.NominalX(names...)
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	return nil
}
