// Package cell schedules the jobs of one docket on one group of workers.
//
// A Cell runs in the process that owns the docket. It accepts jobs, requests
// advice, places tasks, sends starts and stops to workers and stores the results.
// All its state is confined to one control loop. It ends when another process
// takes over the docket or when its context is cancelled; the next owner rebuilds
// its state from the docket and from the task lists of the workers.
//
// Invariants:
//
//   - a start is durable before it is sent to the worker, and an end is durable
//     before it is acknowledged to the worker;
//   - a worker gets starts only after it has answered a hold of the current epoch,
//     so that it no longer accepts starts of an earlier epoch;
//   - a run that may be running occupies resources on its worker, and its task is
//     started nowhere else, until the worker reports its end, has rejected it for
//     good, or has certainly passed the end of its lease.
//
// Usage:
//
//	c := &cell.Cell{Docket: d, Writer: w, Orders: o, Advice: a, Fleet: f, Log: l}
//	c.Prepare()
//	group.Go(func() error { return c.Run(ctx) })
//	err := c.Submit(ctx, job)
package cell

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/control"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/organisation"
	"persimmonworks.example/persimmonworks/quarantine"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	minPassInterval = 4 * time.Millisecond // between two placement passes
	// A pass of duration d is followed by the next one no sooner than
	// passPeriodFactor*d after its start, so passes take at most a quarter of the
	// control loop's time.
	passPeriodFactor = 4
	tickInterval     = 50 * time.Millisecond
)

// Limits holds the timing parameters of a deployment.
type Limits struct {
	Lease               time.Duration // how long a worker keeps running tasks without hearing from the owner
	MaxLease            time.Duration // the longest lease that a worker accepts
	GangTimeout         time.Duration // how long members of a gang wait for the others
	StopTime            time.Duration // how long a worker takes to stop a run
	RestoreTime         time.Duration // how long a run takes to resume from a checkpoint
	Retention           time.Duration // how long ended jobs are kept
	MinCommitInterval   time.Duration // minimum time between two commits
	MaxLeaseAfterCommit time.Duration // leases are not extended past this time after the last commit
	DocketBytes         int64         // memory that the docket may take, see docket.Docket.Bytes; 0 for any
}

// Cell schedules the jobs of one docket. Set the exported fields, call Prepare,
// then Run. All methods may be called from any goroutine while it runs.
type Cell struct {
	Docket *docket.Docket
	Writer *changelog.Writer
	Orders WorkerClient
	Advice *advice.Balancer
	Fleet  Fleet
	Log    event.Emitter
	Meter  Meter
	Limits Limits
	// Organisations may be nil; then no job belongs to one.
	Organisations Organisations
	// OtherDockets, if set, gives access to the other dockets, which can take over jobs
	// that wait here.
	OtherDockets OtherDockets
	// OtherOwners, if set, tells what the organisations have and want in the other dockets.
	OtherOwners OtherOwners
	// OnStoreStalled, if set, is called periodically while the store does not answer. It
	// must not block.
	OnStoreStalled func()

	loop            *control.Loop
	group           *errgroup.Group
	ctx             context.Context
	startedAt       time.Time
	commits         commitLog
	workers         map[string]*worker // by name
	byName          []*worker          // the same in the order of names
	runs            map[docket.TaskID]*run
	readySteps      map[docket.StepID]*readyStep
	quarantine      quarantine.Tracker
	isolation       isolation
	dirty           bool
	nextPassAt      time.Time
	passScheduled   bool // a placement pass is due
	lengths         lengths
	startTimes      map[string]time.Time // when open jobs were accepted
	timedJobs       []timedJob           // jobs with occurrences that are not open yet
	lastEndedJob    string               // the job whose end was logged last
	stallReportedAt time.Time            // when OnStoreStalled was last called
	loadBits        atomic.Uint64        // bits of the float64 that Load returns
	docketBytes     atomic.Int64         // what DocketBytes returns
	balancedAt      time.Time
	shares          shares
	asksForMoved    map[string]bool // moved jobs whose new dockets are asked whether they still know them
	quotas          quotas
	leaving         map[string]bool // jobs that wait for the ends of their runs to move
	admission       admission
}

// Organisations returns those who share the pool, by the configuration in force in this
// process; nil if it knows none. It never blocks.
type Organisations interface {
	Organisations() *organisation.Set
	// Version returns the version of that configuration, 0 if none is in force.
	Version() uint64
}

// Meter records the metrics of a cell. Its methods never block.
type Meter interface {
	Count(name, outcome string)
	Observe(name string, d time.Duration)
}

// Prepare initializes the cell. It must be called before any other method.
func (c *Cell) Prepare() {
	c.loop = control.New()
	c.workers = map[string]*worker{}
	c.runs = map[docket.TaskID]*run{}
	c.readySteps = map[docket.StepID]*readyStep{}
	c.startTimes = map[string]time.Time{}
	c.asksForMoved = map[string]bool{}
	c.quotas.used = map[string]vector{}
	c.quotas.init(c.OtherDockets)
	c.isolation.used = map[string]float64{}
	c.startedAt = time.Now()
	c.commits.wake = make(chan struct{}, 1)
	c.commits.lastCommitSentAt = c.Writer.TakeoverSentAt()
	// All entries found in the docket are durable. They are numbered by rows.
	c.commits.applied, c.commits.durable = c.Writer.Sequence(), c.Writer.Sequence()
}

// Run schedules jobs until ctx ends or the docket is lost; in the latter case it
// returns changelog.ErrDeposed. All goroutines that it started have ended when it
// returns.
func (c *Cell) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.group, c.ctx = errgroup.WithContext(ctx)
	c.group.Go(func() error { return c.loop.Run(c.ctx) })
	c.group.Go(func() error { return c.commitLoop(c.ctx) })
	c.group.Go(func() error { return c.Fleet.Watch(c.ctx, c.updateFleet) })
	c.group.Go(func() error { return c.loop.Every(c.ctx, tickInterval, c.tick) })
	c.loop.Post(c.adoptDocket)
	err := c.group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// organisations returns those who share the pool, nil if the configuration knows none.
func (c *Cell) organisations() *organisation.Set {
	if c.Organisations == nil {
		return nil
	}
	return c.Organisations.Organisations()
}

// Epoch returns the fencing token of this owner.
func (c *Cell) Epoch() uint64 { return c.Writer.Epoch() }

// adoptDocket restores the state that earlier owners left in the docket.
func (c *Cell) adoptDocket() {
	c.restoreLearnt(time.Now())
	c.Docket.ForEachOpen(func(j *docket.Job) { c.openSteps(j) })
	c.Docket.ForEach(func(j *docket.Job) {
		c.adoptRuns(j)
		c.Docket.Trim(j)
		if to, confirmed, moved := j.Moved(); moved && !confirmed && c.OtherDockets != nil {
			c.transferJob(j, to)
		}
	})
	c.quotas.adopted = true
	c.reachUnlistedWorkers(time.Now())
	c.requestPass()
}

// adoptRuns registers the runs of a job that may still be running.
func (c *Cell) adoptRuns(j *docket.Job) {
	for id, t := range j.ActiveTasks() {
		c.adoptRun(j, id, t)
	}
}

func (c *Cell) adoptRun(j *docket.Job, id docket.TaskID, t *docket.Task) {
	workerID, incarnation := t.Worker()
	shape, queue := j.StepDefinition(id.Step), j.Accepted().GetQueue()
	x := &run{
		task: id, number: t.Run(), shape: shape, queue: queue.GetName(), organisation: j.Accepted().GetOrganisation(), priority: queue.GetPriority(), gang: shape.GetGang(),
		phase: adopted, inherited: true, startMayArrive: true, incarnation: incarnation, startedAt: time.Now(),
		known: taskOf(j.Accepted(), id.Step), trial: trialOf(shape, c.Docket.Open(j, id.Occurrence)[id.Step], id.Index),
	}
	c.assignRun(x, c.workerByID(workerID))
	if _, settled := t.Observed(); settled {
		x.worker.settle(x)
	}
}

// requestPass schedules a placement pass.
func (c *Cell) requestPass() {
	c.dirty = true
	if c.passScheduled {
		return
	}
	c.passScheduled = true
	wait := max(0, time.Until(c.nextPassAt))
	time.AfterFunc(wait, func() { c.loop.Post(c.runPass) })
}

func (c *Cell) tick() {
	now := time.Now()
	for _, w := range c.workers {
		c.checkLease(w, now)
	}
	c.stopIncompleteGangs(now)
	if c.OnStoreStalled != nil && c.storeStalled(now) && now.Sub(c.stallReportedAt) > stallReportInterval {
		c.stallReportedAt = now
		c.OnStoreStalled()
	}
	c.openDueOccurrences(now)
	c.docketBytes.Store(c.Docket.Bytes())
	c.balance(now)
	c.countRunning(now)
	c.storeLearnt(now)
	c.updateShares(now)
	c.forgetEndedJobs(now)
	c.tickQuota(now)
	if len(c.readySteps) > 0 {
		c.requestPass()
	}
}

// forgetEndedJobs removes jobs that ended before the retention period.
func (c *Cell) forgetEndedJobs(now time.Time) {
	const maxPerTick = 50
	before := now.Add(-c.Limits.Retention).UnixMilli()
	for _, id := range c.Docket.EndedBefore(before, maxPerTick) {
		j, ok := c.Docket.Job(id)
		if !ok || j.Changed() > c.commits.durable || j.Active() > 0 {
			continue
		}
		if to, _, moved := j.Moved(); moved {
			c.forgetMovedJob(j, to)
			continue
		}
		c.append(docket.Forget(id), nil)
	}
}

// demand returns the resources that a task of the step takes on its worker. Tasks
// that fill up idle processor time need no cores of their own.
func demand(s *wire.DocketStep) vector {
	v := vector{MilliCPU: s.GetMilliCpu(), MemoryMB: s.GetMemoryMb(), Accelerators: s.GetAccelerators()}
	if s.GetFills() {
		v.MilliCPU = 0
	}
	return v
}
