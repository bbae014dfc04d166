package estimate

import (
	"math"
	"time"
)

const (
	// minSpeedGain is the weight of a new run in the speed of a worker, so that one that
	// turns slow is known after some tens of runs.
	minSpeedGain = 0.04
	// A worker counts as usual until it has shown otherwise: as if it had run so many tasks
	// at the usual speed.
	speedPrior = 4.0
	// maxOffSpeed bounds the logarithm by which one run counts as off: a factor of 2.5.
	maxOffSpeed = 0.916
	minSlowdown = 0.4
	maxSlowdown = 4.0
	maxSpeeds   = 1024 // workers whose speeds are kept; a docket has at most 550
)

// speeds learn how much longer than usual tasks take on each worker, in logarithms. The usual
// is the mean of the workers: otherwise run times and speeds could drift together.
type speeds struct {
	workers map[string]speed
	sum     float64 // of the logarithms of all workers
}

type speed struct {
	log  float64
	runs float64
}

// observe records that a run on the worker took the given factor of what was expected.
func (s *speeds) observe(worker string, factor float64) {
	if s.workers == nil {
		s.workers = map[string]speed{}
	}
	w, known := s.workers[worker]
	if !known {
		if len(s.workers) >= maxSpeeds {
			s.dropOne()
		}
		w.log = s.mean()
		s.sum += w.log
	}
	off := min(max(math.Log(factor)-w.log+s.mean(), -maxOffSpeed), maxOffSpeed)
	step := off * max(minSpeedGain, 1/(w.runs+speedPrior))
	w.log += step
	s.sum += step
	w.runs++
	s.workers[worker] = w
}

func (s *speeds) mean() float64 { return s.sum / float64(max(1, len(s.workers))) }

// dropOne forgets the worker with the fewest runs.
func (s *speeds) dropOne() {
	least, name := math.Inf(1), ""
	for id, w := range s.workers {
		if w.runs < least || w.runs == least && id < name {
			least, name = w.runs, id
		}
	}
	s.sum -= s.workers[name].log
	delete(s.workers, name)
}

// usual returns the time that a run on the worker would have taken at the usual speed.
func (s *speeds) usual(worker string, took time.Duration) time.Duration {
	return time.Duration(float64(took) / s.slowdown(worker))
}

func (s *speeds) slowdown(worker string) float64 {
	w, ok := s.workers[worker]
	if !ok {
		return 1
	}
	return min(max(math.Exp(w.log-s.mean()), minSlowdown), maxSlowdown)
}
