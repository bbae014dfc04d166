// Package job defines jobs, their tasks and the journal entries that change them.
//
// A job is a batch of tasks or a long-running service. Gangs, whose tasks all
// start at the same time, are not supported yet and are refused. Jobs are divided
// into job shards. The process that owns a job shard keeps its jobs in a ShardState and
// records every change as an Entry in the journal of the shard (package joblog).
// Only the journal is durable; a ShardState is rebuilt from it by applying the entries
// in order.
//
// Each task has one granted attempt, the only attempt that may run. The next one
// is granted when that has ended without ending the task.
//
// # Invariants
//
//   - A job is accepted only when the entry that accepts it is durable.
//   - The entry that accepts a job grants attempt 1 of each of its tasks. Attempt
//     n + 1 is granted by the durable entry that ends attempt n, or by one that
//     records, after a change of owner, that attempt n does not run. So at most
//     one attempt of a task is granted and has not ended.
//   - A non-idempotent task gets a further attempt only if the last one certainly
//     did not run. If that is not known, the task ends as unknown.
//
// Usage:
//
//	var b job.ShardState
//	b.Apply(job.AcceptEntry(id, spec, now)) // once the entry is durable
//	err := b.MarkSent(task, 1, rack)
//	entry, ok := b.EndEntry(task, 1, job.AttemptEnd{Outcome: job.Done, Result: result})
//
// A ShardState is not safe for concurrent use. It reads no clock.
package job

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/resource"
)

// Spec is the specification of a job as submitted by a caller.
type Spec struct {
	Name         string      `json:"name,omitempty"`
	Organisation string      `json:"organisation"`
	Class        class.Class `json:"class"`
	// Kind names a group of tasks with similar run times, which share a learned
	// estimate.
	Kind     string `json:"kind,omitempty"`
	Priority int    `json:"priority,omitempty"` // within the organisation, -100 to 100
	// IdempotencyKey is the caller's idempotency key.
	IdempotencyKey string `json:"idempotency-key,omitempty"`
	// Demand is the demand of each task that has none of its own.
	Demand resource.Vector `json:"demand"`
	// EstimateMS is the expected run time of a task in milliseconds, or 0 if
	// unknown.
	EstimateMS int64 `json:"estimate-ms,omitempty"`
	// DeadlineMS is the time in milliseconds after acceptance at which tasks that
	// are still waiting expire, or 0 for no deadline.
	DeadlineMS int64 `json:"deadline-ms,omitempty"`
	// Gang requests that all tasks start at the same time. Check refuses such jobs.
	Gang          bool `json:"gang,omitempty"`
	NonIdempotent bool `json:"non-idempotent,omitempty"`
	// MaxAttempts is the number of failures after which a task is not retried, or 0
	// for DefaultMaxAttempts.
	MaxAttempts int        `json:"max-attempts,omitempty"`
	Tasks       []TaskSpec `json:"tasks"`
}

// TaskSpec is one task of a job.
type TaskSpec struct {
	Demand     *resource.Vector `json:"demand,omitempty"`
	EstimateMS int64            `json:"estimate-ms,omitempty"`
	// Work is passed to the worker unchanged.
	Work json.RawMessage `json:"work,omitempty"`
}

// Digest returns the SHA-256 of the specification in hexadecimal. Submissions with
// the same idempotency key are the same job only if their digests are equal.
func (s *Spec) Digest() string {
	body, err := json.Marshal(s)
	if err != nil {
		return "" // a Spec that was parsed can always be encoded
	}
	return fmt.Sprintf("%x", sha256.Sum256(body))
}

// maxFailedWorkers is the maximum length of Task.FailedOn.
const maxFailedWorkers = 8

// DefaultMaxAttempts applies to jobs that do not set Spec.MaxAttempts.
const DefaultMaxAttempts = 4

// State is the state of a task.
type State string

// States of a task. Done, Failed, Unknown, Cancelled, Expired and Parked are
// final.
const (
	Waiting   State = "waiting"   // the granted attempt has not been sent
	Sent      State = "sent"      // the granted attempt may be running
	Done      State = "done"      // a result was recorded
	Failed    State = "failed"    // ran and failed, no attempts left
	Unknown   State = "unknown"   // non-idempotent, may have run, never retried
	Cancelled State = "cancelled" // by the caller
	Expired   State = "expired"   // not run: its deadline passed while it waited
	Parked    State = "parked"    // failed too often or can never run; see the reason
)

// Final reports whether the task has ended and gets no further attempt.
func (s State) Final() bool { return s != Waiting && s != Sent }

// Task is one task of a job in a ShardState.
type Task struct {
	Index   int
	Attempt uint64 // the granted attempt, from 1
	State   State
	Worker  string // that ran the last attempt
	Reason  string
	Result  []byte
	RunTime time.Duration
	// RackShard is the rack shard to which the granted attempt was sent.
	RackShard string
	// IntentRecorded is set once the intent to send the granted attempt is durable.
	// Only non-idempotent tasks have an intent.
	IntentRecorded bool
	// Running is set once a worker has reported the granted attempt as running.
	Running  bool
	Failures int // attempts that ran and failed
	// CrashEvidence is the sum of the evidence that attempts have ended the processes of
	// their workers.
	CrashEvidence int
	// FailedOn lists the workers of the last failed attempts, the latest last.
	FailedOn []string
	// CancelRequested is set if the job was cancelled while the granted attempt may
	// have been running.
	CancelRequested bool
	// Checkpoint is the checkpoint of the last attempt; the next one resumes from
	// it.
	Checkpoint []byte
}

// Job is an accepted job in a ShardState.
type Job struct {
	ID        string
	Spec      Spec
	Accepted  time.Time
	tasks     []Task
	openTasks int // tasks that are not final
	counts    map[State]int
}

// Tasks returns the tasks in the order of their indexes. The caller must not
// modify them.
func (j *Job) Tasks() []Task { return j.tasks }

// OpenTasks returns the number of tasks that are not final.
func (j *Job) OpenTasks() int { return j.openTasks }

// CountInState returns the number of tasks in the given state.
func (j *Job) CountInState(s State) int { return j.counts[s] }

// Demand returns the demand of the task with the given index.
func (j *Job) Demand(index int) resource.Vector {
	if d := j.Spec.Tasks[index].Demand; d != nil {
		return *d
	}
	return j.Spec.Demand
}

// DeclaredRunTime returns the run time that the caller declared for a task, or 0
// if there is none.
func (j *Job) DeclaredRunTime(index int) time.Duration {
	ms := j.Spec.Tasks[index].EstimateMS
	if ms == 0 {
		ms = j.Spec.EstimateMS
	}
	return time.Duration(ms) * time.Millisecond
}

// NextWork returns the input of the next attempt of a task: the checkpoint of an
// earlier attempt if there is one, otherwise the work of the task.
func (j *Job) NextWork(index int) []byte {
	if c := j.tasks[index].Checkpoint; len(c) > 0 {
		return c
	}
	return j.Spec.Tasks[index].Work
}

// MaxAttempts returns the number of failures after which a task of j is not
// retried. Services are restarted without limit.
func (j *Job) MaxAttempts() int {
	switch {
	case j.Spec.NonIdempotent:
		return 1
	case j.Spec.Class == class.Service:
		return 1 << 30
	case j.Spec.MaxAttempts > 0:
		return j.Spec.MaxAttempts
	default:
		return DefaultMaxAttempts
	}
}

// Deadline returns the time at which waiting tasks expire, or the zero time for
// never.
func (j *Job) Deadline() time.Time {
	if j.Spec.DeadlineMS == 0 {
		return time.Time{}
	}
	return j.Accepted.Add(time.Duration(j.Spec.DeadlineMS) * time.Millisecond)
}

// NewID returns the identifier of a job. It contains the data centre and the job
// shard, so that any process can find the owner of the job.
func NewID(dataCentre, shard, unique string) string {
	return dataCentre + "." + shard + "." + unique
}

// SplitID returns the data centre and the job shard in the identifier of a job.
func SplitID(id string) (dataCentre, shard string, err error) {
	parts := strings.Split(id, ".")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || parts[2] == "" {
		return "", "", fmt.Errorf("job identifier %q is not of the form data-centre.shard.unique", id)
	}
	return parts[0], parts[1], nil
}

// TaskID returns the identifier of a task of a job.
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTaskID returns the job and the index in the identifier of a task.
func SplitTaskID(task string) (job string, index int, err error) {
	job, digits, ok := strings.Cut(task, "/")
	if ok {
		index, err = strconv.Atoi(digits)
	}
	if !ok || err != nil || index < 0 || job == "" {
		return "", 0, fmt.Errorf("task identifier %q is not of the form job/index", task)
	}
	return job, index, nil
}
