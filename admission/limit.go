package admission

import (
	"math"
	"time"

	"persimmonworks.example/persimmonworks/class"
)

const (
	firstLimit = 16   // requests at work before anything is known
	maxLimit   = 4096 // requests at work in one service
	minSamples = 10   // run times before the learned one is used

	shortWeight = 1.0 / 32    // of a new run time in the present mean
	longWeight  = 1.0 / 256   // of a new run time in the usual mean
	driftWeight = 1.0 / 65536 // of the present mean in the usual one at the limit
	tolerance   = 2           // by which the present may exceed the usual
	limitWeight = 0.1         // of a new limit
	failureCut  = 0.98        // factor of the limit for each failure

	overtakingEvery = 8 // admissions, of which one may overtake by age

	urgentPart   = 0.4      // of the slots kept for short requests, kept for urgent ones
	tailQuantile = 0.99     // of the run time that a deadline must leave room for
	tailStep     = 1.0 / 16 // by which a new run time moves the quantile, as a share of the mean
)

// runTime learns the run time of one class, in nanoseconds.
type runTime struct {
	samples   int
	mean      float64 // present
	deviation float64 // mean absolute deviation of the present
	usual     float64 // mean without waiting at the runners
	tail      float64 // tailQuantile of the present
}

// add takes in a run time. While the service is saturated, waiting at the
// runners may be part of it: then it lowers the usual run time at once and
// raises it only in the course of minutes.
func (r *runTime) add(latency time.Duration, saturated bool) {
	x := float64(latency)
	if r.samples++; r.samples == 1 {
		r.mean, r.usual, r.tail = x, x, x
		return
	}
	if x > r.tail {
		r.tail += tailStep * r.mean * tailQuantile
	} else {
		r.tail = max(0, r.tail-tailStep*r.mean*(1-tailQuantile))
	}
	r.deviation += (math.Abs(x-r.mean) - r.deviation) * shortWeight
	r.mean += (x - r.mean) * shortWeight
	switch {
	case !saturated:
		r.usual += (x - r.usual) * max(longWeight, 1/float64(r.samples))
	case r.mean < r.usual:
		r.usual = r.mean
	default:
		r.usual += (r.mean - r.usual) * driftWeight
	}
}

// service is the state of one service.
type service struct {
	classes  []*classQueue // in the order of class.All
	slots    int           // below 0 when not known
	adaptive float64       // limit when the slots are not known
	running  int
	long     int // of running
	urgent   int // of running
	byClass  int // admissions until the next one may overtake by age
}

func newService() *service {
	s := &service{slots: -1, adaptive: firstLimit}
	for range class.All {
		s.classes = append(s.classes, &classQueue{queues: make(map[queueKey]*queue)})
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

func (s *service) limit() int {
	if s.slots >= 0 {
		return s.slots
	}
	return int(s.adaptive)
}

// longLimit returns how many long requests may be at work.
func (s *service) longLimit(shortShare float64) int {
	limit := s.limit()
	kept := int(math.Ceil(float64(limit) * shortShare))
	return max(min(1, limit-1), limit-kept)
}

// mayTake reports whether a request may take a slot beside what is kept for
// short and, of that, for urgent ones.
func (s *service) mayTake(i *item, shortShare float64) bool {
	switch limit := s.limit(); {
	case i.long:
		return s.long < s.longLimit(shortShare) && s.running-s.urgent < s.patientLimit(shortShare)
	case i.Class == class.Urgent:
		return s.running < limit
	default:
		return s.running-s.urgent < s.patientLimit(shortShare)
	}
}

// patientLimit returns how many requests other than urgent ones may be at work.
func (s *service) patientLimit(shortShare float64) int {
	limit := s.limit()
	return max(min(1, limit), limit-int(float64(limit)*shortShare*urgentPart))
}

// countOvertaking notes an admission.
func (s *service) countOvertaking(overtakes bool) {
	switch {
	case overtakes:
		s.byClass = overtakingEvery - 1
	case s.byClass > 0:
		s.byClass--
	}
}

// admit counts i in (1) or out (-1) of those at work.
func (s *service) admit(i *item, by int) {
	s.running += by
	if i.long {
		s.long += by
	}
	if i.Class == class.Urgent {
		s.urgent += by
	}
}

// wait estimates how long a new request of the organisation waits in class c:
// for the work that goes before it, or for that of its own organisation at the
// organisation's share, whichever is shorter.
func (s *service) wait(c *classQueue, key queueKey, g *Gate) time.Duration {
	limit := s.limit()
	if limit <= 0 {
		return 0 // the deadline alone decides while there are no slots
	}
	var before time.Duration
	for _, o := range s.classes {
		if o == c {
			break
		}
		before += o.cost
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
	return (before + min(c.cost, share)) / time.Duration(limit)
}

// learn takes in the run time of a finished request and moves the adaptive
// limit by the gradient between the usual and the present run time.
func (s *service) learn(c *classQueue, latency time.Duration, ok bool) {
	if !ok {
		s.adaptive = max(1, s.adaptive*failureCut)
		return
	}
	c.learned.add(latency, s.running >= s.limit())
	if s.running*2 < int(s.adaptive) || c.learned.mean <= 0 {
		return // too little load to tell anything about the limit
	}
	gradient := min(1, max(0.5, tolerance*c.learned.usual/c.learned.mean))
	wanted := s.adaptive*gradient + math.Sqrt(s.adaptive)
	s.adaptive = min(maxLimit, max(1, s.adaptive+(wanted-s.adaptive)*limitWeight))
}
