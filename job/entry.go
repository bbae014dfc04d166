package job

import (
	"time"
)

// EntryKind is the kind of change that an Entry records.
type EntryKind string

// Kinds of entry.
const (
	// EntryOpen starts the epoch of a new owner.
	EntryOpen EntryKind = "open"
	// EntryAccept accepts a job and grants attempt 1 of each of its tasks.
	EntryAccept EntryKind = "accept"
	// EntryIntent records that the granted attempt of a non-idempotent task is
	// about to be sent.
	EntryIntent EntryKind = "intent"
	// EntryEnd ends a task.
	EntryEnd EntryKind = "end"
	// EntryRetry ends an attempt and grants the next one.
	EntryRetry EntryKind = "retry"
	// EntryRegrant grants the next attempt of all tasks of a job that are neither
	// final nor listed in MayBeRunning, after a new owner of the job shard has found that
	// their granted attempts do not run.
	EntryRegrant EntryKind = "regrant"
	// EntryCancel cancels a job at the request of its caller.
	EntryCancel EntryKind = "cancel"
	// EntryForget removes a finished job.
	EntryForget EntryKind = "forget"
)

// Entry is one durable change of a ShardState.
type Entry struct {
	Kind EntryKind `json:"kind"`
	Job  string    `json:"job,omitempty"`
	// Epoch is the epoch of the owner, for EntryOpen.
	Epoch uint64 `json:"epoch,omitempty"`
	// Spec is the specification of an accepted job. A large one is stored in the
	// object store instead, under the name Object.
	Spec     *Spec     `json:"spec,omitempty"`
	Object   string    `json:"object,omitempty"`
	Accepted time.Time `json:"accepted,omitzero"`

	Task    int           `json:"task,omitempty"`
	Attempt uint64        `json:"attempt,omitempty"`
	State   State         `json:"state,omitempty"`
	Reason  string        `json:"reason,omitempty"`
	Worker  string        `json:"worker,omitempty"`
	Result  []byte        `json:"result,omitempty"`
	RunTime time.Duration `json:"ran-ns,omitempty"`
	// MayBeRunning lists the indexes of the tasks whose granted attempt may be running.
	// EntryCancel requests their cancellation and ends all other tasks that are not
	// final. EntryRegrant leaves them alone and grants the next attempt of all
	// others.
	MayBeRunning []int `json:"open,omitempty"`
	// Failure is set if the attempt ran and failed, and not if it was lost, refused
	// or preempted.
	Failure    bool   `json:"failure,omitempty"`
	Checkpoint []byte `json:"checkpoint,omitempty"`
	// CrashEvidence is that of AttemptEnd.
	CrashEvidence int `json:"crash-evidence,omitempty"`
}
