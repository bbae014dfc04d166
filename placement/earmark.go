package placement

import (
	"fmt"

	"persimmonworks.example/persimmonworks/class"
)

// Earmark keeps a worker for a task that waits for more room than is free on
// any one worker, and that smaller tasks would keep out for ever. It chooses
// the open worker that lacks the least, and returns its ID. Workers on which
// the end of a single task makes enough room come last: the task fits there
// without an earmark, and its organisation would gain no worker. Until the task
// is placed or Unmark is called, no other long task starts there and none of
// class batch or service; so the task fits at the latest when the tasks that
// run there now, and the few urgent ones that join them, have ended. A shard
// has one earmark at a time. The error wraps ErrNoRoom or ErrTooLarge.
func (s *Shard) Earmark(t Task, owed func(owner string) bool) (string, error) {
	if s.marked != nil {
		return "", fmt.Errorf("worker %q is kept for task %q: unmark it first: %w", s.marked.ID, s.markedFor, ErrNoRoom)
	}
	best, _ := s.draining(t, owed)
	if best == nil {
		return "", s.refusal(t)
	}
	s.marked, s.markedFor = best, t.ID
	return best.ID, nil
}

// Lack returns how much of a worker must come free before an earmark for the
// task is of use, to compare shards: 0 to 1, and 1 more where it would gain no
// worker. It reports false if the shard can keep no worker for the task.
func (s *Shard) Lack(t Task, owed func(owner string) bool) (float64, bool) {
	if s.marked != nil {
		return 0, false
	}
	best, lack := s.draining(t, owed)
	return lack, best != nil
}

// draining returns the worker to keep for the task, and what it lacks.
func (s *Shard) draining(t Task, owed func(owner string) bool) (best *host, least float64) {
	turnover := s.turnover(t)
	debt := s.debt(owed)
	for _, h := range s.workers {
		if h.closed != "" || !h.Capacity.Covers(t.Demand) {
			continue
		}
		lack := t.Demand.Sub(h.free).DominantShare(h.Capacity)
		lack += debt[h]
		if turnover[h] {
			lack++ // a lack is at most 1
		}
		if best == nil || lack < least {
			best, least = h, lack
		}
	}
	return best, least
}

// turnover returns the workers on which the end of one task makes enough room.
func (s *Shard) turnover(t Task) map[*host]bool {
	found := make(map[*host]bool)
	for _, p := range s.tasks {
		if p.host.free.Add(p.task.Demand).Covers(t.Demand) {
			found[p.host] = true
		}
	}
	return found
}

// Unmark gives an earmarked worker back, and reports whether the task had one.
func (s *Shard) Unmark(task string) bool {
	if s.marked == nil || s.markedFor != task {
		return false
	}
	s.marked, s.markedFor = nil, ""
	return true
}

// keeps reports whether the worker is kept for another task than t.
func (s *Shard) keeps(h *host, t Task) bool {
	return s.marked == h && s.markedFor != t.ID && (t.Long || t.Class == class.Batch || t.Class == class.Service)
}

// debt returns how much of each worker tasks of organisations hold that get
// less than their share.
func (s *Shard) debt(owed func(owner string) bool) map[*host]float64 {
	found := make(map[*host]float64)
	for _, p := range s.tasks {
		if owed(p.task.Owner) {
			found[p.host] += p.task.Demand.DominantShare(p.host.Capacity)
		}
	}
	return found
}
