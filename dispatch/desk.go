// Package dispatch schedules the jobs of the job shards that this process owns:
// it accepts jobs, assigns their tasks to racks and records how attempts end.
//
// A Dispatcher holds the state of these job shards. The state is accessed on the
// control loop only. Table operations and calls to rack owners run in separate
// goroutines, which post their results to the loop.
//
// # Invariants
//
//   - A job is accepted only once its journal entry is durable.
//   - An attempt is sent to a single rack, under a single epoch of that rack. The
//     task is sent to another rack only after the first one has refused the
//     attempt, or after the attempt is missing from the complete inventory of the
//     first one and the grant of the next attempt is durable.
//   - When a rack gets a new owner, that owner is asked for the inventory of the
//     rack, because messages to the previous owner may have been lost.
//   - No message is sent under an epoch of a job shard after the session that
//     holds the shard has expired.
//   - The end of an attempt is acknowledged to the rack only once its journal
//     entry is durable.
//
// Usage:
//
//	d := &dispatch.Dispatcher{Loop: loop, Table: t, Objects: o, DataCentre: "dc1", ...}
//	group.Go(func() error { return d.Run(ctx) })
//	loop.Post(func() { d.AddShard("jobs-1", epoch) })
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
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/queue"
	"persimmonworks.example/persimmonworks/wire"
	"persimmonworks.example/persimmonworks/worker"
)

// RackOwner is the process that owns a rack shard.
type RackOwner struct {
	Process string
	Epoch   uint64 // of the rack shard
}

// RackClient locates the owners of racks and sends messages to them.
type RackClient interface {
	// Owners returns the owner of every rack shard of the data centre. Racks
	// without a live owner map to the zero Owner.
	Owners() map[string]RackOwner
	// Sync sends s to a process, which may be this one, and returns its report.
	// The error wraps relay.ErrNotSent if the message cannot have arrived. Sync
	// may block; it is not called on the control loop.
	Sync(ctx context.Context, process string, s *wire.TaskSync) (*wire.TaskReport, *wire.Refusal, error)
}

// Intervals, timeouts and batch sizes.
const (
	tickInterval         = 50 * time.Millisecond
	idleSyncInterval     = 250 * time.Millisecond // between syncs with a rack owner when there is nothing to send
	activeSyncInterval   = 50 * time.Millisecond  // the same while attempts start or end on its racks
	activePeriod         = 2 * time.Second        // time after the last start or end in which activeSyncInterval applies
	commitInterval       = 100 * time.Millisecond // minimum between two commits of a job shard
	retryDelay           = time.Second            // after a failed commit or sync
	syncTimeout          = 3 * time.Second
	commitTimeout        = 5 * time.Second
	maxPlacementsPerTick = 500
	compactionThreshold  = 400                    // journal rows that trigger a snapshot
	preemptInterval      = 250 * time.Millisecond // between placements that may preempt batch work
	minFailureBackoff    = 500 * time.Millisecond
	maxFailureBackoff    = 30 * time.Second
)

// Dispatcher schedules the job shards that this process owns. Exported fields must be
// set before Run is called.
type Dispatcher struct {
	Loop       *control.Loop
	Table      provider.Table
	Objects    provider.Objects
	Process    string
	DataCentre string
	Racks      RackClient
	// Valid reports whether the session of this process, and with it the ownership
	// of its shards, is valid at the given time.
	Valid func(now time.Time) bool
	Queue *queue.Queue
	// Directory holds the free capacity that each rack advertises.
	Directory *directory.Directory
	Log       event.Emitter
	Rand      *rand.Rand
	// OnAttemptEnded, if not nil, is called on the loop when an attempt has ended.
	OnAttemptEnded func(j *job.Job, t *job.Task, w *wire.Attempt)
	// LongTaskThreshold is the expected run time above which a task counts as long. Long
	// tasks may not use the capacity that racks reserve for short ones. Zero
	// disables the distinction.
	LongTaskThreshold time.Duration
	// OnTaskPlaced, if not nil, is called on the loop when a task is assigned to a rack,
	// with the time that the task spent in the queue.
	OnTaskPlaced func(c class.Class, waited time.Duration)
	// CommitRate, if not nil, returns the limit on the commits per second of all
	// job shards of this process together. Commits that a caller or the start of
	// a task waits for count against the limit but are not delayed by it.
	CommitRate func() float64
	// Retention is how long finished jobs are kept in memory before they move to
	// the Archive.
	Retention time.Duration
	Archive   *archive.Store[ArchivedJob]

	shards        map[string]*shard
	group         *errgroup.Group
	ctx           context.Context
	delayedTasks  []delayedTask
	commitLimiter rateLimiter
	// estimates are learned from the run times of tasks that ended in this process.
	estimates   estimate.Estimator
	nextPreempt time.Time
	closed      bool // no job is accepted and no task is placed any more
	stopped     bool // Run is returning; spawn does nothing any more
}

// Run schedules jobs until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) error {
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := d.Loop.Do(ctx, func() {
			d.group, d.ctx = group, inner
			for _, s := range d.shards {
				d.spawn(func() { d.openJournal(s) })
			}
		})
		if err != nil {
			return nil // ctx was done before the loop ran the function
		}
		err = d.Loop.Every(ctx, tickInterval, func() { d.tick(time.Now()) })
		// Stop spawn from adding goroutines: once this one returns, the group may be
		// empty and Wait may have returned.
		_ = d.Loop.Do(context.WithoutCancel(ctx), func() { d.stopped = true }) // fails only if the loop has ended as well
		return err
	})
	return group.Wait()
}

// AddShard adds a job shard that this process has come to own, under the given
// epoch. It must be called on the loop.
func (d *Dispatcher) AddShard(name string, epoch uint64) {
	if d.shards == nil {
		d.shards = map[string]*shard{}
	}
	d.RemoveShard(name)
	s := &shard{
		name: name, epoch: epoch, inventoried: map[string]bool{}, unresolved: map[string]bool{}, pendingEnds: map[worker.Ref]bool{},
		links: map[string]*ownerLink{}, inventoryOwners: map[string]RackOwner{}, sent: map[worker.Ref]*sentAttempt{}, finishedAt: map[string]time.Time{}, pendingCancels: map[string]int{},
		store: &joblog.Store{
			Table: d.Table, Objects: d.Objects, DataCentre: d.DataCentre, Shard: name, Epoch: epoch,
			Writer: fmt.Sprintf("%s-%d", d.Process, epoch),
		},
	}
	d.shards[name] = s
	if d.group != nil { // otherwise Run opens the journal
		d.spawn(func() { d.openJournal(s) })
	}
}

// RemoveShard removes a job shard that this process does not own any more. Callers that
// wait for a commit get an unknown outcome. It must be called on the loop.
func (d *Dispatcher) RemoveShard(name string) {
	s, ok := d.shards[name]
	if !ok {
		return
	}
	delete(d.shards, name)
	for _, p := range append(s.inFlight, s.pending...) {
		sendReply(p, Outcome{Refusal: newRefusal(wire.Outcome_OUTCOME_UNKNOWN, "the job shard is changing its owner; ask again with the same idempotency key", retryDelay)})
	}
	if s.state == nil {
		return
	}
	for _, j := range s.state.Jobs() {
		d.Queue.CancelGroup(j.ID)
	}
	for _, sent := range s.sent {
		d.releaseAttempt(sent, time.Now())
	}
}

// spawn runs f in a goroutine of the group.
func (d *Dispatcher) spawn(f func()) {
	if d.stopped {
		return
	}
	d.group.Go(func() error {
		f()
		return nil
	})
}

// isCurrent reports whether s is still owned under the same epoch.
func (d *Dispatcher) isCurrent(s *shard) bool { return d.shards[s.name] == s }

// openJournal reads the journal of a job shard. It retries until that succeeds
// or the shard is lost.
func (d *Dispatcher) openJournal(s *shard) {
	for d.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(d.ctx, 10*commitTimeout)
		state, err := s.store.Open(ctx)
		cancel()
		if err == nil {
			d.Loop.Post(func() { d.installState(s, state) })
			return
		}
		d.Log.Emit(event.JournalFailed, "shard", s.name, "epoch", s.epoch, "error", err)
		lost := false
		if d.Loop.Do(d.ctx, func() { lost = !d.isCurrent(s) }) != nil || lost {
			return
		}
		pause.For(d.ctx, retryDelay)
	}
}

// installState installs the state that was rebuilt from the journal. An earlier
// owner may have sent the granted attempt of any open task, so no such task is
// queued until all racks have reported their inventories.
func (d *Dispatcher) installState(s *shard, state *job.ShardState) {
	if !d.isCurrent(s) {
		return
	}
	s.state = state
	now := time.Now()
	for _, j := range state.Jobs() {
		if j.OpenTasks() == 0 {
			s.finishedAt[j.ID] = now
		}
		for _, t := range j.Tasks() {
			if !t.State.Final() {
				s.unresolved[job.TaskID(j.ID, t.Index)] = true
			}
		}
	}
	d.Log.Emit(event.JobRebuilt, "shard", s.name, "epoch", s.epoch, "jobs", state.Len(), "open-tasks", len(s.unresolved))
	d.resolveTasks(s)
}

// tick runs the periodic work. It is called on the loop.
func (d *Dispatcher) tick(now time.Time) {
	if !d.Valid(now) {
		return
	}
	if !d.closed {
		d.requeueDelayed(now)
		d.expireTasks(now)
		d.placeWaiting(now)
		d.preemptForUrgent(now)
	}
	for _, s := range d.shards {
		if s.state == nil {
			continue
		}
		d.commitIfDue(s, now)
		d.syncIfDue(s, now)
		d.archiveFinished(s, now)
	}
}

// placeAndSync assigns the capacity that ended attempts have freed, and sends the
// placements, without waiting for the next tick.
func (d *Dispatcher) placeAndSync(now time.Time) {
	if !d.Valid(now) || d.closed {
		return
	}
	d.placeWaiting(now)
	for _, s := range d.shards {
		if s.state != nil {
			d.syncIfDue(s, now)
		}
	}
}

// requeueDelayed queues the tasks whose backoff has passed.
func (d *Dispatcher) requeueDelayed(now time.Time) {
	kept := d.delayedTasks[:0]
	for _, delayed := range d.delayedTasks {
		if now.Before(delayed.readyAt) {
			kept = append(kept, delayed)
			continue
		}
		if s, t := d.findTask(delayed.item.ID); s != nil && t.State == job.Waiting {
			d.Queue.Push(delayed.item)
		}
	}
	d.delayedTasks = kept
}

// findTask returns the task with the given identifier and its shard, or nil if
// the task is unknown.
func (d *Dispatcher) findTask(task string) (*shard, *job.Task) {
	id, index, err := job.SplitTaskID(task)
	if err != nil {
		return nil, nil
	}
	_, name, err := job.SplitID(id)
	if err != nil {
		return nil, nil
	}
	s, ok := d.shards[name]
	if !ok || s.state == nil {
		return nil, nil
	}
	j, ok := s.state.Job(id)
	if !ok || index >= len(j.Tasks()) {
		return nil, nil
	}
	return s, &j.Tasks()[index]
}

// expireTasks records the end of waiting tasks whose deadline has passed.
func (d *Dispatcher) expireTasks(now time.Time) {
	for _, item := range d.Queue.Expired(now) {
		s, t := d.findTask(item.ID)
		if s == nil || t.State != job.Waiting {
			continue
		}
		e, ok := s.state.EndEntry(item.ID, t.Attempt, job.AttemptEnd{Outcome: job.Expired, Reason: "not run: its deadline passed while it waited"})
		if ok {
			s.pending = append(s.pending, pendingEntry{entry: e})
		}
	}
}

// Close stops accepting jobs and placing tasks, and waits until all pending
// entries are durable or ctx is done.
func (d *Dispatcher) Close(ctx context.Context) {
	for {
		pending := 0
		err := d.Loop.Do(ctx, func() {
			d.closed = true
			for _, s := range d.shards {
				pending += len(s.pending) + len(s.inFlight)
			}
		})
		if err != nil || pending == 0 || ctx.Err() != nil {
			return
		}
		pause.For(ctx, tickInterval)
	}
}
