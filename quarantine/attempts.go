package quarantine

import "fmt"

// defaultMaxFailures is the number of failed attempts after which a task is parked
// if TaskFailures.Limit is not set.
const defaultMaxFailures = 3

// TaskFailures counts the failed attempts of each task, and parks a task that has reached
// the limit: it is not to be started again until it is released. Only tasks with a
// failed attempt take up memory. The zero value parks a task after three failures.
type TaskFailures struct {
	Limit int // failed attempts after which a task is parked; 3 if less than 1

	tasks map[string]*taskHistory
}

// taskHistory records the failed attempts of a task.
type taskHistory struct {
	failedWorkers []string
	lastCause     string
}

// RecordFailure records a failed attempt, and reports whether the task is now parked.
func (a *TaskFailures) RecordFailure(task, worker, cause string) bool {
	h, ok := a.tasks[task]
	if !ok {
		if a.tasks == nil {
			a.tasks = make(map[string]*taskHistory)
		}
		h = &taskHistory{}
		a.tasks[task] = h
	}
	if len(h.failedWorkers) < a.maxFailures() {
		h.failedWorkers = append(h.failedWorkers, worker)
	}
	h.lastCause = cause
	return len(h.failedWorkers) >= a.maxFailures()
}

// FailedWorkers returns the workers on which a task has failed. If the next attempt
// runs on another worker, its result distinguishes a faulty worker from a faulty task.
func (a *TaskFailures) FailedWorkers(task string) []string {
	if h, ok := a.tasks[task]; ok {
		return h.failedWorkers
	}
	return nil
}

// Parked reports whether a task is parked, and returns a human-readable reason.
func (a *TaskFailures) Parked(task string) (reason string, parked bool) {
	h, ok := a.tasks[task]
	if !ok || len(h.failedWorkers) < a.maxFailures() {
		return "", false
	}
	return fmt.Sprintf("task %q failed %d times, on workers %q; last error: %s; it is not retried until it is released",
		task, len(h.failedWorkers), h.failedWorkers, h.lastCause), true
}

// Forget deletes the record of a task that has succeeded or was cancelled, or that its
// caller has released for new attempts.
func (a *TaskFailures) Forget(task string) { delete(a.tasks, task) }

// maxFailures returns the number of failed attempts after which a task is parked.
func (a *TaskFailures) maxFailures() int {
	if a.Limit < 1 {
		return defaultMaxFailures
	}
	return a.Limit
}
