// Package node makes one process of the scheduler: it follows the docket, owns
// it when no other process does, and passes callers' requests to the owner.
//
// Any process may own the docket. The owner shows that it lives by changing the
// head of the changelog; a process that has read the store and seen no change
// for a while takes the docket over. Safety does not depend on that timing: the
// store refuses a deposed writer, and workers refuse a lower epoch.
//
// Usage:
//
//	n := &node.Node{Identity: i, Table: t, Orders: o, Advisor: a, Fleet: f, Log: l, Limits: x}
//	group.Go(func() error { return n.Run(ctx) })
//	err := n.Submit(ctx, job)
package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/exchange"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	followWait    = 500 * time.Millisecond // a feed waits so long for a change
	followPause   = 250 * time.Millisecond // between two feeds, so that changes come in batches
	followRetry   = 200 * time.Millisecond
	feedSlack     = 1500 * time.Millisecond
	silenceMost   = 1500 * time.Millisecond // an owner that changes nothing for so long is taken for dead
	silenceGone   = 400 * time.Millisecond  // the same when it does not listen any more
	jitterMost    = 200 * time.Millisecond
	vacantJitter  = 40 * time.Millisecond
	helloInterval = 700 * time.Millisecond
	helloTimeout  = 600 * time.Millisecond
	leaveTimeout  = 800 * time.Millisecond
)

// Node is one process. Set the exported fields, then call Run.
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

	mu       sync.Mutex
	view     view
	changed  chan struct{} // closed when the view changes
	gone     uint64        // epoch whose owner does not listen any more
	storeOK  time.Time     // newest answer of the store
	storeBad bool
	seenAt   time.Time // when the head was last seen to change
}

// view is what a process knows of the owner.
type view struct {
	address string
	epoch   uint64
	cell    *cell.Cell // set while this process is the owner
}

// Prepare must be called before any other method.
func (n *Node) Prepare() {
	n.replica = &changelog.Replica{Table: n.Table, Refused: func(err error) { n.Log.Emit(event.DocketRefused, "error", err) }}
	n.leaving = make(chan struct{})
	n.left = make(chan struct{})
	n.changed = make(chan struct{})
}

// Run works until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.follow(ctx) })
	group.Go(func() error { return n.greet(ctx) })
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
// or has heard of the store or an owner lately.
func (n *Node) Connected() bool {
	const fresh = 3 * time.Second
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.cell != nil || n.view.address != "" && time.Since(n.storeOK) < fresh
}

func (n *Node) current() (view, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view, n.changed
}

func (n *Node) setView(v view) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if v == n.view {
		return
	}
	n.view = v
	close(n.changed)
	n.changed = make(chan struct{})
}

// follow keeps the replica up to date and takes the docket over when its owner
// is silent.
func (n *Node) follow(ctx context.Context) error {
	version := uint64(0)
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, followWait+feedSlack)
		err := n.replica.Follow(call, n.wait())
		cancel()
		now := time.Now()
		if err != nil {
			n.storeFailed(err)
			sleep(ctx, followRetry)
			continue
		}
		n.storeAnswered(now)
		head := n.replica.Head()
		if v := n.replica.Version(); v != version || n.seenAt.IsZero() {
			version, n.seenAt = v, now
		}
		n.setView(view{address: head.GetAddress(), epoch: head.GetEpoch()})
		if n.isLeaving() {
			n.markLeft()
			sleep(ctx, followPause)
			continue
		}
		if !n.due(head, now) {
			sleep(ctx, followPause)
			continue
		}
		if err := n.own(ctx); err != nil {
			n.Log.Emit(event.DocketLost, "error", err)
			sleep(ctx, followRetry)
		}
		n.seenAt = time.Time{}
	}
	return nil
}

func (n *Node) markLeft() {
	select {
	case <-n.left:
	default:
		close(n.left)
	}
}

// wait returns how long the next feed may wait for a change.
func (n *Node) wait() time.Duration {
	if n.replica.Head() != nil && n.replica.Head().GetVacant() {
		return 0
	}
	return followWait
}

// due reports whether to try to take over now. Processes wait a random time, so
// that mostly one tries; if several do, the store lets one succeed.
func (n *Node) due(head *wire.DocketHead, now time.Time) bool {
	silent := now.Sub(n.seenAt)
	switch {
	case head.GetEpoch() == 0 || head.GetVacant():
		time.Sleep(rand.N(vacantJitter))
		return true
	case head.GetOwner() == n.Identity.Name && head.GetIncarnation() < n.Identity.Incarnation:
		return true
	case n.ownerGone(head.GetEpoch()) && silent > silenceGone+rand.N(jitterMost):
	case silent > silenceMost+rand.N(jitterMost):
	default:
		return false
	}
	n.Log.Emit(event.DocketSuspect, "owner", head.GetOwner(), "epoch", head.GetEpoch(), "silent-ms", silent.Milliseconds())
	return true
}

func (n *Node) ownerGone(epoch uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gone == epoch
}

func (n *Node) storeFailed(err error) {
	n.mu.Lock()
	was := n.storeBad
	n.storeBad = true
	n.mu.Unlock()
	n.seenAt = time.Time{} // silence counts from the store's return
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

// own takes the docket over and schedules its jobs until another process takes
// it, or this one leaves.
func (n *Node) own(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, followWait+feedSlack)
	w, err := n.replica.TakeOver(call, changelog.Owner{
		Name: n.Identity.Name, Incarnation: n.Identity.Incarnation, Address: n.Identity.Address,
	})
	cancel()
	if err != nil {
		return fmt.Errorf("take over: %w", err)
	}
	n.Log.Emit(event.DocketTaken, "epoch", w.Epoch(), "sequence", w.Sequence(), "jobs", n.replica.Docket().Len())
	c := &cell.Cell{
		Docket: n.replica.Docket(), Writer: w, Orders: n.Orders, Advice: cell.NewDesk(n.Identity.Name, n.Advisor),
		Fleet: n.Fleet, Log: n.Log, Meter: n.Meter, Limits: n.Limits,
	}
	c.Prepare()
	run, stop := context.WithCancel(ctx)
	defer stop()
	group, run := errgroup.WithContext(run)
	group.Go(func() error {
		defer stop()
		return c.Run(run)
	})
	group.Go(func() error {
		select {
		case <-n.leaving:
			stop()
		case <-run.Done():
		}
		return nil
	})
	n.setView(view{address: n.Identity.Address, epoch: w.Epoch(), cell: c})
	err = group.Wait()
	n.setView(view{epoch: w.Epoch()})
	n.replica = &changelog.Replica{Table: n.Table, Refused: n.replica.Refused}
	if n.isLeaving() && err == nil {
		leave, cancel := context.WithTimeout(ctx, leaveTimeout)
		err = w.Leave(leave)
		cancel()
		n.markLeft()
	}
	n.Log.Emit(event.DocketLost, "epoch", w.Epoch(), "leaving", n.isLeaving())
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// greet makes the process known to the owner, and notices when that does not
// listen any more.
func (n *Node) greet(ctx context.Context) error {
	for ctx.Err() == nil {
		v, _ := n.current()
		if v.address != "" && v.cell == nil {
			call, cancel := context.WithTimeout(ctx, helloTimeout)
			_, err := n.client.Hello(call, v.address, n.Identity)
			cancel()
			if errors.Is(err, exchange.ErrNotOwner) || refusedConnection(err) {
				n.mu.Lock()
				n.gone = v.epoch
				n.mu.Unlock()
			}
		}
		sleep(ctx, helloInterval)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
