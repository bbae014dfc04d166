package cell

import (
	"context"
	"errors"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/crash"
	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/estimate"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/quarantine"
	"persimmonworks.example/persimmonworks/wire"
)

// phase is the state of a run as the owner knows it.
type phase int

const (
	committing phase = iota // the start is not durable yet
	starting                // the start was sent
	running                 // the worker has confirmed the start
	stopping                // a stop was requested; its answer also shows whether the run exists
	adopted                 // an earlier owner may have started it
)

var phaseNames = [...]string{"committing", "starting", "running", "stopping", "adopted"}

// String returns the name used in logs.
func (p phase) String() string { return phaseNames[p] }

const (
	startTimeout      = 500 * time.Millisecond
	maxStartAttempts  = 3
	stopTimeout       = 600 * time.Millisecond
	stopRetryInterval = 200 * time.Millisecond
)

// run is one execution of a task that may be running on a worker.
type run struct {
	task              docket.TaskID
	number            uint32
	shape             *wire.DocketStep
	queue             string
	organisation      string // empty if the job belongs to none
	gang              bool
	priority          uint32 // of the queue, 0 is the most urgent
	worker            *worker
	incarnation       int64 // of the worker when the run was started
	phase             phase
	startUnanswered   bool      // it is unknown whether the run has begun
	startConfirmed    bool      // the worker has accepted the start or reported the run
	inherited         bool      // an earlier owner has started the run
	heldBack          bool      // the start has waited for an answer of the worker
	listed            bool      // this incarnation of the worker has listed the run
	startMayArrive    bool      // a copy of the start may still arrive, even if another copy was answered
	startArrivesUntil time.Time // until then such a copy of this owner's may arrive
	stopAnsweredAt    time.Time
	leastClockMS      int64 // of the worker's life, when the start was sent
	metNextLife       bool  // the start was answered by a life that had not answered before
	stopSent          bool
	startedAt         time.Time
	percent           int
	ticket            string
	trial             crash.Trial
	crowded           bool // it was to run alone, and other jobs run on the worker
	settled           bool // the worker has reported the run as running for a while
	crashJudged       bool // a crash was counted for the run
	known             *estimate.Task
	expected          time.Duration // what it was expected to take when it was started
	expectedHigh      time.Duration // and what all but few would take
	endsAt            time.Time     // when it is expected to end
	accounted         bool          // to its organisation, see shares
	slowest           float64       // of a gang: the slowdown of its slowest worker, 0 until it is needed
}

// assignRun adds the run to a worker and reserves its resources there.
func (c *Cell) assignRun(x *run, w *worker) {
	x.worker = w
	w.runs[x.task] = x
	w.used = w.used.Add(demand(x.shape))
	w.addToCounts(x)
	c.countForQuota(x, 1)
	c.runs[x.task] = x
	c.shares.started(x, time.Now())
}

// endRun appends the end of a run to the docket and frees its resources.
func (c *Cell) endRun(x *run, outcome wire.DocketOutcome, checkpoint, reason string) {
	w := x.worker
	if c.runs[x.task] != x {
		return
	}
	delete(w.runs, x.task)
	delete(c.runs, x.task)
	w.used = w.used.Sub(demand(x.shape))
	w.removeFromCounts(x)
	c.countForQuota(x, -1)
	now := time.Now()
	c.shares.ended(x, now)
	c.append(docket.End(x.task, x.number, outcome, checkpoint, now.UnixMilli()), nil)
	c.Log.Emit(event.TaskEnded, "job", x.task.Job, "task", x.task.String(), "run", x.number, "worker", w.host.ID,
		"outcome", outcomeName(outcome), "reason", reason, "after-ms", now.Sub(x.startedAt).Milliseconds(),
		"epoch", c.Epoch(), "phase", x.phase.String(), "heard-ms", w.silentMS(now))
	c.Meter.Count("ends", outcomeName(outcome))
	c.advanceJob(x.task, outcome)
	c.requestPass()
}

func outcomeName(outcome wire.DocketOutcome) string {
	switch outcome {
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

// handleEnded processes the end of a run that a worker has reported.
func (c *Cell) handleEnded(w *worker, e EndedTask) {
	x, ok := w.runs[e.Task]
	if !ok || x.number != e.Run {
		return // declared lost before, or already recorded by an earlier owner
	}
	now := time.Now()
	outcome := quarantine.Attempt{Worker: w.host.ID, Task: e.Task.String(), Job: e.Task.Job, Organisation: x.queue}
	switch e.Outcome {
	case wire.DocketOutcome_DOCKET_OUTCOME_FAILED:
		if c.quarantine.RecordFailure(outcome, now) {
			c.Log.Emit(event.WorkerQuarantined, "worker", w.host.ID, "reason", c.quarantine.Reason(w.host.ID))
		}
	case wire.DocketOutcome_DOCKET_OUTCOME_DONE:
		c.quarantine.RecordSuccess(outcome, now)
		c.learnEnd(x, now)
	case wire.DocketOutcome_DOCKET_OUTCOME_STOPPED:
		if !e.GangIncomplete {
			c.learnStop(x, now)
		}
	}
	reason := "listed"
	if e.GangIncomplete {
		reason = "alone"
	}
	c.endRun(x, e.Outcome, e.Checkpoint, reason)
}

// handleRunning processes the report of a worker that the run is running.
func (c *Cell) handleRunning(x *run, t RunningTask) {
	x.percent = t.Percent
	c.confirmStart(x)
	x.listed = true
	if time.Since(x.startedAt) >= settleTime {
		c.settleRun(x)
	}
	if x.phase == adopted {
		x.phase = running
		j, ok := c.Docket.Job(x.task.Job)
		if !ok || j.Terminal() {
			c.stopRun(x, "adopted run of an ended job")
		}
	}
	if x.phase == starting {
		x.phase = running
	}
}

// sendStart sends a durable start, repeats it while it is unanswered, and processes
// the answer.
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
	case w.incarnation != x.incarnation || !w.reconciled || w.unresponsive || time.Since(w.lastHeard) >= silenceTimeout:
		c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_REFUSED, "", "worker became unavailable before the start was sent")
		return
	case x.phase == stopping:
		c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_REFUSED, "", "stopped before the start was sent")
		return
	case !w.described() || !w.host.suits(j.Accepted().GetQueue(), x.shape):
		c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_REFUSED, "", "worker has become another one before the start was sent")
		return
	case w.free().Negative():
		c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_REFUSED, "", "worker has shrunk before the start was sent")
		return
	}
	if c.overQuota(x) {
		c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_REFUSED, "", "the limit of the organisation was lowered before the start was sent")
		return
	}
	if x.needsAnswer(time.Now()) {
		w.holdBack(x)
		return
	}
	x.phase = starting
	t := j.Task(x.task)
	o := StartRequest{
		Task: x.task, Run: x.number, Spec: j.Accepted().GetSpec(), Checkpoint: t.Checkpoint(),
		Epoch: c.Epoch(), DeadlineMS: c.leaseDeadline(w), Ticket: x.ticket,
	}
	w.leaseDeadlineMS = max(w.leaseDeadlineMS, o.DeadlineMS)
	x.startUnanswered = true
	x.startedAt = time.Now()
	w.deadlineSentAt = x.startedAt
	x.leastClockMS = w.leastClock(x.startedAt)
	h := w.host
	c.group.Go(func() error { return c.startUntilAnswered(c.ctx, x, &h, o) })
}

func (c *Cell) startUntilAnswered(ctx context.Context, x *run, h *Host, o StartRequest) error {
	lost := false // an earlier copy of the request was not answered
	giveUpAt := time.Now().Add(maxStartAttempts * startTimeout)
	for {
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, startTimeout)
		resp, err := c.Orders.Start(call, h, o)
		cancel()
		if ctx.Err() != nil {
			return nil
		}
		if err == nil || !errors.Is(err, ErrUnanswered) {
			c.loop.Post(func() { c.handleStartAnswer(x, resp, err, lost) })
			return nil
		}
		lost = true
		if c.loop.Do(ctx, func() { c.noteUnansweredStart(x) }) != nil {
			return nil
		}
		if !c.mayStartAgain(ctx, x, sent, giveUpAt) {
			c.loop.Post(func() { c.handleStartAnswer(x, resp, err, true) })
			return nil
		}
	}
}

// noteUnansweredStart records that a copy of a start may arrive later.
func (c *Cell) noteUnansweredStart(x *run) {
	now := time.Now()
	x.startMayArrive, x.startArrivesUntil = true, now.Add(maxRequestDelay)
	x.worker.deadlineSentAt = now
	x.worker.addUnansweredStart(x, now)
}

// mayStartAgain waits until the worker was heard after the time at which a copy of a start
// was sent, and reports whether to send another one. Without that, the worker may have come
// back as one that the task must not run on.
func (c *Cell) mayStartAgain(ctx context.Context, x *run, sent, giveUpAt time.Time) bool {
	for time.Now().Before(giveUpAt) {
		wanted, heard := false, false
		if c.loop.Do(ctx, func() {
			wanted = c.runs[x.task] == x && x.phase == starting && x.incarnation == x.worker.incarnation
			heard = x.worker.lastHeard.After(sent) && !x.worker.unresponsive
		}) != nil || !wanted {
			return false
		}
		if heard {
			return true
		}
		pause.For(ctx, tickInterval)
	}
	return false
}

// handleStartAnswer processes the answer to a start. lost is true if an earlier copy
// was not answered and may still be executed.
func (c *Cell) handleStartAnswer(x *run, r StartResponse, err error, lost bool) {
	if c.runs[x.task] != x {
		return
	}
	w := x.worker
	if err == nil && r.Refusal == Accepted {
		if r.ClockMS < x.leastClockMS {
			// Another life has begun it, whose clock the deadline was not meant for.
			x.startMayArrive, x.metNextLife = true, true
		}
		c.confirmStart(x)
		if x.phase == starting {
			x.phase = running
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
	c.suspendStarts(x, r.Refusal, err)
	if x.phase == running {
		return // the worker has reported it as running in the meantime
	}
	if lost || err != nil && errors.Is(err, ErrUnanswered) || r.Refusal == Outdated {
		c.stopRun(x, "start not answered")
		if x.gang {
			c.stopGang(x.task.StepID(), x.number, "a gang member did not start")
		}
		return
	}
	x.startUnanswered = false
	if x.phase == stopping && x.stopSent {
		return // the stop determines whether the run exists
	}
	c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_REFUSED, "", reason)
}

// suspendStarts stops sending starts to a worker that rejected or did not get one.
func (c *Cell) suspendStarts(x *run, refusal Refusal, err error) {
	w := x.worker
	switch {
	case err == nil && refusal == BadTicket:
		if s, ok := c.readySteps[x.task.StepID()]; ok {
			delete(s.tickets, w.host.ID)
		}
	case err == nil && refusal == Fenced:
		c.wakeCommitter() // the next commit shows whether this process still owns the docket
	default:
		w.startsSuspendedUntil = time.Now().Add(startSuspension)
	}
}

// stopRun stops a run, or prevents it from starting.
func (c *Cell) stopRun(x *run, reason string) {
	if x.phase == stopping {
		return
	}
	previous := x.phase
	x.phase = stopping
	c.Log.Emit(event.TaskStopping, "job", x.task.Job, "task", x.task.String(), "run", x.number, "worker", x.worker.host.ID, "reason", reason)
	if previous != committing {
		c.sendStop(x)
	}
}

func (c *Cell) sendStop(x *run) {
	x.stopSent = true
	w := x.worker
	o := StopRequest{Task: x.task, Run: x.number, Epoch: c.Epoch()}
	c.group.Go(func() error { return c.stopUntilAnswered(c.ctx, x, w, o) })
}

func (c *Cell) stopUntilAnswered(ctx context.Context, x *run, w *worker, o StopRequest) error {
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
				x.stopAnsweredAt = time.Now()
				w.wakeHold()
			})
			return nil
		}
		pause.For(ctx, stopRetryInterval)
	}
	return nil
}

// unansweredStart is a start that was not answered. The worker may execute it much
// later, even after a restart.
type unansweredStart struct {
	order StopRequest
	until time.Time
}

// maxRequestDelay is the longest time between sending a request and its execution.
const maxRequestDelay = 13 * time.Second

func (w *worker) addUnansweredStart(x *run, now time.Time) {
	w.forgetLateStarts(now)
	l := unansweredStart{StopRequest{Task: x.task, Run: x.number}, now.Add(maxRequestDelay)}
	for i := range w.unansweredStarts {
		if w.unansweredStarts[i].order == l.order {
			w.unansweredStarts[i] = l
			return
		}
	}
	w.unansweredStarts = append(w.unansweredStarts, l)
}

// forgetLateStarts drops the starts that can no longer arrive.
func (w *worker) forgetLateStarts(now time.Time) {
	w.unansweredStarts = slices.DeleteFunc(w.unansweredStarts, func(l unansweredStart) bool { return !now.Before(l.until) })
}

// blockUnansweredStarts makes a restarted worker reject the unanswered starts that
// may still arrive. They are kept for further restarts.
func (c *Cell) blockUnansweredStarts(w *worker) {
	w.forgetLateStarts(time.Now())
	for _, l := range w.unansweredStarts {
		if _, running := w.runs[l.order.Task]; !running {
			c.group.Go(func() error { return c.blockUntilAnswered(c.ctx, w, l) })
		}
	}
}

// blockUntilAnswered sends a stop for a start until the worker has answered one, or the
// start can no longer arrive.
func (c *Cell) blockUntilAnswered(ctx context.Context, w *worker, l unansweredStart) error {
	l.order.Epoch = c.Epoch()
	for ctx.Err() == nil && time.Now().Before(l.until) {
		var h Host
		if c.loop.Do(ctx, func() { h = w.host }) != nil {
			return nil
		}
		call, cancel := context.WithTimeout(ctx, stopTimeout)
		err := c.Orders.Stop(call, &h, l.order)
		cancel()
		if err == nil {
			return nil
		}
		c.Log.Emit(event.StopFailed, "worker", h.ID, "task", l.order.Task.String(), "run", l.order.Run, "error", err)
		pause.For(ctx, stopRetryInterval)
	}
	return nil
}

// stopUnknownRun stops a run that a worker reports and the docket does not know.
func (c *Cell) stopUnknownRun(w *worker, t RunningTask) {
	latest := uint32(0)
	if j, ok := c.Docket.Job(t.Task.Job); ok && j.Task(t.Task) != nil {
		latest = j.Task(t.Task).Run()
	}
	c.Meter.Count("unknown-runs", "stopped")
	c.Log.Emit(event.TaskStopping, "job", t.Task.Job, "task", t.Task.String(), "run", t.Run, "worker", w.host.ID, "reason", "unknown run",
		"latest-run", latest, "epoch", c.Epoch(), "life", w.incarnation)
	h := w.host
	o := StopRequest{Task: t.Task, Run: t.Run, Epoch: c.Epoch()}
	c.group.Go(func() error {
		call, cancel := context.WithTimeout(c.ctx, stopTimeout)
		defer cancel()
		if err := c.Orders.Stop(call, &h, o); err != nil {
			c.Log.Emit(event.StopFailed, "worker", h.ID, "task", t.Task.String(), "error", err)
		}
		return nil
	})
}
