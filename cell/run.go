package cell

import (
	"context"
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/quarantine"
	"persimmonworks.example/persimmonworks/wire"
)

// phase says how far a run has come.
type phase int

const (
	committing phase = iota // the start is being stored
	starting                // the start was sent
	working                 // the worker has it
	stopping                // a stop was sent; it also serves to find out whether it runs
	adopted                 // an earlier owner may have started it
)

const (
	startTimeout = 500 * time.Millisecond
	startTries   = 3
	stopTimeout  = 600 * time.Millisecond
	stopRetry    = 200 * time.Millisecond
)

// run is a run of a task that may be running.
type run struct {
	task         docket.TaskID
	number       uint32
	shape        *wire.DocketStep
	queue        string
	gang         bool
	worker       *worker
	life         int64 // of the worker when it was started
	phase        phase
	unanswered   bool // it is not known whether it has begun
	confirmed    bool // its worker has said that it runs
	listed       bool // the life that it was started on has listed it
	mayArrive    bool // a copy of its start may still arrive, even if another copy was answered
	stopAnswered time.Time
	stopSent     bool
	began        time.Time
	percent      int
	ticket       string
}

// place puts the run on a worker and takes its room.
func (c *Cell) place(x *run, w *worker) {
	x.worker = w
	w.runs[x.task] = x
	w.used = w.used.Add(demand(x.shape))
	c.runs[x.task] = x
}

// endRun stores the end of a run and frees its room.
func (c *Cell) endRun(x *run, how wire.DocketOutcome, checkpoint, reason string) {
	w := x.worker
	if c.runs[x.task] != x {
		return
	}
	delete(w.runs, x.task)
	delete(c.runs, x.task)
	w.used = w.used.Sub(demand(x.shape))
	now := time.Now()
	c.append(docket.End(x.task, x.number, how, checkpoint, now.UnixMilli()), nil)
	c.Log.Emit(event.TaskEnded, "job", x.task.Job, "task", x.task.String(), "run", x.number, "worker", w.host.ID,
		"outcome", outcomeName(how), "reason", reason, "after-ms", now.Sub(x.began).Milliseconds())
	c.Meter.Count("ends", outcomeName(how))
	c.settle(x.task, how)
	c.touch()
}

func outcomeName(how wire.DocketOutcome) string {
	switch how {
	case wire.DocketOutcome_DOCKET_OUTCOME_DONE:
		return "done"
	case wire.DocketOutcome_DOCKET_OUTCOME_FAILED:
		return "failed"
	case wire.DocketOutcome_DOCKET_OUTCOME_STOPPED:
		return "stopped"
	case wire.DocketOutcome_DOCKET_OUTCOME_LOST:
		return "lost"
	case wire.DocketOutcome_DOCKET_OUTCOME_REFUSED:
		return "refused"
	}
	return "other"
}

// ended takes in an end that a worker lists.
func (c *Cell) ended(w *worker, e EndedTask) {
	x, ok := w.runs[e.Task]
	if !ok || x.number != e.Run {
		return // given up before, or stored by an earlier owner
	}
	now := time.Now()
	outcome := quarantine.Outcome{Worker: w.host.ID, Task: e.Task.String(), Job: e.Task.Job, Organisation: x.queue}
	switch e.Outcome {
	case wire.DocketOutcome_DOCKET_OUTCOME_FAILED:
		if c.ward.Failed(outcome, now) {
			c.Log.Emit(event.WorkerQuarantined, "worker", w.host.ID, "reason", c.ward.Reason(w.host.ID))
		}
	case wire.DocketOutcome_DOCKET_OUTCOME_DONE:
		c.ward.Succeeded(outcome, now)
		c.learn(x, now)
	}
	reason := "listed"
	if e.Alone {
		reason = "alone"
	}
	c.endRun(x, e.Outcome, e.Checkpoint, reason)
}

// seenRunning notes that the worker lists the run.
func (c *Cell) seenRunning(x *run, t RunningTask) {
	x.percent = t.Percent
	x.unanswered, x.confirmed, x.listed = false, true, true
	if x.phase == adopted {
		x.phase = working
		j, ok := c.Docket.Job(x.task.Job)
		if !ok || j.Terminal() {
			c.stopRun(x, "adopted without need")
		}
	}
	if x.phase == starting {
		x.phase = working
	}
}

// sendStart sends a stored start, repeats it while unanswered, and finds out
// what came of it.
func (c *Cell) sendStart(x *run) {
	j, ok := c.Docket.Job(x.task.Job)
	w := x.worker
	if c.runs[x.task] != x {
		return
	}
	switch {
	case !ok || j.Terminal():
		c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_REFUSED, "", "job has ended")
		return
	case w.life != x.life || !w.listed:
		c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_REFUSED, "", "worker closed before the start was sent")
		return
	case x.phase == stopping:
		c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_REFUSED, "", "given up before the start was sent")
		return
	}
	x.phase = starting
	t := j.Task(x.task)
	o := StartOrder{
		Task: x.task, Run: x.number, Spec: j.Accepted().GetSpec(), Checkpoint: t.Checkpoint(),
		Epoch: c.Epoch(), DeadlineMS: c.leaseEnd(w), Ticket: x.ticket,
	}
	w.deadline = max(w.deadline, o.DeadlineMS)
	x.unanswered = true
	x.began = time.Now()
	h := w.host
	c.group.Go(func() error { return c.startUntilAnswered(c.ctx, x, &h, o) })
}

func (c *Cell) startUntilAnswered(ctx context.Context, x *run, h *Host, o StartOrder) error {
	lost := false // an earlier copy of the order was not answered
	for try := 0; ; try++ {
		call, cancel := context.WithTimeout(ctx, startTimeout)
		receipt, err := c.Orders.Start(call, h, o)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		if err == nil || !errors.Is(err, ErrUnanswered) {
			c.loop.Post(func() { c.started(x, receipt, err, lost) })
			return nil
		}
		lost = true
		again := false
		if c.loop.Do(ctx, func() {
			x.mayArrive = true
			x.worker.noteLost(x, time.Now())
			again = c.runs[x.task] == x && x.phase == starting && try+1 < startTries
		}) != nil {
			return nil
		}
		if !again {
			c.loop.Post(func() { c.started(x, receipt, err, true) })
			return nil
		}
	}
}

// started takes in the answer to a start. lost tells that an earlier copy was
// not answered and may still be carried out.
func (c *Cell) started(x *run, r Receipt, err error, lost bool) {
	if c.runs[x.task] != x {
		return
	}
	w := x.worker
	if err == nil && r.Refusal == Accepted {
		x.unanswered, x.confirmed = false, true
		if x.phase == starting {
			x.phase = working
		}
		return
	}
	reason := r.Refusal.String()
	if err != nil {
		reason = err.Error()
	}
	c.Log.Emit(event.StartFailed, "job", x.task.Job, "task", x.task.String(), "run", x.number, "worker", w.host.ID,
		"reason", reason, "lost", lost)
	c.Meter.Count("starts-failed", r.Refusal.String())
	c.distrustFor(x, r.Refusal, err)
	if x.phase == working {
		return // listed in the meantime
	}
	if lost || err != nil && errors.Is(err, ErrUnanswered) || r.Refusal == Outdated {
		c.stopRun(x, "start not answered")
		return
	}
	x.unanswered = false
	if x.phase == stopping && x.stopSent {
		return // the stop finds out
	}
	c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_REFUSED, "", reason)
}

// distrustFor keeps starts from a worker that did not take one.
func (c *Cell) distrustFor(x *run, refusal Refusal, err error) {
	w := x.worker
	switch {
	case err == nil && refusal == BadTicket:
		if s, ok := c.steps[x.task.StepID()]; ok {
			delete(s.tickets, w.host.ID)
		}
	case err == nil && refusal == Fenced:
		c.kick() // the next commit tells whether this process still owns the docket
	default:
		w.distrust = time.Now().Add(distrustLasting)
	}
}

// stopRun ends a run, or makes sure that it never begins.
func (c *Cell) stopRun(x *run, reason string) {
	if x.phase == stopping {
		return
	}
	before := x.phase
	x.phase = stopping
	c.Log.Emit(event.TaskStopping, "job", x.task.Job, "task", x.task.String(), "run", x.number, "worker", x.worker.host.ID, "reason", reason)
	if before != committing {
		c.sendStop(x)
	}
}

func (c *Cell) sendStop(x *run) {
	x.stopSent = true
	w := x.worker
	o := StopOrder{Task: x.task, Run: x.number, Epoch: c.Epoch()}
	c.group.Go(func() error { return c.stopUntilAnswered(c.ctx, x, w, o) })
}

func (c *Cell) stopUntilAnswered(ctx context.Context, x *run, w *worker, o StopOrder) error {
	for ctx.Err() == nil {
		var h Host
		current := false
		if c.loop.Do(ctx, func() { h, current = w.host, c.runs[x.task] == x }) != nil || !current {
			return nil
		}
		call, cancel := context.WithTimeout(ctx, stopTimeout)
		err := c.Orders.Stop(call, &h, o)
		cancel()
		if err == nil {
			c.loop.Post(func() {
				x.stopAnswered = time.Now()
				w.rouse()
			})
			return nil
		}
		select {
		case <-time.After(stopRetry):
		case <-ctx.Done():
		}
	}
	return nil
}

// lostCopy is a start that was not answered; it may be carried out much later,
// even by another life of its worker.
type lostCopy struct {
	order StopOrder
	until time.Time
}

// lateMost is how long after it was sent an order may be carried out.
const lateMost = 13 * time.Second

func (w *worker) noteLost(x *run, now time.Time) {
	kept := w.lost[:0]
	for _, l := range w.lost {
		if now.Before(l.until) {
			kept = append(kept, l)
		}
	}
	w.lost = append(kept, lostCopy{StopOrder{Task: x.task, Run: x.number}, now.Add(lateMost)})
}

// barLost makes a new life of the worker refuse the lost copies of starts.
func (c *Cell) barLost(w *worker) {
	lost := w.lost
	w.lost = nil
	for _, l := range lost {
		if _, running := w.runs[l.order.Task]; !running && time.Now().Before(l.until) {
			c.stopStray(w, RunningTask{Task: l.order.Task, Run: l.order.Run})
		}
	}
}

// stopStray stops what a worker runs and the docket does not know of.
func (c *Cell) stopStray(w *worker, t RunningTask) {
	c.Log.Emit(event.TaskStopping, "job", t.Task.Job, "task", t.Task.String(), "run", t.Run, "worker", w.host.ID, "reason", "not known here")
	h := w.host
	o := StopOrder{Task: t.Task, Run: t.Run, Epoch: c.Epoch()}
	c.group.Go(func() error {
		call, cancel := context.WithTimeout(c.ctx, stopTimeout)
		defer cancel()
		if err := c.Orders.Stop(call, &h, o); err != nil {
			c.Log.Emit(event.StopFailed, "worker", h.ID, "task", t.Task.String(), "error", err)
		}
		return nil
	})
}

// checkGangs gives up gangs of which a member did not start in time.
func (c *Cell) checkGangs(now time.Time) {
	limit := c.Limits.GangWait / 2
	for _, x := range c.runs {
		if !x.gang || x.phase != starting || now.Sub(x.began) < limit {
			continue
		}
		c.stopGang(x.task.StepID(), x.number, "a member did not start")
	}
}

// stopGang stops every member of a run of a gang.
func (c *Cell) stopGang(id docket.StepID, number uint32, reason string) {
	j, ok := c.Docket.Job(id.Job)
	if !ok {
		return
	}
	for index := range j.Shape(id.Step).GetCount() {
		if x, ok := c.runs[id.Task(index)]; ok && x.number == number {
			c.stopRun(x, reason)
		}
	}
}
