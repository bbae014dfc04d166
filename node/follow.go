package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	followWait   = 500 * time.Millisecond // a feed waits so long for a change
	followPause  = 250 * time.Millisecond // between two feeds, so that changes come in batches
	followRetry  = 200 * time.Millisecond
	watchfulWait = 150 * time.Millisecond // the same while the owner does not answer
	feedSlack    = 1200 * time.Millisecond
	probeTimeout = 100 * time.Millisecond  // the store has to answer so fast for a takeover on request
	silenceMost  = 1500 * time.Millisecond // an owner that changes nothing for so long is taken for dead
	silenceLost  = 800 * time.Millisecond  // the same when it does not answer this process either
	silenceGone  = 100 * time.Millisecond  // the same when it does not listen any more
	jitterMost   = 120 * time.Millisecond
	vacantJitter = 40 * time.Millisecond
	leaveTimeout = 800 * time.Millisecond
)

// follow keeps the replica up to date and takes the docket over when its owner
// is silent, has left, or asks for it.
func (n *Node) follow(ctx context.Context) error {
	version, seenAt := uint64(0), time.Time{}
	for ctx.Err() == nil {
		asked := n.askedToTakeOver()
		if err := n.followOnce(ctx, asked); err != nil {
			seenAt = time.Time{} // silence counts from the store's return
			n.storeFailed(err)
			sleep(ctx, followRetry)
			continue
		}
		now := time.Now()
		n.storeAnswered(now)
		head := n.replica.Head()
		if v := n.replica.Version(); v != version || seenAt.IsZero() {
			version, seenAt = v, now
		}
		n.learn(view{address: head.GetAddress(), epoch: head.GetEpoch()})
		if n.isLeaving() {
			n.markLeft()
			n.pause(ctx, followPause)
			continue
		}
		if !n.due(ctx, head, now.Sub(seenAt), asked) {
			if !n.lostOwner() {
				n.pause(ctx, followPause)
			}
			continue
		}
		if err := n.own(ctx); err != nil {
			n.Log.Emit(event.DocketLost, "error", err)
			sleep(ctx, followRetry)
		}
		seenAt = time.Time{}
	}
	return nil
}

// followOnce applies what has changed. It waits for a change unless asked tells
// that the owner of an epoch wants to be succeeded.
func (n *Node) followOnce(ctx context.Context, asked uint64) error {
	wait, limit := followWait, followWait+feedSlack
	if n.lostOwner() {
		wait = watchfulWait
	}
	if head := n.replica.Head(); head != nil && (head.GetVacant() || asked != 0 && asked == head.GetEpoch()) {
		wait, limit = 0, probeTimeout
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	n.mu.Lock()
	n.interrupt = cancel
	n.mu.Unlock()
	err := n.replica.Follow(call, wait)
	if err != nil && ctx.Err() == nil && errors.Is(call.Err(), context.Canceled) {
		again, cancel := context.WithTimeout(ctx, feedSlack)
		defer cancel()
		return n.replica.Follow(again, 0) // interrupted to look at once
	}
	return err
}

func (n *Node) askedToTakeOver() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	asked := n.yielded
	n.yielded = 0 // one try for each request
	return asked
}

func (n *Node) markLeft() {
	select {
	case <-n.left:
	default:
		close(n.left)
	}
}

// due reports whether to try to take over now. Processes wait a random time, and
// weak hosts longer, so that mostly one tries; if several do, the store lets one
// succeed.
func (n *Node) due(ctx context.Context, head *wire.DocketHead, silent time.Duration, asked uint64) bool {
	late := n.handicap(head)
	silent -= late
	switch {
	case head.GetEpoch() == 0 || head.GetVacant():
		sleep(ctx, late+rand.N(vacantJitter))
		return true
	case head.GetOwner() == n.Identity.Name && head.GetIncarnation() < n.Identity.Incarnation:
		return true
	case asked != 0 && asked == head.GetEpoch():
	case n.ownerLost(head.GetEpoch()) && silent > silenceLost+rand.N(jitterMost):
	case n.ownerGone(head.GetEpoch()) && silent > silenceGone+rand.N(jitterMost):
	case silent > silenceMost+rand.N(jitterMost):
	default:
		return false
	}
	n.Log.Emit(event.DocketSuspect, "owner", head.GetOwner(), "epoch", head.GetEpoch(),
		"silent-ms", silent.Milliseconds(), "asked", asked == head.GetEpoch())
	return true
}

func (n *Node) ownerGone(epoch uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gone == epoch
}

func (n *Node) ownerLost(epoch uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownerBad && n.view.epoch == epoch
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

// own takes the docket over and schedules its jobs until another process takes
// it, or this one leaves.
func (n *Node) own(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, followWait+feedSlack)
	w, err := n.replica.TakeOver(call, changelog.Owner{
		Name: n.Identity.Name, Incarnation: n.Identity.Incarnation, Address: n.Identity.Address, Cores: n.Identity.Cores,
	})
	cancel()
	if err != nil {
		return fmt.Errorf("take over: %w", err)
	}
	n.Log.Emit(event.DocketTaken, "epoch", w.Epoch(), "sequence", w.Sequence(), "jobs", n.replica.Docket().Len())
	released := false
	released, err = n.schedule(ctx, w)
	n.replica = &changelog.Replica{Table: n.Table, Refused: n.replica.Refused}
	if (released || n.isLeaving()) && err == nil {
		leave, cancel := context.WithTimeout(ctx, leaveTimeout)
		err = w.Leave(leave)
		n.yield(leave, w.Epoch())
		cancel()
	}
	n.Log.Emit(event.DocketLost, "epoch", w.Epoch(), "leaving", n.isLeaving(), "to-stronger", released)
	return err
}

// schedule runs the cell until it ends. It reports whether the docket is to be
// given to a stronger host.
func (n *Node) schedule(ctx context.Context, w *changelog.Writer) (released bool, err error) {
	c := &cell.Cell{
		Docket: n.replica.Docket(), Writer: w, Orders: n.Orders, Advice: cell.NewDesk(n.Identity.Name, n.Advisor),
		Fleet: n.Fleet, Log: n.Log, Meter: n.Meter, Limits: n.Limits,
		Stalled: func() {
			select {
			case n.stalled <- w.Epoch():
			default: // one is being handled
			}
		},
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
	group.Go(func() error {
		released = n.findStronger(run, w)
		if released {
			stop()
		}
		return nil
	})
	n.mu.Lock()
	n.depose = stop
	if n.view.epoch > w.Epoch() {
		stop()
	} else {
		n.setView(view{address: n.Identity.Address, epoch: w.Epoch(), cell: c})
	}
	n.mu.Unlock()
	group.Go(func() error { return n.announce(run) })
	err = group.Wait()
	n.mu.Lock()
	n.depose = nil
	if n.view.cell == c {
		n.setView(view{epoch: w.Epoch()})
	}
	n.mu.Unlock()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return released, err
}
