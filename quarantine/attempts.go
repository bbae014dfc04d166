package quarantine

import "fmt"

// defaultLimit is the number of failed attempts after which a task is parked.
const defaultLimit = 3

// Attempts counts the failed attempts of tasks, and parks a task that has
// used its attempts up. It remembers only tasks with a failure. The zero value
// parks after three.
type Attempts struct {
	Limit int // failed attempts that a task may have

	tasks map[string]*history
}

type history struct {
	workers []string
	last    string
}

// Failed counts a failed attempt and reports whether the task is now parked.
func (a *Attempts) Failed(task, worker, cause string) bool {
	h, ok := a.tasks[task]
	if !ok {
		if a.tasks == nil {
			a.tasks = make(map[string]*history)
		}
		h = &history{}
		a.tasks[task] = h
	}
	if len(h.workers) < a.limit() {
		h.workers = append(h.workers, worker)
	}
	h.last = cause
	return len(h.workers) >= a.limit()
}

// Avoid returns the workers on which a task has failed, so that its next
// attempt tells a bad worker from a bad task.
func (a *Attempts) Avoid(task string) []string {
	if h, ok := a.tasks[task]; ok {
		return h.workers
	}
	return nil
}

// Parked reports whether a task is parked, and says why in plain words.
func (a *Attempts) Parked(task string) (reason string, parked bool) {
	h, ok := a.tasks[task]
	if !ok || len(h.workers) < a.limit() {
		return "", false
	}
	return fmt.Sprintf("task %q failed %d times, on workers %q; the last time: %s; it starts again only when it is released",
		task, len(h.workers), h.workers, h.last), true
}

// Forget drops the memory of a task that has succeeded, was cancelled, or is
// released by its caller for new attempts.
func (a *Attempts) Forget(task string) { delete(a.tasks, task) }

func (a *Attempts) limit() int {
	if a.Limit < 1 {
		return defaultLimit
	}
	return a.Limit
}
