package admission

import (
	"math"
	"time"

	"persimmonworks.example/persimmonworks/class"
)

const (
	initialLimit = 16   // initial adaptive limit
	maxLimit     = 4096 // upper bound of the adaptive limit
	minSamples   = 10   // run times observed before the declared one is ignored

	recentWeight     = 1.0 / 32    // weight of a new run time in the recent mean
	baselineWeight   = 1.0 / 256   // weight of a new run time in the baseline mean
	saturatedWeight  = 1.0 / 65536 // weight of the recent mean in the baseline while the service is saturated
	latencyTolerance = 2           // ratio of recent to baseline mean from which the limit is lowered
	limitStep        = 0.1         // weight of a new limit in the moving average
	failureFactor    = 0.98        // factor applied to the limit after each failure

	overtakeInterval = 8 // one admission in so many may overtake by age

	urgentShare  = 0.4      // share of the slots reserved for short requests that only urgent ones may take
	tailQuantile = 0.99     // quantile of the run time that must fit before a deadline
	tailStep     = 1.0 / 16 // step of the quantile estimate for each run time, as a share of the mean
)

// runTimeStats estimates the run times of one class, in nanoseconds.
type runTimeStats struct {
	samples   int
	mean      float64 // exponentially weighted mean of recent run times
	deviation float64 // mean absolute deviation from mean
	baseline  float64 // mean without queueing at the runners
	tail      float64 // running estimate of tailQuantile
}

// add records a run time. While the service is saturated, the run time may
// include queueing at the runners. It then lowers the baseline at once, but
// raises it only over minutes.
func (r *runTimeStats) add(latency time.Duration, saturated bool) {
	x := float64(latency)
	if r.samples++; r.samples == 1 {
		r.mean, r.baseline, r.tail = x, x, x
		return
	}
	if x > r.tail {
		r.tail += tailStep * r.mean * tailQuantile
	} else {
		r.tail = max(0, r.tail-tailStep*r.mean*(1-tailQuantile))
	}
	r.deviation += (math.Abs(x-r.mean) - r.deviation) * recentWeight
	r.mean += (x - r.mean) * recentWeight
	switch {
	case !saturated:
		r.baseline += (x - r.baseline) * max(baselineWeight, 1/float64(r.samples))
	case r.mean < r.baseline:
		r.baseline = r.mean
	default:
		r.baseline += (r.mean - r.baseline) * saturatedWeight
	}
}

// service is the state of one service.
type service struct {
	classes       []*classQueue // in the order of class.All
	slots         int           // negative if not known
	adaptiveLimit float64       // limit if the slots are not known
	running       int           // running requests
	long          int           // long ones among them
	urgent        int           // urgent ones among them
	untilOvertake int           // admissions to go until one may overtake by age
}

func newService() *service {
	s := &service{slots: -1, adaptiveLimit: initialLimit}
	for range class.All {
		s.classes = append(s.classes, &classQueue{queues: make(map[queueKey]*orgQueue)})
	}
	return s
}

func (s *service) class(name class.Class) *classQueue {
	for k, c := range class.All {
		if c == name {
			return s.classes[k]
		}
	}
	return nil
}

// limit returns how many requests may run at once.
func (s *service) limit() int {
	if s.slots >= 0 {
		return s.slots
	}
	return int(s.adaptiveLimit)
}

// longLimit returns how many long requests may run at once.
func (s *service) longLimit(shortShare float64) int {
	limit := s.limit()
	reserved := int(math.Ceil(float64(limit) * shortShare))
	return max(min(1, limit-1), limit-reserved)
}

// mayStart reports whether i may take a slot, given the slots reserved for short
// and for urgent requests.
func (s *service) mayStart(i *item, shortShare float64) bool {
	switch limit := s.limit(); {
	case i.long:
		return s.long < s.longLimit(shortShare) && s.running-s.urgent < s.nonUrgentLimit(shortShare)
	case i.Class == class.Urgent:
		return s.running < limit
	default:
		return s.running-s.urgent < s.nonUrgentLimit(shortShare)
	}
}

// nonUrgentLimit returns how many requests of classes other than urgent may run
// at once.
func (s *service) nonUrgentLimit(shortShare float64) int {
	limit := s.limit()
	return max(min(1, limit), limit-int(float64(limit)*shortShare*urgentShare))
}

// recordOvertake counts an admission towards the next one that may overtake by
// age.
func (s *service) recordOvertake(overtakes bool) {
	switch {
	case overtakes:
		s.untilOvertake = overtakeInterval - 1
	case s.untilOvertake > 0:
		s.untilOvertake--
	}
}

// countRunning adds delta, 1 or -1, to the counts of running requests that
// include i.
func (s *service) countRunning(i *item, delta int) {
	s.running += delta
	if i.long {
		s.long += delta
	}
	if i.Class == class.Urgent {
		s.urgent += delta
	}
}

// estimateWait estimates how long a new request of the queue waits in class c.
// More urgent classes go first. Within the class, it waits for all queued
// requests or for those of its own queue at the queue's weighted share of the
// slots, whichever takes less time.
func (s *service) estimateWait(c *classQueue, key queueKey, g *Controller) time.Duration {
	limit := s.limit()
	if limit <= 0 {
		return 0 // without slots no wait can be estimated; only the deadline limits it
	}
	var ahead time.Duration
	for _, o := range s.classes {
		if o == c {
			break
		}
		ahead += o.cost
	}
	weight := g.weight(key.organisation)
	weights := weight
	var own time.Duration
	for k, q := range c.queues {
		switch {
		case k == key:
			own = q.cost
		case q.len() > 0:
			weights += g.weight(k.organisation)
		}
	}
	share := time.Duration(float64(own) * weights / weight)
	return (ahead + min(c.cost, share)) / time.Duration(limit)
}

// recordRunTime records the run time of a finished request, and moves the
// adaptive limit by the gradient, the ratio of the baseline to the recent mean
// run time.
func (s *service) recordRunTime(c *classQueue, latency time.Duration, ok bool) {
	if !ok {
		s.adaptiveLimit = max(1, s.adaptiveLimit*failureFactor)
		return
	}
	c.runTimes.add(latency, s.running >= s.limit())
	if s.running*2 < int(s.adaptiveLimit) || c.runTimes.mean <= 0 {
		return // the load is too low to judge the limit by the latency
	}
	gradient := min(1, max(0.5, latencyTolerance*c.runTimes.baseline/c.runTimes.mean))
	wanted := s.adaptiveLimit*gradient + math.Sqrt(s.adaptiveLimit)
	s.adaptiveLimit = min(maxLimit, max(1, s.adaptiveLimit+(wanted-s.adaptiveLimit)*limitStep))
}
