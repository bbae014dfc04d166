package node

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/pause"
)

// docketFleet restricts the list of workers to those that belong to one docket. It
// implements cell.Fleet.
type docketFleet struct {
	*Node
	docket int
}

// Watch implements cell.Fleet.
func (f *docketFleet) Watch(ctx context.Context, changed func([]cell.Host)) error {
	if l, _ := f.currentLayout(); l.Dockets() == 1 {
		return f.Fleet.Watch(ctx, changed)
	}
	w := &docketWatch{docketFleet: f, changed: changed, racks: make(chan map[string]int, 1), claim: make(chan []string, 1), claimed: map[string]string{}}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.Fleet.Watch(ctx, w.update) })
	group.Go(func() error { return f.assignRacks(ctx, w.racks) })
	group.Go(func() error { return w.claimWorkers(ctx) })
	group.Go(func() error { return w.followLayout(ctx) })
	return group.Wait()
}

// docketWatch is one watch of the workers of a docket.
type docketWatch struct {
	*docketFleet
	changed func([]cell.Host)
	racks   chan map[string]int // workers by rack, where one has no docket
	claim   chan []string       // workers to claim for the docket

	mu      sync.Mutex // serialises reports
	all     []cell.Host
	claimed map[string]string // racks of other dockets that entries of workers name, logged
}

func (w *docketWatch) update(hosts []cell.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = hosts
	w.report()
}

// report tells the workers of the docket, and has those claimed and assigned that are not yet.
// The caller must hold w.mu.
func (w *docketWatch) report() {
	l, _ := w.currentLayout()
	w.noteWorkers(w.all, l)
	var own []cell.Host
	var unclaimed []string
	unassigned := false
	for i := range w.all {
		h := &w.all[i]
		byRack, ok := l.RackDocket(h.Rack)
		unassigned = unassigned || !ok
		docket, claimed := w.claims.docketOf(h.ID)
		if claimed && docket == w.docket {
			own = append(own, *h)
		}
		switch {
		case !ok || byRack != w.docket:
		case claimed && docket != w.docket:
			w.logClaim(h, docket)
		case !w.claims.isStored(h.ID):
			unclaimed = append(unclaimed, h.ID)
		}
	}
	if unassigned && w.docket == 0 {
		replace(w.racks, countByRack(w.all))
	}
	if len(unclaimed) > 0 {
		replace(w.claim, unclaimed)
	}
	w.changed(own)
}

// logClaim logs, once for each rack, that an entry names a rack of this docket for a worker of
// another one.
func (w *docketWatch) logClaim(h *cell.Host, docket int) {
	if w.claimed[h.ID] == h.Rack {
		return
	}
	w.claimed[h.ID] = h.Rack
	w.Log.Emit(event.RackClaimed, "worker", h.ID, "claimed", h.Rack, "of-docket", w.docket, "docket", docket)
	w.Meter.Count("worker-entries", "other-docket")
}

// replace puts a value into a channel with room for one, in place of an older one.
func replace[T any](c chan T, value T) {
	select {
	case <-c:
	default:
	}
	select {
	case c <- value:
	default:
	}
}

// claimWorkers claims workers for the docket and reports those that it has got.
func (w *docketWatch) claimWorkers(ctx context.Context) error {
	for {
		select {
		case workers := <-w.claim:
			if err := w.claims.claim(ctx, workers, w.docket); err != nil {
				w.Log.Emit(event.ClaimsNotStored, "docket", w.docket, "workers", len(workers), "error", err)
				pause.For(ctx, layoutRetry)
			}
			w.mu.Lock()
			w.report()
			w.mu.Unlock()
		case <-ctx.Done():
			return nil
		}
	}
}

// followLayout reports again when the layout has changed.
func (w *docketWatch) followLayout(ctx context.Context) error {
	for ctx.Err() == nil {
		_, next := w.currentLayout()
		select {
		case <-next:
			w.mu.Lock()
			w.report()
			w.mu.Unlock()
		case <-ctx.Done():
		}
	}
	return nil
}
