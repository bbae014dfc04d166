package cell

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/eligibility"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	balanceInterval       = 200 * time.Millisecond
	offloadMinLoad        = 1.0  // as a share of capacity; below it jobs wait for other reasons than load
	offloadMinDifference  = 0.3  // the load of the other docket must be lower by this much
	offloadShare          = 0.25 // share of the difference that is moved at a time
	offloadMinWait        = 400 * time.Millisecond
	minLoad               = 0.001 // 0 stands for an unknown load
	transferTimeout       = 900 * time.Millisecond
	transferRetryInterval = 200 * time.Millisecond
)

// OtherDockets gives access to the other dockets.
type OtherDockets interface {
	// Known returns what is known of the other dockets whose loads are known: their workers, by
	// the list, but for those that are about to leave. The result must not be modified.
	Known() []eligibility.Group
	// Transfer submits a job to another docket. It is idempotent.
	Transfer(ctx context.Context, number int, job *wire.DocketAccepted) error
	// Numbers returns the number of this docket and how many there are, which never changes.
	Numbers() (number, dockets int)
	// ClaimQuota asks another docket for parts of organisations' limits. It may be repeated.
	ClaimQuota(ctx context.Context, number int, m *wire.ExchangeQuotaClaims) (*wire.ExchangeQuotaGrants, error)
	// Knows reports whether another docket knows a job of the organisation.
	Knows(ctx context.Context, number int, job, organisation string) (bool, error)
}

// Load returns the processor time of running and waiting tasks divided by the
// capacity of the workers, or 0 while that is unknown. It may be called from any
// goroutine.
func (c *Cell) Load() float64 { return math.Float64frombits(c.loadBits.Load()) }

// balance updates the load and moves jobs that other dockets can run, or can run sooner.
func (c *Cell) balance(now time.Time) {
	if c.OtherDockets == nil || now.Sub(c.balancedAt) < balanceInterval {
		return
	}
	c.balancedAt = now
	if !c.storeStalled(now) {
		c.moveUnschedulable(now)
	}
	c.balanceLoad(now)
}

// balanceLoad updates the load. If another docket has a much lower load, it moves jobs there
// of which no task was ever started, those placed last first.
func (c *Cell) balanceLoad(now time.Time) {
	capacity, work := c.capacityAndDemand(now)
	if capacity == 0 {
		return
	}
	load := max(work/capacity, minLoad)
	c.loadBits.Store(math.Float64bits(load))
	if load < offloadMinLoad || c.storeStalled(now) {
		return
	}
	others := c.OtherDockets.Known()
	if len(others) == 0 {
		return
	}
	least := slices.MinFunc(others, func(a, b eligibility.Group) int { return cmp.Compare(a.Load, b.Load) })
	if load-least.Load >= offloadMinDifference {
		c.offload(least, offloadShare*(load-least.Load)*capacity, now)
	}
}

// capacityAndDemand returns the capacity of the workers and the demand of running
// and waiting tasks, both in thousandths of cores.
func (c *Cell) capacityAndDemand(now time.Time) (capacity, work float64) {
	for _, w := range c.workers {
		if c.acceptsStarts(w, now) {
			capacity += float64(w.host.Capacity.MilliCPU)
			work += float64(w.used.MilliCPU)
		}
	}
	for _, s := range c.readySteps {
		if c.isolates(s.queue.GetName(), s.shape) {
			continue // most workers may not run it
		}
		if s.heldByQuota {
			continue // it does not wait for workers
		}
		work += float64(demand(s.shape).MilliCPU) * float64(len(s.startableTasks()))
	}
	return capacity, work
}

// offload moves jobs with up to the given amount of work to another docket that can run
// them.
func (c *Cell) offload(to eligibility.Group, remaining float64, now time.Time) {
	steps := make([]*readyStep, 0, len(c.readySteps))
	for _, s := range c.readySteps {
		if c.isolates(s.queue.GetName(), s.shape) {
			continue // another docket would have to find out by crashes
		}
		if movable(s.job) && s.adviceInFlight == 0 && now.Sub(s.readyAt) > offloadMinWait {
			steps = append(steps, s)
		}
	}
	slices.SortFunc(steps, func(a, b *readyStep) int { return compareSteps(b, a, now) })
	for _, s := range steps {
		work := float64(demand(s.shape).MilliCPU) * float64(s.shape.GetCount())
		if work > 2*remaining || !movable(s.job) {
			continue
		}
		if _, ok := eligibility.Choose(c.needsOf(s.job, anyStep), []eligibility.Group{to}); !ok {
			continue
		}
		remaining -= work
		c.moveJob(s.job, to.Number, "load")
		if remaining <= 0 {
			return
		}
	}
}

// movable reports whether the job may move because of load: no task of it was ever started,
// and it has not moved before.
func movable(j *docket.Job) bool {
	_, _, moved := j.Moved()
	return j.State() == docket.Pending && !moved && !j.Accepted().GetMoved() && !j.HasDueTimes()
}

// moveJob assigns a job to another docket.
func (c *Cell) moveJob(j *docket.Job, to int, reason string) {
	if !c.append(docket.Move(j.ID(), to), func() { c.transferJob(j, to) }) {
		return
	}
	c.Log.Emit(event.DocketJobMoved, "job", j.ID(), "to", to, "move", j.Move(), "load", c.Load(), "reason", reason)
	c.Meter.Count("jobs", "moved")
	delete(c.startTimes, j.ID())
	delete(c.admission.forecasts, j.ID())
	for _, occurrence := range j.OpenOccurrences() {
		for i := range j.Accepted().GetSteps() {
			c.removeStep(docket.StepID{Job: j.ID(), Occurrence: occurrence, Step: uint32(i)})
		}
	}
}

// transferJob submits a moved job with its state to its new docket until that docket accepts
// it, or the job is back.
func (c *Cell) transferJob(j *docket.Job, to int) {
	job := j.Transfer()
	c.group.Go(func() error {
		for c.ctx.Err() == nil && c.isCurrent(j) {
			call, cancel := context.WithTimeout(c.ctx, transferTimeout)
			err := c.OtherDockets.Transfer(call, to, job)
			cancel()
			if err == nil {
				c.loop.Post(func() { c.confirmMove(j) })
				return nil
			}
			pause.For(c.ctx, transferRetryInterval)
		}
		return nil
	})
}

// isCurrent reports whether the docket still has this state of the job. It may be called from
// any goroutine but the loop's.
func (c *Cell) isCurrent(j *docket.Job) bool {
	current := false
	err := c.loop.Do(c.ctx, func() {
		known, ok := c.Docket.Job(j.ID())
		current = ok && known == j
	})
	return err == nil && current
}

// confirmMove records that the job is in its new docket, unless it has come back since.
func (c *Cell) confirmMove(j *docket.Job) {
	known, ok := c.Docket.Job(j.ID())
	if !ok || known != j {
		return
	}
	c.append(docket.ConfirmMove(j.ID(), time.Now().UnixMilli()), func() { c.Docket.Trim(j) })
}

// forgetMovedJob removes a moved job if its new docket has forgotten it. Until then
// callers are sent there, since this docket is the one that the job's name leads to.
func (c *Cell) forgetMovedJob(j *docket.Job, to int) {
	id, organisation := j.ID(), j.Accepted().GetOrganisation()
	if c.OtherDockets == nil || c.asksForMoved[id] {
		return
	}
	c.asksForMoved[id] = true
	c.group.Go(func() error {
		call, cancel := context.WithTimeout(c.ctx, transferTimeout)
		defer cancel()
		known, err := c.OtherDockets.Knows(call, to, id, organisation)
		if err != nil {
			pause.For(c.ctx, transferRetryInterval)
		}
		c.loop.Post(func() {
			delete(c.asksForMoved, id)
			current, ok := c.Docket.Job(id)
			switch {
			case err != nil: // asked again with the next tick
			case !ok || current != j: // it has come back
			case known:
				c.append(docket.ConfirmMove(id, time.Now().UnixMilli()), nil)
			default:
				c.append(docket.Forget(id), nil)
			}
		})
		return nil
	})
}
