package cell

import (
	"maps"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	drainingLease    = 3 * time.Second // lease of a worker that has announced its shutdown
	maxClockDrift    = 0.02            // a worker's clock may be slow by this share
	leaseExpirySlack = 300 * time.Millisecond
)

// leaseDeadline returns the end of a lease that is renewed now, on the worker's
// clock. Without commits it stops advancing, so that the next owner knows how long
// to wait.
func (c *Cell) leaseDeadline(w *worker) int64 {
	now := time.Now()
	lease := c.Limits.Lease
	if w.host.Draining {
		lease = min(lease, drainingLease)
	}
	sinceCommit := elapsed(steadyAndTimeOfDay(c.commits.lastCommitSentAt, now))
	end := now.Add(grantable(lease, c.Limits.MaxLeaseAfterCommit, sinceCommit))
	return w.clockMS + end.Sub(w.lastHeard).Milliseconds()
}

// grantable returns for how long a lease may be granted: not past the time after the last
// commit for which the next owner waits. It is negative once that time has passed.
func grantable(lease, mostAfterCommit, sinceCommit time.Duration) time.Duration {
	return min(lease, mostAfterCommit-sinceCommit)
}

// checkLease declares the runs of a worker lost once its lease has certainly expired.
func (c *Cell) checkLease(w *worker, now time.Time) {
	if len(w.runs) == 0 || now.Sub(w.lastHeard) < silenceTimeout {
		return
	}
	if !c.leaseExpired(w, now) {
		return
	}
	w.reconciled = false
	lost := slices.DeleteFunc(slices.Collect(maps.Values(w.runs)), func(x *run) bool {
		// A start that is not sent yet is ended by sendStart.
		return x.phase == committing || c.mayRunOnNextLife(x, now)
	})
	if len(lost) == 0 {
		return
	}
	c.Log.Emit(event.WorkerClosed, "worker", w.host.ID, "reason", "lease expired", "runs", len(lost),
		"silent-ms", w.silentMS(now), "epoch", c.Epoch(), "epoch-age-ms", now.Sub(c.startedAt).Milliseconds(),
		"life", w.incarnation, "clock-ms", w.clockMS, "deadline-ms", w.leaseDeadlineMS,
		"unanswered-deadline-ms", w.unansweredDeadlineMS)
	for _, x := range lost {
		c.endRun(x, wire.DocketOutcome_DOCKET_OUTCOME_LOST, "", "lease expired")
	}
	w.expired = append(w.expired, lost...)
}

// leaseExpired reports whether every deadline that the worker may have been given
// has passed on its clock.
func (c *Cell) leaseExpired(w *worker, now time.Time) bool {
	if w.lastHeard.IsZero() {
		// An earlier owner may have renewed the lease until it lost the docket.
		return now.Sub(c.startedAt) > takesAtMost(c.Limits.MaxLease)
	}
	remaining := time.Duration(w.leaseDeadlineMS-w.clockMS) * time.Millisecond
	return now.Sub(w.lastHeard) > takesAtMost(remaining)
}

// takesAtMost returns how long a lease may take that ends after a time on a worker's clock.
func takesAtMost(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*(1+maxClockDrift)) + leaseExpirySlack
}

// leastClock returns the earliest that the clock of the worker's life can show now.
func (w *worker) leastClock(now time.Time) int64 {
	return w.clockMS + int64((1-maxClockDrift)*float64(now.Sub(w.lastHeard).Milliseconds())) - 1
}

// mayRunOnNextLife reports whether the next life of the worker may have been given the run:
// by its own answer to the start, or, where the list shows that life, by a copy that arrived
// late. Deadlines are far ahead of the clock of that life, which began anew: only the longest
// lease bounds it.
func (c *Cell) mayRunOnNextLife(x *run, now time.Time) bool {
	w := x.worker
	if !x.metNextLife && (w.described() || !x.startArrivesUntil.After(w.lastHeard)) {
		return false
	}
	return now.Sub(w.deadlineSentAt) <= maxRequestDelay+takesAtMost(c.Limits.MaxLease)
}

// firstDeadline returns the latest end of the lease of a life that has answered for the
// first time, on its clock. Until this answer an earlier owner may have granted any lease.
// Orders to the life before may still arrive with deadlines that are far ahead of this clock.
func (c *Cell) firstDeadline(w *worker, clockMS int64, heard time.Time) int64 {
	lease := c.Limits.MaxLease
	if !w.deadlineSentAt.IsZero() {
		lease += max(0, maxRequestDelay-heard.Sub(w.deadlineSentAt))
	}
	return clockMS + lease.Milliseconds()
}
