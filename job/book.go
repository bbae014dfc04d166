package job

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Book holds the jobs of one job shard. The zero value is an empty book.
type Book struct {
	jobs map[string]*Job
	keys map[string]string // organisation/idempotency key to job
	open map[string]*Job   // jobs with open tasks
}

// Job returns the job of that identifier.
func (b *Book) Job(id string) (*Job, bool) {
	j, ok := b.jobs[id]
	return j, ok
}

// ByKey returns the job that an organisation submitted under an idempotency key.
func (b *Book) ByKey(organisation, key string) (*Job, bool) {
	j, ok := b.jobs[b.keys[organisation+"/"+key]]
	return j, ok
}

// Jobs returns all jobs, the oldest first.
func (b *Book) Jobs() []*Job {
	all := make([]*Job, 0, len(b.jobs))
	for _, j := range b.jobs {
		all = append(all, j)
	}
	slices.SortFunc(all, func(x, y *Job) int {
		return cmp.Or(x.Accepted.Compare(y.Accepted), cmp.Compare(x.ID, y.ID))
	})
	return all
}

// Len returns the number of jobs.
func (b *Book) Len() int { return len(b.jobs) }

// Apply makes a durable entry part of the book. Entries that refer to unknown
// jobs or to attempts that are no longer granted change nothing, so that a
// late report of an old attempt is harmless. It reports whether b changed.
func (b *Book) Apply(e Entry) bool {
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

func (b *Book) applyAccept(e Entry) bool {
	if e.Spec == nil || b.jobs[e.Job] != nil {
		return false
	}
	if b.jobs == nil {
		b.jobs, b.keys, b.open = map[string]*Job{}, map[string]string{}, map[string]*Job{}
	}
	n := len(e.Spec.Tasks)
	j := &Job{
		ID: e.Job, Spec: *e.Spec, Accepted: e.Accepted, open: n,
		tasks: make([]Task, n), counts: map[State]int{Waiting: n},
	}
	for i := range j.tasks {
		j.tasks[i] = Task{Index: i, Attempt: 1, State: Waiting}
	}
	b.jobs[j.ID], b.open[j.ID] = j, j
	if e.Spec.Key != "" {
		b.keys[e.Spec.Organisation+"/"+e.Spec.Key] = j.ID
	}
	return true
}

func (b *Book) applyForget(id string) bool {
	j, ok := b.jobs[id]
	if !ok || j.open > 0 {
		return false
	}
	delete(b.jobs, id)
	if j.Spec.Key != "" {
		delete(b.keys, j.Spec.Organisation+"/"+j.Spec.Key)
	}
	return true
}

func (b *Book) applyCancel(e Entry) bool {
	j, ok := b.jobs[e.Job]
	if !ok {
		return false
	}
	running := make(map[int]bool, len(e.Open))
	for _, i := range e.Open {
		running[i] = true
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		switch {
		case t.State.Final():
		case running[i]:
			t.CancelAsked = true
		default:
			t.Reason = "cancelled before it ran"
			j.setState(t, Cancelled)
		}
	}
	if j.open == 0 {
		delete(b.open, j.ID)
	}
	return true
}

func (b *Book) applyRegrant(e Entry) bool {
	j, ok := b.jobs[e.Job]
	if !ok {
		return false
	}
	for _, i := range e.Others(j) {
		j.tasks[i].Attempt++
		j.tasks[i].Intended = false
	}
	return true
}

// Others returns the indexes of the tasks of j that are neither final nor in
// e.Open.
func (e *Entry) Others(j *Job) []int {
	open := make(map[int]bool, len(e.Open))
	for _, i := range e.Open {
		open[i] = true
	}
	var others []int
	for i := range j.tasks {
		if !open[i] && !j.tasks[i].State.Final() {
			others = append(others, i)
		}
	}
	return others
}

// Cancel returns the entry that cancels a job. mayRun tells of a task that is
// not final whether its attempt may have been sent.
func (b *Book) Cancel(id string, mayRun func(*Task) bool) (e Entry, ok bool) {
	j, ok := b.jobs[id]
	if !ok || j.open == 0 {
		return Entry{}, false
	}
	e = Entry{Kind: EntryCancel, Job: id}
	for i := range j.tasks {
		if t := &j.tasks[i]; !t.State.Final() && mayRun(t) {
			e.Open = append(e.Open, i)
		}
	}
	return e, true
}

func (b *Book) applyIntent(e Entry) bool {
	_, t, err := b.granted(TaskID(e.Job, e.Task), e.Attempt)
	if err != nil {
		return false
	}
	t.Intended = true
	return true
}

func (b *Book) applyEnd(e Entry) bool {
	j, ok := b.jobs[e.Job]
	if !ok || e.Task < 0 || e.Task >= len(j.tasks) {
		return false
	}
	t := &j.tasks[e.Task]
	if t.Attempt != e.Attempt || t.State.Final() {
		return false
	}
	t.Worker, t.Reason, t.Ran = e.Worker, e.Reason, e.Ran
	if e.Failure {
		t.Failures++
		t.FailedOn = append(t.FailedOn, e.Worker)
		t.FailedOn = t.FailedOn[max(0, len(t.FailedOn)-maxFailedOn):]
	}
	if len(e.Checkpoint) > 0 {
		t.Checkpoint = e.Checkpoint
	}
	if e.Kind == EntryRetry {
		t.Attempt++
		t.Target, t.Running, t.Intended = "", false, false
		j.setState(t, Waiting)
		return true
	}
	t.Result, t.Running = e.Result, false
	j.setState(t, e.State)
	if j.open == 0 {
		delete(b.open, j.ID)
	}
	return true
}

func (j *Job) setState(t *Task, s State) {
	if s.Final() && !t.State.Final() {
		j.open--
	}
	j.counts[t.State]--
	t.State = s
	j.counts[s]++
}

// MarkSent notes that the granted attempt of a task goes to a process. The
// note is volatile: a book that is rebuilt treats every granted attempt as
// possibly sent.
func (b *Book) MarkSent(task string, attempt uint64, target string) error {
	j, t, err := b.granted(task, attempt)
	if err != nil {
		return err
	}
	if t.State != Waiting {
		return fmt.Errorf("task %s: attempt %d is %s, not waiting", task, attempt, t.State)
	}
	t.Target = target
	j.setState(t, Sent)
	return nil
}

// MarkUnsent takes a MarkSent back after the target has confirmed that the
// attempt did not run and never will.
func (b *Book) MarkUnsent(task string, attempt uint64) error {
	j, t, err := b.granted(task, attempt)
	if err != nil {
		return err
	}
	if t.State == Sent {
		t.Target, t.Running = "", false
		j.setState(t, Waiting)
	}
	return nil
}

// MarkRunning notes that a worker has reported the granted attempt.
func (b *Book) MarkRunning(task string, attempt uint64, worker string) error {
	_, t, err := b.granted(task, attempt)
	if err != nil {
		return err
	}
	t.Running, t.Worker = true, worker
	return nil
}

func (b *Book) granted(task string, attempt uint64) (*Job, *Task, error) {
	id, index, err := SplitTaskID(task)
	if err != nil {
		return nil, nil, err
	}
	j, ok := b.jobs[id]
	if !ok || index >= len(j.tasks) {
		return nil, nil, fmt.Errorf("task %s is not in the book", task)
	}
	t := &j.tasks[index]
	if t.Attempt != attempt || t.State.Final() {
		return nil, nil, fmt.Errorf("task %s: attempt %d is not granted (now attempt %d, %s)", task, attempt, t.Attempt, t.State)
	}
	return j, t, nil
}

// Accept returns the entry that accepts a job.
func Accept(id string, s Spec, now time.Time) Entry {
	return Entry{Kind: EntryAccept, Job: id, Spec: &s, Accepted: now.UTC()}
}

// End is how an attempt ended, as its worker or its rack's owner tells.
type End struct {
	// Outcome is Done, Failed or Cancelled for an attempt that ran, Unknown
	// for one that was lost (certainly not running any more), and Waiting for
	// one that was preempted or refused by the worker.
	Outcome State
	// Ran reports that the attempt may have had an effect.
	MayHaveRun bool
	Reason     string
	Worker     string
	Result     []byte
	Ran        time.Duration
	Checkpoint []byte
}

// Ended returns the entry that records the end of an attempt: the end of the
// task, or the grant of its next attempt. ok is false when the attempt is not
// the granted one, so that there is nothing to record.
func (b *Book) Ended(task string, attempt uint64, end End) (e Entry, ok bool) {
	j, t, err := b.granted(task, attempt)
	if err != nil {
		return Entry{}, false
	}
	e = Entry{
		Kind: EntryEnd, Job: j.ID, Task: t.Index, Attempt: attempt, Worker: end.Worker, Reason: end.Reason,
		Ran: end.Ran, Checkpoint: end.Checkpoint, Failure: end.Outcome == Failed,
	}
	switch {
	case end.Outcome == Done:
		e.State, e.Result = Done, end.Result
	case end.Outcome == Parked || end.Outcome == Expired:
		e.State = end.Outcome
	case t.CancelAsked:
		e.State = Cancelled
	case j.Spec.NonIdempotent && end.Outcome == Failed:
		e.State = Failed
	case j.Spec.NonIdempotent && end.MayHaveRun:
		e.State = Unknown
	case end.Outcome == Failed && t.Failures+1 >= j.MaxAttempts():
		e.State = Parked
		e.Reason = fmt.Sprintf("failed %d times of %d allowed; last on worker %s: %s", t.Failures+1, j.MaxAttempts(), end.Worker, end.Reason)
	default:
		e.Kind = EntryRetry
	}
	return e, true
}
