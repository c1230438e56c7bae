package record

import (
	"fmt"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sizes of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Plot draws the latency of served statements over time, with a line at each fault. The
// extension of the file selects its format.
func (s *Summary) Plot(events []Event, file string) error {
	p := plot.New()
	p.Title.Text = "latency of served statements; grey: faults begin or end"
	p.X.Label.Text, p.Y.Label.Text = "time (s)", "latency (ms)"
	p.Y.Min = 0
	p.Legend.Top = true
	top := 0.0
	for _, r := range s.Rows {
		top = max(top, milliseconds(r.P99))
	}
	for _, e := range events {
		if e.Kind != Fault {
			continue
		}
		at := float64(e.AtUS) / 1e6
		if err := addLine(p, "", plotter.XYs{{X: at, Y: 0}, {X: at, Y: top}}, color.Gray{200}); err != nil {
			return err
		}
	}
	var median, tail plotter.XYs
	for _, r := range s.Rows {
		if r.Served == 0 {
			// Nothing was served, so there is no latency. Drawing 0 would look like the
			// best value.
			continue
		}
		x := (r.From + s.Window/2).Seconds()
		median = append(median, plotter.XY{X: x, Y: milliseconds(r.P50)})
		tail = append(tail, plotter.XY{X: x, Y: milliseconds(r.P99)})
	}
	if err := addLine(p, "p50", median, color.RGBA{B: 180, A: 255}); err != nil {
		return err
	}
	if err := addLine(p, "p99", tail, color.RGBA{R: 200, A: 255}); err != nil {
		return err
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	return nil
}

func addLine(p *plot.Plot, name string, points plotter.XYs, c color.Color) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	line.Color = c
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
