// Package job holds accepted work and the entries of its history.
//
// A job is a batch of tasks or a long-running service. A gang of tasks that
// start all at once is refused so far. Jobs are divided over job shards; the
// process that owns a job shard keeps its jobs in a Book and makes every change
// durable, as an Entry, in the shard's journal (package journal), which is the
// only thing that lasts: a Book is rebuilt by applying the entries again.
//
// # Invariants
//
//   - A job is accepted only when the entry that accepts it is durable.
//   - An accepted job grants attempt 1 of each of its tasks; attempt n + 1 is
//     granted by the durable entry that ends attempt n, or by one that says,
//     after a change of the owner, that attempt n runs nowhere. So at most one
//     attempt of a task is ever granted and not ended.
//   - A non-idempotent task has no attempt 2: when the end of its attempt 1 is
//     not known, the task ends as unknown.
//
// Usage:
//
//	var b job.Book
//	b.Apply(job.Accept(id, spec, now)) // once the entry is durable
//	err := b.MarkSent(task, 1, rack)
//	entry, ok := b.Ended(task, 1, job.End{Outcome: job.Done, Result: result})
//
// A Book is owned by one goroutine. It reads no clock.
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

// Spec is a job as its caller submits it.
type Spec struct {
	Name         string      `json:"name,omitempty"`
	Organisation string      `json:"organisation"`
	Class        class.Class `json:"class"`
	// Kind groups tasks of like run times, for learned estimates.
	Kind     string `json:"kind,omitempty"`
	Priority int    `json:"priority,omitempty"` // within the organisation, -100 to 100
	// Key is the caller's idempotency key.
	Key string `json:"idempotency-key,omitempty"`
	// Demand of each task that does not state its own.
	Demand resource.Vector `json:"demand"`
	// EstimateMS is the expected run time of a task in milliseconds, 0 when
	// unknown.
	EstimateMS int64 `json:"estimate-ms,omitempty"`
	// DeadlineMS is the time after acceptance, in milliseconds, after which
	// nobody waits for tasks that have not started; 0 for none.
	DeadlineMS int64 `json:"deadline-ms,omitempty"`
	// Gang asks for all tasks to start at once; such jobs are refused, see Check.
	Gang          bool `json:"gang,omitempty"`
	NonIdempotent bool `json:"non-idempotent,omitempty"`
	// MaxAttempts bounds the attempts of each task, DefaultAttempts when 0.
	MaxAttempts int        `json:"max-attempts,omitempty"`
	Tasks       []TaskSpec `json:"tasks"`
}

// TaskSpec is one task of a job.
type TaskSpec struct {
	Demand     *resource.Vector `json:"demand,omitempty"`
	EstimateMS int64            `json:"estimate-ms,omitempty"`
	// Work is passed to the worker as it is.
	Work json.RawMessage `json:"work,omitempty"`
}

// Digest returns the SHA-256 of the specification in hex. Two submissions
// under one idempotency key are the same only if their digests are.
func (s *Spec) Digest() string {
	body, err := json.Marshal(s)
	if err != nil {
		return "" // a Spec that was parsed can always be encoded
	}
	return fmt.Sprintf("%x", sha256.Sum256(body))
}

// maxFailedOn bounds the workers that are remembered for a task.
const maxFailedOn = 8

// DefaultAttempts bounds the attempts of a task whose job states no bound.
const DefaultAttempts = 4

// State is where a task stands.
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
	Parked    State = "parked"    // can never run as it is; the reason says why
)

// Final reports whether no further attempt will be made.
func (s State) Final() bool { return s != Waiting && s != Sent }

// Task is one task of a job in a Book.
type Task struct {
	Index   int
	Attempt uint64 // the granted attempt, from 1
	State   State
	Worker  string // where the last attempt ran
	Reason  string
	Result  []byte
	Ran     time.Duration
	// Target is the rack shard to which the granted attempt was sent.
	Target string
	// Intended is set when the intent to send the granted attempt is durable;
	// only non-idempotent tasks have one.
	Intended bool
	// Running is set once a worker has reported the attempt.
	Running  bool
	Failures int // attempts that ran and failed
	// FailedOn lists the workers on which they failed, the latest last.
	FailedOn []string
	// CancelAsked is set when the caller's cancellation is durable.
	CancelAsked bool
	// Checkpoint of the last attempt, passed to the next one.
	Checkpoint []byte
}

// Job is an accepted job in a Book.
type Job struct {
	ID       string
	Spec     Spec
	Accepted time.Time
	tasks    []Task
	open     int // tasks that are not final
	counts   map[State]int
}

// Tasks returns the tasks in the order of their indexes; not to be changed.
func (j *Job) Tasks() []Task { return j.tasks }

// Open returns the number of tasks that are not final.
func (j *Job) Open() int { return j.open }

// Count returns the number of tasks in that state.
func (j *Job) Count(s State) int { return j.counts[s] }

// Demand returns the demand of the task with that index.
func (j *Job) Demand(index int) resource.Vector {
	if d := j.Spec.Tasks[index].Demand; d != nil {
		return *d
	}
	return j.Spec.Demand
}

// Estimate returns the declared run time of a task, 0 when unknown.
func (j *Job) Estimate(index int) time.Duration {
	ms := j.Spec.Tasks[index].EstimateMS
	if ms == 0 {
		ms = j.Spec.EstimateMS
	}
	return time.Duration(ms) * time.Millisecond
}

// Work returns what the next attempt of a task is to do: the checkpoint of an
// earlier one, else the task's work.
func (j *Job) Work(index int) []byte {
	if c := j.tasks[index].Checkpoint; len(c) > 0 {
		return c
	}
	return j.Spec.Tasks[index].Work
}

// MaxAttempts returns the bound on the attempts of each task. Services are
// started again without bound.
func (j *Job) MaxAttempts() int {
	switch {
	case j.Spec.NonIdempotent:
		return 1
	case j.Spec.Class == class.Service:
		return 1 << 30
	case j.Spec.MaxAttempts > 0:
		return j.Spec.MaxAttempts
	default:
		return DefaultAttempts
	}
}

// Deadline returns when waiting tasks expire, the zero time for never.
func (j *Job) Deadline() time.Time {
	if j.Spec.DeadlineMS == 0 {
		return time.Time{}
	}
	return j.Accepted.Add(time.Duration(j.Spec.DeadlineMS) * time.Millisecond)
}

// NewID returns the identifier of a job: its data centre, shard and a unique
// part, so that any process can tell who owns it.
func NewID(dataCentre, shard, unique string) string {
	return dataCentre + "." + shard + "." + unique
}

// SplitID returns the data centre and the shard of a job's identifier.
func SplitID(id string) (dataCentre, shard string, err error) {
	parts := strings.Split(id, ".")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || parts[2] == "" {
		return "", "", fmt.Errorf("job identifier %q is not of the form data-centre.shard.unique", id)
	}
	return parts[0], parts[1], nil
}

// TaskID returns the identifier of a task of a job.
func TaskID(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// SplitTaskID returns the job and the index of a task's identifier.
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
