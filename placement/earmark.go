package placement

import "fmt"

// Earmark keeps a worker for a task that waits for more room than is free on
// any one worker, and that smaller tasks would keep out for ever. It chooses
// the open worker that lacks the least, and returns its ID. Until the task is
// placed or Unmark is called, other long tasks do not start there; so the
// task fits at the latest when the tasks that run there now have ended. A
// shard has one earmark at a time. The error wraps ErrNoRoom or ErrTooLarge.
func (s *Shard) Earmark(t Task) (string, error) {
	if s.marked != nil {
		return "", fmt.Errorf("worker %q is kept for task %q: unmark it first: %w", s.marked.ID, s.markedFor, ErrNoRoom)
	}
	var best *host
	var least float64
	for _, h := range s.workers {
		if h.closed != "" || !h.Capacity.Covers(t.Demand) {
			continue
		}
		lack := t.Demand.Sub(h.free).DominantShare(h.Capacity)
		if best == nil || lack < least {
			best, least = h, lack
		}
	}
	if best == nil {
		return "", s.refusal(t)
	}
	s.marked, s.markedFor = best, t.ID
	return best.ID, nil
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
	return s.marked == h && s.markedFor != t.ID && t.Long
}
