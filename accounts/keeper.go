// Package accounts keeps the accounts of one process and brings them into the
// archive.
//
// A Keeper is told of every report of a worker whose shard this process owns.
// The spans of an attempt come from how long the worker says that it ran, not
// from when its reports arrived, so that attempts between two reports are
// counted in full and a later owner finds the same spans again. A worker may
// forget an attempt that has ended only when Settled says that its account is
// in the archive, so that the accounts survive the loss of any process: the
// next owner recovers them from the inventory, as far back as LookBack.
//
// # Invariants
//
//   - Capacity is counted for at least the time in which work is counted, so
//     that the sums close without uncovered work.
//   - A record is dropped from memory only after the archive has it.
//   - An attempt whose end is not in the archive stays with its worker.
//
// What a killed process had seen since its last Close of idle capacity, and of
// attempts lost with their worker, is gone with it.
//
// Usage:
//
//	k := &accounts.Keeper{Archive: archive, Log: log}
//	group.Go(func() error { return k.Run(ctx) })
//	k.Report(epoch, "w-1", report, now)
//	records := k.Live()
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
	// LookBack is how much time before a report the report may account for.
	// It bounds the number of periods that one report touches.
	LookBack = 5 * time.Minute
)

// Keeper keeps the accounts of one process. Set the exported fields before
// Run. Its methods may be called from any goroutine.
type Keeper struct {
	Archive *usage.Archive
	Log     event.Emitter
	Every   time.Duration // between closes; 0 is 5 s

	mu      sync.Mutex
	book    usage.Book     // what no record holds yet
	waiting []numbered     // records that the archive does not have yet
	part    int            // of the last record
	round   uint64         // of the book: the number of freezes before it
	stored  uint64         // rounds that the archive has
	workers map[string]*on // by identifier
	closing sync.Mutex     // held by Close
}

// on is what is known of one worker under one epoch.
type on struct {
	epoch    uint64
	until    time.Time // capacity is counted up to here
	capacity resource.Vector
	attempts map[worker.Ref]*span
}

// span is what has been counted of an attempt.
type span struct {
	attempt usage.Attempt
	origin  time.Time // when it began, by the clock of this process
	begin   time.Time // first time that is counted
	until   time.Time // last time that is counted
	demand  resource.Vector
	used    bool   // a report of its use has come
	ended   bool   // and its end is in the book or a record
	round   uint64 // of the book that holds its end
}

// Report takes in the report of a worker under the epoch of its shard.
func (k *Keeper) Report(epoch uint64, id string, r worker.Report, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.worker(epoch, id, now)
	w.capacity = r.Capacity
	from := w.until
	listed := make(map[worker.Ref]bool, len(r.Attempts))
	for _, a := range r.Attempts {
		if a.Ran <= 0 {
			continue // never ran
		}
		listed[a.Ref] = true
		s := w.span(a, now)
		if s.begin.Before(from) && s.until.Equal(s.begin) {
			from = s.begin
		}
		k.run(epoch, s, a)
	}
	k.book.Offer(id, epoch, from, now, w.capacity)
	w.until = now
	for ref := range w.attempts {
		if !listed[ref] {
			delete(w.attempts, ref)
		}
	}
}

func (k *Keeper) worker(epoch uint64, id string, now time.Time) *on {
	if k.workers == nil {
		k.workers = make(map[string]*on)
	}
	w := k.workers[id]
	if w == nil || w.epoch != epoch {
		w = &on{epoch: epoch, until: now, attempts: make(map[worker.Ref]*span)}
		k.workers[id] = w
	}
	if oldest := now.Add(-LookBack); w.until.Before(oldest) {
		w.until = oldest
	}
	return w
}

func (w *on) span(a worker.Attempt, now time.Time) *span {
	s := w.attempts[a.Ref]
	if s == nil {
		s = &span{origin: now.Add(-max(a.Age, a.Ran)), demand: a.Demand, attempt: usage.Attempt{
			Task: a.Task, Number: a.Ref.Attempt, Organisation: a.Organisation, Class: class.Class(a.Class),
		}}
		s.begin = s.origin
		if oldest := now.Add(-LookBack); s.begin.Before(oldest) {
			s.begin = oldest
		}
		s.until = s.begin
		w.attempts[a.Ref] = s
	}
	return s
}

// run counts what a report adds to an attempt. The first report of use covers
// all of the time before, which was unknown until then.
func (k *Keeper) run(epoch uint64, s *span, a worker.Attempt) {
	if s.ended && (s.used || a.Used.IsZero()) {
		return // reported before
	}
	end := s.origin.Add(a.Ran)
	from := s.until
	var used *resource.Vector
	if !a.Used.IsZero() {
		used = &a.Used
		if !s.used {
			s.used, from = true, s.begin
		}
	}
	how := endOf(a)
	if how != "" && !end.After(from) {
		from = end.Add(-time.Millisecond) // a record keeps the end of an attempt with a span only
	}
	k.book.Run(s.attempt, epoch, from, end, s.demand, used)
	if end.After(s.until) {
		s.until = end
	}
	if how != "" {
		k.book.End(s.attempt, how)
		s.ended, s.round = true, k.round
	}
}

// Settled returns those of the attempts of a worker that it may forget.
func (k *Keeper) Settled(id string, refs []worker.Ref) []worker.Ref {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.workers[id]
	if w == nil {
		return nil // its report comes first
	}
	var settled []worker.Ref
	for _, ref := range refs {
		if s := w.attempts[ref]; s == nil || s.ended && s.round < k.stored {
			settled = append(settled, ref)
		}
	}
	return settled
}

// endOf returns how an attempt ended, empty while it runs. The use of one that
// left a checkpoint is not lost.
func endOf(a worker.Attempt) usage.End {
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

// Lost counts an attempt whose worker is gone up to now, as time without a
// report.
func (k *Keeper) Lost(epoch uint64, a *rack.Attempt, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.workers[a.Worker]
	if w == nil || w.epoch != epoch || w.attempts[a.Ref] == nil {
		return // never reported as running here
	}
	s := w.attempts[a.Ref]
	delete(w.attempts, a.Ref)
	k.book.Run(s.attempt, epoch, s.until, now, s.demand, nil)
	k.book.End(s.attempt, usage.EndLost)
	k.book.Offer(a.Worker, epoch, w.until, now, w.capacity)
	w.until = now
}
