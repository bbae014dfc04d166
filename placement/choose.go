package placement

import (
	"fmt"
	"math/rand/v2"

	"persimmonworks.example/persimmonworks/resource"
)

func (s *Shard) choose(t Task, rng *rand.Rand) *host {
	policy := s.Policy
	if policy == nil {
		policy = BestFit{}
	}
	var best *host
	var lowest float64
	for _, h := range s.workers {
		if !s.admits(h, t) {
			continue
		}
		c := Candidate{Free: h.free, Capacity: h.Capacity, Same: h.spread[t.Spread]}
		score := policy.Score(c, t, rng)
		if best == nil || score < lowest {
			best, lowest = h, score
		}
	}
	return best
}

func (s *Shard) admits(h *host, t Task) bool {
	if h.closed != "" || !h.free.Covers(t.Demand) || s.keeps(h, t) {
		return false
	}
	return !t.Long || s.roomForLong(h).Covers(t.Demand)
}

// roomForLong returns the largest demand of a long task that the worker may
// take. A task that even an empty worker could not take beside its reserve
// would never run, so one such task at a time may take a whole worker.
func (s *Shard) roomForLong(h *host) resource.Vector {
	if s.Reserve <= 0 || s.oversize == "" && h.running == 0 {
		return h.free
	}
	return minimum(h.free, h.Capacity.Sub(s.reserved(h)).Sub(h.long)).Max(resource.Vector{})
}

func (s *Shard) reserved(h *host) resource.Vector {
	share := min(s.Reserve, 1)
	return resource.Vector{
		MilliCPU:     int64(float64(h.Capacity.MilliCPU) * share),
		MemoryMB:     int64(float64(h.Capacity.MemoryMB) * share),
		Accelerators: int64(float64(h.Capacity.Accelerators) * share),
	}
}

func (s *Shard) take(h *host, t Task) {
	if t.Long && s.Reserve > 0 && !h.Capacity.Sub(s.reserved(h)).Covers(t.Demand) {
		s.oversize = t.ID
	}
	h.free = h.free.Sub(t.Demand)
	h.running++
	if t.Long {
		h.long = h.long.Add(t.Demand)
	}
	if t.Spread != "" {
		h.spread[t.Spread]++
	}
	s.tasks[t.ID] = placed{t, h}
	s.Unmark(t.ID)
}

func (s *Shard) refusal(t Task) error {
	var largest resource.Vector
	for _, h := range s.workers {
		if h.Capacity.Covers(t.Demand) {
			return fmt.Errorf("task %q needs %v, and the largest free amounts are %v: %w", t.ID, t.Demand, s.Largest(), ErrNoRoom)
		}
		largest = largest.Max(h.Capacity)
	}
	return fmt.Errorf("task %q needs %v, and no worker of the shard holds more than %v: %w", t.ID, t.Demand, largest, ErrTooLarge)
}
