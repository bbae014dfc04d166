package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/layout"
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	layoutTable       = "layout"
	layoutKey         = "layout"
	hostTable         = "hosts"
	hostsEnd          = "~" // greater than the name of any process
	layoutRetry       = 200 * time.Millisecond
	workersSettleTime = 1500 * time.Millisecond // the list of workers counts as complete when its length has not changed for this long
	maxWorkersWait    = 7 * time.Second         // after this the layout is created for the workers known so far
)

// currentLayout returns the layout, or nil while it is not known, and a channel that
// is closed when it changes.
func (n *Node) currentLayout() (*layout.Layout, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storedLayout, n.layoutUpdated
}

// initLayout reads the stored layout, or creates and stores the first one once the
// workers are known. It then creates a participant for each docket.
func (n *Node) initLayout(ctx context.Context) error {
	for ctx.Err() == nil {
		known, err := n.readLayout(ctx)
		if err != nil {
			n.recordStoreFailure(err)
			pause.For(ctx, layoutRetry)
			continue
		}
		n.recordStoreAnswer(time.Now())
		if known {
			break
		}
		n.announceHost(ctx)
		first, err := n.createLayout(ctx)
		if err != nil {
			return err
		}
		if err := n.storeLayout(ctx, first, 0); err != nil && !errors.Is(err, provider.ErrConflict) {
			n.recordStoreFailure(err)
			pause.For(ctx, layoutRetry)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storedLayout != nil {
		for d := range n.storedLayout.Dockets() {
			n.participants = append(n.participants, newParticipant(n, d))
		}
		n.Log.Emit(event.LayoutKnown, "dockets", n.storedLayout.Dockets())
	}
	return nil
}

// readLayout reads and applies the stored layout. It reports whether there is one.
func (n *Node) readLayout(ctx context.Context) (bool, error) {
	page, err := n.Tables(layoutTable).Read(ctx, layoutKey, layoutKey+"\x00")
	if err != nil {
		return false, fmt.Errorf("read layout: %w", err)
	}
	return len(page.Rows) > 0, n.applyLayoutRows(page.Rows)
}

// applyLayoutRows replaces the current layout if the rows contain a newer one.
func (n *Node) applyLayoutRows(rows []provider.Row) error {
	for _, row := range rows {
		if row.Key != layoutKey {
			continue
		}
		l, err := layout.Decode(row.Value)
		if err != nil {
			return err
		}
		n.mu.Lock()
		if row.Version > n.layoutVersion {
			n.storedLayout, n.layoutVersion = l, row.Version
			close(n.layoutUpdated)
			n.layoutUpdated = make(chan struct{})
		}
		n.mu.Unlock()
	}
	return nil
}

// createLayout waits until the workers are known and computes the first layout. It
// does not store it.
func (n *Node) createLayout(ctx context.Context) (*layout.Layout, error) {
	workers, err := n.awaitWorkers(ctx)
	if err != nil {
		return nil, err
	}
	l, _ := layout.New(len(workers), n.knownCores(ctx)).Assign(countByRack(workers))
	return l, nil
}

// awaitWorkers returns the list of workers once it has settled.
func (n *Node) awaitWorkers(ctx context.Context) ([]cell.Host, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	known := make(chan []cell.Host, 1)
	group.Go(func() error {
		return n.Fleet.Watch(ctx, func(hosts []cell.Host) {
			select {
			case <-known: // replace an unread older list
			default:
			}
			known <- hosts
		})
	})
	var hosts []cell.Host
	settled, end := time.NewTimer(workersSettleTime), time.After(maxWorkersWait)
	defer settled.Stop()
	for waiting := true; waiting; {
		select {
		case next := <-known:
			if len(next) != len(hosts) {
				settled.Reset(workersSettleTime)
			}
			hosts = next
		case <-settled.C:
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
	return hosts, err
}

// announceHost stores the strength of this host for the process that makes the first
// layout. A failure only leaves the host out of account.
func (n *Node) announceHost(ctx context.Context) {
	value, err := proto.Marshal(&wire.DocketHost{Cores: n.Identity.Cores})
	if err == nil {
		_, err = n.Tables(hostTable).Commit(ctx, changelog.Transaction{
			Require: provider.Row{Key: n.Identity.Name},
			Put:     []provider.Row{{Key: n.Identity.Name, Value: value}},
		})
	}
	if err != nil && !errors.Is(err, provider.ErrConflict) {
		n.Log.Emit(event.HostNotAnnounced, "error", err)
	}
}

// knownCores returns the cores of all hosts that have announced themselves, or of this
// host alone if they cannot be read.
func (n *Node) knownCores(ctx context.Context) []float64 {
	var cores []float64
	from := ""
	for {
		page, err := n.Tables(hostTable).Read(ctx, from, hostsEnd)
		if err != nil {
			n.Log.Emit(event.HostsUnknown, "error", err)
			return []float64{n.Identity.Cores}
		}
		for _, row := range page.Rows {
			from = row.Key + "\x00"
			h := &wire.DocketHost{}
			if err := proto.Unmarshal(row.Value, h); err != nil {
				n.Log.Emit(event.EntryUnreadable, "entry", row.Key, "error", err)
				continue
			}
			cores = append(cores, h.GetCores())
		}
		if !page.More || len(page.Rows) == 0 {
			return cores
		}
	}
}

func countByRack(hosts []cell.Host) map[string]int {
	count := map[string]int{}
	for i := range hosts {
		count[hosts[i].Rack]++
	}
	return count
}

// storeLayout stores a layout if the stored one still has the given version, 0
// meaning that none is stored.
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

// assignRacks assigns dockets to racks that have none, for each count of workers by
// rack that it receives.
func (n *Node) assignRacks(ctx context.Context, unassigned <-chan map[string]int) error {
	for {
		select {
		case racks := <-unassigned:
			n.storeAssignments(ctx, racks)
		case <-ctx.Done():
			return nil
		}
	}
}

// storeAssignments stores a layout in which every given rack has a docket. It
// returns once such a layout is stored, by this process or by another one.
func (n *Node) storeAssignments(ctx context.Context, racks map[string]int) {
	for ctx.Err() == nil {
		n.mu.Lock()
		current, version := n.storedLayout, n.layoutVersion
		n.mu.Unlock()
		next, changed := current.Assign(racks)
		if !changed {
			return
		}
		if err := n.storeLayout(ctx, next, version); err != nil && !errors.Is(err, provider.ErrConflict) {
			n.Log.Emit(event.LayoutNotStored, "error", err)
		}
		if _, err := n.readLayout(ctx); err != nil {
			pause.For(ctx, layoutRetry)
		}
	}
}
