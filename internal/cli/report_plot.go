package cli

import (
	"bytes"
	"html/template"
	"strings"

	"github.com/primrosenotch/primrosenotch/internal/slo"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"

	"gonum.org/v1/plot/vg/draw"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// plotBurn draws one line for each service and rank as an SVG element.
func plotBurn(lines []slo.BurnLine) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "hours ago"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, line := range lines {
		points := make(plotter.XYs, len(line.Points))
		for j, point := range line.Points {
			points[j] = plotter.XY{X: -point.Ago.Hours(), Y: point.Rate}
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		drawn.Color = plotutil.Color(i)
		drawn.Dashes = plotutil.Dashes(i)
		p.Add(drawn)
		p.Legend.Add(string(line.Service)+" "+line.Rank.String(), drawn)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", err
	}
	// An XML declaration is not allowed inside a page.
	_, element, _ := strings.Cut(svg.String(), "<svg")
	return template.HTML("<svg" + element), nil
}
