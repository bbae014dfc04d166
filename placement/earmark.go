package placement

import (
	"fmt"

	"persimmonworks.example/persimmonworks/class"
)

// Earmark reserves a worker for a task that needs more capacity than is free on
// any single worker, and returns the worker's ID. Without it, smaller tasks could
// starve the task forever.
//
// Earmark chooses the open worker with the lowest cost, which is the sum of the
// missing capacity and the capacity used by organisations for which belowShare
// reports true, each as a dominant share. A worker on which the end of a single
// task frees enough capacity costs 1 more: the task will fit there without an
// earmark, and its organisation would not gain a worker.
//
// Until the task is placed or ClearEarmark is called, no other task that is long or of
// class batch or service starts on the worker. The task therefore fits at the
// latest when the tasks now running there, and the few short urgent or interactive
// tasks that start meanwhile, have ended. A shard has at most one earmark. The
// error wraps ErrNoCapacity or ErrTooLarge.
func (s *Shard) Earmark(t Task, belowShare func(organisation string) bool) (string, error) {
	if s.earmarked != nil {
		return "", fmt.Errorf("worker %q is already earmarked for task %q: call ClearEarmark first: %w", s.earmarked.ID, s.earmarkedFor, ErrNoCapacity)
	}
	best, _ := s.earmarkCandidate(t, belowShare)
	if best == nil {
		return "", s.placementError(t)
	}
	s.earmarked, s.earmarkedFor = best, t.ID
	return best.ID, nil
}

// EarmarkCost returns the cost of the worker that Earmark would choose for the task, so
// that shards can be compared. The cost is the missing capacity (0 to 1), plus the
// capacity used by organisations below their share, plus 1 if the end of a single
// task frees enough capacity. It reports false if no worker of the shard can be
// earmarked.
func (s *Shard) EarmarkCost(t Task, belowShare func(organisation string) bool) (float64, bool) {
	if s.earmarked != nil {
		return 0, false
	}
	best, cost := s.earmarkCandidate(t, belowShare)
	return cost, best != nil
}

// earmarkCandidate returns the worker with the lowest cost for the task, and its
// cost; nil if no open worker is large enough.
func (s *Shard) earmarkCandidate(t Task, belowShare func(organisation string) bool) (best *workerState, lowestCost float64) {
	freedByOne := s.freedByOneTask(t)
	underserved := s.underservedUsage(belowShare)
	for _, w := range s.workers {
		if w.closedReason != "" || !w.Capacity.Covers(t.Demand) {
			continue
		}
		cost := t.Demand.Sub(w.free).DominantShare(w.Capacity)
		cost += underserved[w]
		if freedByOne[w] {
			cost++ // the missing capacity alone is at most 1
		}
		if best == nil || cost < lowestCost {
			best, lowestCost = w, cost
		}
	}
	return best, lowestCost
}

// freedByOneTask returns the workers on which the end of one running task frees
// enough capacity for t.
func (s *Shard) freedByOneTask(t Task) map[*workerState]bool {
	found := make(map[*workerState]bool)
	for _, a := range s.allocations {
		if a.worker.free.Add(a.task.Demand).Covers(t.Demand) {
			found[a.worker] = true
		}
	}
	return found
}

// ClearEarmark removes the task's earmark, and reports whether it had one.
func (s *Shard) ClearEarmark(task string) bool {
	if s.earmarked == nil || s.earmarkedFor != task {
		return false
	}
	s.earmarked, s.earmarkedFor = nil, ""
	return true
}

// earmarkedForOther reports whether an earmark for another task keeps t off the
// worker. Short urgent and interactive tasks are not affected by earmarks.
func (s *Shard) earmarkedForOther(w *workerState, t Task) bool {
	return s.earmarked == w && s.earmarkedFor != t.ID && (t.Long || t.Class == class.Batch || t.Class == class.Service)
}

// underservedUsage returns, for each worker, the dominant share of its capacity
// that is used by tasks of organisations below their fair share.
func (s *Shard) underservedUsage(belowShare func(organisation string) bool) map[*workerState]float64 {
	found := make(map[*workerState]float64)
	for _, a := range s.allocations {
		if belowShare(a.task.Organisation) {
			found[a.worker] += a.task.Demand.DominantShare(a.worker.Capacity)
		}
	}
	return found
}
