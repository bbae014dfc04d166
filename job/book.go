package job

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// ShardState is the in-memory state of one job shard: its jobs, as left by the entries
// applied so far. The zero value holds no jobs.
type ShardState struct {
	jobs      map[string]*Job
	jobsByKey map[string]string // job identifiers by organisation/idempotency key
	openJobs  map[string]*Job   // jobs with tasks that are not final
}

// Job returns the job with the given identifier.
func (b *ShardState) Job(id string) (*Job, bool) {
	j, ok := b.jobs[id]
	return j, ok
}

// JobByKey returns the job that an organisation submitted with an idempotency key.
func (b *ShardState) JobByKey(organisation, key string) (*Job, bool) {
	j, ok := b.jobs[b.jobsByKey[organisation+"/"+key]]
	return j, ok
}

// Jobs returns all jobs, oldest first.
func (b *ShardState) Jobs() []*Job {
	jobs := make([]*Job, 0, len(b.jobs))
	for _, j := range b.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(x, y *Job) int {
		return cmp.Or(x.Accepted.Compare(y.Accepted), cmp.Compare(x.ID, y.ID))
	})
	return jobs
}

// Len returns the number of jobs.
func (b *ShardState) Len() int { return len(b.jobs) }

// Apply applies a durable entry and reports whether b changed. Entries for unknown
// jobs or for attempts that are no longer granted are ignored, so late reports of
// earlier attempts have no effect.
func (b *ShardState) Apply(e Entry) bool {
	switch e.Kind {
	case EntryAccept:
		return b.applyAccept(e)
	case EntryForget:
		return b.applyForget(e.Job)
	case EntryCancel:
		return b.applyCancel(e)
	case EntryRegrant:
		return b.applyRegrant(e)
	case EntryIntent:
		return b.applyIntent(e)
	case EntryEnd, EntryRetry:
		return b.applyEnd(e)
	default:
		return false
	}
}

func (b *ShardState) applyAccept(e Entry) bool {
	if e.Spec == nil || b.jobs[e.Job] != nil {
		return false
	}
	if b.jobs == nil {
		b.jobs, b.jobsByKey, b.openJobs = map[string]*Job{}, map[string]string{}, map[string]*Job{}
	}
	n := len(e.Spec.Tasks)
	j := &Job{
		ID: e.Job, Spec: *e.Spec, Accepted: e.Accepted, openTasks: n,
		tasks: make([]Task, n), counts: map[State]int{Waiting: n},
	}
	for i := range j.tasks {
		j.tasks[i] = Task{Index: i, Attempt: 1, State: Waiting}
	}
	b.jobs[j.ID], b.openJobs[j.ID] = j, j
	if e.Spec.IdempotencyKey != "" {
		b.jobsByKey[e.Spec.Organisation+"/"+e.Spec.IdempotencyKey] = j.ID
	}
	return true
}

func (b *ShardState) applyForget(id string) bool {
	j, ok := b.jobs[id]
	if !ok || j.openTasks > 0 {
		return false
	}
	delete(b.jobs, id)
	if j.Spec.IdempotencyKey != "" {
		delete(b.jobsByKey, j.Spec.Organisation+"/"+j.Spec.IdempotencyKey)
	}
	return true
}

func (b *ShardState) applyCancel(e Entry) bool {
	j, ok := b.jobs[e.Job]
	if !ok {
		return false
	}
	mayRun := make(map[int]bool, len(e.MayBeRunning))
	for _, i := range e.MayBeRunning {
		mayRun[i] = true
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.State.Final():
		case mayRun[i]:
			t.CancelRequested = true
		default:
			t.Reason = "cancelled before it ran"
			j.setState(t, Cancelled)
		}
	}
	if j.openTasks == 0 {
		delete(b.openJobs, j.ID)
	}
	return true
}

func (b *ShardState) applyRegrant(e Entry) bool {
	j, ok := b.jobs[e.Job]
	if !ok {
		return false
	}
	for _, i := range e.RegrantedTasks(j) {
		j.tasks[i].Attempt++
		j.tasks[i].IntentRecorded = false
	}
	return true
}

// RegrantedTasks returns the indexes of the tasks of j whose next attempt e grants:
// those that are neither final nor listed in e.MayBeRunning.
func (e *Entry) RegrantedTasks(j *Job) []int {
	excluded := make(map[int]bool, len(e.MayBeRunning))
	for _, i := range e.MayBeRunning {
		excluded[i] = true
	}
	var regranted []int
	for i := range j.tasks {
		if !excluded[i] && !j.tasks[i].State.Final() {
			regranted = append(regranted, i)
		}
	}
	return regranted
}

// CancelEntry returns the entry that cancels a job. The function mayRun is called for
// every task that is not final and reports whether its granted attempt may have
// been sent.
func (b *ShardState) CancelEntry(id string, mayRun func(*Task) bool) (e Entry, ok bool) {
	j, ok := b.jobs[id]
	if !ok || j.openTasks == 0 {
		return Entry{}, false
	}
	e = Entry{Kind: EntryCancel, Job: id}
	for i := range j.tasks {
		if t := &j.tasks[i]; !t.State.Final() && mayRun(t) {
			e.MayBeRunning = append(e.MayBeRunning, i)
		}
	}
	return e, true
}

func (b *ShardState) applyIntent(e Entry) bool {
	_, t, err := b.grantedTask(TaskID(e.Job, e.Task), e.Attempt)
	if err != nil {
		return false
	}
	t.IntentRecorded = true
	return true
}

func (b *ShardState) applyEnd(e Entry) bool {
	j, ok := b.jobs[e.Job]
	if !ok || e.Task < 0 || e.Task >= len(j.tasks) {
		return false
	}
	t := &j.tasks[e.Task]
	if t.Attempt != e.Attempt || t.State.Final() {
		return false
	}
	t.Worker, t.Reason, t.RunTime = e.Worker, e.Reason, e.RunTime
	if e.Failure {
		t.Failures++
		t.FailedOn = append(t.FailedOn, e.Worker)
		t.FailedOn = t.FailedOn[max(0, len(t.FailedOn)-maxFailedWorkers):]
	}
	t.CrashEvidence += e.CrashEvidence
	if len(e.Checkpoint) > 0 {
		t.Checkpoint = e.Checkpoint
	}
	if e.Kind == EntryRetry {
		t.Attempt++
		t.RackShard, t.Running, t.IntentRecorded = "", false, false
		j.setState(t, Waiting)
		return true
	}
	t.Result, t.Running = e.Result, false
	j.setState(t, e.State)
	if j.openTasks == 0 {
		delete(b.openJobs, j.ID)
	}
	return true
}

// setState changes the state of a task and updates the counts of j.
func (j *Job) setState(t *Task, s State) {
	if s.Final() && !t.State.Final() {
		j.openTasks--
	}
	j.counts[t.State]--
	t.State = s
	j.counts[s]++
}

// MarkSent marks the granted attempt of a task as sent to a rack shard. The mark
// is not durable: after b is rebuilt from the journal, every granted attempt must
// be treated as possibly sent.
func (b *ShardState) MarkSent(task string, attempt uint64, rackShard string) error {
	j, t, err := b.grantedTask(task, attempt)
	if err != nil {
		return err
	}
	if t.State != Waiting {
		return fmt.Errorf("task %s: attempt %d is %s, not waiting", task, attempt, t.State)
	}
	t.RackShard = rackShard
	j.setState(t, Sent)
	return nil
}

// MarkUnsent reverts MarkSent once it is certain that the attempt did not run on
// the rack and never will.
func (b *ShardState) MarkUnsent(task string, attempt uint64) error {
	j, t, err := b.grantedTask(task, attempt)
	if err != nil {
		return err
	}
	if t.State == Sent {
		t.RackShard, t.Running = "", false
		j.setState(t, Waiting)
	}
	return nil
}

// MarkRunning marks the granted attempt of a task as running on a worker.
func (b *ShardState) MarkRunning(task string, attempt uint64, worker string) error {
	_, t, err := b.grantedTask(task, attempt)
	if err != nil {
		return err
	}
	t.Running, t.Worker = true, worker
	return nil
}

// grantedTask returns the job and the task of an attempt. It fails if the attempt
// is not the granted attempt of a task that is not final.
func (b *ShardState) grantedTask(task string, attempt uint64) (*Job, *Task, error) {
	id, index, err := SplitTaskID(task)
	if err != nil {
		return nil, nil, err
	}
	j, ok := b.jobs[id]
	if !ok || index >= len(j.tasks) {
		return nil, nil, fmt.Errorf("task %s is unknown", task)
	}
	t := &j.tasks[index]
	if t.Attempt != attempt || t.State.Final() {
		return nil, nil, fmt.Errorf("task %s: attempt %d is not the granted attempt (%d, state %s)", task, attempt, t.Attempt, t.State)
	}
	return j, t, nil
}

// AcceptEntry returns the entry that accepts a job.
func AcceptEntry(id string, s Spec, now time.Time) Entry {
	return Entry{Kind: EntryAccept, Job: id, Spec: &s, Accepted: now.UTC()}
}

// AttemptEnd describes how an attempt ended, as reported by its worker or by the owner
// of its rack.
type AttemptEnd struct {
	// Outcome is Done, Failed or Cancelled for an attempt that ran, Unknown for
	// one that was lost and certainly does not run any more, Waiting for one that
	// was preempted or refused by the worker, and Parked or Expired for a task
	// that ends without a further attempt.
	Outcome State
	// MayHaveRun is set if the attempt may have had an effect.
	MayHaveRun bool
	Reason     string
	Worker     string
	Result     []byte
	RunTime    time.Duration
	Checkpoint []byte
	// CrashEvidence is set for a lost attempt that may have ended its worker's process.
	CrashEvidence int
}

// Evidence that an attempt has ended the process of its worker. The sum over the attempts
// of a task decides when it is parked.
const (
	EvidenceAmongOthers = 1 // one of several attempts that may
	EvidenceAlone       = 3 // the only attempt that may
	maxCrashEvidence    = 9 // three crashes as the only suspect; hosts are also lost by themselves
)

// EndEntry returns the entry that records the end of an attempt. It either ends the
// task or grants its next attempt. ok is false if the attempt is not the granted
// one, so there is nothing to record.
func (b *ShardState) EndEntry(task string, attempt uint64, end AttemptEnd) (e Entry, ok bool) {
	j, t, err := b.grantedTask(task, attempt)
	if err != nil {
		return Entry{}, false
	}
	e = Entry{
		Kind: EntryEnd, Job: j.ID, Task: t.Index, Attempt: attempt, Worker: end.Worker, Reason: end.Reason,
		RunTime: end.RunTime, Checkpoint: end.Checkpoint, Failure: end.Outcome == Failed, CrashEvidence: end.CrashEvidence,
	}
	switch {
	case end.Outcome == Done:
		e.State, e.Result = Done, end.Result
	case end.Outcome == Parked || end.Outcome == Expired:
		e.State = end.Outcome
	case t.CancelRequested:
		e.State = Cancelled
	case j.Spec.NonIdempotent && end.Outcome == Failed:
		e.State = Failed
	case j.Spec.NonIdempotent && end.MayHaveRun:
		e.State = Unknown
	case end.Outcome == Failed && t.Failures+1 >= j.MaxAttempts():
		e.State = Parked
		e.Reason = fmt.Sprintf("failed %d times of %d allowed; last on worker %s: %s", t.Failures+1, j.MaxAttempts(), end.Worker, end.Reason)
	case t.CrashEvidence+end.CrashEvidence >= maxCrashEvidence:
		e.State = Parked
		e.Reason = fmt.Sprintf("workers crash when it runs, the last one was %s: %s", end.Worker, end.Reason)
	default:
		e.Kind = EntryRetry
	}
	return e, true
}
