package workload

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Arrival is a task or a request that arrives.
type Arrival struct {
	ID       string
	Job      string
	Stream   *Stream
	At       time.Duration // since the start of the run
	RunTime  time.Duration
	Declared time.Duration
}

// Arrivals returns all arrivals of a run, in order of time.
func (w *Workload) Arrivals(seed uint64) []Arrival {
	var all []Arrival
	for _, s := range w.Streams {
		// Each stream has its own numbers, so that leaving one out changes no other.
		rng := rand.New(rand.NewPCG(seed, hash(s.Name)))
		for at := w.gap(s, 0, rng); at < w.Duration; at += w.gap(s, at, rng) {
			job := fmt.Sprintf("%s-%d", s.Name, len(all))
			for range max(1, s.Batch) {
				all = append(all, w.arrival(s, job, len(all), at, rng))
			}
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

func (w *Workload) arrival(s *Stream, job string, n int, at time.Duration, rng *rand.Rand) Arrival {
	run := min(s.Longest, time.Duration(float64(s.Median)*math.Exp(s.Sigma*rng.NormFloat64())))
	off := math.Pow(w.DeclaredError, 2*rng.Float64()-1)
	return Arrival{
		ID: fmt.Sprintf("%s/%d", job, n), Job: job, Stream: s, At: at,
		RunTime: max(run, time.Millisecond), Declared: max(time.Duration(float64(run)*off), time.Millisecond),
	}
}

// gap returns the time to the next arrival after the given one.
func (w *Workload) gap(s *Stream, at time.Duration, rng *rand.Rand) time.Duration {
	rate := s.Rate
	if s.Burst {
		rate *= w.factor(at)
	}
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// factor returns the load at a time as a multiple of the calm one.
func (w *Workload) factor(at time.Duration) float64 {
	since := at - w.BurstAt
	switch {
	case since < 0 || since >= w.BurstLength:
		return 1
	case since < w.BurstRise:
		return 1 + (w.BurstFactor-1)*float64(since)/float64(w.BurstRise)
	default:
		return w.BurstFactor
	}
}

func hash(name string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211 // FNV-1a
	h := uint64(offset)
	for n := range len(name) {
		h = (h ^ uint64(name[n])) * prime
	}
	return h
}
