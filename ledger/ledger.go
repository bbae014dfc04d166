// Package ledger records, independently of the scheduler, what actually ran on
// each host, and checks this record against the scheduler's guarantees.
//
// There is one Entry for each run of a task attempt, for each run of a request,
// and for each period in which a host is marked as leaving. An Entry is
// appended when the run begins and completed when it ends; it is never removed.
// Entries of several processes on one machine can be concatenated before they
// are checked, because their timestamps come from the same clock.
//
// Usage:
//
//	var l ledger.Ledger
//	run := l.Begin(ledger.Entry{Kind: ledger.Task, Host: "w-dc1-r1-01", Task: "a/1", Attempt: 1})
//	l.End(run, ledger.Done)
//	for _, v := range ledger.Check(l.Entries()) { ... }
package ledger

import (
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/resource"
)

// Kind is the kind of an Entry.
type Kind string

// Kinds of Entry.
const (
	Task    Kind = "task"    // an attempt on a worker
	Request Kind = "request" // a service request on a runner
	Leaving Kind = "leaving" // Host was marked as leaving from Begin to End
)

// Outcomes of a run, the values of Entry.Outcome.
const (
	Done      = "done"
	Failed    = "failed"
	Stopped   = "stopped"   // by the owner
	Expired   = "expired"   // because the lease expired
	Lost      = "lost"      // because the host was lost
	Refused   = "refused"   // never ran: no free capacity, or an invalid start
	Truncated = "truncated" // a request whose response was not sent completely
)

// Entry is one record. End is the zero time while the run is in progress.
type Entry struct {
	Kind           Kind            `json:"kind"`
	Host           string          `json:"host"`
	Task           string          `json:"task,omitempty"`
	Attempt        uint64          `json:"attempt,omitempty"`
	Request        string          `json:"request,omitempty"`
	IdempotencyKey string          `json:"idempotency-key,omitempty"`
	NonIdempotent  bool            `json:"non-idempotent,omitempty"`
	Demand         resource.Vector `json:"demand"`
	Capacity       resource.Vector `json:"capacity"`        // of a worker
	Slots          int             `json:"slots,omitempty"` // of a runner
	Begin          time.Time       `json:"begin"`
	End            time.Time       `json:"end"`
	Outcome        string          `json:"how,omitempty"`
}

// Run identifies an Entry that Begin has appended.
type Run int

// Ledger is an append-only record. The zero value is an empty Ledger ready to
// use. It is safe for concurrent use.
type Ledger struct {
	mutex   sync.Mutex
	entries []Entry
}

// Begin appends e with the current time as its Begin.
func (l *Ledger) Begin(e Entry) Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e.Begin = time.Now().Round(0)
	l.entries = append(l.entries, e)
	return Run(len(l.entries) - 1)
}

// End completes a run. Further calls for the same run have no effect.
func (l *Ledger) End(r Run, how string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e := &l.entries[r]
	if !e.End.IsZero() {
		return
	}
	e.End = time.Now().Round(0)
	e.Outcome = how
}

// Refuse appends e as work that reached its host but was not run.
func (l *Ledger) Refuse(e Entry) {
	l.End(l.Begin(e), Refused)
}

// Entries returns a copy of the entries in the order in which they were
// appended.
func (l *Ledger) Entries() []Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Entry(nil), l.entries...)
}
