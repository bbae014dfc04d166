package cell

import (
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
	silenceTimeout = 2200 * time.Millisecond
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
	endsForgotten        uint64    // and the worker has answered that it need not list them
	wake                 chan struct{}
	unansweredStarts     []unansweredStart
	startsSuspendedUntil time.Time     // no starts are sent before
	unlistedSince        time.Time     // when the worker left the list
	awaitedSince         time.Time     // since when its first answer, or that of its present life, is awaited
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
		w = &worker{host: Host{ID: id}, runs: map[docket.TaskID]*run{}, wake: make(chan struct{}, 1), awaitedSince: time.Now()}
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

// reconcile compares the runs that the docket has on the worker with the worker's
// lists. A run that is not listed after a hold of this epoch, and was not started
// after that hold, has never run and never will.
func (c *Cell) reconcile(w *worker, r HoldResponse, sent time.Time) {
	first := !w.reconciled
	w.reconciled = true
	w.expired = nil // the same life goes on, so it has not crashed under them
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
		if !x.unheard() || x.incarnation == 0 || x.incarnation >= w.incarnation {
			continue
		}
		if t, ok := listed[x.task]; ok && t.Run == x.number {
			x.incarnation = w.incarnation
			continue
		}
		earlier = append(earlier, x)
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
	w.endsSeen, w.endsStored, w.endsForgotten = 0, 0, 0
	w.leaseDeadlineMS, w.clockMS = 0, 0
	w.lastHeard, w.awaitedSince = time.Time{}, time.Now()
	c.blockUnansweredStarts(w)
	w.wakeHold()
}

// acceptsStarts reports whether tasks may be started on the worker.
func (c *Cell) acceptsStarts(w *worker, now time.Time) bool {
	return w.mayStart(now) && c.quarantine.Allow(w.host.ID, len(w.runs), now)
}

// mayStart reports whether tasks may be started on the worker, quarantined or not.
func (w *worker) mayStart(now time.Time) bool {
	return w.described() && !w.unresponsive && (w.inFleet || now.Sub(w.unlistedSince) < unlistedGrace) && w.reconciled && !w.host.Draining && now.Sub(w.lastHeard) < silenceTimeout && now.After(w.startsSuspendedUntil) && w.trials == 0
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
