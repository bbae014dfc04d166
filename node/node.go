// Package node makes one process of the scheduler: it takes part in owning the
// dockets, and passes callers' requests to their owners.
//
// The jobs and workers of a deployment are divided among dockets (package
// layout). Any process may own any docket. The owner shows that it lives by
// changing the head of the changelog; a process that has read the store and seen
// no change for a while takes the docket over. An owner that the store does not
// serve asks the others to take over. Safety does not depend on that timing: the
// store refuses a deposed writer, and workers refuse a lower epoch.
//
// A few processes follow each docket, to be ready; the others follow one only
// when its owner stays away. Processes also tell each other the newest owners
// that they know of, so that one that is cut from the store still finds them.
//
// Usage:
//
//	n := &node.Node{Identity: i, Tables: t, Orders: o, Advisor: a, Fleet: f, Log: l, Limits: x}
//	n.Prepare()
//	group.Go(func() error { return n.Run(ctx) })
//	err := n.Submit(ctx, job)
package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/exchange"
	"persimmonworks.example/persimmonworks/layout"
)

// Node is one process. Set the exported fields, then call Prepare and Run.
type Node struct {
	Identity exchange.Hello
	Tables   func(name string) changelog.Table
	Orders   cell.Orders
	Advisor  advice.Advisor
	Fleet    cell.Fleet
	Log      event.Emitter
	Meter    cell.Meter
	Limits   cell.Limits
	Writes   float64 // calls a second that change the store, for all processes; 0 for no limit

	client  exchange.Client
	leaving chan struct{}
	begun   time.Time

	mu       sync.Mutex
	division *layout.Layout
	version  uint64        // of the stored layout
	divided  chan struct{} // closed when the layout changes
	seats    []*seat       // by docket; empty until the layout is known
	peers    map[string]peer
	released time.Time // when a docket was last given to a stronger host
	storeOK  time.Time // newest answer of the store
	storeBad bool
}

// Prepare must be called before any other method.
func (n *Node) Prepare() {
	n.leaving = make(chan struct{})
	n.divided = make(chan struct{})
	n.peers = map[string]peer{}
	n.begun = time.Now()
}

// Run works until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := n.divide(ctx); err != nil {
			return err
		}
		for _, s := range n.allSeats() {
			group.Go(func() error { return s.follow(ctx) })
			group.Go(func() error { return s.yieldWhenStalled(ctx) })
		}
		return n.followLayout(ctx)
	})
	group.Go(func() error { return n.greet(ctx) })
	return group.Wait()
}

// Leave makes the process give its dockets up and take none again. It returns
// when that is done or ctx ends.
func (n *Node) Leave(ctx context.Context) {
	close(n.leaving)
	for _, s := range n.allSeats() {
		select {
		case <-s.left:
		case <-ctx.Done():
		}
	}
}

func (n *Node) isLeaving() bool {
	select {
	case <-n.leaving:
		return true
	default:
		return false
	}
}

// Connected reports whether the process can serve callers: it owns at least half
// of the dockets, or their owners have answered lately.
func (n *Node) Connected() bool {
	seats, reached := n.allSeats(), 0
	for _, s := range seats {
		if s.connected() {
			reached++
		}
	}
	return reached > 0 && 2*reached >= len(seats)
}

func (n *Node) allSeats() []*seat {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seats
}

// seat returns the process's part in a docket, nil while the layout is not known.
func (n *Node) seat(docket int) *seat {
	seats := n.allSeats()
	if docket < 0 || docket >= len(seats) {
		return nil
	}
	return seats[docket]
}

// seatOf returns the process's part in the docket of a job.
func (n *Node) seatOf(job string) *seat {
	l, _ := n.layout()
	if l == nil {
		return nil
	}
	return n.seat(l.OfJob(job))
}

// owned returns how many dockets each process owns, by address.
func (n *Node) owned() map[string]int {
	count := map[string]int{}
	for _, s := range n.allSeats() {
		if v, _ := s.current(); v.address != "" {
			count[v.address]++
		}
	}
	return count
}

func (n *Node) storeFailed(err error) {
	n.mu.Lock()
	was := n.storeBad
	n.storeBad = true
	n.mu.Unlock()
	if !was {
		n.Log.Emit(event.StoreLost, "error", err)
	}
}

func (n *Node) storeAnswered(now time.Time) {
	n.mu.Lock()
	was := n.storeBad
	n.storeBad, n.storeOK = false, now
	n.mu.Unlock()
	if was {
		n.Log.Emit(event.StoreRegained)
	}
}

// storeServes reports whether the store has answered lately, and since when.
func (n *Node) storeServes() (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeOK, !n.storeBad
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
