// Package experiment runs the decision packages in virtual time.
//
// Tasks drives queue, directory, placement, estimate and quarantine; Requests
// drives admission and runner; Gang drives gang. Around them are only events:
// work arrives, ends or fails, and summaries come in. There is no network, no
// platform and no other process. The same workload and seed give the same
// decisions; only the cost of control is taken from the clock.
//
// Usage:
//
//	w, err := workload.Load("prado")
//	r := experiment.Tasks{Name: "ours", Reserve: 0.125, Learn: true}.Run(w, seed)
//	fmt.Println(r.Of("pigment-check").Wait.ValueAtQuantile(99))
package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonworks.example/persimmonworks/measure/workload"
)

// start is the instant at which virtual time begins.
var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Result is what one policy did with one workload and seed.
type Result struct {
	Policy   string
	Seed     uint64
	Streams  []*Stream // in the order of the workload
	Packing  float64   // share of the scarcest resource that was placed, mean of the measured time while work waited
	Decision *hdrhistogram.Histogram
	Seconds  []float64 // useful work in each second, as a share of the capacity
	Shares   []Minute  // of each organisation
	Held     int       // workers in quarantine at the end
	Failures int       // failed attempts
}

// Stream is what became of the work of one stream that arrived in the measured
// time. Histograms are in microseconds.
type Stream struct {
	Name     string
	Wait     *hdrhistogram.Histogram // from arrival to start
	Response *hdrhistogram.Histogram // from arrival to end
	Burst    *hdrhistogram.Histogram // response of what arrived in the burst
	After    *hdrhistogram.Histogram // response of what arrived later than 5 s after the burst
	Arrived  int
	Finished int
	Refused  int     // not run, by admission or because the deadline passed
	Waiting  int     // at the end
	Work     float64 // core seconds, or slot seconds of requests, run in the measured time by attempts that do not fail
}

// Minute is the share of the pool that an organisation had over one minute.
type Minute struct {
	Organisation string
	At           time.Duration // start of the minute
	Got          float64       // of what all organisations had
	Fair         float64       // by weight among those that always had work waiting
}

// settled is the time after the end of a burst by which the calm is back.
const settled = 5 * time.Second

func newResult(policy string, w *workload.Workload, seed uint64) *Result {
	r := &Result{Policy: policy, Seed: seed, Decision: newHistogram(), Seconds: make([]float64, int(w.Duration/time.Second)+1)}
	for _, s := range w.Streams {
		r.Streams = append(r.Streams, &Stream{
			Name: s.Name, Wait: newHistogram(), Response: newHistogram(), Burst: newHistogram(), After: newHistogram(),
		})
	}
	return r
}

// newHistogram takes from 1 µs to a day, with three digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (24 * time.Hour).Microseconds(), 3)
}

// Of returns the stream of that name, or nil.
func (r *Result) Of(name string) *Stream {
	for _, s := range r.Streams {
		if s.Name == name {
			return s
		}
	}
	return nil
}

func record(h *hdrhistogram.Histogram, d time.Duration) { _ = h.RecordValue(max(1, d.Microseconds())) }

// Quantile returns a quantile, 0 to 100, of a histogram in microseconds.
func Quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// arrived and ended count only what arrived after the warm-up.
func (r *Result) arrived(w *workload.Workload, a workload.Arrival) {
	if a.At >= w.WarmUp {
		r.Of(a.Stream.Name).Arrived++
	}
}

func (r *Result) started(w *workload.Workload, a workload.Arrival, at time.Duration) {
	if a.At >= w.WarmUp {
		record(r.Of(a.Stream.Name).Wait, at-a.At)
	}
}

func (r *Result) refused(w *workload.Workload, a workload.Arrival) {
	if a.At >= w.WarmUp {
		r.Of(a.Stream.Name).Refused++
	}
}

// ended counts a useful end.
func (r *Result) ended(w *workload.Workload, a workload.Arrival, at time.Duration) {
	s := r.Of(a.Stream.Name)
	if a.At < w.WarmUp {
		return
	}
	s.Finished++
	record(s.Response, at-a.At)
	burstEnd := w.BurstAt + w.BurstLength
	switch {
	case w.BurstLength <= 0:
	case a.At >= w.BurstAt && a.At < burstEnd:
		record(s.Burst, at-a.At)
	case a.At >= burstEnd+settled:
		record(s.After, at-a.At)
	}
}

// worked counts what an attempt has run on a number of cores or slots.
func (r *Result) worked(w *workload.Workload, a workload.Arrival, from, to time.Duration, width float64) {
	from, to = max(from, w.WarmUp), min(to, w.Duration)
	if from < to {
		r.Of(a.Stream.Name).Work += (to - from).Seconds() * width
	}
}

// spread adds work that was done at an even rate from one time to another to
// the seconds.
func (r *Result) spread(from, to time.Duration, share float64) {
	for n := int(from / time.Second); n < len(r.Seconds) && time.Duration(n)*time.Second < to; n++ {
		begin, end := max(from, time.Duration(n)*time.Second), min(to, time.Duration(n+1)*time.Second)
		r.Seconds[n] += share * (end - begin).Seconds()
	}
}

// Mean returns the mean of the useful work in the seconds from one time up to
// another, as a share of the capacity.
func (r *Result) Mean(from, to time.Duration) float64 {
	sum, n := 0.0, 0
	for k := int(from / time.Second); k < int(to/time.Second) && k < len(r.Seconds); k++ {
		sum += r.Seconds[k]
		n++
	}
	return sum / float64(max(1, n))
}
