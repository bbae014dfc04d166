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
	drainingLease        = 3 * time.Second // lease of a worker that has announced its shutdown
	maxClockDrift        = 0.02            // a worker's clock may be slow by this share
	leaseExpirySlack     = 300 * time.Millisecond
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
	unresponsive         bool      // the latest hold was not answered
	endsSeen             uint64    // ends up to this number are applied to the docket
	endsStored           uint64    // ends up to this number are durable
	wake                 chan struct{}
	unansweredStarts     []unansweredStart
	startsSuspendedUntil time.Time     // no starts are sent before
	unlistedSince        time.Time     // when the worker left the list
	listedAddress        string        // address in the list, which may not be the worker's
	answeredAt           string        // address at which this incarnation has answered
	processEnded         bool          // this incarnation's process has certainly ended
	expired              []*run        // runs of this incarnation that were lost with its lease
	unsettled            int           // runs that have not settled, see package crash
	trials               int           // runs beside which nothing may start, see crash.Trial
	clearedFor           docket.StepID // a gang for which runs were preempted, and the worker is earmarked until clearedUntil
	clearedUntil         time.Time
	keptFor              docket.StepID // a step for which the worker is kept until keptUntil
	keptUntil            time.Time
	refused              bool // it has refused a connection since its last answer, and its process seems to have ended
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

// updateFleet applies the list of workers. It is called from another goroutine.
func (c *Cell) updateFleet(hosts []Host) {
	c.loop.Post(func() {
		now := time.Now()
		listed := make(map[string]bool, len(hosts))
		for _, h := range hosts {
			listed[h.ID] = true
			c.updateHost(h, now)
		}
		for id, w := range c.workers {
			if w.inFleet && !listed[id] {
				w.inFleet, w.unlistedSince = false, now
				c.Log.Emit(event.WorkerUnlisted, "worker", id)
			}
		}
		c.requestPass()
	})
}

func (c *Cell) updateHost(h Host, now time.Time) {
	w := c.workerByID(h.ID)
	if !w.inFleet {
		c.quarantine.AddWorker(h.ID, h.DataCentre)
	}
	if h.Draining && !w.host.Draining {
		c.Log.Emit(event.DrainNotice, "worker", h.ID)
	}
	if h.StartedMS != w.host.StartedMS && w.incarnation != 0 && h.StartedMS != w.incarnation {
		// Anybody may have written the entry: only the worker's own answer ends its runs.
		c.Log.Emit(event.RestartClaimed, "worker", h.ID, "life", w.incarnation, "claimed", h.StartedMS, "runs", len(w.runs),
			"silent-ms", now.Sub(w.lastHeard).Milliseconds())
		w.wakeHold()
	}
	claim := h.Address != w.listedAddress
	w.listedAddress = h.Address
	if at := w.answeringAddress(); at != h.Address {
		if claim {
			c.Log.Emit(event.AddressClaimed, "worker", h.ID, "address", at, "claimed", h.Address)
		}
		h.Address = at
	}
	w.host, w.inFleet = h, true
	w.namesStart = w.namesStart || h.StartedMS != 0
	c.startHoldLoop(w)
}

// answeringAddress returns where the worker can be reached: where it answers, as long as
// it does, and otherwise where the list says.
func (w *worker) answeringAddress() string {
	if w.answeredAt != "" && !w.unresponsive && !w.processEnded {
		return w.answeredAt
	}
	return w.listedAddress
}

// tryOtherAddress changes from the address in the list, at which the worker does not
// answer, to the one where it has answered before, and back. The list may be wrong, or
// the worker may have moved.
func (c *Cell) tryOtherAddress(w *worker) {
	known := w.answeredAt
	if known == "" {
		known, _, _ = c.Docket.WorkerAddress(w.host.ID)
	}
	switch {
	case w.listedAddress == "":
		// Only the address where it has answered is known.
	case w.host.Address == w.listedAddress && known != "" && !w.processEnded:
		w.host.Address = known
	default:
		w.host.Address = w.listedAddress
	}
}

func (c *Cell) startHoldLoop(w *worker) {
	if w.holdLoopRunning {
		return
	}
	w.holdLoopRunning = true
	c.group.Go(func() error { return c.holdLoop(c.ctx, w) })
}

// recordAddress stores where the worker listens, for the next owner.
func (c *Cell) recordAddress(w *worker) {
	address, startedAt, ok := c.Docket.WorkerAddress(w.host.ID)
	if ok && address == w.host.Address && startedAt == w.incarnation {
		return
	}
	c.append(docket.ReachWorker(w.host.ID, w.host.Address, w.incarnation), nil)
}

// reachUnlistedWorkers renews the leases of workers that have runs and are not in the
// list of workers, at the addresses that earlier owners have stored. A worker that is
// cut off from the store, or slow to report there, runs on.
func (c *Cell) reachUnlistedWorkers(now time.Time) {
	for id, w := range c.workers {
		address, startedAt, ok := c.Docket.WorkerAddress(id)
		if w.inFleet || len(w.runs) == 0 || !ok {
			continue
		}
		w.host.Address, w.host.StartedMS, w.unlistedSince = address, startedAt, now
		c.startHoldLoop(w)
	}
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
		cancel()
		pause := time.Duration(0)
		if c.loop.Do(ctx, func() { pause = c.handleHoldAnswer(w, &h, o, report, sent, err) }) != nil {
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
	o = HoldRequest{Epoch: c.Epoch(), Confirmed: w.endsStored, Wait: holdWait}
	if w.trials > 0 || w.aside != forAll {
		o.Wait = w.settlesIn(time.Now())
	}
	if !w.reconciled {
		o.Wait = 0
	}
	if !w.lastHeard.IsZero() && !w.unresponsive {
		o.DeadlineMS = c.leaseDeadline(w)
	}
	if w.unresponsive {
		// The worker may have restarted, and then numbers its ends from 1 again.
		o.Confirmed, o.Wait = 0, 0
	}
	return o, w.host, false
}

// leaseDeadline returns the end of a lease that is renewed now, on the worker's
// clock. Without commits it stops advancing, so that the next owner knows how long
// to wait.
func (c *Cell) leaseDeadline(w *worker) int64 {
	now := time.Now()
	end := now.Add(c.Limits.Lease)
	if w.host.Draining {
		end = now.Add(min(c.Limits.Lease, drainingLease))
	}
	if last := c.commits.lastCommitSentAt.Add(c.Limits.MaxLeaseAfterCommit); end.After(last) {
		end = last
	}
	return w.clockMS + end.Sub(w.lastHeard).Milliseconds()
}

// handleHoldAnswer processes the answer to a hold and returns the pause before the
// next one.
func (c *Cell) handleHoldAnswer(w *worker, h *Host, o HoldRequest, r HoldResponse, sent time.Time, err error) time.Duration {
	now := time.Now()
	if !errors.Is(err, ErrNotSent) {
		w.leaseDeadlineMS = max(w.leaseDeadlineMS, o.DeadlineMS)
	}
	// Holds do not renew the lease of a worker that does not answer. They might reach
	// it all the same, and the lease would never be known to have expired.
	w.unresponsive = err != nil
	if err != nil {
		if errors.Is(err, ErrWorkerRestarted) {
			c.handleMisdirected(w, h)
		}
		if errors.Is(err, ErrNotSent) && c.hasAnsweredAt(w, h.Address) {
			c.handleRefused(w, now)
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
		// Until this answer an earlier owner may have granted any lease; from now on it cannot.
		w.leaseDeadlineMS = max(w.leaseDeadlineMS, r.ClockMS+c.Limits.MaxLease.Milliseconds())
	}
	w.lastHeard, w.clockMS, w.answeredAt, w.refused = now, r.ClockMS, h.Address, false
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
	if first {
		c.endEarlierRuns(w)
	}
	listedRuns := make(map[docket.TaskID]RunningTask, len(r.Running))
	for _, t := range r.Running {
		listedRuns[t.Task] = t
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
// worker, which has ended before this owner could hear from it.
func (c *Cell) endEarlierRuns(w *worker) {
	var earlier []*run
	for _, x := range w.runs {
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
	w.answeredAt, w.processEnded, w.expired, w.aside = "", false, nil, forAll
	w.endsSeen, w.endsStored = 0, 0
	w.leaseDeadlineMS, w.clockMS = 0, 0
	w.lastHeard = time.Time{}
	c.blockUnansweredStarts(w)
	w.wakeHold()
}

// checkLease declares the runs of a worker lost once its lease has certainly expired.
func (c *Cell) checkLease(w *worker, now time.Time) {
	if len(w.runs) == 0 || now.Sub(w.lastHeard) < silenceTimeout {
		return
	}
	if !c.leaseExpired(w, now) {
		return
	}
	c.Log.Emit(event.WorkerClosed, "worker", w.host.ID, "reason", "lease expired", "runs", len(w.runs),
		"silent-ms", now.Sub(w.lastHeard).Milliseconds())
	for _, x := range w.runs {
		if x.phase == committing {
			continue // not sent yet; sendStart will end the run
		}
		c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_LOST, "", "lease expired")
		w.expired = append(w.expired, x)
	}
	w.reconciled = false
}

// leaseExpired reports whether every deadline that the worker may have been given
// has passed on its clock.
func (c *Cell) leaseExpired(w *worker, now time.Time) bool {
	if w.lastHeard.IsZero() || !w.reconciled {
		// An earlier owner may have renewed the lease until it lost the docket.
		maxLease := time.Duration(float64(c.Limits.MaxLease)*(1+maxClockDrift)) + leaseExpirySlack
		return now.Sub(c.startedAt) > maxLease && now.Sub(w.lastHeard) > maxLease
	}
	remaining := time.Duration(w.leaseDeadlineMS-w.clockMS) * time.Millisecond
	return now.Sub(w.lastHeard) > time.Duration(float64(remaining)*(1+maxClockDrift))+leaseExpirySlack
}

// described reports whether the entry in the list is of the incarnation that has answered:
// another one may have other labels, another capacity or another service.
func (w *worker) described() bool {
	switch {
	case w.incarnation == 0:
		return true // its answers do not say which it is
	case w.host.StartedMS == 0:
		return !w.namesStart
	}
	return w.host.StartedMS == w.incarnation
}

// acceptsStarts reports whether tasks may be started on the worker.
func (c *Cell) acceptsStarts(w *worker, now time.Time) bool {
	return w.described() && !w.unresponsive && (w.inFleet || now.Sub(w.unlistedSince) < unlistedGrace) && w.reconciled && !w.host.Draining && now.Sub(w.lastHeard) < silenceTimeout && now.After(w.startsSuspendedUntil) && w.trials == 0 &&
		c.quarantine.Allow(w.host.ID, len(w.runs), now)
}

// free returns the unallocated resources of the worker.
func (w *worker) free() vector { return w.host.Capacity.Sub(w.used) }
