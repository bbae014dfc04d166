package cell

import "time"

const (
	usualGain   = 0.08 // weight of a new sample of a queue
	speedGain   = 0.03 // weight of a new sample of a worker
	speedLeast  = 0.6
	speedMost   = 4.0
	sampleMost  = 2.5 // longer tasks than this many times usual are outliers
	sampleLeast = 0.3
)

// speeds learns how much longer than usual tasks take on each worker. Estimates
// may be far off, but for one queue they are off alike everywhere, so a task
// is compared with the others of its queue.
type speeds struct {
	queues  map[string]float64 // usual time over estimate
	workers map[string]float64 // time over usual time
}

func (s *speeds) note(worker, queue string, estimateMS uint32, took time.Duration) {
	if estimateMS == 0 {
		return
	}
	if s.queues == nil {
		s.queues, s.workers = map[string]float64{}, map[string]float64{}
	}
	ratio := float64(took.Milliseconds()) / float64(estimateMS)
	usual, ok := s.queues[queue]
	if !ok {
		usual = ratio
	}
	s.queues[queue] = usual + usualGain*(min(ratio, sampleMost*usual)-usual)
	if usual <= 0 {
		return
	}
	relative := min(max(ratio/usual, sampleLeast), sampleMost)
	known, ok := s.workers[worker]
	if !ok {
		known = 1
	}
	s.workers[worker] = min(max(known+speedGain*(relative-known), speedLeast), speedMost)
}

// cost returns how much longer than usual a task takes on the worker.
func (s *speeds) cost(worker string) float64 {
	if known, ok := s.workers[worker]; ok {
		return known
	}
	return 1
}

// usual returns how long a task of a queue usually takes, given its estimate.
func (s *speeds) usual(queue string, estimateMS uint32) time.Duration {
	ratio := 1.0
	if known, ok := s.queues[queue]; ok {
		ratio = known
	}
	return time.Duration(ratio * float64(estimateMS) * float64(time.Millisecond))
}
