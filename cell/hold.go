package cell

import (
	"context"
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/docket"
)

const (
	holdWait             = 1000 * time.Millisecond // how long a worker may delay the answer to a hold until a task ends
	holdTimeoutSlack     = 700 * time.Millisecond  // added to the wait before a hold times out
	holdRetryInterval    = 150 * time.Millisecond
	unstoredPollInterval = 500 * time.Millisecond // between two holds while ends cannot be stored
)

// holdCall is a hold and what came of it.
type holdCall struct {
	host     Host // as it was called
	request  HoldRequest
	response HoldResponse
	err      error
	sent     time.Time
	heard    time.Time // when the answer arrived; it may have waited for the control loop since
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
		x := c.hold(ctx, h, o)
		pause := time.Duration(0)
		if c.loop.Do(ctx, func() { pause = c.handleHoldAnswer(w, x) }) != nil {
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
	o = HoldRequest{Epoch: c.Epoch(), Wait: holdWait, NewConnection: w.misdirected}
	if w.endsForgotten < w.endsStored {
		// Once is enough. A hold may be carried out late, by the next life of the worker,
		// which would forget ends that nobody has read.
		o.Confirmed = w.endsStored
	}
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

// hold sends a hold and waits for the answer.
func (c *Cell) hold(ctx context.Context, h Host, o HoldRequest) *holdCall {
	x := &holdCall{host: h, request: o, sent: time.Now()}
	call, cancel := context.WithTimeout(ctx, o.Wait+holdTimeoutSlack)
	defer cancel()
	x.response, x.err = c.Orders.Hold(call, &h, o)
	x.heard = time.Now()
	return x
}

// handleHoldAnswer processes what came of a hold and returns the pause before the next one.
func (c *Cell) handleHoldAnswer(w *worker, x *holdCall) time.Duration {
	w.unansweredDeadlineMS = 0
	w.noHoldSince = x.heard
	defer c.sendHeldBack(w)
	// Holds do not renew the lease of a worker that does not answer. They might reach
	// it all the same, and the lease would never be known to have expired.
	w.unresponsive = x.err != nil
	if x.err != nil {
		c.handleHoldFailure(w, x)
		return holdRetryInterval
	}
	r := &x.response
	if x.host.Address != w.host.Address {
		return holdRetryInterval // the answer came from the previous address of the worker
	}
	if w.incarnation != 0 && r.StartedMS != 0 && r.StartedMS != w.incarnation {
		if r.StartedMS < w.incarnation {
			// An earlier life cannot answer, so this is a process whose time of day was set
			// back, or another one. Its lease is not renewed.
			w.unresponsive = true
			return holdRetryInterval
		}
		c.handleRestart(w, r.StartedMS)
	}
	c.noteAnswer(w, x)
	if x.request.Confirmed <= w.endsStored { // it is above after a restart
		w.endsForgotten = max(w.endsForgotten, x.request.Confirmed)
	}
	c.handleEnds(w, r.Ended)
	if r.Complete {
		c.reconcile(w, *r, x.sent)
	}
	c.requestPass()
	if w.endsStored < w.endsSeen {
		return unstoredPollInterval
	}
	return 0
}

// handleHoldFailure processes that a hold was not answered by the worker.
func (c *Cell) handleHoldFailure(w *worker, x *holdCall) {
	if errors.Is(x.err, ErrWorkerRestarted) {
		c.handleMisdirected(w, &x.host, x.request)
	}
	if errors.Is(x.err, ErrNotSent) && c.hasAnsweredAt(w, x.host.Address) {
		c.handleRefused(w, x.heard)
	}
	c.tryOtherAddress(w)
}

// noteAnswer records when, where and as which incarnation the worker has answered.
func (c *Cell) noteAnswer(w *worker, x *holdCall) {
	r := &x.response
	if w.incarnation == 0 {
		w.incarnation = r.StartedMS
	}
	if w.lastHeard.IsZero() {
		w.leaseDeadlineMS = max(w.leaseDeadlineMS, c.firstDeadline(w, r.ClockMS, x.heard))
	}
	moved := w.answeredAt != "" && w.answeredAt != x.host.Address
	w.lastHeard, w.clockMS, w.answeredAt = x.heard, r.ClockMS, x.host.Address
	w.refused, w.misdirected, w.unwatched = false, false, 0
	if moved {
		c.recordAddress(w)
	}
}

// handleEnds processes the ends that the worker lists. They are acknowledged to it once they
// are durable.
func (c *Cell) handleEnds(w *worker, ended []EndedTask) {
	for _, e := range ended {
		if e.Sequence > w.endsSeen {
			c.handleEnded(w, e)
			w.endsSeen = e.Sequence
		}
	}
	if len(ended) == 0 || w.endsSeen <= w.endsStored {
		return
	}
	number, incarnation := w.endsSeen, w.incarnation
	c.afterDurable(c.commits.applied, func() {
		if w.incarnation == incarnation {
			w.endsStored = max(w.endsStored, number)
			w.wakeHold()
		}
	})
}

func (w *worker) wakeHold() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
