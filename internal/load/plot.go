package load

import (
	"errors"
	"fmt"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot image.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// microsecondsPerMillisecond scales plotted latencies.
const microsecondsPerMillisecond = 1000

var errNoSeries = errors.New("result has no series")

// PlotLatency draws the median and the 99th percentile of each class over time.
// The file extension selects the format.
func PlotLatency(r *Result, path string) error {
	p := newPlot("latency of served answers", "ms")
	for i, class := range classesOf(r) {
		var median, p99 plotter.XYs
		for _, point := range r.Series {
			if point.Class != class || point.Latency.Count == 0 {
				continue
			}
			second := float64(point.Second)
			median = append(median, plotter.XY{X: second, Y: float64(point.Latency.P50) / microsecondsPerMillisecond})
			p99 = append(p99, plotter.XY{X: second, Y: float64(point.Latency.P99) / microsecondsPerMillisecond})
		}
		if err := addLine(p, class+" p50", median, i, 1); err != nil {
			return err
		}
		if err := addLine(p, class+" p99", p99, i, 0); err != nil {
			return err
		}
	}
	return save(p, path, r)
}

// PlotOutcomes draws the requests that ended per second, by class and outcome, over
// time.
// The file extension selects the format.
func PlotOutcomes(r *Result, path string) error {
	p := newPlot("answers by outcome", "1/s")
	for i, class := range classesOf(r) {
		for j, outcome := range seriesOutcomes(r, class) {
			if err := addLine(p, class+" "+outcome, outcomeLine(r, class, outcome), i, j); err != nil {
				return err
			}
		}
	}
	return save(p, path, r)
}

func newPlot(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds since start"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return p
}

func addLine(p *plot.Plot, name string, points plotter.XYs, color, dashes int) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	line.Color = plotutil.Color(color)
	line.Dashes = plotutil.Dashes(dashes)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

func save(p *plot.Plot, path string, r *Result) error {
	if len(r.Series) == 0 {
		return errNoSeries
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

func classesOf(r *Result) []string {
	var classes []string
	for _, point := range r.Series {
		if !slices.Contains(classes, point.Class) {
			classes = append(classes, point.Class)
		}
	}
	return classes
}

func seriesOutcomes(r *Result, class string) []string {
	var outcomes []string
	for _, point := range r.Series {
		if point.Class != class {
			continue
		}
		for outcome := range point.Outcomes {
			outcomes = append(outcomes, outcome)
		}
	}
	slices.Sort(outcomes)
	return slices.Compact(outcomes)
}

// outcomeLine returns a point for each recorded second of the class. Seconds
// without the outcome get a zero, so that a gap does not look like a steady rate.
func outcomeLine(r *Result, class, outcome string) plotter.XYs {
	var points plotter.XYs
	for _, point := range r.Series {
		if point.Class == class {
			points = append(points, plotter.XY{X: float64(point.Second), Y: float64(point.Outcomes[outcome])})
		}
	}
	return points
}
