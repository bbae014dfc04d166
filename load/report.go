package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonworks.example/persimmonworks/class"
)

// Result is how a request ended, as its caller sees it.
type Result string

// Results.
const (
	OK      Result = "ok"
	Wrong   Result = "wrong"   // not the whole answer to this request
	NotRun  Result = "not-run" // refused
	Unknown Result = "unknown"
	Failed  Result = "failed"
	Broken  Result = "broken" // no answer, or one that broke off
	Shed    Result = "shed"   // not sent: too many were open at the tool
)

var results = []Result{OK, Wrong, NotRun, Unknown, Failed, Broken, Shed}

const (
	maxLatency = 10 * time.Minute
	precision  = 3 // significant digits
)

// Report holds the results of a run by class. Its methods may be called from
// any goroutine.
type Report struct {
	// Elapsed is the time from the start to the last answer.
	Elapsed time.Duration

	mu       sync.Mutex
	counts   map[class.Class]map[Result]int
	latency  map[class.Class]*hdrhistogram.Histogram // of good answers, in microseconds
	combined *hdrhistogram.Histogram
}

func newReport() *Report {
	return &Report{
		counts: map[class.Class]map[Result]int{}, latency: map[class.Class]*hdrhistogram.Histogram{},
		combined: newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), precision)
}

func (r *Report) note(c class.Class, result Result, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[c] == nil {
		r.counts[c], r.latency[c] = map[Result]int{}, newHistogram()
	}
	r.counts[c][result]++
	if result != OK {
		return
	}
	us := min(max(latency, time.Microsecond), maxLatency).Microseconds()
	// A value within the histogram's range cannot fail.
	_ = r.latency[c].RecordValue(us)
	_ = r.combined.RecordValue(us)
}

// Count returns the number of requests of all classes with the result.
func (r *Report) Count(result Result) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, c := range r.counts {
		n += c[result]
	}
	return n
}

// Total returns the number of requests.
func (r *Report) Total() int {
	n := 0
	for _, x := range results {
		n += r.Count(x)
	}
	return n
}

// Latency returns the quantile, from 0 to 1, of the latency of good answers,
// 0 without any.
func (r *Report) Latency(quantile float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return quantileOf(r.combined, quantile)
}

func quantileOf(h *hdrhistogram.Histogram, quantile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(quantile*100)) * time.Microsecond
}

// String returns a table, a line for each class.
func (r *Report) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for _, c := range slices.Sorted(maps.Keys(r.counts)) {
		name := string(c)
		if name == "" {
			name = "requests"
		}
		fmt.Fprintf(&b, "%-12s", name)
		for _, x := range results {
			if n := r.counts[c][x]; n > 0 || x == OK {
				fmt.Fprintf(&b, " %s %d", x, n)
			}
		}
		h := r.latency[c]
		fmt.Fprintf(&b, "; p50 %v p90 %v p99 %v p99.9 %v max %v\n", quantileOf(h, 0.5), quantileOf(h, 0.9),
			quantileOf(h, 0.99), quantileOf(h, 0.999), time.Duration(h.Max())*time.Microsecond)
	}
	fmt.Fprintf(&b, "in %v\n", r.Elapsed.Round(time.Millisecond))
	return b.String()
}
