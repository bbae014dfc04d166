// Package docket implements the durable state of accepted jobs as a replicated state
// machine.
//
// A docket is a partition of the jobs with one owner. A Docket changes only by Apply.
// The owner appends entries to the docket's changelog; other processes apply the same
// entries in the same order and so reach the same state. Apply is deterministic: it
// does no I/O and reads no clock.
//
// Invariants:
//
//   - a task has at most one active run, and run numbers only increase;
//   - an entry that starts a task that is done, or a task of a job that has ended, is
//     rejected;
//   - the state of a job that has ended never changes;
//   - only occurrences that were opened, and neither have finished nor belong to a job that
//     has ended, take memory for their tasks; a finished occurrence is never opened again;
//   - a job moves to another docket only while none of its tasks is active, and none starts
//     here afterwards, unless the job comes back by a later move.
//
// Usage:
//
//	d := docket.New()
//	d.Apply(docket.Accept(job), sequence)
//	state, ok := d.Job(id)
package docket

import (
	"fmt"
	"maps"
	"slices"

	"persimmonworks.example/persimmonworks/quota"
	"persimmonworks.example/persimmonworks/wire"
)

// Docket holds the jobs of one docket and the states of their tasks. It is not safe for
// concurrent use.
type Docket struct {
	jobs          map[string]*Job
	workers       map[string]*wire.DocketWorker
	endedJobs     []string                 // names of jobs that have ended, oldest end first
	bytes         int64                    // see Bytes
	ledgers       map[string]*quota.Ledger // by organisation
	limitsVersion uint64                   // see LimitsVersion
	learnt        *wire.DocketLearnt
	speeds        *wire.DocketSpeeds
}

// New returns an empty docket.
func New() *Docket {
	return &Docket{jobs: map[string]*Job{}, workers: map[string]*wire.DocketWorker{}, ledgers: map[string]*quota.Ledger{}}
}

// Job returns a job by its name.
func (d *Docket) Job(id string) (*Job, bool) {
	j, ok := d.jobs[id]
	return j, ok
}

// WorkerAddress returns where a worker listens, as ip:port, and the time at which that
// incarnation of it started, in Unix milliseconds. It returns false if no owner has
// reached the worker.
func (d *Docket) WorkerAddress(id string) (address string, startedAt int64, ok bool) {
	w, ok := d.workers[id]
	return w.GetAddress(), w.GetBornMs(), ok
}

// Workers returns the names of the workers that owners have reached, in no particular order.
func (d *Docket) Workers() []string { return slices.Collect(maps.Keys(d.workers)) }

// Learnt returns what owners have learnt of run times and of the speeds of workers; either
// is nil if none has stored it.
func (d *Docket) Learnt() (*wire.DocketLearnt, *wire.DocketSpeeds) { return d.learnt, d.speeds }

// Len returns the number of jobs, including those that have ended.
func (d *Docket) Len() int { return len(d.jobs) }

// ForEachOpen calls f for each job that has neither ended nor moved to another docket, in no
// particular order.
func (d *Docket) ForEachOpen(f func(*Job)) {
	for _, j := range d.jobs {
		if !j.Terminal() && !j.moved {
			f(j)
		}
	}
}

// ForEach calls f for each job, in no particular order.
func (d *Docket) ForEach(f func(*Job)) {
	for _, j := range d.jobs {
		f(j)
	}
}

// EndedBefore returns the names of up to limit jobs that ended before a time in Unix
// milliseconds, oldest first. They may include jobs that were forgotten meanwhile.
func (d *Docket) EndedBefore(ms int64, limit int) []string {
	var old []string
	for _, id := range d.endedJobs {
		j, ok := d.jobs[id]
		if ok && j.endedAt >= ms || len(old) == limit {
			break
		}
		old = append(old, id)
	}
	return old
}

// Apply applies an entry. The sequence is the number that Job.Changed returns for the
// jobs changed by it. An entry that is not valid in the current state returns an error
// and changes nothing.
func (d *Docket) Apply(e *wire.DocketEntry, sequence uint64) error {
	switch {
	case e.GetAccepted() != nil:
		return d.acceptJob(e.GetAccepted(), sequence)
	case e.GetStarted() != nil:
		return d.startTask(e.GetStarted(), sequence)
	case e.GetEnded() != nil:
		return d.endRun(e.GetEnded(), sequence)
	case e.GetCancelled() != nil:
		return d.cancelJob(e.GetCancelled(), sequence)
	case e.GetMoved() != nil:
		return d.moveJob(e.GetMoved(), sequence)
	case e.GetForgotten() != nil:
		d.removeJob(e.GetForgotten().GetJob())
		return nil
	case e.GetTask() != nil:
		return d.restoreTask(taskID(e.GetTask().GetTask()), e.GetTask())
	case e.GetWorker() != nil:
		d.recordWorker(e.GetWorker())
		return nil
	case e.GetCrashed() != nil:
		return d.recordCrash(e.GetCrashed(), sequence)
	case e.GetObserved() != nil:
		return d.observeRun(e.GetObserved())
	case e.GetQuota() != nil:
		return d.applyQuota(e.GetQuota())
	case e.GetLimits() != nil:
		return d.applyLimits(e.GetLimits())
	case e.GetLearnt() != nil:
		d.learnt = e.GetLearnt()
		return nil
	case e.GetSpeeds() != nil:
		d.speeds = e.GetSpeeds()
		return nil
	case e.GetProgress() != nil:
		j, ok := d.jobs[e.GetProgress().GetJob()]
		if !ok {
			return fmt.Errorf("job %s: progress of an unknown job", e.GetProgress().GetJob())
		}
		return d.restoreProgress(j, e.GetProgress())
	}
	return fmt.Errorf("docket entry %v: unknown kind", e)
}

func (d *Docket) acceptJob(a *wire.DocketAccepted, sequence uint64) error {
	known, ok := d.jobs[a.GetJob()]
	if ok && !known.ReplacedBy(a) {
		return fmt.Errorf("job %s: already accepted", a.GetJob())
	}
	if err := check(a); err != nil {
		return fmt.Errorf("job %s: %w", a.GetJob(), err)
	}
	a, progress, tasks := withoutState(a)
	j := &Job{
		accepted: a, open: map[uint32][]*Step{}, state: Pending, changed: sequence,
		acceptedBytes: acceptedBytes(a), occurrenceBytes: OccurrenceBytes(a),
	}
	j.openSteps = len(a.GetSteps()) * int(j.Occurrences())
	if ok {
		d.dropMoved(known)
	}
	d.jobs[a.GetJob()] = j
	d.count(j)
	if err := d.restoreState(j, progress, tasks); err != nil {
		d.removeJob(j.ID())
		if ok {
			d.restoreMoved(known)
		}
		return err
	}
	return nil
}

// Limits on what a job may hold, whoever sends it.
const (
	MaxOccurrences = 1000
	MaxAmount      = 1 << 40 // of a resource of one task
	MaxUnixMS      = 1 << 43 // the year 2248; differences fit into a time.Duration

	maxTasksPerStep = 100_000 // bounds the memory that one entry can take
)

// check reports whether a job can be scheduled. One that has ended may have lost its steps.
func check(a *wire.DocketAccepted) error {
	if err := checkDueTimes(a); err != nil {
		return err
	}
	return checkSteps(a.GetSteps())
}

// checkDueTimes reports whether all due times of a job can be reckoned with.
func checkDueTimes(a *wire.DocketAccepted) error {
	first, interval, repeat := a.GetFirstDueMs(), a.GetIntervalMs(), int64(a.GetRepeat())
	inRange := repeat <= MaxOccurrences && first >= 0 && first <= MaxUnixMS && interval >= 0 && interval <= MaxUnixMS
	if !inRange || first+repeat*interval > MaxUnixMS {
		return fmt.Errorf("%d occurrences from %d every %d ms are out of range", repeat, first, interval)
	}
	return nil
}

// checkSteps reports whether the steps can be scheduled: each has tasks with amounts of
// resources, and follows only steps before it.
func checkSteps(steps []*wire.DocketStep) error {
	for i, s := range steps {
		for _, amount := range []int64{s.GetMilliCpu(), s.GetMemoryMb(), s.GetAccelerators()} {
			if amount < 0 || amount > MaxAmount {
				return fmt.Errorf("step %d takes %d of a resource, want 0 to %d", i, amount, int64(MaxAmount))
			}
		}
		if s.GetCount() == 0 || s.GetCount() > maxTasksPerStep {
			return fmt.Errorf("step %d has %d tasks, want 1 to %d", i, s.GetCount(), maxTasksPerStep)
		}
		for _, before := range s.GetAfter() {
			if int64(before) >= int64(i) {
				return fmt.Errorf("step %d follows step %d, which is not before it", i, before)
			}
		}
	}
	return nil
}

func (d *Docket) lookupTask(id TaskID) (*Job, *Step, *Task, error) {
	j, ok := d.jobs[id.Job]
	if !ok {
		return nil, nil, nil, fmt.Errorf("task %v: unknown job", id)
	}
	t := j.Task(id)
	if t == nil {
		return nil, nil, nil, fmt.Errorf("task %v: it has no state, as it is done, was never started or does not exist", id)
	}
	return j, j.open[id.Occurrence][id.Step], t, nil
}

// openTask returns a task like lookupTask. It opens the occurrence of the task.
func (d *Docket) openTask(id TaskID) (*Job, *Step, *Task, error) {
	if j, ok := d.jobs[id.Job]; ok {
		d.Open(j, id.Occurrence)
	}
	return d.lookupTask(id)
}

func (d *Docket) startTask(s *wire.DocketStarted, sequence uint64) error {
	j, step, t, err := d.openTask(taskID(s.GetTask()))
	if err != nil {
		return err
	}
	if t.active || t.done || s.GetRun() <= t.run || j.Terminal() || j.moved {
		return fmt.Errorf("task %v: run %d cannot start in state %s after run %d", taskID(s.GetTask()), s.GetRun(), j.state, t.run)
	}
	t.run, t.active, t.worker, t.workerStartedAt = s.GetRun(), true, s.GetWorker(), s.GetBornMs()
	step.active++
	j.active++
	j.changed = sequence
	if j.state == Pending {
		j.state = Running
	}
	return nil
}

func (d *Docket) endRun(e *wire.DocketEnded, sequence uint64) error {
	j, step, t, err := d.lookupTask(taskID(e.GetTask()))
	if err != nil {
		return err
	}
	if !t.active || t.run != e.GetRun() {
		return fmt.Errorf("task %v: run %d is not active", taskID(e.GetTask()), e.GetRun())
	}
	t.active = false
	step.active--
	j.active--
	j.changed = sequence
	shape := j.StepDefinition(e.GetTask().GetStep())
	if e.GetCheckpoint() != "" {
		step.saveCheckpoint(shape.GetGang(), t, e.GetCheckpoint())
	}
	switch e.GetOutcome() {
	case wire.DocketOutcome_DOCKET_OUTCOME_LOST, wire.DocketOutcome_DOCKET_OUTCOME_REFUSED:
	default:
		j.hasRun = true
	}
	switch e.GetOutcome() {
	case wire.DocketOutcome_DOCKET_OUTCOME_DONE:
		d.completeTask(j, step, t, shape, e.GetAtMs())
	case wire.DocketOutcome_DOCKET_OUTCOME_FAILED:
		d.failTask(j, step, t, shape, e.GetAtMs())
	}
	j.release(e.GetTask().GetOccurrence())
	d.count(j)
	return nil
}

// saveCheckpoint records a checkpoint of a task. The checkpoint of any member of a gang
// is valid for the whole gang.
func (s *Step) saveCheckpoint(gang bool, t *Task, checkpoint string) {
	if !gang {
		t.checkpoint = checkpoint
		return
	}
	for i := range s.tasks {
		s.tasks[i].checkpoint = checkpoint
	}
}

// completeTask marks a task as done, or all tasks of a gang, and completes the job with
// its last step.
func (d *Docket) completeTask(j *Job, step *Step, t *Task, shape *wire.DocketStep, endedAt int64) {
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
		d.endJob(j, Completed, endedAt)
	}
}

// failTask counts a failed run and fails the job when its attempts are used up.
func (d *Docket) failTask(j *Job, step *Step, t *Task, shape *wire.DocketStep, endedAt int64) {
	if t.done || shape.GetLongRunning() {
		return
	}
	t.failedOn = t.worker
	if t.failedRun == t.run {
		return // another member of the gang has failed in the same run
	}
	t.failures++
	t.failedRun = t.run
	if shape.GetGang() {
		step.shareFailure(t)
	}
	if t.failures >= j.accepted.GetQueue().GetMaxAttempts() && !j.Terminal() {
		d.endJob(j, Failed, endedAt)
	}
}

// shareFailure counts the failed run of a member for all members of its gang, which fail
// together.
func (s *Step) shareFailure(t *Task) {
	for i := range s.tasks {
		if member := &s.tasks[i]; member.run == t.run {
			member.failures, member.failedRun = max(member.failures, t.failures), t.run
		}
	}
}

// recordCrash counts the end of a worker's process under a run, once for each run, and
// fails the job if the task is given up. The end of the run itself is another entry.
func (d *Docket) recordCrash(c *wire.DocketCrashed, sequence uint64) error {
	j, _, t, err := d.lookupTask(taskID(c.GetTask()))
	if err != nil {
		return err
	}
	if c.GetRun() <= t.crashedRun || c.GetRun() > t.run {
		return fmt.Errorf("task %v: crash under run %d after one under run %d of %d", taskID(c.GetTask()), c.GetRun(), t.crashedRun, t.run)
	}
	t.crashedRun = c.GetRun()
	if c.GetCounts() {
		t.crashes++
	}
	if c.GetSuspect() {
		t.suspicions++
	}
	j.changed = sequence
	if c.GetGivenUp() && !t.done && !j.Terminal() {
		t.givenUp = true
		d.endJob(j, Failed, c.GetAtMs())
	}
	return nil
}

// observeRun records what a worker has said of an active run. It does not change what
// callers see of the job.
func (d *Docket) observeRun(o *wire.DocketObserved) error {
	_, _, t, err := d.lookupTask(taskID(o.GetTask()))
	if err != nil {
		return err
	}
	if !t.active || t.run != o.GetRun() {
		return fmt.Errorf("task %v: run %d is not active", taskID(o.GetTask()), o.GetRun())
	}
	t.begunRun = t.run
	if o.GetSettled() {
		t.settledRun = t.run
	}
	return nil
}

func (d *Docket) cancelJob(c *wire.DocketCancelled, sequence uint64) error {
	j, ok := d.jobs[c.GetJob()]
	if !ok {
		return fmt.Errorf("job %s: cancel of an unknown job", c.GetJob())
	}
	if j.Terminal() {
		return nil
	}
	if j.moved {
		return fmt.Errorf("job %s: cancel after it moved to another docket", c.GetJob())
	}
	j.changed = sequence
	d.endJob(j, Cancelled, c.GetAtMs())
	return nil
}

func (d *Docket) endJob(j *Job, s State, endedAt int64) {
	j.state = s
	j.endedAt = endedAt
	j.releaseAll()
	d.count(j)
	d.endedJobs = append(d.endedJobs, j.ID())
}

func (d *Docket) recordWorker(w *wire.DocketWorker) {
	if w.GetAddress() == "" {
		delete(d.workers, w.GetWorker())
		return
	}
	d.workers[w.GetWorker()] = w
}

// removeJob deletes a job, and the names of deleted jobs at the front of endedJobs.
func (d *Docket) removeJob(id string) {
	if j, ok := d.jobs[id]; ok {
		d.bytes -= j.counted
		delete(d.jobs, id)
	}
	for len(d.endedJobs) > 0 {
		if _, ok := d.jobs[d.endedJobs[0]]; ok {
			return
		}
		d.endedJobs = d.endedJobs[1:]
	}
}
