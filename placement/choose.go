package placement

import (
	"fmt"
	"math/rand/v2"

	"persimmonworks.example/persimmonworks/resource"
)

// choose returns the worker with the lowest policy score among those that can
// run the task, or nil if there is none.
func (s *Shard) choose(t Task, rng *rand.Rand) *workerState {
	policy := s.Policy
	if policy == nil {
		policy = BestFit{}
	}
	var best *workerState
	var bestScore float64
	available := s.availableFor(t)
	for _, w := range s.workers {
		if !s.canPlace(w, t, available) {
			continue
		}
		c := Candidate{Free: w.free, Capacity: w.Capacity, SameSpread: w.spreadCounts[t.SpreadKey]}
		score := policy.Score(c, t, rng)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// canPlace reports whether the task may be placed on the worker. The available
// capacity is that of the whole shard for tasks like t.
func (s *Shard) canPlace(w *workerState, t Task, available resource.Vector) bool {
	return w.closedReason == "" && w.free.Covers(t.Demand) && available.Covers(t.Demand) && !s.earmarkedForOther(w, t)
}

// availableFor returns the total capacity of the open workers that tasks like t
// may still use.
func (s *Shard) availableFor(t Task) resource.Vector {
	if t.Long {
		return s.availableForLong()
	}
	return unlimited
}

// availableForLong returns the total capacity of the open workers that long
// tasks may still use. The reserve applies to the shard as a whole, not to each
// worker: with a reserve on each worker, long tasks would in addition lose every
// remainder of a worker that is smaller than a typical demand. If no long task is
// running, one may start regardless of the reserve, because a task that does not
// fit beside the reserve even in an empty shard would otherwise never run.
func (s *Shard) availableForLong() resource.Vector {
	if s.Reserve <= 0 {
		return unlimited
	}
	var capacity, usedByLong resource.Vector
	for _, w := range s.workers {
		if w.closedReason == "" {
			capacity, usedByLong = capacity.Add(w.Capacity), usedByLong.Add(w.usedByLong)
		}
	}
	if usedByLong.IsZero() {
		return unlimited
	}
	return capacity.Sub(s.reservedCapacity(capacity)).Sub(usedByLong).Max(resource.Vector{})
}

// reservedCapacity returns the part of the capacity that long tasks may not use.
func (s *Shard) reservedCapacity(capacity resource.Vector) resource.Vector {
	share := min(s.Reserve, 1)
	return resource.Vector{
		MilliCPU:     int64(float64(capacity.MilliCPU) * share),
		MemoryMB:     int64(float64(capacity.MemoryMB) * share),
		Accelerators: int64(float64(capacity.Accelerators) * share),
	}
}

// allocate charges the task to the worker and clears the task's earmark.
func (s *Shard) allocate(w *workerState, t Task) {
	w.free = w.free.Sub(t.Demand)
	w.taskCount++
	if t.Long {
		w.usedByLong = w.usedByLong.Add(t.Demand)
	}
	if t.SpreadKey != "" {
		w.spreadCounts[t.SpreadKey]++
	}
	s.allocations[t.ID] = allocation{t, w}
	s.ClearEarmark(t.ID)
}

// placementError returns the error for a task that cannot be placed: ErrNoCapacity if
// it fits on some worker when that is empty, and ErrTooLarge otherwise.
func (s *Shard) placementError(t Task) error {
	var largest resource.Vector
	for _, w := range s.workers {
		if w.Capacity.Covers(t.Demand) {
			return fmt.Errorf("task %q needs %v, but the largest free amounts on open workers are %v: %w", t.ID, t.Demand, s.Largest(), ErrNoCapacity)
		}
		largest = largest.Max(w.Capacity)
	}
	return fmt.Errorf("task %q needs %v, but the largest capacities of the shard's workers are %v: %w", t.ID, t.Demand, largest, ErrTooLarge)
}
