// Package docket is the durable state of accepted jobs, as a state machine.
//
// A Docket changes only by Apply, with entries that are stored in the order in
// which they are applied. The process that owns a docket appends entries; the
// others apply the same entries and so hold the same state. Apply does no input
// or output and reads no clock.
//
// Invariants:
//
//   - a task has at most one active run, and run numbers only rise;
//   - a started task of a done step, or of a job that has ended, is refused;
//   - a job that has ended never changes its state again;
//   - a job moves to another docket only if nothing of it was ever started, and
//     nothing of it starts here afterwards.
//
// Usage:
//
//	d := docket.New()
//	d.Apply(docket.Accept(job), sequence)
//	state, ok := d.Job(id)
package docket

import (
	"fmt"

	"persimmonworks.example/persimmonworks/wire"
)

// Docket holds the jobs of one cell. It belongs to one goroutine.
type Docket struct {
	jobs  map[string]*Job
	ended []string // jobs that have ended, oldest first
}

// New returns an empty docket.
func New() *Docket { return &Docket{jobs: map[string]*Job{}} }

// Job returns a job by its name.
func (d *Docket) Job(id string) (*Job, bool) {
	j, ok := d.jobs[id]
	return j, ok
}

// Len returns how many jobs are known, ended ones included.
func (d *Docket) Len() int { return len(d.jobs) }

// Open calls f for each job that has not ended, in no order.
func (d *Docket) Open(f func(*Job)) {
	for _, j := range d.jobs {
		if !j.Terminal() && !j.moved {
			f(j)
		}
	}
}

// All calls f for each job, in no order.
func (d *Docket) All(f func(*Job)) {
	for _, j := range d.jobs {
		f(j)
	}
}

// EndedBefore returns up to limit jobs that ended before a time in Unix
// milliseconds.
func (d *Docket) EndedBefore(ms int64, limit int) []string {
	var old []string
	for _, id := range d.ended {
		j, ok := d.jobs[id]
		if ok && j.endedAt >= ms || len(old) == limit {
			break
		}
		old = append(old, id)
	}
	return old
}

// Apply changes the docket. The sequence numbers the change for Job.Changed.
// An entry that does not fit the state changes nothing and is an error.
func (d *Docket) Apply(e *wire.DocketEntry, sequence uint64) error {
	switch {
	case e.GetAccepted() != nil:
		return d.accept(e.GetAccepted(), sequence)
	case e.GetStarted() != nil:
		return d.start(e.GetStarted(), sequence)
	case e.GetEnded() != nil:
		return d.end(e.GetEnded(), sequence)
	case e.GetCancelled() != nil:
		return d.cancel(e.GetCancelled(), sequence)
	case e.GetMoved() != nil:
		return d.move(e.GetMoved(), sequence)
	case e.GetForgotten() != nil:
		d.forget(e.GetForgotten().GetJob())
		return nil
	case e.GetTask() != nil:
		return d.restore(e.GetTask())
	}
	return fmt.Errorf("docket entry %v: unknown kind", e)
}

func (d *Docket) accept(a *wire.DocketAccepted, sequence uint64) error {
	if _, ok := d.jobs[a.GetJob()]; ok {
		return fmt.Errorf("job %s: accepted twice", a.GetJob())
	}
	j := &Job{accepted: a, occurrences: map[uint32][]*Step{}, state: Pending, changed: sequence}
	j.openSteps = len(a.GetSteps()) * int(j.Occurrences())
	d.jobs[a.GetJob()] = j
	return nil
}

func (d *Docket) task(name *wire.DocketTaskName) (*Job, *Step, *Task, error) {
	j, ok := d.jobs[name.GetJob()]
	if !ok {
		return nil, nil, nil, fmt.Errorf("task %v: job is not known", taskID(name))
	}
	t := j.Task(taskID(name))
	if t == nil {
		return nil, nil, nil, fmt.Errorf("task %v: job has ended or has no such task", taskID(name))
	}
	return j, j.Step(name.GetOccurrence(), name.GetStep()), t, nil
}

func (d *Docket) start(s *wire.DocketStarted, sequence uint64) error {
	j, step, t, err := d.task(s.GetTask())
	if err != nil {
		return err
	}
	if t.active || t.done || s.GetRun() <= t.run || j.Terminal() || j.moved {
		return fmt.Errorf("task %v: run %d cannot start in state %s after run %d", taskID(s.GetTask()), s.GetRun(), j.state, t.run)
	}
	t.run, t.active, t.worker, t.born = s.GetRun(), true, s.GetWorker(), s.GetBornMs()
	step.active++
	j.changed = sequence
	if j.state == Pending {
		j.state = Running
	}
	return nil
}

func (d *Docket) end(e *wire.DocketEnded, sequence uint64) error {
	j, step, t, err := d.task(e.GetTask())
	if err != nil {
		return err
	}
	if !t.active || t.run != e.GetRun() {
		return fmt.Errorf("task %v: run %d is not active", taskID(e.GetTask()), e.GetRun())
	}
	t.active = false
	step.active--
	j.changed = sequence
	shape := j.Shape(e.GetTask().GetStep())
	if e.GetCheckpoint() != "" {
		step.save(shape.GetGang(), t, e.GetCheckpoint())
	}
	switch e.GetOutcome() {
	case wire.DocketOutcome_DOCKET_OUTCOME_LOST, wire.DocketOutcome_DOCKET_OUTCOME_REFUSED:
	default:
		j.begun = true
	}
	switch e.GetOutcome() {
	case wire.DocketOutcome_DOCKET_OUTCOME_DONE:
		d.finish(j, step, t, shape, e.GetAtMs())
	case wire.DocketOutcome_DOCKET_OUTCOME_FAILED:
		d.fail(j, step, t, shape, e.GetAtMs())
	}
	return nil
}

// save keeps a checkpoint; one of any member is valid for the whole gang.
func (s *Step) save(gang bool, t *Task, checkpoint string) {
	if !gang {
		t.checkpoint = checkpoint
		return
	}
	for i := range s.tasks {
		s.tasks[i].checkpoint = checkpoint
	}
}

func (d *Docket) finish(j *Job, step *Step, t *Task, shape *wire.DocketStep, at int64) {
	if t.done || shape.GetLongRunning() {
		return
	}
	t.done = true
	step.done++
	if shape.GetGang() {
		for i := range step.tasks {
			step.tasks[i].done = true
		}
		step.done = len(step.tasks)
	}
	if !step.Done() {
		return
	}
	j.openSteps--
	if j.openSteps == 0 && !j.Terminal() {
		d.close(j, Completed, at)
	}
}

// fail counts a failed run; the members of a gang fail together, once a run.
func (d *Docket) fail(j *Job, step *Step, t *Task, shape *wire.DocketStep, at int64) {
	if t.done || shape.GetLongRunning() {
		return
	}
	t.failures++
	t.failedOn = t.worker
	if shape.GetGang() {
		for i := range step.tasks {
			other := &step.tasks[i]
			if other != t && other.run == t.run && other.failures < t.failures {
				other.failures = t.failures
			}
		}
	}
	if t.failures >= j.accepted.GetQueue().GetMaxAttempts() && !j.Terminal() {
		d.close(j, Failed, at)
	}
}

func (d *Docket) cancel(c *wire.DocketCancelled, sequence uint64) error {
	j, ok := d.jobs[c.GetJob()]
	if !ok {
		return fmt.Errorf("job %s: cancelled but not known", c.GetJob())
	}
	if j.Terminal() {
		return nil
	}
	if j.moved {
		return fmt.Errorf("job %s: cancelled where it no longer is", c.GetJob())
	}
	j.changed = sequence
	d.close(j, Cancelled, c.GetAtMs())
	return nil
}

// move gives a job that never started to another docket. Once that has confirmed
// it, the job counts as ended here.
func (d *Docket) move(m *wire.DocketMoved, sequence uint64) error {
	j, ok := d.jobs[m.GetJob()]
	if !ok {
		return fmt.Errorf("job %s: moved but not known", m.GetJob())
	}
	if m.GetConfirmed() {
		if !j.moved || j.handed {
			return fmt.Errorf("job %s: confirmed without being on the way", m.GetJob())
		}
		j.handed, j.changed, j.endedAt = true, sequence, m.GetAtMs()
		d.ended = append(d.ended, j.ID())
		return nil
	}
	if j.state != Pending || j.moved || j.accepted.GetMoved() {
		return fmt.Errorf("job %s: cannot move in state %s", m.GetJob(), j.state)
	}
	j.moved, j.movedTo, j.changed = true, int(m.GetDocket()), sequence
	return nil
}

func (d *Docket) close(j *Job, s State, at int64) {
	j.state = s
	j.endedAt = at
	d.ended = append(d.ended, j.ID())
}

func (d *Docket) forget(id string) {
	delete(d.jobs, id)
	for len(d.ended) > 0 {
		if _, ok := d.jobs[d.ended[0]]; ok {
			return
		}
		d.ended = d.ended[1:]
	}
}
