package job

import (
	"time"
)

// EntryKind tells what an Entry records.
type EntryKind string

// Kinds of entry.
const (
	// EntryOpen starts the epoch of a new owner.
	EntryOpen EntryKind = "open"
	// EntryAccept accepts a job and grants attempt 1 of its tasks.
	EntryAccept EntryKind = "accept"
	// EntryIntent records that the attempt of a non-idempotent task is about
	// to be sent.
	EntryIntent EntryKind = "intent"
	// EntryEnd ends a task for good.
	EntryEnd EntryKind = "end"
	// EntryRetry ends an attempt and grants the next one.
	EntryRetry EntryKind = "retry"
	// EntryRegrant grants the next attempt of all open tasks of a job but those
	// in Open, after a new owner has found that their attempts run nowhere.
	EntryRegrant EntryKind = "regrant"
	// EntryCancel records that the caller cancelled a job.
	EntryCancel EntryKind = "cancel"
	// EntryForget drops a finished job from the book.
	EntryForget EntryKind = "forget"
)

// Entry is one durable change of a Book.
type Entry struct {
	Kind EntryKind `json:"kind"`
	Job  string    `json:"job,omitempty"`
	// Epoch of the owner, for EntryOpen.
	Epoch uint64 `json:"epoch,omitempty"`
	// Spec of an accepted job, when it is small; else Object names where it is.
	Spec     *Spec     `json:"spec,omitempty"`
	Object   string    `json:"object,omitempty"`
	Accepted time.Time `json:"accepted,omitzero"`

	Task    int           `json:"task,omitempty"`
	Attempt uint64        `json:"attempt,omitempty"`
	State   State         `json:"state,omitempty"`
	Reason  string        `json:"reason,omitempty"`
	Worker  string        `json:"worker,omitempty"`
	Result  []byte        `json:"result,omitempty"`
	Ran     time.Duration `json:"ran-ns,omitempty"`
	// Open lists the tasks that may be running when their job is cancelled or
	// granted anew; all others end, or get their next attempt, at once.
	Open []int `json:"open,omitempty"`
	// Failure is set when the ended attempt ran and failed, as opposed to
	// having been lost, refused or preempted.
	Failure    bool   `json:"failure,omitempty"`
	Checkpoint []byte `json:"checkpoint,omitempty"`
}
