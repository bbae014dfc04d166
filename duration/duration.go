// Package duration learns how long tasks take: by which factor the estimates of a queue are
// off, and how much slower or faster than usual each worker is.
//
// Usage:
//
//	var m duration.Model
//	m.Observe(worker, queue, estimateMS, took)
//	usual := m.Expected(queue, estimateMS)
//	factor := m.Slowdown(worker)
package duration

import "time"

const (
	queueGain   = 0.08 // weight of a new sample in the ratio of a queue
	workerGain  = 0.03 // weight of a new sample in the slowdown of a worker
	minSlowdown = 0.6
	maxSlowdown = 4.0
	maxSample   = 2.5 // a ratio more than this many times the usual one is an outlier
	minSample   = 0.3
)

// Model learns how much slower or faster than usual tasks run on each
// worker. Estimates may be far off, but by the same factor on all workers for tasks
// of one queue, so a task is compared with the others of its queue. The zero value is ready;
// it is not safe for concurrent use.
type Model struct {
	queueRatios map[string]float64 // usual duration divided by the estimate
	slowdowns   map[string]float64 // duration divided by the usual duration
}

// Observe records how long a task took on a worker. A task without an estimate is left out.
func (m *Model) Observe(worker, queue string, estimateMS uint32, took time.Duration) {
	if estimateMS == 0 {
		return
	}
	if m.queueRatios == nil {
		m.queueRatios, m.slowdowns = map[string]float64{}, map[string]float64{}
	}
	ratio := float64(took.Milliseconds()) / float64(estimateMS)
	usual, ok := m.queueRatios[queue]
	if !ok {
		usual = ratio
	}
	m.queueRatios[queue] = usual + queueGain*(min(ratio, maxSample*usual)-usual)
	if usual <= 0 {
		return
	}
	relative := min(max(ratio/usual, minSample), maxSample)
	known, ok := m.slowdowns[worker]
	if !ok {
		known = 1
	}
	m.slowdowns[worker] = min(max(known+workerGain*(relative-known), minSlowdown), maxSlowdown)
}

// Slowdown returns the factor by which tasks take longer than usual on the worker.
func (m *Model) Slowdown(worker string) float64 {
	if known, ok := m.slowdowns[worker]; ok {
		return known
	}
	return 1
}

// Expected returns how long a task of a queue usually takes, given its estimate.
func (m *Model) Expected(queue string, estimateMS uint32) time.Duration {
	ratio := 1.0
	if known, ok := m.queueRatios[queue]; ok {
		ratio = known
	}
	return time.Duration(ratio * float64(estimateMS) * float64(time.Millisecond))
}
