package docket

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"persimmonworks.example/persimmonworks/wire"
)

// State is what a caller is told about a job.
type State string

// States of a job.
const (
	Pending   State = "pending"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// TaskID names a task. It is comparable.
type TaskID struct {
	Job        string
	Occurrence uint32
	Step       uint32
	Index      uint32
}

// String returns job.occurrence.step.index.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

var _ fmt.Stringer = TaskID{}

// StepID names one occurrence of a step.
type StepID struct {
	Job        string
	Occurrence uint32
	Step       uint32
}

// String returns job.occurrence.step.
func (s StepID) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step) }

var _ fmt.Stringer = StepID{}

// Compare orders steps by their names.
func (s StepID) Compare(t StepID) int {
	return cmp.Or(cmp.Compare(s.Job, t.Job), cmp.Compare(s.Occurrence, t.Occurrence), cmp.Compare(s.Step, t.Step))
}

// Task returns the name of a task of the step.
func (s StepID) Task(index uint32) TaskID { return TaskID{s.Job, s.Occurrence, s.Step, index} }

// StepID returns the step that the task belongs to.
func (t TaskID) StepID() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

const taskFields = 4 // of a printed TaskID

// ParseTaskID reads what TaskID.String wrote.
func ParseTaskID(text string) (TaskID, error) {
	fields := strings.Split(text, ".")
	if len(fields) != taskFields {
		return TaskID{}, fmt.Errorf("task %q: want job.occurrence.step.index", text)
	}
	var numbers [taskFields - 1]uint32
	for i, f := range fields[1:] {
		n, err := strconv.ParseUint(f, 10, 32)
		if err != nil {
			return TaskID{}, fmt.Errorf("task %q: %w", text, err)
		}
		numbers[i] = uint32(n)
	}
	return TaskID{fields[0], numbers[0], numbers[1], numbers[2]}, nil
}

// Name returns the task's name as stored.
func (t TaskID) Name() *wire.DocketTaskName {
	return &wire.DocketTaskName{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

// taskID returns the name that was stored.
func taskID(n *wire.DocketTaskName) TaskID {
	return TaskID{n.GetJob(), n.GetOccurrence(), n.GetStep(), n.GetIndex()}
}

// Task is the durable state of one task. At most one run of it is active.
type Task struct {
	run        uint32
	failures   uint32
	done       bool
	active     bool
	worker     string
	born       int64
	checkpoint string
	failedOn   string
}

// Run returns the highest run number used, 0 before the first.
func (t *Task) Run() uint32 { return t.run }

// Done reports whether the task has ended successfully.
func (t *Task) Done() bool { return t.done }

// Active reports whether a run of the task may be running.
func (t *Task) Active() bool { return t.active }

// Worker returns the worker of the newest run and the start of its life, in
// Unix milliseconds.
func (t *Task) Worker() (id string, born int64) { return t.worker, t.born }

// Checkpoint returns the newest checkpoint, empty if there is none.
func (t *Task) Checkpoint() string { return t.checkpoint }

// Failures returns how many runs have failed.
func (t *Task) Failures() uint32 { return t.failures }

// FailedOn returns the worker of the newest failed run, empty if there is none.
func (t *Task) FailedOn() string { return t.failedOn }

// Step is the durable state of one occurrence of a step.
type Step struct {
	tasks   []Task
	done    int
	active  int
	started bool
}

// Tasks returns the tasks by index.
func (s *Step) Tasks() []Task { return s.tasks }

// Done reports whether every task has ended successfully.
func (s *Step) Done() bool { return s.done == len(s.tasks) }

// Active returns how many tasks have a run that may be running.
func (s *Step) Active() int { return s.active }

// Job is an accepted job.
type Job struct {
	accepted    *wire.DocketAccepted
	occurrences map[uint32][]*Step
	openSteps   int
	state       State
	changed     uint64
	endedAt     int64
	begun       bool
	moved       bool // to another docket
	movedTo     int
	handed      bool // the other docket has confirmed it
}

// ID returns the caller's name of the job.
func (j *Job) ID() string { return j.accepted.GetJob() }

// Accepted returns the job as it was accepted. It must not be changed.
func (j *Job) Accepted() *wire.DocketAccepted { return j.accepted }

// State returns the job's state.
func (j *Job) State() State { return j.state }

// Terminal reports whether the job has ended.
func (j *Job) Terminal() bool {
	return j.state == Completed || j.state == Failed || j.state == Cancelled
}

// EndedAt returns when the job ended, Unix milliseconds.
func (j *Job) EndedAt() int64 { return j.endedAt }

// Changed returns the number of the last change that touched the job.
func (j *Job) Changed() uint64 { return j.changed }

// Moved returns the docket that the job was given to, and whether that has
// confirmed it; ok is false for a job that is here.
func (j *Job) Moved() (to int, confirmed, ok bool) { return j.movedTo, j.handed, j.moved }

// Occurrences returns how many times the job runs.
func (j *Job) Occurrences() uint32 { return max(1, j.accepted.GetRepeat()) }

// DueMS returns when an occurrence may start, Unix milliseconds.
func (j *Job) DueMS(occurrence uint32) int64 {
	if j.accepted.GetRepeat() == 0 {
		return 0
	}
	return j.accepted.GetFirstDueMs() + int64(occurrence)*j.accepted.GetIntervalMs()
}

// Timed reports whether the job waits for its due times.
func (j *Job) Timed() bool { return j.accepted.GetRepeat() > 0 }

// Shape returns what the step asks for.
func (j *Job) Shape(step uint32) *wire.DocketStep { return j.accepted.GetSteps()[step] }

// Step returns an occurrence of a step.
func (j *Job) Step(occurrence, step uint32) *Step {
	steps, ok := j.occurrences[occurrence]
	if !ok {
		steps = make([]*Step, len(j.accepted.GetSteps()))
		for i, s := range j.accepted.GetSteps() {
			steps[i] = &Step{tasks: make([]Task, s.GetCount())}
		}
		j.occurrences[occurrence] = steps
	}
	return steps[step]
}

// Task returns a task, nil if the job has none of that name.
func (j *Job) Task(t TaskID) *Task {
	if j.occurrences == nil || t.Occurrence >= j.Occurrences() || int(t.Step) >= len(j.accepted.GetSteps()) {
		return nil
	}
	s := j.Step(t.Occurrence, t.Step)
	if int(t.Index) >= len(s.tasks) {
		return nil
	}
	return &s.tasks[t.Index]
}

// Ready reports whether every step before the given one is done.
func (j *Job) Ready(occurrence, step uint32) bool {
	for _, before := range j.Shape(step).GetAfter() {
		if !j.Step(occurrence, before).Done() {
			return false
		}
	}
	return true
}

// Begun reports whether an end shows that a task has run. A start that is stored
// shows nothing: its worker may never have got it.
func (j *Job) Begun() bool { return j.begun }
