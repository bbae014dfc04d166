package cell

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"persimmonworks.example/persimmonworks/docket"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/resource"
	"persimmonworks.example/persimmonworks/wire"
)

type vector = resource.Vector

const (
	holdWait             = 1000 * time.Millisecond // how long a worker may delay the answer to a hold until a task ends
	holdTimeoutSlack     = 700 * time.Millisecond  // added to the wait before a hold times out
	holdRetryInterval    = 150 * time.Millisecond
	unstoredPollInterval = 500 * time.Millisecond // between two holds while ends cannot be stored
	silenceTimeout       = 2200 * time.Millisecond
	// Entries of the list of workers that expired while the store was unavailable are
	// back within unlistedGrace.
	unlistedGrace   = 2500 * time.Millisecond
	startSuspension = 800 * time.Millisecond // after a start that was rejected or could not be sent
)

// worker is what the owner knows about a worker.
type worker struct {
	host                 Host
	inFleet              bool // the worker is in the list of workers
	holdLoopRunning      bool // the hold loop of the worker runs
	reconciled           bool // the task lists were compared in this epoch, and the lease has not expired since
	incarnation          int64
	namesStart           bool // entries of the worker say when it started
	used                 vector
	runs                 map[docket.TaskID]*run
	lastHeard            time.Time // when the latest answer arrived
	clockMS              int64     // the worker's clock in the latest answer
	leaseDeadlineMS      int64     // latest end of a lease that anyone may have granted, on the worker's clock
	unansweredDeadlineMS int64     // deadline in the hold that is not answered yet, 0 if it has none
	deadlineSentAt       time.Time // when a deadline was last sent, also to an earlier life
	unresponsive         bool      // the latest hold was not answered
	endsSeen             uint64    // ends up to this number are applied to the docket
	endsStored           uint64    // ends up to this number are durable
	wake                 chan struct{}
	unansweredStarts     []unansweredStart
	startsSuspendedUntil time.Time     // no starts are sent before
	unlistedSince        time.Time     // when the worker left the list
	listedAddress        string        // address in the list, which may not be the worker's
	answeredAt           string        // address at which this incarnation has answered
	misdirected          bool          // another process has answered the latest hold that was answered
	processEnded         bool          // this incarnation's process has certainly ended
	expired              []*run        // runs of this incarnation that were lost with its lease
	unsettled            int           // runs that have not settled, see package crash
	trials               int           // runs beside which nothing may start, see crash.Trial
	clearedFor           docket.StepID // a gang for which runs were preempted, and the worker is earmarked until clearedUntil
	clearedUntil         time.Time
	keptFor              docket.StepID // a step for which the worker is kept until keptUntil
	keptUntil            time.Time
	noHoldSince          time.Time     // since when no hold is open, zero while one is
	unwatched            time.Duration // before the open hold, since the latest answer, see unwatchedFor
	heldBack             []*run        // starts that wait for an answer
	refused              bool          // it has refused a connection since its last answer, and its process seems to have ended
	aside                use
}

func (c *Cell) workerByID(id string) *worker {
	w, ok := c.workers[id]
	if !ok {
		w = &worker{host: Host{ID: id}, runs: map[docket.TaskID]*run{}, wake: make(chan struct{}, 1)}
		c.workers[id] = w
		at, _ := c.position(id)
		c.byName = slices.Insert(c.byName, at, w)
	}
	return w
}

// position returns where the worker stands, or would stand, in byName.
func (c *Cell) position(id string) (int, bool) {
	return slices.BinarySearchFunc(c.byName, id, func(w *worker, id string) int { return strings.Compare(w.host.ID, id) })
}

// removeWorker forgets a worker.
func (c *Cell) removeWorker(w *worker) {
	delete(c.workers, w.host.ID)
	if at, ok := c.position(w.host.ID); ok {
		c.byName = slices.Delete(c.byName, at, at+1)
	}
	c.quarantine.RemoveWorker(w.host.ID)
}

func (c *Cell) startHoldLoop(w *worker) {
	if w.holdLoopRunning {
		return
	}
	w.holdLoopRunning = true
	c.group.Go(func() error { return c.holdLoop(c.ctx, w) })
}

// holdLoop renews the worker's lease and reads its task lists until ctx ends or the
// worker is removed.
func (c *Cell) holdLoop(ctx context.Context, w *worker) error {
	for ctx.Err() == nil {
		var o HoldRequest
		var h Host
		removed := false
		if c.loop.Do(ctx, func() { o, h, removed = c.nextHold(w) }) != nil || removed {
			return nil
		}
		sent := time.Now()
		call, cancel := context.WithTimeout(ctx, o.Wait+holdTimeoutSlack)
		report, err := c.Orders.Hold(call, &h, o)
		heard := time.Now()
		cancel()
		pause := time.Duration(0)
		if c.loop.Do(ctx, func() { pause = c.handleHoldAnswer(w, &h, o, report, sent, heard, err) }) != nil {
			return nil
		}
		if pause == 0 {
			continue
		}
		select {
		case <-w.wake:
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return nil
}

// nextHold returns the next hold for the worker, or removes the worker and returns
// true if it is not needed any more.
func (c *Cell) nextHold(w *worker) (o HoldRequest, h Host, removed bool) {
	const forgetAfter = 15 * time.Second
	if !w.inFleet && len(w.runs) == 0 && time.Since(w.unlistedSince) > forgetAfter && time.Since(w.lastHeard) > silenceTimeout {
		w.holdLoopRunning = false
		c.append(docket.ReachWorker(w.host.ID, "", 0), nil)
		c.removeWorker(w)
		return o, h, true
	}
	o = HoldRequest{Epoch: c.Epoch(), Confirmed: w.endsStored, Wait: holdWait, NewConnection: w.misdirected}
	if w.trials > 0 || w.aside != forAll {
		o.Wait = w.settlesIn(time.Now())
	}
	w.unwatched, w.noHoldSince = w.unwatchedFor(time.Now()), time.Time{}
	if !w.reconciled || w.unwatched > maxUnwatched || len(w.heldBack) > 0 {
		o.Wait = 0
	}
	if !w.lastHeard.IsZero() && !w.unresponsive {
		o.DeadlineMS = c.leaseDeadline(w)
	}
	if w.unresponsive {
		// The worker may have restarted, and then numbers its ends from 1 again.
		o.Confirmed, o.Wait = 0, 0
	}
	w.unansweredDeadlineMS = o.DeadlineMS
	// The worker may have taken the deadline long before its answer is heard, or without
	// one, so the deadline counts from here on.
	w.leaseDeadlineMS = max(w.leaseDeadlineMS, o.DeadlineMS)
	if o.DeadlineMS != 0 {
		w.deadlineSentAt = time.Now()
	}
	return o, w.host, false
}

// handleHoldAnswer processes the answer to a hold and returns the pause before the
// next one. The answer may have waited for the control loop since it was heard.
func (c *Cell) handleHoldAnswer(w *worker, h *Host, o HoldRequest, r HoldResponse, sent, heard time.Time, err error) time.Duration {
	w.unansweredDeadlineMS = 0
	w.noHoldSince = heard
	defer c.sendHeldBack(w)
	// Holds do not renew the lease of a worker that does not answer. They might reach
	// it all the same, and the lease would never be known to have expired.
	w.unresponsive = err != nil
	if err != nil {
		if errors.Is(err, ErrWorkerRestarted) {
			c.handleMisdirected(w, h, o)
		}
		if errors.Is(err, ErrNotSent) && c.hasAnsweredAt(w, h.Address) {
			c.handleRefused(w, heard)
		}
		c.tryOtherAddress(w)
		return holdRetryInterval
	}
	if h.Address != w.host.Address {
		return holdRetryInterval // the answer came from the previous address of the worker
	}
	if w.incarnation != 0 && r.StartedMS != 0 && r.StartedMS != w.incarnation {
		if r.StartedMS < w.incarnation {
			return holdRetryInterval
		}
		c.handleRestart(w, r.StartedMS)
	}
	if w.incarnation == 0 {
		w.incarnation = r.StartedMS
	}
	if w.lastHeard.IsZero() {
		w.leaseDeadlineMS = max(w.leaseDeadlineMS, c.firstDeadline(w, r.ClockMS, heard))
	}
	moved := w.answeredAt != "" && w.answeredAt != h.Address
	w.lastHeard, w.clockMS, w.answeredAt, w.refused, w.misdirected = heard, r.ClockMS, h.Address, false, false
	w.unwatched = 0
	if moved {
		c.recordAddress(w)
	}
	for _, e := range r.Ended {
		if e.Sequence > w.endsSeen {
			c.handleEnded(w, e)
			w.endsSeen = e.Sequence
		}
	}
	if len(r.Ended) > 0 && w.endsSeen > w.endsStored {
		number, incarnation := w.endsSeen, w.incarnation
		c.afterDurable(c.commits.applied, func() {
			if w.incarnation == incarnation {
				w.endsStored = max(w.endsStored, number)
				w.wakeHold()
			}
		})
	}
	if r.Complete {
		c.reconcile(w, r, sent)
	}
	c.requestPass()
	if w.endsStored < w.endsSeen {
		return unstoredPollInterval
	}
	return 0
}

func (w *worker) wakeHold() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// reconcile compares the runs that the docket has on the worker with the worker's
// lists. A run that is not listed after a hold of this epoch, and was not started
// after that hold, has never run and never will.
func (c *Cell) reconcile(w *worker, r HoldResponse, sent time.Time) {
	first := !w.reconciled
	w.reconciled = true
	listedRuns := make(map[docket.TaskID]RunningTask, len(r.Running))
	for _, t := range r.Running {
		listedRuns[t.Task] = t
	}
	if first {
		c.endEarlierRuns(w, listedRuns)
	}
	for _, t := range r.Running {
		known, ok := w.runs[t.Task]
		if ok && known.number == t.Run {
			continue
		}
		// Its task has ended, or the run was declared lost before its lease expired.
		c.stopUnknownRun(w, t)
	}
	for id, x := range w.runs {
		t, listed := listedRuns[id]
		listed = listed && t.Run == x.number
		switch {
		case listed:
			c.handleRunning(x, t)
		case x.phase == adopted && first:
			c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_REFUSED, "", "not listed")
		case x.phase == adopted:
		case !x.stopAnsweredAt.IsZero() && sent.After(x.stopAnsweredAt):
			c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_REFUSED, "", "stopped before it began")
		}
	}
	if first {
		c.recordAddress(w)
		c.Log.Emit(event.WorkerOpened, "worker", w.host.ID, "epoch", c.Epoch(), "running", len(r.Running), "life", w.incarnation)
	}
}

// endEarlierRuns ends the adopted runs that were started on an earlier incarnation of the
// worker, which has ended before this owner could hear from it. A start may have met this
// incarnation although it was sent to an earlier one; then its run is listed.
func (c *Cell) endEarlierRuns(w *worker, listed map[docket.TaskID]RunningTask) {
	var earlier []*run
	for _, x := range w.runs {
		if t, ok := listed[x.task]; ok && t.Run == x.number {
			x.incarnation = w.incarnation
			continue
		}
		if x.phase == adopted && x.incarnation != 0 && x.incarnation < w.incarnation {
			earlier = append(earlier, x)
		}
	}
	if len(earlier) == 0 {
		return
	}
	c.judgeRuns(w, earlier, "it has started again under an earlier owner")
	for _, x := range earlier {
		c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_LOST, "", "worker restarted")
	}
}

// handleRestart processes a restart of the worker, which ends its runs.
func (c *Cell) handleRestart(w *worker, incarnation int64) {
	c.Log.Emit(event.WorkerRestarted, "worker", w.host.ID, "life", w.incarnation, "next", incarnation, "runs", len(w.runs))
	c.judgeCrash(w, "it has started again")
	for _, x := range w.runs {
		if x.phase != committing && (x.startUnanswered || x.startMayArrive || !x.listed) {
			// The start may still arrive and would then be executed by the restarted
			// worker, or was executed before the restart became known here.
			x.phase = stopping
			x.stopAnsweredAt, x.listed = time.Time{}, false
			x.incarnation = incarnation
			c.sendStop(x)
			continue
		}
		c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_LOST, "", "worker restarted")
	}
	w.incarnation, w.reconciled = incarnation, false
	w.answeredAt, w.misdirected, w.processEnded, w.expired, w.aside = "", false, false, nil, forAll
	w.endsSeen, w.endsStored = 0, 0
	w.leaseDeadlineMS, w.clockMS = 0, 0
	w.lastHeard = time.Time{}
	c.blockUnansweredStarts(w)
	w.wakeHold()
}

// acceptsStarts reports whether tasks may be started on the worker.
func (c *Cell) acceptsStarts(w *worker, now time.Time) bool {
	return w.described() && !w.unresponsive && (w.inFleet || now.Sub(w.unlistedSince) < unlistedGrace) && w.reconciled && !w.host.Draining && now.Sub(w.lastHeard) < silenceTimeout && now.After(w.startsSuspendedUntil) && w.trials == 0 &&
		c.quarantine.Allow(w.host.ID, len(w.runs), now)
}

// silentMS returns the time since the worker's latest answer in milliseconds, -1 if it has
// not answered this owner.
func (w *worker) silentMS(now time.Time) int64 {
	if w.lastHeard.IsZero() {
		return -1
	}
	return now.Sub(w.lastHeard).Milliseconds()
}

// free returns the unallocated resources of the worker.
func (w *worker) free() vector { return w.host.Capacity.Sub(w.used) }
