// Package report shows the results of experiments as text and as plots.
//
// Usage:
//
//	report.Waits(os.Stdout, results)
//	err := report.Plot("plots/prado.svg", "Prado", results)
package report

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"persimmonworks.example/persimmonworks/measure/experiment"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	plotPoints = 200

	shortestWait = 1e-6 // seconds
)

// Table writes rows under a heading, with aligned columns.
func Table(out io.Writer, heading []string, rows [][]string) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(heading, "\t"))
	for _, row := range rows {
		fmt.Fprintln(t, strings.Join(row, "\t"))
	}
	_ = t.Flush()
	fmt.Fprintln(out)
}

// Waits writes the waiting and response times of each stream and policy.
func Waits(out io.Writer, results []*experiment.Result) {
	var rows [][]string
	for _, r := range results {
		for _, s := range r.Streams {
			rows = append(rows, []string{
				fmt.Sprint(r.Seed), r.Policy, s.Name,
				Quantile(s.Wait, 50), Quantile(s.Wait, 99), Quantile(s.Wait, 100), Quantile(s.Response, 99),
				fmt.Sprint(s.Arrived), fmt.Sprint(s.Finished), fmt.Sprint(s.Refused), fmt.Sprint(s.Waiting), fmt.Sprintf("%.0f", s.Work),
			})
		}
	}
	Table(out, []string{"seed", "policy", "stream", "wait p50", "p99", "max", "response p99", "arrived", "finished", "refused", "waiting", "work s"}, rows)
}

// Decisions writes the cost of a decision and the packing of each policy.
func Decisions(out io.Writer, results []*experiment.Result) {
	var rows [][]string
	for _, r := range results {
		rows = append(rows, []string{
			fmt.Sprint(r.Seed), r.Policy, Share(r.Packing), fmt.Sprint(r.Decision.TotalCount()),
			fmt.Sprintf("%.1f µs", r.Decision.Mean()), Quantile(r.Decision, 99),
		})
	}
	Table(out, []string{"seed", "policy", "packing", "decisions", "mean", "p99"}, rows)
}

// Quantile formats a quantile of a histogram in microseconds.
func Quantile(h *hdrhistogram.Histogram, q float64) string {
	if h.TotalCount() == 0 {
		return "-"
	}
	return Round(experiment.Quantile(h, q))
}

// Round formats a time with three digits.
func Round(d time.Duration) string {
	unit := time.Microsecond
	for _, u := range []time.Duration{10 * time.Microsecond, 100 * time.Microsecond, time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond} {
		if d >= 1000*u {
			unit = u
		}
	}
	return d.Round(unit).String()
}

// Share formats a share as a percentage.
func Share(x float64) string { return fmt.Sprintf("%.1f %%", 100*x) }

// Plot draws, for each policy, the share of the work of a stream that waited
// longer than a time, both on logarithmic axes. The suffix of the file says
// the format: svg, png or pdf.
func Plot(file, title, stream string, results []*experiment.Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text, p.Y.Label.Text = "wait in seconds", "share that waited longer"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	// A logarithmic axis needs a range, also where nothing waits.
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = shortestWait, 1000*shortestWait, 0.1, 1
	var lines []any
	for _, r := range results {
		if s := r.Of(stream); s != nil && s.Wait.TotalCount() > 0 {
			lines = append(lines, r.Policy, tail(s.Wait))
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot %q: %w", file, err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot %q: %w", file, err)
	}
	return nil
}

// tail returns points at evenly spaced logarithms of the share.
func tail(h *hdrhistogram.Histogram) plotter.XYs {
	last := math.Log10(float64(h.TotalCount()))
	points := make(plotter.XYs, 0, plotPoints)
	for n := range plotPoints {
		share := math.Pow(10, -last*float64(n)/plotPoints)
		wait := experiment.Quantile(h, 100*(1-share)).Seconds()
		points = append(points, plotter.XY{X: max(wait, shortestWait), Y: share})
	}
	return points
}
