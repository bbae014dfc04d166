// Package node makes one process of the scheduler: it follows the docket, owns
// it when no other process does, and passes callers' requests to the owner.
//
// Any process may own the docket. The owner shows that it lives by changing the
// head of the changelog; a process that has read the store and seen no change
// for a while takes the docket over. An owner that the store does not serve asks
// the others to take over. Safety does not depend on that timing: the store
// refuses a deposed writer, and workers refuse a lower epoch.
//
// Processes also tell each other the newest owner that they know of, so that
// one that is cut from the store still finds it.
//
// Usage:
//
//	n := &node.Node{Identity: i, Table: t, Orders: o, Advisor: a, Fleet: f, Log: l, Limits: x}
//	n.Prepare()
//	group.Go(func() error { return n.Run(ctx) })
//	err := n.Submit(ctx, job)
package node

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/exchange"
)

// Node is one process. Set the exported fields, then call Prepare and Run.
type Node struct {
	Identity exchange.Hello
	Table    changelog.Table
	Orders   cell.Orders
	Advisor  cell.Advisor
	Fleet    cell.Fleet
	Log      event.Emitter
	Meter    cell.Meter
	Limits   cell.Limits

	client  exchange.Client
	replica *changelog.Replica
	leaving chan struct{}
	left    chan struct{}
	stalled chan uint64 // epochs of this process that the store does not serve

	mu        sync.Mutex
	view      view
	changed   chan struct{} // closed when the view changes
	depose    func()        // ends the cell, nil while this process is not the owner
	interrupt func()        // ends the feed that is waiting
	poked     chan struct{} // ends the pause between two feeds
	peers     map[string]peer
	gone      uint64    // epoch whose owner does not listen any more
	yielded   uint64    // epoch whose owner has asked to take over
	storeOK   time.Time // newest answer of the store
	storeBad  bool
	ownerOK   time.Time // newest answer of the owner
	ownerBad  bool
}

// view is what a process knows of the owner.
type view struct {
	address string
	epoch   uint64
	cell    *cell.Cell // set while this process is the owner
}

// peer is another process, by its address.
type peer struct {
	cores float64
	heard time.Time
}

// Prepare must be called before any other method.
func (n *Node) Prepare() {
	n.replica = &changelog.Replica{Table: n.Table, Refused: func(err error) { n.Log.Emit(event.DocketRefused, "error", err) }}
	n.leaving = make(chan struct{})
	n.left = make(chan struct{})
	n.stalled = make(chan uint64, 1)
	n.changed = make(chan struct{})
	n.peers = map[string]peer{}
	n.interrupt = func() {}
	n.poked = make(chan struct{}, 1)
}

// poke makes the process look at the docket at once. It needs the lock.
func (n *Node) poke() {
	n.interrupt()
	select {
	case n.poked <- struct{}{}:
	default:
	}
}

// pause waits, unless the process is poked.
func (n *Node) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.poked:
	case <-ctx.Done():
	}
}

// Run works until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.follow(ctx) })
	group.Go(func() error { return n.greet(ctx) })
	group.Go(func() error { return n.yieldWhenStalled(ctx) })
	return group.Wait()
}

// Leave makes the process give the docket up, if it has it, and not take it
// again. It returns when that is done or ctx ends.
func (n *Node) Leave(ctx context.Context) {
	close(n.leaving)
	select {
	case <-n.left:
	case <-ctx.Done():
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

// Connected reports whether the process can serve callers: it owns the docket,
// or the owner has answered lately.
func (n *Node) Connected() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.cell != nil || n.view.address != "" && !n.ownerBad
}

func (n *Node) current() (view, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view, n.changed
}

// learn takes in an owner. A lower epoch than the one known is ignored; a higher
// one ends the cell of this process.
func (n *Node) learn(v view) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if v.epoch < n.view.epoch || v == n.view || v.address == "" && v.cell == nil {
		return
	}
	if n.view.cell != nil && v.cell == nil && v.epoch == n.view.epoch {
		return
	}
	if n.depose != nil && v.epoch > n.view.epoch && v.cell == nil {
		n.depose()
	}
	n.setView(v)
}

// setView needs the lock.
func (n *Node) setView(v view) {
	n.view = v
	n.ownerBad, n.ownerOK = false, time.Now()
	close(n.changed)
	n.changed = make(chan struct{})
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
