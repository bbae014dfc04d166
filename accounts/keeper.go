// Package accounts records the resource usage that one process observes and
// stores it in the usage archive.
//
// A Recorder receives every report of each worker whose shard this process owns.
// It derives the spans of an attempt from the running time that the worker
// states, not from the arrival times of its reports. Attempts that begin and
// end between two reports are therefore counted in full, and a later owner
// derives the same spans. A worker may forget an ended attempt only once
// Settled returns it, which means that its usage is in the archive. Usage thus
// survives the loss of any process: the next owner recovers it from the
// worker's inventory, as far back as LookBack.
//
// # Invariants
//
//   - Capacity is counted for at least the time for which work is counted, so
//     that the totals balance without uncovered work.
//   - A record is dropped from memory only after it is stored in the archive.
//   - A worker keeps an ended attempt until its end is in the archive.
//
// A killed process loses the idle capacity, and the attempts lost with their
// worker, that it observed since its last Flush.
//
// Usage:
//
//	rec := &accounts.Recorder{Archive: archive, Log: log}
//	group.Go(func() error { return rec.Run(ctx) })
//	rec.Report(epoch, "w-1", report, now)
//	records := rec.Unstored()
package accounts

import (
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/rack"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/usage"
	"persimmonworks.example/persimmonworks/worker"
)

const (
	// Period is the width of the periods of the archive.
	Period = time.Minute
	// LookBack limits how far before its arrival a report may add usage. It
	// bounds the number of periods that one report affects.
	LookBack = 5 * time.Minute
)

// Recorder records the resource usage that one process observes. Set the exported
// fields before Run. Its methods are safe for concurrent use.
type Recorder struct {
	Archive       *usage.Archive
	Log           event.Emitter
	FlushInterval time.Duration // mean interval between calls of Flush; 0 means 5 s

	mu                sync.Mutex
	book              usage.Book              // spans that are not in a record yet
	pending           []numberedRecord        // records that are not known to be in the archive, oldest first
	lastPart          int                     // part number of the newest record
	generation        uint64                  // number of times that book was turned into records
	storedGenerations uint64                  // number of generations whose records are all in the archive
	workers           map[string]*workerState // by worker identifier
	flushMu           sync.Mutex              // held by Flush
}

// workerState is what this process has observed of one worker under one epoch.
type workerState struct {
	epoch        uint64
	countedUntil time.Time // capacity is counted up to this time
	capacity     resource.Vector
	attempts     map[worker.Ref]*attemptState
}

// attemptState tracks which part of an attempt has been counted.
type attemptState struct {
	attempt       usage.Attempt
	startedAt     time.Time // when the attempt began, by the clock of this process
	countedFrom   time.Time // start of the counted time
	countedUntil  time.Time // end of the counted time
	demand        resource.Vector
	usageReported bool   // a report has stated its usage
	endRecorded   bool   // its end is in the book or in a record
	endGeneration uint64 // generation of the book that holds its end
}

// Report records a worker's report, received under the given epoch of its
// shard.
func (rec *Recorder) Report(epoch uint64, id string, r worker.Report, now time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	w := rec.worker(epoch, id, now)
	w.capacity = r.Capacity
	from := w.countedUntil
	listed := make(map[worker.Ref]bool, len(r.Attempts))
	for _, a := range r.Attempts {
		if a.Ran <= 0 {
			continue // the attempt never ran
		}
		listed[a.Ref] = true
		s := w.attempt(a, now)
		if s.countedFrom.Before(from) && s.countedUntil.Equal(s.countedFrom) {
			from = s.countedFrom
		}
		rec.recordRun(epoch, s, a)
	}
	rec.book.AddCapacity(id, epoch, from, now, w.capacity)
	w.countedUntil = now
	for ref := range w.attempts {
		if !listed[ref] {
			delete(w.attempts, ref)
		}
	}
}

func (rec *Recorder) worker(epoch uint64, id string, now time.Time) *workerState {
	if rec.workers == nil {
		rec.workers = make(map[string]*workerState)
	}
	w := rec.workers[id]
	if w == nil || w.epoch != epoch {
		w = &workerState{epoch: epoch, countedUntil: now, attempts: make(map[worker.Ref]*attemptState)}
		rec.workers[id] = w
	}
	if oldest := now.Add(-LookBack); w.countedUntil.Before(oldest) {
		w.countedUntil = oldest
	}
	return w
}

func (w *workerState) attempt(a worker.Attempt, now time.Time) *attemptState {
	s := w.attempts[a.Ref]
	if s == nil {
		s = &attemptState{startedAt: now.Add(-max(a.Age, a.Ran)), demand: a.Demand, attempt: usage.Attempt{
			Task: a.Task, Number: a.Ref.Attempt, Organisation: a.Organisation, Class: class.Class(a.Class),
		}}
		s.countedFrom = s.startedAt
		if oldest := now.Add(-LookBack); s.countedFrom.Before(oldest) {
			s.countedFrom = oldest
		}
		s.countedUntil = s.countedFrom
		w.attempts[a.Ref] = s
	}
	return s
}

// recordRun counts the time that a report adds to an attempt. The first report
// of usage also applies to all counted time before it, for which usage was
// unknown.
func (rec *Recorder) recordRun(epoch uint64, s *attemptState, a worker.Attempt) {
	if s.endRecorded && (s.usageReported || a.Used.IsZero()) {
		return // already counted by an earlier report
	}
	end := s.startedAt.Add(a.Ran)
	from := s.countedUntil
	var used *resource.Vector
	if !a.Used.IsZero() {
		used = &a.Used
		if !s.usageReported {
			s.usageReported, from = true, s.countedFrom
		}
	}
	outcome := attemptEnd(a)
	if outcome != "" && !end.After(from) {
		from = end.Add(-time.Millisecond) // the book stores the end of an attempt only along with a span
	}
	rec.book.AddUsage(s.attempt, epoch, from, end, s.demand, used)
	if end.After(s.countedUntil) {
		s.countedUntil = end
	}
	if outcome != "" {
		rec.book.SetEnd(s.attempt, outcome)
		s.endRecorded, s.endGeneration = true, rec.generation
	}
}

// Settled returns the attempts among refs that the worker may forget.
func (rec *Recorder) Settled(id string, refs []worker.Ref) []worker.Ref {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	w := rec.workers[id]
	if w == nil {
		return nil // the worker has not reported to this process yet
	}
	var settled []worker.Ref
	for _, ref := range refs {
		if s := w.attempts[ref]; s == nil || s.endRecorded && s.endGeneration < rec.storedGenerations {
			settled = append(settled, ref)
		}
	}
	return settled
}

// attemptEnd returns how an attempt ended, or the empty string while it runs.
// The usage of a stopped attempt that left a checkpoint is not waste.
func attemptEnd(a worker.Attempt) usage.End {
	switch a.State {
	case worker.Done:
		return usage.EndDone
	case worker.Failed:
		return usage.EndFailed
	case worker.Stopped:
		if len(a.Checkpoint) > 0 {
			return usage.EndDone
		}
		return usage.EndPreempted
	}
	return ""
}

// RecordLost counts an attempt whose worker is gone up to now, as time without a
// usage report.
func (rec *Recorder) RecordLost(epoch uint64, a *rack.Attempt, now time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	w := rec.workers[a.Worker]
	if w == nil || w.epoch != epoch || w.attempts[a.Ref] == nil {
		return // this process never saw the attempt running
	}
	s := w.attempts[a.Ref]
	delete(w.attempts, a.Ref)
	rec.book.AddUsage(s.attempt, epoch, s.countedUntil, now, s.demand, nil)
	rec.book.SetEnd(s.attempt, usage.EndLost)
	rec.book.AddCapacity(a.Worker, epoch, w.countedUntil, now, w.capacity)
	w.countedUntil = now
}
