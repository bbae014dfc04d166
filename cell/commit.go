package cell

import (
	"context"
	"time"

	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	heartbeatInterval     = 400 * time.Millisecond // maximum time between two commits, which show that the owner is alive
	ownershipFreshFor     = time.Second            // for this long after a commit the owner answers without another check
	maxRowsBeforeSnapshot = 4000                   // rows of changes before a snapshot replaces them
	// A commit that takes longer than minStallTimeout plus twice the usual time
	// means that the store is unavailable.
	minStallTimeout     = 700 * time.Millisecond
	stallReportInterval = 300 * time.Millisecond // between two calls of OnStoreStalled
	finalCommitTimeout  = 500 * time.Millisecond // for the last commit of a cell that ends
)

// durableWaiter is a callback that runs once the entry with the sequence number is
// durable.
type durableWaiter struct {
	sequence uint64
	callback func()
}

// commitLog holds the entries that were applied to the docket and are not durable
// yet. Sequence numbers count the entries of this owner, starting from the number
// of rows that it found.
type commitLog struct {
	pending          []*wire.DocketEntry
	applied          uint64
	durable          uint64
	waiters          []durableWaiter
	ownershipChecks  []func() // run once a commit that starts later has succeeded
	wake             chan struct{}
	lastCommitSentAt time.Time // when the latest successful commit was sent, at first that of the takeover
	inFlightSince    time.Time // when the unanswered commit was first sent, zero if there is none
}

// append applies an entry to the docket and queues it for the next commit. The
// callback, unless nil, runs on the control loop once the entry is durable. append
// returns false for an entry that the docket rejects.
func (c *Cell) append(e *wire.DocketEntry, callback func()) bool {
	if err := c.Docket.Apply(e, c.commits.applied+1); err != nil {
		c.Log.Emit(event.DocketEntryRefused, "error", err)
		return false
	}
	c.commits.applied++
	c.commits.pending = append(c.commits.pending, e)
	if callback != nil {
		c.commits.waiters = append(c.commits.waiters, durableWaiter{c.commits.applied, callback})
	}
	c.wakeCommitter()
	return true
}

// afterDurable runs f once the entry with the sequence number is durable, which may
// be at once.
func (c *Cell) afterDurable(sequence uint64, f func()) {
	if sequence <= c.commits.durable {
		f()
		return
	}
	// The waiters are not sorted: one that was added late for an early entry runs with
	// the next commit that covers it.
	c.commits.waiters = append(c.commits.waiters, durableWaiter{sequence, f})
}

// confirmOwnership runs f after a commit that starts from now on has succeeded,
// which proves that this process still owns the docket. If it does not, f never
// runs.
func (c *Cell) confirmOwnership(f func()) {
	c.commits.ownershipChecks = append(c.commits.ownershipChecks, f)
	c.wakeCommitter()
}

// confirmRecentOwnership runs f at once if a commit has succeeded recently, or if
// the store does not answer and can prove nothing. Otherwise it behaves like
// confirmOwnership.
func (c *Cell) confirmRecentOwnership(f func()) {
	now := time.Now()
	if fresh(c.commits.lastCommitSentAt, now, ownershipFreshFor) || c.storeStalled(now) {
		f()
		return
	}
	c.confirmOwnership(f)
}

func (c *Cell) wakeCommitter() {
	select {
	case c.commits.wake <- struct{}{}:
	default:
	}
}

// commitLoop commits pending entries, one row at a time, until ctx ends.
func (c *Cell) commitLoop(ctx context.Context) error {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-c.commits.wake:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		for {
			begun := time.Now()
			more, err := c.commitBatch(ctx)
			if err != nil {
				return err
			}
			pause.For(ctx, c.Limits.MinCommitInterval-time.Since(begun))
			if !more {
				break
			}
		}
		timer.Reset(heartbeatInterval)
	}
}

func (c *Cell) commitBatch(ctx context.Context) (more bool, err error) {
	var batch []*wire.DocketEntry
	var checks []func()
	if err := c.loop.Do(ctx, func() {
		checks, c.commits.ownershipChecks = c.commits.ownershipChecks, nil
		n := changelog.CountFitting(c.commits.pending)
		batch = c.commits.pending[:n:n]
		c.commits.pending = c.commits.pending[n:]
		c.commits.inFlightSince = time.Now()
	}); err != nil {
		return false, nil
	}
	sent := time.Now()
	// Finish a commit in flight even if the cell ends, so that the writer knows the
	// head of the log and can hand over the docket.
	commitCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(finalCommitTimeout, cancel) })()
	if err := c.Writer.Append(commitCtx, batch); err != nil {
		if ctx.Err() != nil {
			return false, nil
		}
		return false, err
	}
	c.Meter.Observe("commit", time.Since(sent))
	left := 0
	if err := c.loop.Do(ctx, func() {
		left = c.markDurable(len(batch), sent)
		for _, f := range checks {
			f()
		}
	}); err != nil {
		return false, nil
	}
	if left == 0 && c.Writer.Rows() > maxRowsBeforeSnapshot {
		return false, c.snapshot(ctx)
	}
	return left > 0, nil
}

// storeStalled reports whether the store does not serve this owner: it rejects
// commits, or one has been in flight for longer than a slow store takes.
func (c *Cell) storeStalled(now time.Time) bool {
	inFlight := !c.commits.inFlightSince.IsZero()
	return inFlight && (c.Writer.StoreUnavailable() || now.Sub(c.commits.inFlightSince) > minStallTimeout+2*c.Writer.AverageLatency())
}

// markDurable records that a batch is durable and returns the number of pending
// entries.
func (c *Cell) markDurable(entries int, sent time.Time) int {
	c.commits.durable += uint64(entries)
	c.commits.lastCommitSentAt, c.commits.inFlightSince = sent, time.Time{}
	waiters := c.commits.waiters
	c.commits.waiters = nil
	for _, w := range waiters {
		if w.sequence <= c.commits.durable {
			w.callback()
			continue
		}
		c.commits.waiters = append(c.commits.waiters, w)
	}
	c.requestPass()
	return len(c.commits.pending)
}

// snapshot replaces the rows so far by a snapshot. It does nothing while entries
// are pending, since a snapshot may hold only what is durable.
func (c *Cell) snapshot(ctx context.Context) error {
	var entries []*wire.DocketEntry
	if err := c.loop.Do(ctx, func() {
		if len(c.commits.pending) == 0 {
			entries = c.Docket.Snapshot()
		}
	}); err != nil || entries == nil {
		return nil
	}
	if err := c.Writer.Snapshot(ctx, entries); err != nil && ctx.Err() == nil {
		return err
	}
	c.Log.Emit(event.DocketSnapshot, "entries", len(entries))
	return nil
}
