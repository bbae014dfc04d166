package node

import (
	"context"
	"errors"
	"time"

	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/pause"
)

const (
	layoutFeedWait       = 1500 * time.Millisecond // longest wait of one feed call for a change
	layoutRereadInterval = 30 * time.Second        // after which a change is found whose notice was missed
)

// layoutFeed follows the stored layout.
type layoutFeed struct {
	*Node
	table    changelog.Table
	after    uint64    // version up to which changes are known
	readAt   time.Time // when the layout itself was last read
	failures int       // calls that have failed since the last answer
}

// followLayout applies changes of the stored layout until ctx ends. A layout with a
// single docket never changes.
func (n *Node) followLayout(ctx context.Context) error {
	l, _ := n.currentLayout()
	if l == nil || l.Dockets() == 1 {
		return nil
	}
	f := &layoutFeed{Node: n, table: n.Tables(layoutTable), after: n.layoutVersion, readAt: time.Now()}
	for ctx.Err() == nil {
		pause.For(ctx, f.next(ctx))
	}
	return nil
}

// next waits for a change, or reads the layout if that is due, and applies it. It returns
// the time until the next call.
func (f *layoutFeed) next(ctx context.Context) time.Duration {
	if time.Since(f.readAt) >= layoutRereadInterval {
		return f.outcome(ctx, f.read(ctx))
	}
	page, err := f.table.Feed(ctx, f.after, layoutFeedWait)
	if errors.Is(err, changelog.ErrHistoryGone) {
		return max(layoutRetry, f.outcome(ctx, f.read(ctx)))
	}
	if err == nil {
		err = f.apply(page)
	}
	return f.outcome(ctx, err)
}

func (f *layoutFeed) read(ctx context.Context) error {
	page, err := f.table.Read(ctx, layoutKey, layoutKey+"\x00")
	if err != nil {
		return err
	}
	f.readAt = time.Now()
	return f.apply(page)
}

func (f *layoutFeed) apply(page changelog.Page) error {
	f.after = max(f.after, page.Version)
	return f.applyLayoutRows(page.Rows)
}

// outcome logs when the feed is lost and when it is back, and returns the time until the
// next call.
func (f *layoutFeed) outcome(ctx context.Context, err error) time.Duration {
	switch {
	case err == nil:
		if f.failures > 0 {
			f.Log.Emit(event.FeedRegained, "table", layoutTable, "failures", f.failures)
		}
		f.failures = 0
		return 0
	case ctx.Err() != nil:
		return 0
	case f.failures == 0:
		f.Log.Emit(event.FeedLost, "table", layoutTable, "error", err)
	}
	f.failures++
	return layoutRetry
}
