package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/layout"
	"persimmonworks.example/persimmonworks/provider"
)

const (
	layoutTable  = "layout"
	layoutKey    = "layout"
	layoutRetry  = 200 * time.Millisecond
	layoutWait   = 1500 * time.Millisecond // a feed waits so long for a change
	workersQuiet = 1500 * time.Millisecond // no worker has appeared for so long
	workersWait  = 7 * time.Second         // then the layout is made for those that are known
)

// layout returns the division, nil while it is not known, and a channel that is
// closed when it changes.
func (n *Node) layout() (*layout.Layout, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.division, n.divided
}

// divide reads the stored layout, or makes the first one once the workers are
// known, and takes a seat in each docket.
func (n *Node) divide(ctx context.Context) error {
	for ctx.Err() == nil {
		known, err := n.readLayout(ctx)
		if err != nil {
			n.storeFailed(err)
			sleep(ctx, layoutRetry)
			continue
		}
		n.storeAnswered(time.Now())
		if known {
			break
		}
		first, err := n.firstLayout(ctx)
		if err != nil {
			return err
		}
		if err := n.storeLayout(ctx, first, 0); err != nil && !errors.Is(err, provider.ErrConflict) {
			n.storeFailed(err)
			sleep(ctx, layoutRetry)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.division != nil {
		for d := range n.division.Dockets() {
			n.seats = append(n.seats, newSeat(n, d))
		}
		n.Log.Emit(event.LayoutKnown, "dockets", n.division.Dockets())
	}
	return nil
}

// readLayout reports whether there is a stored layout, and takes it in.
func (n *Node) readLayout(ctx context.Context) (bool, error) {
	page, err := n.Tables(layoutTable).Read(ctx, layoutKey, layoutKey+"\x00")
	if err != nil {
		return false, fmt.Errorf("read layout: %w", err)
	}
	return len(page.Rows) > 0, n.takeLayout(page.Rows)
}

// takeLayout takes in the newest of the rows.
func (n *Node) takeLayout(rows []provider.Row) error {
	for _, row := range rows {
		if row.Key != layoutKey {
			continue
		}
		l, err := layout.Decode(row.Value)
		if err != nil {
			return err
		}
		n.mu.Lock()
		if row.Version > n.version {
			n.division, n.version = l, row.Version
			close(n.divided)
			n.divided = make(chan struct{})
		}
		n.mu.Unlock()
	}
	return nil
}

// firstLayout waits until the workers are known and divides them.
func (n *Node) firstLayout(ctx context.Context) (*layout.Layout, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	known := make(chan []cell.Host, 1)
	group.Go(func() error {
		return n.Fleet.Watch(ctx, func(hosts []cell.Host) {
			select {
			case <-known: // only the newest counts
			default:
			}
			known <- hosts
		})
	})
	var hosts []cell.Host
	quiet, end := time.NewTimer(workersQuiet), time.After(workersWait)
	defer quiet.Stop()
	for waiting := true; waiting; {
		select {
		case next := <-known:
			if len(next) != len(hosts) {
				quiet.Reset(workersQuiet)
			}
			hosts = next
		case <-quiet.C:
			waiting = len(hosts) == 0
		case <-end:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	err := ctx.Err()
	cancel()
	if failed := group.Wait(); err == nil && !errors.Is(failed, context.Canceled) {
		err = failed
	}
	l, _ := layout.New(len(hosts)).Assign(byRack(hosts))
	return l, err
}

func byRack(hosts []cell.Host) map[string]int {
	count := map[string]int{}
	for i := range hosts {
		count[hosts[i].Rack]++
	}
	return count
}

// storeLayout stores a layout in place of the version that was read.
func (n *Node) storeLayout(ctx context.Context, l *layout.Layout, version uint64) error {
	value, err := l.Encode()
	if err != nil {
		return err
	}
	_, err = n.Tables(layoutTable).Commit(ctx, changelog.Transaction{
		Require: provider.Row{Key: layoutKey, Version: version},
		Put:     []provider.Row{{Key: layoutKey, Value: value}},
	})
	if err != nil {
		return fmt.Errorf("store layout: %w", err)
	}
	n.Log.Emit(event.LayoutChanged, "dockets", l.Dockets())
	return nil
}

// followLayout takes in changes of the layout. A layout of one docket has none.
func (n *Node) followLayout(ctx context.Context) error {
	l, _ := n.layout()
	if l == nil || l.Dockets() == 1 {
		return nil
	}
	table, after := n.Tables(layoutTable), n.version
	for ctx.Err() == nil {
		page, err := table.Feed(ctx, after, layoutWait)
		if errors.Is(err, changelog.ErrHistoryGone) {
			page, err = table.Read(ctx, layoutKey, layoutKey+"\x00")
		}
		if err == nil {
			err = n.takeLayout(page.Rows)
			after = max(after, page.Version)
		}
		if err != nil {
			sleep(ctx, layoutRetry)
		}
	}
	return nil
}

// share is the part of the list of workers that belongs to one docket. It
// implements cell.Fleet.
type share struct {
	*Node
	docket int
}

// Watch implements cell.Fleet.
func (f *share) Watch(ctx context.Context, changed func([]cell.Host)) error {
	if l, _ := f.layout(); l.Dockets() == 1 {
		return f.Fleet.Watch(ctx, changed)
	}
	var mu sync.Mutex // orders the reports
	var all []cell.Host
	assign := make(chan map[string]int, 1)
	report := func() {
		l, _ := f.layout()
		var mine []cell.Host
		unknown := false
		for i := range all {
			d, ok := l.OfRack(all[i].Rack)
			unknown = unknown || !ok
			if ok && d == f.docket {
				mine = append(mine, all[i])
			}
		}
		if unknown && f.docket == 0 {
			select {
			case assign <- byRack(all):
			default: // one is being handled
			}
		}
		changed(mine)
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return f.Fleet.Watch(ctx, func(hosts []cell.Host) {
			mu.Lock()
			defer mu.Unlock()
			all = hosts
			report()
		})
	})
	group.Go(func() error { return f.assignRacks(ctx, assign) })
	group.Go(func() error {
		for ctx.Err() == nil {
			_, next := f.layout()
			select {
			case <-next:
				mu.Lock()
				report()
				mu.Unlock()
			case <-ctx.Done():
			}
		}
		return nil
	})
	return group.Wait()
}

// assignRacks gives dockets to racks that have none.
func (n *Node) assignRacks(ctx context.Context, found <-chan map[string]int) error {
	for {
		select {
		case racks := <-found:
			n.assign(ctx, racks)
		case <-ctx.Done():
			return nil
		}
	}
}

// assign stores dockets for the racks, unless another process does so first.
func (n *Node) assign(ctx context.Context, racks map[string]int) {
	for ctx.Err() == nil {
		n.mu.Lock()
		l, version := n.division, n.version
		n.mu.Unlock()
		next, changes := l.Assign(racks)
		if !changes {
			return
		}
		if err := n.storeLayout(ctx, next, version); err != nil && !errors.Is(err, provider.ErrConflict) {
			n.Log.Emit(event.LayoutRefused, "error", err)
		}
		if _, err := n.readLayout(ctx); err != nil {
			sleep(ctx, layoutRetry)
		}
	}
}
