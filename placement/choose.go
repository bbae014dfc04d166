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
	room := s.room(t)
	for _, h := range s.workers {
		if !s.admits(h, t, room) {
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

// admits reports whether the worker may take the task; room is that of the
// shard for such tasks.
func (s *Shard) admits(h *host, t Task, room resource.Vector) bool {
	return h.closed == "" && h.free.Covers(t.Demand) && room.Covers(t.Demand) && !s.keeps(h, t)
}

// room returns what tasks like t may still take on all open workers together.
func (s *Shard) room(t Task) resource.Vector {
	if t.Long {
		return s.roomForLong()
	}
	return unlimited
}

// roomForLong returns what long tasks may still take on the open workers. The
// reserve is kept on the shard and not on each worker: a rest of each worker
// that is smaller than the usual demand would be lost to long work besides. A
// task that even an empty shard could not take beside the reserve would never
// run, so a long task may always start where no other runs.
func (s *Shard) roomForLong() resource.Vector {
	if s.Reserve <= 0 {
		return unlimited
	}
	var capacity, long resource.Vector
	for _, h := range s.workers {
		if h.closed == "" {
			capacity, long = capacity.Add(h.Capacity), long.Add(h.long)
		}
	}
	if long.IsZero() {
		return unlimited
	}
	return capacity.Sub(s.reserved(capacity)).Sub(long).Max(resource.Vector{})
}

func (s *Shard) reserved(capacity resource.Vector) resource.Vector {
	share := min(s.Reserve, 1)
	return resource.Vector{
		MilliCPU:     int64(float64(capacity.MilliCPU) * share),
		MemoryMB:     int64(float64(capacity.MemoryMB) * share),
		Accelerators: int64(float64(capacity.Accelerators) * share),
	}
}

func (s *Shard) take(h *host, t Task) {
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
