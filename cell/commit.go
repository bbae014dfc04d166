package cell

import (
	"context"
	"time"

	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	heartbeatInterval = 400 * time.Millisecond // a commit at least this often shows that the owner lives
	ownerFresh        = time.Second            // an owner that was so lately may answer at once
	snapshotRows      = 4000                   // rows of changes before a snapshot replaces them
	stalledAfter      = 700 * time.Millisecond // a commit that takes longer, and twice the usual time, tells that the store is away
	stallInterval     = 300 * time.Millisecond // between two reports of that
	finishTimeout     = 500 * time.Millisecond // for the last commit of a cell that ends
)

// waiter runs when the change of its number is durable.
type waiter struct {
	number uint64
	then   func()
}

// commitLog is what has been applied and not been stored yet. Numbers count
// entries of this owner, from the number of rows that it found.
type commitLog struct {
	pending   []*wire.DocketEntry
	applied   uint64
	durable   uint64
	waiters   []waiter
	checks    []func() // run once a commit that begins later has succeeded
	kick      chan struct{}
	durableAt time.Time // when the newest commit that succeeded was sent
	sentAt    time.Time // when the commit that is not answered yet was first sent, zero if there is none
}

// append applies an entry and stores it; then runs on the loop once it is
// durable. It reports false for an entry that does not fit the docket.
func (c *Cell) append(e *wire.DocketEntry, then func()) bool {
	if err := c.Docket.Apply(e, c.log.applied+1); err != nil {
		c.Log.Emit(event.DocketRefused, "error", err)
		return false
	}
	c.log.applied++
	c.log.pending = append(c.log.pending, e)
	if then != nil {
		c.log.waiters = append(c.log.waiters, waiter{c.log.applied, then})
	}
	c.kick()
	return true
}

// afterDurable runs f once the change of that number is durable, at once if it
// is already.
func (c *Cell) afterDurable(number uint64, f func()) {
	if number <= c.log.durable {
		f()
		return
	}
	// Waiters are kept in order of their numbers; a late one for an early number
	// runs with the next commit that covers it.
	c.log.waiters = append(c.log.waiters, waiter{number, f})
}

// ifOwner runs f once a commit that begins from now on has succeeded, which shows
// that this process still owns the docket. If it does not, f never runs.
func (c *Cell) ifOwner(f func()) {
	c.log.checks = append(c.log.checks, f)
	c.kick()
}

// ifOwnerLately runs f at once if a commit has succeeded lately, or the store does
// not answer and so tells nothing; else as ifOwner.
func (c *Cell) ifOwnerLately(f func()) {
	now := time.Now()
	if now.Sub(c.log.durableAt) < ownerFresh || c.stalled(now) {
		f()
		return
	}
	c.ifOwner(f)
}

func (c *Cell) kick() {
	select {
	case c.log.kick <- struct{}{}:
	default:
	}
}

// commitAll stores what is pending, one row at a time, until ctx ends.
func (c *Cell) commitAll(ctx context.Context) error {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-c.log.kick:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		for {
			begun := time.Now()
			more, err := c.commitOne(ctx)
			if err != nil {
				return err
			}
			wait(ctx, c.Limits.CommitGap-time.Since(begun))
			if !more {
				break
			}
		}
		timer.Reset(heartbeatInterval)
	}
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (c *Cell) commitOne(ctx context.Context) (more bool, err error) {
	var batch []*wire.DocketEntry
	var checks []func()
	if err := c.loop.Do(ctx, func() {
		checks, c.log.checks = c.log.checks, nil
		n := changelog.Fits(c.log.pending)
		batch = c.log.pending[:n:n]
		c.log.pending = c.log.pending[n:]
		c.log.sentAt = time.Now()
	}); err != nil {
		return false, nil
	}
	sent := time.Now()
	// A commit that is on its way is finished also when the cell ends, so that the
	// writer knows the head and can hand the docket over.
	finish, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(finishTimeout, cancel) })()
	if err := c.Writer.Append(finish, batch); err != nil {
		if ctx.Err() != nil {
			return false, nil
		}
		return false, err
	}
	c.Meter.Observe("commit", time.Since(sent))
	left := 0
	if err := c.loop.Do(ctx, func() {
		left = c.stored(len(batch), sent)
		for _, f := range checks {
			f()
		}
	}); err != nil {
		return false, nil
	}
	if left == 0 && c.Writer.Rows() > snapshotRows {
		return false, c.snapshot(ctx)
	}
	return left > 0, nil
}

// stalled reports whether the store does not serve this owner: it turns commits
// away, or one has been open for longer than a slow store takes.
func (c *Cell) stalled(now time.Time) bool {
	open := !c.log.sentAt.IsZero()
	return open && (c.Writer.Refused() || now.Sub(c.log.sentAt) > stalledAfter+2*c.Writer.Usual())
}

// stored notes that a batch is durable and returns how many entries are left.
func (c *Cell) stored(entries int, sent time.Time) int {
	c.log.durable += uint64(entries)
	c.log.durableAt, c.log.sentAt = sent, time.Time{}
	waiters := c.log.waiters
	c.log.waiters = nil
	for _, w := range waiters {
		if w.number <= c.log.durable {
			w.then()
			continue
		}
		c.log.waiters = append(c.log.waiters, w)
	}
	c.touch()
	return len(c.log.pending)
}

// snapshot replaces the rows so far, provided that nothing is pending, since a
// snapshot stands for what is durable.
func (c *Cell) snapshot(ctx context.Context) error {
	var entries []*wire.DocketEntry
	if err := c.loop.Do(ctx, func() {
		if len(c.log.pending) == 0 {
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
