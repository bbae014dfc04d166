// Package cell schedules the jobs of one docket on one group of workers.
//
// A Cell is the owner's side: it accepts jobs, asks for advice, places tasks,
// gives orders to workers and stores what came of them. All its state belongs
// to one control loop. It ends when another process takes the docket over, or
// with its context; the next owner goes on from the docket and from the
// workers' own lists.
//
// Invariants:
//
//   - a start is stored before it is sent, and an end before it is confirmed to
//     the worker;
//   - a worker gets starts only after it has answered a hold of this epoch, so
//     that no start of an earlier epoch can follow;
//   - a run that may be running takes room on its worker, and its task starts
//     nowhere else, until its end is listed, the worker has refused it for good,
//     or the worker's lease has certainly lapsed.
//
// Usage:
//
//	c := &cell.Cell{Docket: d, Writer: w, Orders: o, Advice: a, Fleet: f, Log: l}
//	group.Go(func() error { return c.Run(ctx) })
//	answer := c.Submit(ctx, job)
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
	"persimmonworks.example/persimmonworks/quarantine"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	passInterval = 4 * time.Millisecond // at least this between two passes of placement
	passShare    = 4                    // a pass is followed by a pause of at least three times its length
	tickInterval = 50 * time.Millisecond
)

// Limits are the figures of a deployment that a cell goes by.
type Limits struct {
	Lease        time.Duration // how long a worker goes on unheard
	LeaseMost    time.Duration // the longest lease that a worker grants
	GangWait     time.Duration // how long members of a gang wait for the others
	Retention    time.Duration // how long ended jobs are remembered
	CommitGap    time.Duration // between two commits, at least
	StoreSilence time.Duration // after this without a commit leases are not extended further
}

// Cell is the owner of one docket. Set the exported fields, then call Run. All
// methods may be called from any goroutine while it runs.
type Cell struct {
	Docket *docket.Docket
	Writer *changelog.Writer
	Orders Orders
	Advice *advice.Desk
	Fleet  Fleet
	Log    event.Emitter
	Meter  Meter
	Limits Limits
	// Others, if set, are the other dockets, which take work that waits here.
	Others Others
	// Stalled, if set, is called now and then while the store does not answer. It
	// must not block.
	Stalled func()

	loop    *control.Loop
	group   *errgroup.Group
	ctx     context.Context
	begun   time.Time
	log     commitLog
	workers map[string]*worker
	runs    map[docket.TaskID]*run
	steps   map[docket.StepID]*step
	ward    quarantine.Ward
	dirty   bool
	passAt  time.Time
	waiting bool // a pass is scheduled
	counts  map[string]uint32
	speeds  speeds
	timed   []string      // jobs with occurrences that are not due yet
	closed  string        // the job that was logged as ended last
	stallAt time.Time     // when Stalled was called last
	load    atomic.Uint64 // bits of the newest load
	shedAt  time.Time
}

// Meter counts what a cell does. Methods never block.
type Meter interface {
	Count(name, outcome string)
	Observe(name string, d time.Duration)
}

// Prepare must be called before any other method.
func (c *Cell) Prepare() {
	c.loop = control.New()
	c.workers = map[string]*worker{}
	c.runs = map[docket.TaskID]*run{}
	c.steps = map[docket.StepID]*step{}
	c.counts = map[string]uint32{}
	c.begun = time.Now()
	c.log.kick = make(chan struct{}, 1)
	c.log.durableAt = time.Now()
	// What the docket holds is durable, and was numbered by rows.
	c.log.applied, c.log.durable = c.Writer.Sequence(), c.Writer.Sequence()
}

// Run works until ctx ends or the docket is lost; the error is then
// changelog.ErrDeposed. Everything that it started has ended when it returns.
func (c *Cell) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.group, c.ctx = errgroup.WithContext(ctx)
	c.group.Go(func() error { return c.loop.Run(c.ctx) })
	c.group.Go(func() error { return c.commitAll(c.ctx) })
	c.group.Go(func() error { return c.Fleet.Watch(c.ctx, c.hosts) })
	c.group.Go(func() error { return c.loop.Every(c.ctx, tickInterval, c.tick) })
	c.loop.Post(c.resume)
	err := c.group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Epoch returns the fencing token of this owner.
func (c *Cell) Epoch() uint64 { return c.Writer.Epoch() }

// resume takes up what earlier owners left.
func (c *Cell) resume() {
	c.Docket.Open(func(j *docket.Job) { c.open(j) })
	c.Docket.All(func(j *docket.Job) {
		c.adopt(j)
		if to, confirmed, moved := j.Moved(); moved && !confirmed {
			c.hand(j, to)
		}
	})
	c.touch()
}

// adopt notes the runs of a job that may be running.
func (c *Cell) adopt(j *docket.Job) {
	for occurrence := range j.Occurrences() {
		for s := range j.Accepted().GetSteps() {
			st := j.Step(occurrence, uint32(s))
			if st.Active() == 0 {
				continue
			}
			for i := range st.Tasks() {
				t := &st.Tasks()[i]
				if !t.Active() {
					continue
				}
				id := docket.TaskID{Job: j.ID(), Occurrence: occurrence, Step: uint32(s), Index: uint32(i)}
				workerID, born := t.Worker()
				r := &run{task: id, number: t.Run(), shape: j.Shape(uint32(s)), phase: adopted, mayArrive: true, life: born, began: time.Now(), gang: j.Shape(uint32(s)).GetGang(), queue: j.Accepted().GetQueue().GetName()}
				c.place(r, c.worker(workerID))
			}
		}
	}
}

// touch asks for a pass of placement soon.
func (c *Cell) touch() {
	c.dirty = true
	if c.waiting {
		return
	}
	c.waiting = true
	wait := max(0, time.Until(c.passAt))
	time.AfterFunc(wait, func() { c.loop.Post(c.pass) })
}

func (c *Cell) tick() {
	now := time.Now()
	for _, w := range c.workers {
		c.checkLease(w, now)
	}
	c.checkGangs(now)
	if c.Stalled != nil && c.stalled(now) && now.Sub(c.stallAt) > stallInterval {
		c.stallAt = now
		c.Stalled()
	}
	c.openDue(now)
	c.balance(now)
	c.forgetOld(now)
	if len(c.steps) > 0 {
		c.touch()
	}
}

// forgetOld drops jobs that ended longer than the retention ago.
func (c *Cell) forgetOld(now time.Time) {
	const most = 50 // a tick
	before := now.Add(-c.Limits.Retention).UnixMilli()
	for _, id := range c.Docket.EndedBefore(before, most) {
		j, ok := c.Docket.Job(id)
		if ok && j.Changed() <= c.log.durable && !c.hasRuns(j) {
			c.append(docket.Forget(id), nil)
		}
	}
}

func (c *Cell) hasRuns(j *docket.Job) bool {
	for occurrence := range j.Occurrences() {
		for s := range j.Accepted().GetSteps() {
			if j.Step(occurrence, uint32(s)).Active() > 0 {
				return true
			}
		}
	}
	return false
}

// demand returns what a task of the step takes from its worker.
func demand(s *wire.DocketStep) vector {
	v := vector{MilliCPU: s.GetMilliCpu(), MemoryMB: s.GetMemoryMb(), Accelerators: s.GetAccelerators()}
	if s.GetFills() {
		v.MilliCPU = 0
	}
	return v
}
