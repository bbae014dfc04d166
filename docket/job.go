package docket

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"

	"persimmonworks.example/persimmonworks/wire"
)

// State is the state of a job as reported to callers.
type State string

// States of a job.
const (
	Pending   State = "pending"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// TaskID identifies a task. It is comparable.
type TaskID struct {
	Job        string
	Occurrence uint32
	Step       uint32
	Index      uint32
}

// String formats the ID as job.occurrence.step.index.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

var _ fmt.Stringer = TaskID{}

// Compare orders task IDs by step and index.
func (t TaskID) Compare(u TaskID) int {
	return cmp.Or(t.StepID().Compare(u.StepID()), cmp.Compare(t.Index, u.Index))
}

// StepID identifies one occurrence of a step.
type StepID struct {
	Job        string
	Occurrence uint32
	Step       uint32
}

// String formats the ID as job.occurrence.step.
func (s StepID) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step) }

var _ fmt.Stringer = StepID{}

// Compare orders step IDs by job, occurrence and step.
func (s StepID) Compare(t StepID) int {
	return cmp.Or(cmp.Compare(s.Job, t.Job), cmp.Compare(s.Occurrence, t.Occurrence), cmp.Compare(s.Step, t.Step))
}

// Task returns the ID of a task of the step.
func (s StepID) Task(index uint32) TaskID { return TaskID{s.Job, s.Occurrence, s.Step, index} }

// StepID returns the ID of the step that the task belongs to.
func (t TaskID) StepID() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

const taskFields = 4 // number of fields in a formatted TaskID

// ParseTaskID parses the result of TaskID.String.
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

// Name returns the stored form of the ID.
func (t TaskID) Name() *wire.DocketTaskName {
	return &wire.DocketTaskName{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

// taskID returns the ID of a stored name.
func taskID(n *wire.DocketTaskName) TaskID {
	return TaskID{n.GetJob(), n.GetOccurrence(), n.GetStep(), n.GetIndex()}
}

// Task is the durable state of one task. A task has at most one active run.
type Task struct {
	run             uint32
	failures        uint32
	failedRun       uint32 // the newest run that was counted as a failure
	done            bool
	active          bool
	worker          string
	workerStartedAt int64
	checkpoint      string
	failedOn        string
	crashes         uint32 // of workers under the task
	suspicions      uint32 // crashes that the task may have caused
	crashedRun      uint32 // the newest run under which a worker crashed
	givenUp         bool
	begunRun        uint32 // the newest run that was observed to have begun
	settledRun      uint32 // the newest run that was observed to go on
}

// Run returns the number of the newest run, or 0 if there was none.
func (t *Task) Run() uint32 { return t.run }

// Done reports whether the task has succeeded.
func (t *Task) Done() bool { return t.done }

// Active reports whether the task has an active run, that is, one that may be running.
func (t *Task) Active() bool { return t.active }

// Worker returns the worker of the newest run, and the time at which that incarnation of
// the worker started, in Unix milliseconds.
func (t *Task) Worker() (id string, startedAt int64) { return t.worker, t.workerStartedAt }

// Checkpoint returns the newest checkpoint, or "" if there is none.
func (t *Task) Checkpoint() string { return t.checkpoint }

// Failures returns the number of failed runs, those of its gang if it is a member of one.
func (t *Task) Failures() uint32 { return t.failures }

// FailedOn returns the worker of the newest failed run, or "" if there is none.
func (t *Task) FailedOn() string { return t.failedOn }

// Crashes returns how many workers have crashed under the task, and how many of these
// crashes it may have caused.
func (t *Task) Crashes() (all, suspicions int) { return int(t.crashes), int(t.suspicions) }

// Observed reports whether a worker is recorded to have begun the newest run, and to have
// reported it as running for a while. Only runs on trial are recorded.
func (t *Task) Observed() (begun, settled bool) {
	return t.run > 0 && t.begunRun == t.run, t.run > 0 && t.settledRun == t.run
}

// Job is an accepted job.
type Job struct {
	accepted  *wire.DocketAccepted
	open      map[uint32][]*Step // occurrences whose tasks have state, by number
	finished  occurrenceSet
	active    int // tasks with an active run
	openSteps int // steps that are not done, of all occurrences
	// Bytes of the job without its occurrences, of each open occurrence, and those that the
	// docket counts for it.
	acceptedBytes, occurrenceBytes, counted int64
	state                                   State
	changed                                 uint64
	endedAt                                 int64
	hasRun                                  bool
	moved                                   bool // to docket movedTo
	movedTo                                 int
	moveConfirmed                           bool // the other docket has confirmed the move
}

// ID returns the name that the caller gave the job.
func (j *Job) ID() string { return j.accepted.GetJob() }

// Accepted returns the job as it was accepted, without its steps and its specification if it
// was trimmed since. The result must not be modified.
func (j *Job) Accepted() *wire.DocketAccepted { return j.accepted }

// State returns the job's state.
func (j *Job) State() State { return j.state }

// Terminal reports whether the job has ended.
func (j *Job) Terminal() bool {
	return j.state == Completed || j.state == Failed || j.state == Cancelled
}

// EndedAt returns when the job ended, in Unix milliseconds.
func (j *Job) EndedAt() int64 { return j.endedAt }

// Changed returns the sequence number of the newest entry that changed the job.
func (j *Job) Changed() uint64 { return j.changed }

// Moved returns the docket that the job was moved to and whether that docket has
// confirmed the move. It returns false for ok if the job was not moved.
func (j *Job) Moved() (to int, confirmed, ok bool) { return j.movedTo, j.moveConfirmed, j.moved }

// Occurrences returns how often the job runs, at least 1.
func (j *Job) Occurrences() uint32 { return max(1, j.accepted.GetRepeat()) }

// DueMS returns when an occurrence may start, in Unix milliseconds, or 0 if the job has
// no due times.
func (j *Job) DueMS(occurrence uint32) int64 {
	if j.accepted.GetRepeat() == 0 {
		return 0
	}
	return j.accepted.GetFirstDueMs() + int64(occurrence)*j.accepted.GetIntervalMs()
}

// HasDueTimes reports whether the occurrences of the job have due times.
func (j *Job) HasDueTimes() bool { return j.accepted.GetRepeat() > 0 }

// StepDefinition returns the definition of a step: its task count, resources and constraints.
func (j *Job) StepDefinition(step uint32) *wire.DocketStep { return j.accepted.GetSteps()[step] }

// HasRun reports whether the end of a run shows that a task of the job has run. A stored
// start does not show it, because the worker may never have received the start.
func (j *Job) HasRun() bool { return j.hasRun }
