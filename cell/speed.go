package cell

import "time"

const (
	queueGain   = 0.08 // weight of a new sample in the ratio of a queue
	workerGain  = 0.03 // weight of a new sample in the slowdown of a worker
	minSlowdown = 0.6
	maxSlowdown = 4.0
	maxSample   = 2.5 // a ratio more than this many times the usual one is an outlier
	minSample   = 0.3
)

// durationModel learns how much slower or faster than usual tasks run on each
// worker. Estimates may be far off, but by the same factor on all workers for tasks
// of one queue, so a task is compared with the others of its queue.
type durationModel struct {
	queueRatios map[string]float64 // usual duration divided by the estimate
	slowdowns   map[string]float64 // duration divided by the usual duration
}

func (s *durationModel) observe(worker, queue string, estimateMS uint32, took time.Duration) {
	if estimateMS == 0 {
		return
	}
	if s.queueRatios == nil {
		s.queueRatios, s.slowdowns = map[string]float64{}, map[string]float64{}
	}
	ratio := float64(took.Milliseconds()) / float64(estimateMS)
	usual, ok := s.queueRatios[queue]
	if !ok {
		usual = ratio
	}
	s.queueRatios[queue] = usual + queueGain*(min(ratio, maxSample*usual)-usual)
	if usual <= 0 {
		return
	}
	relative := min(max(ratio/usual, minSample), maxSample)
	known, ok := s.slowdowns[worker]
	if !ok {
		known = 1
	}
	s.slowdowns[worker] = min(max(known+workerGain*(relative-known), minSlowdown), maxSlowdown)
}

// slowdown returns the factor by which tasks take longer than usual on the worker.
func (s *durationModel) slowdown(worker string) float64 {
	if known, ok := s.slowdowns[worker]; ok {
		return known
	}
	return 1
}

// expected returns how long a task of a queue usually takes, given its estimate.
func (s *durationModel) expected(queue string, estimateMS uint32) time.Duration {
	ratio := 1.0
	if known, ok := s.queueRatios[queue]; ok {
		ratio = known
	}
	return time.Duration(ratio * float64(estimateMS) * float64(time.Millisecond))
}
