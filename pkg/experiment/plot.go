package experiment

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot writes the shares of operations served in their aim, served late and not served
// over time to a file; the ending of its name decides the format.
func (r *Result) Plot(path string) error {
	p := plot.New()
	p.Title.Text = r.Pattern.Name
	p.X.Label.Text, p.Y.Label.Text = "second in which the operation began", "share of operations"
	p.Y.Min, p.Y.Max = 0, 1
	lines := []struct {
		name  string
		color color.Color
		share func(c *Count) float64
	}{
		{"in aim", color.RGBA{G: 140, A: 255}, func(c *Count) float64 { return float64(c.InAim) }},
		{"late", color.RGBA{R: 220, G: 150, A: 255}, func(c *Count) float64 { return float64(c.Late) }},
		{"refused or unknown", color.RGBA{R: 200, A: 255}, func(c *Count) float64 { return float64(c.Refused + c.Unknown) }},
	}
	for _, l := range lines {
		var points plotter.XYs
		for i := range r.Times {
			c := &r.Times[i]
			if c.Asked > 0 {
				points = append(points, plotter.XY{X: float64(i), Y: l.share(c) / float64(c.Asked)})
			}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = l.color
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}
