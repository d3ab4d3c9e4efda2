package cli

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/primrosenotch/primrosenotch/internal/control"
	"github.com/primrosenotch/primrosenotch/internal/slo"
)

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"time":      formatTime,
	"objective": formatObjective,
	"rate":      formatRate,
	"budget":    formatBudget,
	"latency":   formatLatency,
	"cause":     formatCause,
	"percent":   func(f float64) string { return fmt.Sprintf("%.1f%%", f*100) },
}).Parse(`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>primrosenotch report</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; margin-bottom: 2em; }
th, td { border: 1px solid #ccc; padding: 0.3em 0.6em; text-align: left; }
td.n, th.n { text-align: right; }
.swatch { display: inline-block; width: 1em; height: 0.4em; margin: 0 0.4em 0.2em 1em; }
svg { max-width: 100%; }
.alert { background: #fdd; }
</style>
</head>
<body>
<h1>Error budget burn at {{time .At}}</h1>
<p>At burn rate 1 the error budget lasts exactly 3 days.</p>
<table>
<tr><th>service</th><th>rank</th><th>objective</th><th class="n">5m</th><th class="n">1h</th><th class="n">6h</th><th class="n">3d</th><th class="n">budget left</th><th class="n">p50</th><th class="n">p99</th><th>alert</th></tr>
{{range .Burns}}{{$o := .Objective}}<tr{{if .Alert}} class="alert"{{end}}><td>{{.Service}}</td><td>{{.Rank}}</td><td>{{objective $o}}</td>{{range .Windows}}<td class="n">{{rate $o .}}</td>{{end}}<td class="n">{{budget .}}</td><td class="n">{{latency .Latency.P50}}</td><td class="n">{{latency .Latency.P99}}</td><td>{{.Alert}}</td></tr>
{{end}}</table>
<h2>Error budget consumption</h2>
<table>
<tr><th>service</th><th>rank</th><th>outcome</th><th>cause</th><th class="n">requests</th><th class="n">share</th></tr>
{{range .Burns}}{{$b := .}}{{range .Consumed}}<tr><td>{{$b.Service}}</td><td>{{$b.Rank}}</td><td>{{.Outcome}}</td><td>{{cause .}}</td><td class="n">{{.Requests}}</td><td class="n">{{percent .Share}}</td></tr>
{{end}}{{range .Excluded}}<tr><td>{{$b.Service}}</td><td>{{$b.Rank}}</td><td>{{.Outcome}}</td><td>{{cause .}}</td><td class="n">{{.Requests}}</td><td class="n">excluded (caller)</td></tr>
{{end}}{{end}}</table>
<h2>Burn rate over the last 6 hours</h2>
{{range .Plot.Legend}}<span class="swatch" style="background: {{.Color}}"></span>{{.Name}}{{end}}
<div>{{.Plot.SVG}}</div>
<h2>Coverage</h2>
<ul>
{{range .Instances}}<li>{{.Instance}} has counts since {{time .Since}}</li>
{{end}}{{range .Unreachable}}<li>call to {{.Instance}} at {{.Address}} failed: {{.Error}}</li>
{{end}}</ul>
</body>
</html>
`))

// htmlReport is the data of reportTemplate.
type htmlReport struct {
	*reportView
	Plot burnPlot
}

// writeHTML writes the report as a self-contained page without external
// references.
func writeHTML(w io.Writer, v *reportView, reports []control.Report) error {
	plot, err := plotBurn(slo.BurnOverTime(v.At, plotSpan, plotStep, reports), longestCoverage(v.At, reports))
	if err != nil {
		return fmt.Errorf("plot burn rates: %w", err)
	}
	var page bytes.Buffer
	if err := reportTemplate.Execute(&page, htmlReport{reportView: v, Plot: plot}); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if _, err := page.WriteTo(w); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

const (
	plotSpan = 6 * time.Hour
	plotStep = 5 * time.Minute
)

// longestCoverage returns the longest time for which any instance has counts.
func longestCoverage(now time.Time, reports []control.Report) time.Duration {
	var longest time.Duration
	for _, r := range reports {
		longest = max(longest, now.Sub(r.Since))
	}
	return longest
}
