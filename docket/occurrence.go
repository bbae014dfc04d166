package docket

import (
	"iter"
	"maps"
	"slices"
)

// Step is the durable state of one occurrence of a step.
type Step struct {
	tasks  []Task
	done   int
	active int
}

// Tasks returns the tasks by index.
func (s *Step) Tasks() []Task { return s.tasks }

// Done reports whether every task has succeeded.
func (s *Step) Done() bool { return s.done == len(s.tasks) }

// Active returns the number of tasks with an active run.
func (s *Step) Active() int { return s.active }

// Waiting returns the number of tasks that have neither succeeded nor an active run.
func (s *Step) Waiting() int { return len(s.tasks) - s.done - s.active }

// occurrenceSet is a set of occurrences as ranges in ascending order, each without its end.
// Occurrences finish about in order, so that there are few ranges.
type occurrenceSet []occurrenceRange

type occurrenceRange struct{ from, to uint32 }

// has reports whether the occurrence is in the set.
func (s occurrenceSet) has(occurrence uint32) bool {
	i, _ := slices.BinarySearchFunc(s, occurrence, func(r occurrenceRange, k uint32) int {
		if r.to <= k {
			return -1
		}
		return 1
	})
	return i < len(s) && s[i].from <= occurrence
}

// add returns the set with a range that it does not overlap.
func (s occurrenceSet) add(r occurrenceRange) occurrenceSet {
	i := 0
	for i < len(s) && s[i].to < r.from {
		i++
	}
	j := i
	for j < len(s) && s[j].from <= r.to {
		r.from, r.to = min(r.from, s[j].from), max(r.to, s[j].to)
		j++
	}
	return slices.Replace(s, i, j, r)
}

// Open returns the state of an occurrence, by step. The first call creates it, which takes
// the memory that Docket.Bytes counts; occurrences that are not due need none. It returns
// nil if the job has no such occurrence, or has no more use for its state, because all its
// tasks have succeeded, or the job has ended or moved.
func (d *Docket) Open(j *Job, occurrence uint32) []*Step {
	steps, ok := j.open[occurrence]
	if ok || occurrence >= j.Occurrences() || j.Terminal() || j.moved || j.finished.has(occurrence) {
		return steps
	}
	steps = j.newOccurrence()
	j.open[occurrence] = steps
	d.count(j)
	return steps
}

func (j *Job) newOccurrence() []*Step {
	steps := make([]*Step, len(j.accepted.GetSteps()))
	for i, s := range j.accepted.GetSteps() {
		steps[i] = &Step{tasks: make([]Task, s.GetCount())}
	}
	return steps
}

// OpenOccurrences returns the occurrences of which there is state, in ascending order.
func (j *Job) OpenOccurrences() []uint32 { return slices.Sorted(maps.Keys(j.open)) }

// IsOpen reports whether there is state of the occurrence.
func (j *Job) IsOpen(occurrence uint32) bool {
	_, ok := j.open[occurrence]
	return ok
}

// AnyOpen reports whether there is state of any occurrence.
func (j *Job) AnyOpen() bool { return len(j.open) > 0 }

// Finished reports whether all tasks of the occurrence have succeeded and none has an
// active run.
func (j *Job) Finished(occurrence uint32) bool { return j.finished.has(occurrence) }

// FirstUnfinished returns the first occurrence that has not finished, or the number of
// occurrences if all have.
func (j *Job) FirstUnfinished() uint32 {
	if len(j.finished) == 0 || j.finished[0].from > 0 {
		return 0
	}
	return j.finished[0].to
}

// StepDone reports whether every task of one occurrence of a step has succeeded.
func (j *Job) StepDone(occurrence, step uint32) bool {
	steps, ok := j.open[occurrence]
	if !ok {
		return j.finished.has(occurrence)
	}
	return steps[step].Done()
}

// Ready reports whether every step that the given one depends on is done.
func (j *Job) Ready(occurrence, step uint32) bool {
	for _, predecessor := range j.StepDefinition(step).GetAfter() {
		if !j.StepDone(occurrence, predecessor) {
			return false
		}
	}
	return true
}

// Task returns the state of a task, or nil if there is none: the job has no such task, its
// occurrence was not opened or has finished, or the job has ended and none of its
// occurrence is active.
func (j *Job) Task(t TaskID) *Task {
	steps, ok := j.open[t.Occurrence]
	if !ok || int(t.Step) >= len(steps) || int(t.Index) >= len(steps[t.Step].tasks) {
		return nil
	}
	return &steps[t.Step].tasks[t.Index]
}

// Active returns the number of tasks with an active run.
func (j *Job) Active() int { return j.active }

// ActiveTasks returns the tasks with an active run, in no particular order.
func (j *Job) ActiveTasks() iter.Seq2[TaskID, *Task] {
	return func(yield func(TaskID, *Task) bool) {
		for occurrence, steps := range j.open {
			for i, s := range steps {
				id := StepID{j.ID(), occurrence, uint32(i)}
				if s.active > 0 && !s.yieldActive(id, yield) {
					return
				}
			}
		}
	}
}

func (s *Step) yieldActive(id StepID, yield func(TaskID, *Task) bool) bool {
	for i := range s.tasks {
		if t := &s.tasks[i]; t.active && !yield(id.Task(uint32(i)), t) {
			return false
		}
	}
	return true
}

// release drops the state of an occurrence that nothing will need: none of its tasks is
// active, and all have succeeded or the job has ended.
func (j *Job) release(occurrence uint32) {
	done := true
	for _, s := range j.open[occurrence] {
		if s.active > 0 || !s.Done() && !j.Terminal() {
			return
		}
		done = done && s.Done()
	}
	delete(j.open, occurrence)
	if done {
		j.finished = j.finished.add(occurrenceRange{occurrence, occurrence + 1})
	}
}

// releaseAll does the same for all occurrences of a job that has ended.
func (j *Job) releaseAll() {
	for occurrence := range j.open {
		j.release(occurrence)
	}
}
