package burn

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/pool"
)

var (
	now       = time.Date(2026, 12, 4, 6, 0, 30, 0, time.UTC)
	objective = pool.Objective{
		Organisation: "prado", Class: class.Urgent, Latency: time.Second, Percent: 99, Window: 30 * 24 * time.Hour,
	}
)

func request(i int, latency time.Duration, age time.Duration) Request {
	return Request{ID: fmt.Sprint("r", i), Organisation: "prado", Class: class.Urgent, Latency: latency, Succeeded: true, At: now.Add(-age)}
}

// TestMergeIsTheWhole distributes requests over three ledgers. Their merged
// snapshots must equal that of a single ledger that recorded all requests, in
// every order of merging.
func TestMergeIsTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := Ledger{Objectives: []pool.Objective{objective}}
		parts := make([]Ledger, 3)
		for i := range rapid.IntRange(0, 60).Draw(t, "requests") {
			latency := time.Duration(rapid.IntRange(1, 2000).Draw(t, "millis")) * time.Millisecond
			r := request(i, latency, time.Duration(rapid.IntRange(0, 500).Draw(t, "age"))*time.Minute)
			r.Succeeded = rapid.IntRange(0, 9).Draw(t, "answered") > 0
			whole.Record(r)
			p := &parts[rapid.IntRange(0, 2).Draw(t, "process")]
			p.Objectives = whole.Objectives
			p.Record(r)
		}
		a, b, c := parts[0].Snapshot(), parts[1].Snapshot(), parts[2].Snapshot()
		want := whole.Snapshot()
		for _, got := range []Snapshot{Merge(a, b, c), Merge(c, a, b), Merge(Merge(b, c), a), Merge(b, Merge(a, c))} {
			if diff := cmp.Diff(want, got); diff != "" {
				t.Fatalf("the merged snapshot differs from that of a single ledger:\n%s", diff)
			}
		}
	})
}

func TestRatesAndBudget(t *testing.T) {
	l := Ledger{Objectives: []pool.Objective{objective}}
	for i := range 100 {
		latency := time.Second // within the objective
		if i < 20 {
			latency += time.Duration(i + 1) // misses the objective
		}
		l.Record(request(i, latency, time.Minute))
	}
	for i := range 900 {
		l.Record(request(i, 0, 3*time.Hour))
	}
	l.Record(Request{Organisation: "other", Class: class.Urgent, At: now})
	line := NewReport(l.Objectives, l.Snapshot(), now).Lines[0]
	for i, want := range []float64{20, 20, 2, 2} {
		if math.Abs(line.Rates[i]-want) > 1e-9 {
			t.Errorf("rate over %v = %v, want %v", Windows[i], line.Rates[i], want)
		}
	}
	if line.Good != 980 || line.Bad != 20 || math.Abs(line.Left+1) > 1e-9 || line.State() != "page" {
		t.Errorf("line %+v, state %s", line, line.State())
	}
	var slow []string
	for _, e := range line.Exemplars {
		slow = append(slow, e.ID)
	}
	if got := fmt.Sprint(slow); got != "[r19 r18 r17 r16]" {
		t.Errorf("exemplars of one bucket are %s", got)
	}
	later := NewReport(l.Objectives, l.Snapshot(), now.Add(10*time.Minute)).Lines[0]
	if later.Rates[0] != 0 || later.State() != "ticket" {
		t.Errorf("ten minutes later: %+v, state %s", later.Rates, later.State())
	}
	l.SetObjectives(nil)
	if len(l.Snapshot().Series) != 0 {
		t.Error("a series remains after its objective was removed")
	}
}

func TestBucketsStayBounded(t *testing.T) {
	l := Ledger{Objectives: []pool.Objective{objective}}
	for i := range 3 * hoursKept {
		l.Record(request(i, 0, time.Duration(3*hoursKept-i)*time.Hour))
	}
	s := l.Snapshot().Series[0]
	if len(s.Hours) != hoursKept || len(s.Minutes) > minutesKept {
		t.Errorf("%d hours and %d minutes are kept", len(s.Hours), len(s.Minutes))
	}
}

func TestPageIsOneEscapedFile(t *testing.T) {
	l := Ledger{Objectives: []pool.Objective{objective}}
	r := request(1, 2*time.Second, time.Minute)
	r.ID = "<script>alert(1)</script>"
	l.Record(r)
	report := NewReport(append(l.Objectives, pool.Objective{Organisation: "quiet", Class: class.Batch, Percent: 90, Window: time.Hour}), l.Snapshot(), now)
	var b bytes.Buffer
	if err := report.WriteHTML(&b); err != nil {
		t.Fatal(err)
	}
	got := b.String()
	if strings.Count(got, "<svg") != 2 || strings.Count(got, "</svg>") != 2 {
		t.Errorf("%d drawings, want 2", strings.Count(got, "<svg"))
	}
	for _, forbidden := range []string{"<script", "src=", "href=", "@import", "<?xml"} {
		if strings.Contains(got, forbidden) {
			t.Errorf("the page has %q", forbidden)
		}
	}
	for _, want := range []string{"&lt;script&gt;", "prado", "No request spent the budget."} {
		if !strings.Contains(got, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if text := report.Text(); !strings.Contains(text, "99% in 1s") || strings.Count(text, "\n") != 4 {
		t.Errorf("text:\n%s", text)
	}
}
