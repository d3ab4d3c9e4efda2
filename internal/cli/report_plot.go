package cli

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"strings"
	"time"

	"github.com/samber/lo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/primrosenotch/primrosenotch/internal/slo"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// plotMargin keeps the last label of the time axis inside the image.
	plotMargin = vg.Centimeter
	lineWidth  = 1.5 * vg.Millimeter / 3
	pointSize  = 2 * vg.Millimeter / 3
)

// legendEntry names one line of the plot.
type legendEntry struct {
	Name  string
	Color template.CSS
}

// burnPlot is a plot as an SVG element, with its legend.
type burnPlot struct {
	SVG    template.HTML
	Legend []legendEntry
}

// plotBurn draws the burn rate of each service and rank as one line, over the time
// covered by the instances' counts.
func plotBurn(lines []slo.BurnSeries, coverage time.Duration) (burnPlot, error) {
	p := plot.New()
	p.X.Label.Text = "hours ago"
	p.X.Min, p.X.Max = -plotSpan.Hours(), 0
	p.X.Tick.Marker = plot.ConstantTicks(hourTicks())
	p.Y.Label.Text = "burn rate"
	p.Y.Min, p.Y.Max = 0, 1
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = color.Gray{Y: 225}, color.Gray{Y: 225}
	p.Add(grid)
	var drawn burnPlot
	for i, line := range lines {
		if err := addLine(p, line, plotutil.Color(i), coverage); err != nil {
			return burnPlot{}, fmt.Errorf("draw line of service %s, rank %s: %w", line.Service, line.Rank, err)
		}
		drawn.Legend = append(drawn.Legend, legendEntry{
			Name:  string(line.Service) + " " + line.Rank.String(),
			Color: cssColor(plotutil.Color(i)),
		})
	}
	svg, err := renderSVG(p)
	drawn.SVG = svg
	return drawn, err
}

func addLine(p *plot.Plot, line slo.BurnSeries, c color.Color, coverage time.Duration) error {
	var points plotter.XYs
	for _, point := range line.Points {
		if point.Ago <= coverage+plotStep {
			points = append(points, plotter.XY{X: -point.Ago.Hours(), Y: point.Rate})
		}
	}
	if len(points) == 0 {
		return nil
	}
	drawn, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	drawn.Color, dots.Color = c, c
	drawn.Width, dots.Radius = lineWidth, pointSize
	dots.Shape = draw.CircleGlyph{}
	p.Add(drawn, dots)
	return nil
}

func hourTicks() []plot.Tick {
	hours := int(math.Round(plotSpan.Hours()))
	return lo.Map(lo.Range(hours+1), func(ago, _ int) plot.Tick {
		label := fmt.Sprint(ago)
		if ago == 0 {
			label = "now"
		}
		return plot.Tick{Value: -float64(ago), Label: label}
	})
}

func cssColor(c color.Color) template.CSS {
	r, g, b, _ := c.RGBA()
	return template.CSS(fmt.Sprintf("rgb(%d,%d,%d)", r>>8, g>>8, b>>8))
}

func renderSVG(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.Crop(draw.New(canvas), 0, -plotMargin, 0, 0))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", err
	}
	// An XML declaration is not allowed inside an HTML page.
	_, element, _ := strings.Cut(svg.String(), "<svg")
	return template.HTML("<svg" + element), nil
}
