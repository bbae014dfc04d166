// Package ledger records, apart from the scheduler, what really ran where, and
// checks the record against the scheduler's promises.
//
// Each run of an attempt of a task, each run of a request, and each mark of a
// host as leaving is one Entry. An Entry is appended when the run begins and
// completed when it ends; it is never removed. Entries of several processes
// on one machine can be appended to each other before they are checked, since
// their times come from the same clock.
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

// Kind is what an Entry records.
type Kind string

// Kinds of Entry.
const (
	Task    Kind = "task"    // an attempt on a worker
	Request Kind = "request" // a request on a runner
	Leaving Kind = "leaving" // Host was marked as leaving at Begin, until End
)

// Ways in which a run ends.
const (
	Done      = "done"
	Failed    = "failed"
	Stopped   = "stopped"   // by the owner
	Expired   = "expired"   // by the end of the lease
	Lost      = "lost"      // with its host
	Refused   = "refused"   // never ran: no room, or no valid start
	Truncated = "truncated" // a request whose answer could not be sent whole
)

// Entry is one record. End is the zero time while the run goes on.
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
	How            string          `json:"how,omitempty"`
}

// Run names an Entry that has begun.
type Run int

// Ledger is an append-only record. The zero value is empty and ready; it is
// safe for concurrent use.
type Ledger struct {
	mutex   sync.Mutex
	entries []Entry
}

// Begin appends e with the present time as its begin.
func (l *Ledger) Begin(e Entry) Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e.Begin = time.Now().Round(0)
	l.entries = append(l.entries, e)
	return Run(len(l.entries) - 1)
}

// End completes a run. Only the first End of a run counts.
func (l *Ledger) End(r Run, how string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e := &l.entries[r]
	if !e.End.IsZero() {
		return
	}
	e.End = time.Now().Round(0)
	e.How = how
}

// Refuse appends e as work that was received and did not run.
func (l *Ledger) Refuse(e Entry) {
	l.End(l.Begin(e), Refused)
}

// Entries returns a copy of the record in the order of the begins.
func (l *Ledger) Entries() []Entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Entry(nil), l.entries...)
}
