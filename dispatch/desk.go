// Package dispatch is the job owner's engine: it takes jobs in, decides which
// task goes to which rack, and records how attempts end.
//
// A Desk holds the job shards that this process owns. Its state belongs to the
// control loop; table calls and calls to the owners of racks run in goroutines
// of the desk's group and hand their results back to the loop.
//
// # Invariants
//
//   - A job is accepted when its journal entry is durable, not before.
//   - An attempt is sent to one rack only, for one epoch of it. It is given to
//     another one only after the first has refused it, or its complete inventory
//     lacks it and the next attempt has been granted durably.
//   - A rack that has a new owner is asked for its inventory, since what was
//     under way to the old one may have got lost.
//   - Nothing is sent under an epoch of a job shard after the session's
//     deadline has passed.
//   - A finished attempt is acknowledged to its rack after its entry is durable.
//
// Usage:
//
//	d := &dispatch.Desk{Loop: loop, Table: t, Objects: o, DataCentre: "dc1", ...}
//	group.Go(func() error { return d.Run(ctx) })
//	loop.Post(func() { d.Take("jobs-1", epoch) })
//	outcome := d.Submit(ctx, "jobs-1", spec)
package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonworks.example/persimmonworks/joblog"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/archive"
	"persimmonworks.example/persimmonworks/class"
	"persimmonworks.example/persimmonworks/control"
	"persimmonworks.example/persimmonworks/directory"
	"persimmonworks.example/persimmonworks/estimate"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/job"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/queue"
	"persimmonworks.example/persimmonworks/wire"
	"persimmonworks.example/persimmonworks/worker"
)

// Owner is a process that acts for a rack shard.
type Owner struct {
	Process string
	Epoch   uint64 // of the rack shard
}

// Racks tells which process owns which rack, and carries messages to it.
type Racks interface {
	// Owners returns the owner of every rack shard of the data centre; racks
	// without a live owner map to the zero Owner.
	Owners() map[string]Owner
	// Sync sends s to a process, which may be this one. Errors wrap
	// relay.ErrNotSent when nothing can have arrived. It is called on
	// traffic goroutines.
	Sync(ctx context.Context, process string, s *wire.TaskSync) (*wire.TaskReport, *wire.Refusal, error)
}

// Pace of the desk.
const (
	tickInterval     = 50 * time.Millisecond
	pollInterval     = 250 * time.Millisecond // between quiet syncs with the owner of a rack
	livelyInterval   = 50 * time.Millisecond  // the same while attempts start or end there
	livelyTime       = 2 * time.Second        // after the last start or end
	commitInterval   = 100 * time.Millisecond // between commits of a job shard
	retryPause       = time.Second            // after a failed commit or sync
	syncTimeout      = 3 * time.Second
	commitTimeout    = 5 * time.Second
	placementsInTick = 500
	compactRows      = 400                    // journal rows after which a snapshot is made
	preemptPause     = 250 * time.Millisecond // between requests to make room
	failurePause     = 500 * time.Millisecond
	maxFailurePause  = 30 * time.Second
)

// Desk is the job owner's engine. Exported fields are set before Run.
type Desk struct {
	Loop       *control.Loop
	Table      provider.Table
	Objects    provider.Objects
	Process    string
	DataCentre string
	Racks      Racks
	// Valid reports whether this process may act for its shards now.
	Valid func(now time.Time) bool
	Queue *queue.Queue
	// Directory lists the racks with what they advertise as free.
	Directory *directory.Directory
	Log       event.Emitter
	Rand      *rand.Rand
	// Ended, when set, is told on the loop of every attempt that has ended.
	Ended func(j *job.Job, t *job.Task, w *wire.Attempt)
	// LongTime is the expected run time above which work is long, and may not
	// take what racks keep for short work; 0 for no such limit.
	LongTime time.Duration
	// Placed, when set, is told on the loop of every task that got a rack and
	// how long it waited in the queue.
	Placed func(c class.Class, waited time.Duration)
	// CommitRate, when set, bounds the commits of all job shards of this process
	// in commits a second; those that a caller or a start waits for go first.
	CommitRate func() float64
	// Retention is how long finished jobs stay in the book. After that they are
	// in the Archive.
	Retention time.Duration
	Archive   *archive.Store[Ended]

	shards map[string]*shard
	group  *errgroup.Group
	ctx    context.Context
	delays []delayed
	pace   commitPace
	// estimates are learned from the tasks that this process has seen end.
	estimates   estimate.Estimator
	nextPreempt time.Time
	closed      bool // nothing is accepted or placed any more
	ended       bool // Run is about to return
}

// Run dispatches until ctx ends.
func (d *Desk) Run(ctx context.Context) error {
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := d.Loop.Do(ctx, func() {
			d.group, d.ctx = group, inner
			for _, s := range d.shards {
				d.spawn(func() { d.open(s) })
			}
		})
		if err != nil {
			return nil // ended before it began
		}
		err = d.Loop.Every(ctx, tickInterval, func() { d.tick(time.Now()) })
		// Nothing may join the group once it can be empty.
		_ = d.Loop.Do(context.WithoutCancel(ctx), func() { d.ended = true }) // fails when the loop has ended as well
		return err
	})
	return group.Wait()
}

// Take starts to act for a job shard; called on the loop.
func (d *Desk) Take(name string, epoch uint64) {
	if d.shards == nil {
		d.shards = map[string]*shard{}
	}
	d.Drop(name)
	s := &shard{
		name: name, epoch: epoch, covered: map[string]bool{}, unresolved: map[string]bool{}, ending: map[worker.Ref]bool{},
		links: map[string]*link{}, owners: map[string]Owner{}, sent: map[worker.Ref]*sending{}, finished: map[string]time.Time{}, cancelling: map[string]int{},
		store: &joblog.Store{
			Table: d.Table, Objects: d.Objects, DataCentre: d.DataCentre, Shard: name, Epoch: epoch,
			Writer: fmt.Sprintf("%s-%d", d.Process, epoch),
		},
	}
	d.shards[name] = s
	if d.group != nil { // else Run opens it
		d.spawn(func() { d.open(s) })
	}
}

// Drop stops acting for a job shard, which has or will have another owner;
// called on the loop. Submissions that wait for a write are answered with
// unknown.
func (d *Desk) Drop(name string) {
	s, ok := d.shards[name]
	if !ok {
		return
	}
	delete(d.shards, name)
	for _, p := range append(s.frozen, s.pending...) {
		answer(p, Outcome{Refusal: refusal(wire.Outcome_OUTCOME_UNKNOWN, "the job shard is changing its owner; ask again with the same idempotency key", retryPause)})
	}
	if s.book == nil {
		return
	}
	for _, j := range s.book.Jobs() {
		d.Queue.CancelGroup(j.ID)
	}
	for _, x := range s.sent {
		d.left(x, time.Now())
	}
}

func (d *Desk) spawn(f func()) {
	if d.ended {
		return
	}
	d.group.Go(func() error {
		f()
		return nil
	})
}

// current reports whether s is still the shard that this process acts for.
func (d *Desk) current(s *shard) bool { return d.shards[s.name] == s }

// open reads the journal of a job shard until it succeeds or the shard is lost.
func (d *Desk) open(s *shard) {
	for d.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(d.ctx, 10*commitTimeout)
		book, err := s.store.Open(ctx)
		cancel()
		if err == nil {
			d.Loop.Post(func() { d.opened(s, book) })
			return
		}
		d.Log.Emit(event.JournalFailed, "shard", s.name, "epoch", s.epoch, "error", err)
		lost := false
		if d.Loop.Do(d.ctx, func() { lost = !d.current(s) }) != nil || lost {
			return
		}
		pause(d.ctx, retryPause)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// opened installs the book. Attempts that an earlier owner may have sent are
// not queued before every rack has shown its inventory.
func (d *Desk) opened(s *shard, book *job.Book) {
	if !d.current(s) {
		return
	}
	s.book = book
	now := time.Now()
	for _, j := range book.Jobs() {
		if j.Open() == 0 {
			s.finished[j.ID] = now
		}
		for _, t := range j.Tasks() {
			if !t.State.Final() {
				s.unresolved[job.TaskID(j.ID, t.Index)] = true
			}
		}
	}
	d.Log.Emit(event.JobRebuilt, "shard", s.name, "epoch", s.epoch, "jobs", book.Len(), "open-tasks", len(s.unresolved))
	d.resolve(s)
}

// tick does what is due; it runs on the loop.
func (d *Desk) tick(now time.Time) {
	if !d.Valid(now) {
		return
	}
	if !d.closed {
		d.requeue(now)
		d.expire(now)
		d.place(now)
		d.preempt(now)
	}
	for _, s := range d.shards {
		if s.book == nil {
			continue
		}
		d.commitDue(s, now)
		d.syncDue(s, now)
		d.forget(s, now)
	}
}

// refill gives out the room of attempts that ended without waiting for the
// next tick.
func (d *Desk) refill(now time.Time) {
	if !d.Valid(now) || d.closed {
		return
	}
	d.place(now)
	for _, s := range d.shards {
		if s.book != nil {
			d.syncDue(s, now)
		}
	}
}

func (d *Desk) requeue(now time.Time) {
	kept := d.delays[:0]
	for _, x := range d.delays {
		if now.Before(x.at) {
			kept = append(kept, x)
			continue
		}
		if s, t := d.find(x.item.ID); s != nil && t.State == job.Waiting {
			d.Queue.Push(x.item)
		}
	}
	d.delays = kept
}

// find returns the shard and the task of a task's identifier, nil if unknown.
func (d *Desk) find(task string) (*shard, *job.Task) {
	id, index, err := job.SplitTaskID(task)
	if err != nil {
		return nil, nil
	}
	_, name, err := job.SplitID(id)
	if err != nil {
		return nil, nil
	}
	s, ok := d.shards[name]
	if !ok || s.book == nil {
		return nil, nil
	}
	j, ok := s.book.Job(id)
	if !ok || index >= len(j.Tasks()) {
		return nil, nil
	}
	return s, &j.Tasks()[index]
}

func (d *Desk) expire(now time.Time) {
	for _, i := range d.Queue.Expired(now) {
		s, t := d.find(i.ID)
		if s == nil || t.State != job.Waiting {
			continue
		}
		e, ok := s.book.Ended(i.ID, t.Attempt, job.End{Outcome: job.Expired, Reason: "not run: its deadline passed while it waited"})
		if ok {
			s.pending = append(s.pending, pendingEntry{entry: e})
		}
	}
}

// Close stops accepting and placing, and waits until everything that has
// happened is durable or ctx ends.
func (d *Desk) Close(ctx context.Context) {
	for {
		pending := 0
		err := d.Loop.Do(ctx, func() {
			d.closed = true
			for _, s := range d.shards {
				pending += len(s.pending) + len(s.frozen)
			}
		})
		if err != nil || pending == 0 || ctx.Err() != nil {
			return
		}
		pause(ctx, tickInterval)
	}
}
