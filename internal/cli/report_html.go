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
th, td { border: 1px solid #ccc; padding: 0.3em 0.6em; text-align: right; }
.alert { background: #fdd; }
</style>
</head>
<body>
<h1>Service-level burn at {{time .At}}</h1>
<p>Burn rate 1 uses up exactly the error budget of 3 days.</p>
<table>
<tr><th>service</th><th>rank</th><th>objective</th><th>5m</th><th>1h</th><th>6h</th><th>3d</th><th>budget left</th><th>p50</th><th>p99</th><th>alert</th></tr>
{{range .Burns}}{{$o := .Objective}}<tr{{if .Alert}} class="alert"{{end}}><td>{{.Service}}</td><td>{{.Rank}}</td><td>{{objective $o}}</td>{{range .Windows}}<td>{{rate $o .}}</td>{{end}}<td>{{budget .}}</td><td>{{latency .Latency.P50}}</td><td>{{latency .Latency.P99}}</td><td>{{.Alert}}</td></tr>
{{end}}</table>
<h2>What used up the budgets</h2>
<table>
<tr><th>service</th><th>rank</th><th>outcome</th><th>cause</th><th>requests</th><th>share</th></tr>
{{range .Burns}}{{$b := .}}{{range .Consumed}}<tr><td>{{$b.Service}}</td><td>{{$b.Rank}}</td><td>{{.Outcome}}</td><td>{{cause .}}</td><td>{{.Requests}}</td><td>{{percent .Share}}</td></tr>
{{end}}{{end}}</table>
<h2>Burn rate over the last 6 hours</h2>
{{.Plot}}
<h2>Coverage</h2>
<ul>
{{range .Instances}}<li>{{.Instance}} counts since {{time .Since}}</li>
{{end}}{{range .Silent}}<li>no answer from {{.Instance}} at {{.Address}}: {{.Error}}</li>
{{end}}</ul>
</body>
</html>
`))

// htmlReport is what the template shows.
type htmlReport struct {
	*reportView
	Plot template.HTML
}

// writeHTML writes the report as one page without outside references.
func writeHTML(w io.Writer, v *reportView, reports []control.Report) error {
	plot, err := plotBurn(slo.BurnOverTime(v.At, plotSpan, plotStep, reports))
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
