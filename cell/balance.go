package cell

import (
	"context"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	balanceInterval = 200 * time.Millisecond
	shedAbove       = 1.0  // of the room: with less, waiting has other reasons
	shedDifference  = 0.3  // the other docket's load must be so much lower
	shedShare       = 0.25 // of the difference that is moved at a time
	shedWaited      = 400 * time.Millisecond
	loadLeast       = 0.001 // 0 stands for a load that is not known
	handTimeout     = 900 * time.Millisecond
	handRetry       = 200 * time.Millisecond
)

// Others are the other dockets.
type Others interface {
	// LeastLoaded returns the docket with the lowest load that is known, and false
	// if none is.
	LeastLoaded() (number int, load float64, ok bool)
	// Hand submits a job to another docket. It may be repeated.
	Hand(ctx context.Context, number int, job *wire.DocketAccepted) error
}

// Load returns the processor time that runs and waits over what the workers have,
// 0 before it is known. It may be called from any goroutine.
func (c *Cell) Load() float64 { return math.Float64frombits(c.load.Load()) }

// balance notes the load and, where another docket has much less, gives it jobs of
// which nothing was started: those that would be placed last.
func (c *Cell) balance(now time.Time) {
	if c.Others == nil || now.Sub(c.shedAt) < balanceInterval {
		return
	}
	c.shedAt = now
	room, wanted := c.roomAndWork(now)
	if room == 0 {
		return
	}
	load := max(wanted/room, loadLeast)
	c.load.Store(math.Float64bits(load))
	to, least, ok := c.Others.LeastLoaded()
	if !ok || load < shedAbove || load-least < shedDifference || c.stalled(now) {
		return
	}
	c.shed(to, shedShare*(load-least)*room, now)
}

// roomAndWork returns the thousandths of cores that the workers have and that
// tasks take or wait for.
func (c *Cell) roomAndWork(now time.Time) (room, work float64) {
	for _, w := range c.workers {
		if c.takes(w, now) {
			room += float64(w.host.Capacity.MilliCPU)
			work += float64(w.used.MilliCPU)
		}
	}
	for _, s := range c.steps {
		work += float64(demand(s.shape).MilliCPU) * float64(len(s.startable()))
	}
	return room, work
}

// shed gives jobs of up to that much work to another docket.
func (c *Cell) shed(to int, most float64, now time.Time) {
	steps := make([]*step, 0, len(c.steps))
	for _, s := range c.steps {
		if movable(s.job) && !s.asking && now.Sub(s.opened) > shedWaited {
			steps = append(steps, s)
		}
	}
	slices.SortFunc(steps, func(a, b *step) int { return compareSteps(b, a, now) })
	for _, s := range steps {
		work := float64(demand(s.shape).MilliCPU) * float64(s.shape.GetCount())
		if work > 2*most || !movable(s.job) {
			continue
		}
		most -= work
		c.move(s.job, to)
		if most <= 0 {
			return
		}
	}
}

// movable reports whether nothing of the job was ever started and it may move.
func movable(j *docket.Job) bool {
	_, _, moved := j.Moved()
	return j.State() == docket.Pending && !moved && !j.Accepted().GetMoved() && !j.Timed()
}

// move gives a job to another docket.
func (c *Cell) move(j *docket.Job, to int) {
	c.Log.Emit(event.DocketJobMoved, "job", j.ID(), "to", to, "load", c.Load())
	c.Meter.Count("jobs", "moved")
	c.append(docket.Move(j.ID(), to), func() { c.hand(j, to) })
	for i := range j.Accepted().GetSteps() {
		c.closeStep(docket.StepID{Job: j.ID(), Step: uint32(i)})
	}
}

// hand submits a job to its new docket until that has it.
func (c *Cell) hand(j *docket.Job, to int) {
	job := proto.CloneOf(j.Accepted())
	job.Moved = true
	c.group.Go(func() error {
		for c.ctx.Err() == nil {
			call, cancel := context.WithTimeout(c.ctx, handTimeout)
			err := c.Others.Hand(call, to, job)
			cancel()
			if err == nil {
				c.loop.Post(func() { c.append(docket.Moved(job.GetJob(), time.Now().UnixMilli()), nil) })
				return nil
			}
			wait(c.ctx, handRetry)
		}
		return nil
	})
}
