package burn

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"persimmonworks.example/persimmonworks/pool"
)

// Windows are the time windows of the burn rates, shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 3 * 24 * time.Hour}

const (
	// pageRate over both 1 h and 5 min, and ticketRate over 3 days, are the
	// usual thresholds of multiwindow alerts for a thirty-day budget.
	pageRate   = 14.4
	ticketRate = 1

	reportExemplars = 10
)

// Line reports on one objective.
type Line struct {
	Objective pool.Objective `json:"objective"`
	Good      uint64         `json:"good"` // in the objective's window
	Bad       uint64         `json:"bad"`
	Rates     []float64      `json:"rates"`       // one for each of Windows
	Left      float64        `json:"budget-left"` // remaining fraction; 1 is the whole budget, below 0 is overspent
	Exemplars []Exemplar     `json:"exemplars,omitempty"`
	points    []hourlyRate
	at        time.Time
}

// hourlyRate is the burn rate of one hour.
type hourlyRate struct {
	hour time.Time
	rate float64
}

// Report holds the state of all objectives at one time.
type Report struct {
	At    time.Time `json:"at"`
	Lines []Line    `json:"lines"`
}

// NewReport computes the report on the objectives from a snapshot.
func NewReport(objectives []pool.Objective, s Snapshot, now time.Time) Report {
	r := Report{At: now.UTC(), Lines: []Line{}}
	for _, o := range objectives {
		var found Series
		for _, series := range s.Series {
			if series.Key == (Key{o.Organisation, o.Class}) {
				found = series
			}
		}
		r.Lines = append(r.Lines, newLine(o, found, now))
	}
	return r
}

func newLine(o pool.Objective, s Series, now time.Time) Line {
	l := Line{Objective: o, at: now}
	total := s.windowTotal(o.Window, now)
	l.Good, l.Bad, l.Exemplars = total.Good, total.Bad, total.Exemplars
	l.Left = 1 - burnRate(o, total)
	for _, w := range Windows {
		l.Rates = append(l.Rates, burnRate(o, s.windowTotal(w, now)))
	}
	for _, b := range s.Hours {
		hour := time.Unix(b.Index*int64(time.Hour/time.Second), 0).UTC()
		if now.Sub(hour) <= Windows[len(Windows)-1] && !hour.After(now) {
			l.points = append(l.points, hourlyRate{hour, burnRate(o, b)})
		}
	}
	return l
}

// windowTotal adds up the buckets of the window that ends now. It uses the
// minute buckets if they cover the window, otherwise the hour buckets.
func (s Series) windowTotal(window time.Duration, now time.Time) Bucket {
	buckets, width := s.Hours, time.Hour
	if window <= minutesKept*time.Minute {
		buckets, width = s.Minutes, time.Minute
	}
	last := indexAt(now, width)
	var total Bucket
	var exemplars []Exemplar
	for _, b := range buckets {
		if b.Index <= last && b.Index > last-int64(window/width) {
			total.Good += b.Good
			total.Bad += b.Bad
			exemplars = append(b.Exemplars[:len(b.Exemplars):len(b.Exemplars)], exemplars...) // newest bucket first
		}
	}
	total.Exemplars = exemplars[:min(len(exemplars), reportExemplars)]
	return total
}

// burnRate returns the fraction of bad requests divided by the fraction that
// the objective allows. It is 0 without requests.
func burnRate(o pool.Objective, b Bucket) float64 {
	total := b.Good + b.Bad
	if total == 0 {
		return 0
	}
	allowed := 1 - o.Percent/100
	return float64(b.Bad) / float64(total) / allowed
}

// State returns the urgency of the line: page, ticket or ok.
func (l Line) State() string {
	switch {
	case l.Rates[0] >= pageRate && l.Rates[1] >= pageRate:
		return "page"
	case l.Rates[3] >= ticketRate || l.Left <= 0:
		return "ticket"
	}
	return "ok"
}

// Text formats the report as a table for a terminal.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "service-level burn at %s\n", r.At.Format(time.RFC3339))
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "organisation\tclass\tobjective\tgood\tbad\t5m\t1h\t6h\t3d\tbudget left\tstate")
	for _, l := range r.Lines {
		o := l.Objective
		fmt.Fprintf(w, "%s\t%s\t%g%% in %v\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f%%\t%s\n", o.Organisation, o.Class,
			o.Percent, o.Latency, l.Good, l.Bad, l.Rates[0], l.Rates[1], l.Rates[2], l.Rates[3], l.Left*100, l.State())
	}
	_ = w.Flush() // writing to a strings.Builder cannot fail
	return b.String()
}
