package burn

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 5 * vg.Centimeter
)

var page = template.Must(template.New("burn").Funcs(template.FuncMap{"plot": plotLine, "percent": percent}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border: 1px solid #999; padding: 0.2em 0.6em; text-align: right; }
td:first-child, th:first-child { text-align: left; }
.page { background: #f8c0c0; } .ticket { background: #f8ecc0; }
</style>
</head>
<body>
<h1>Service-level burn at {{.At.Format "2006-01-02 15:04:05 MST"}}</h1>
<p>A burn rate of 1, the red line, spends exactly the budget of the objective's window. State: page is 14.4 or more over 5 m and 1 h;
ticket is 1 or more over 3 d, or no budget left.</p>
<table>
<tr><th>organisation</th><th>class</th><th>objective</th><th>good</th><th>bad</th><th>5 m</th><th>1 h</th><th>6 h</th><th>3 d</th><th>budget left</th><th>state</th></tr>
{{range .Lines}}<tr class="{{.State}}"><td>{{.Objective.Organisation}}</td><td>{{.Objective.Class}}</td><td>{{.Objective.Percent}} % in {{.Objective.Latency}}</td><td>{{.Good}}</td><td>{{.Bad}}</td>{{range .Rates}}<td>{{printf "%.2f" .}}</td>{{end}}<td>{{percent .Left}}</td><td>{{.State}}</td></tr>
{{end}}</table>
{{range .Lines}}<h2>{{.Objective.Organisation}} {{.Objective.Class}}: burn rate of each hour</h2>
{{plot .}}
{{if .Exemplars}}<table>
<tr><th>request</th><th>at</th><th>latency</th><th>answered</th></tr>
{{range .Exemplars}}<tr><td>{{.ID}}</td><td>{{.At.Format "2006-01-02 15:04:05"}}</td><td>{{.Latency.Round 1000000}}</td><td>{{.Answered}}</td></tr>
{{end}}</table>
{{else}}<p>No request spent the budget.</p>
{{end}}{{end}}</body>
</html>
`))

// WriteHTML writes the report as a self-contained HTML page.
func (r Report) WriteHTML(w io.Writer) error {
	if err := page.Execute(w, r); err != nil {
		return fmt.Errorf("write the burn page: %w", err)
	}
	return nil
}

// plotLine plots the burn rate of each hour of the last 3 days, and a line at
// the rate that uses exactly the budget.
func plotLine(l Line) (template.HTML, error) {
	p := plot.New()
	p.X.Tick.Marker = halfDays{}
	p.X.Min, p.X.Max = float64(l.at.Add(-Windows[len(Windows)-1]).Unix()), float64(l.at.Unix())
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	points := make(plotter.XYs, len(l.points))
	for i, at := range l.points {
		points[i] = plotter.XY{X: float64(at.hour.Unix()), Y: at.rate}
	}
	if len(points) > 0 {
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return "", fmt.Errorf("plot %s %s: %w", l.Objective.Organisation, l.Objective.Class, err)
		}
		p.Add(line, dots)
	}
	budget := plotter.NewFunction(func(float64) float64 { return 1 })
	budget.Color = color.RGBA{R: 200, A: 255}
	p.Add(budget)
	p.Y.Max = max(p.Y.Max*1.1, 2) // margin above the highest point
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", fmt.Errorf("draw %s %s: %w", l.Objective.Organisation, l.Objective.Class, err)
	}
	return inline(b.String()), nil
}

// halfDays places a tick every 6 h and labels those at midnight and noon UTC.
type halfDays struct{}

var _ plot.Ticker = halfDays{}

// Ticks implements plot.Ticker.
func (halfDays) Ticks(from, to float64) []plot.Tick {
	const step = 6 * 3600 // seconds
	var ticks []plot.Tick
	for at := int64(from)/step*step + step; at <= int64(to); at += step {
		tick := plot.Tick{Value: float64(at)}
		if at%(2*step) == 0 {
			tick.Label = time.Unix(at, 0).UTC().Format("01-02 15h")
		}
		ticks = append(ticks, tick)
	}
	return ticks
}

func percent(part float64) string { return fmt.Sprintf("%.1f %%", part*100) }

// inline drops everything before the svg element. Marking the result as safe
// HTML is sound because the drawing holds only numbers and fixed words, nothing
// chosen by a caller.
func inline(svg string) template.HTML {
	if i := strings.Index(svg, "<svg"); i >= 0 {
		svg = svg[i:]
	}
	return template.HTML(svg)
}
