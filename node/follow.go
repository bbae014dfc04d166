package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/pause"
	"persimmonworks.example/persimmonworks/wire"
)

const (
	feedWait                 = 500 * time.Millisecond // longest wait of one feed call for a change
	followInterval           = 250 * time.Millisecond // pause between two feed calls, so that changes arrive in batches
	storeRetryDelay          = 200 * time.Millisecond
	ownerLostFeedWait        = 150 * time.Millisecond // feedWait while the owner or the store does not answer
	feedTimeoutMargin        = 1200 * time.Millisecond
	loadTimeout              = 5 * time.Second         // of one attempt to read a docket; the next one goes on where it stopped
	probeTimeout             = 100 * time.Millisecond  // the store must answer this fast for a takeover on request
	ownerTimeout             = 1500 * time.Millisecond // an owner that has not changed the head for this long is presumed dead
	unreachableOwnerTimeout  = 800 * time.Millisecond  // ownerTimeout if the owner does not answer this process either
	notListeningOwnerTimeout = 100 * time.Millisecond  // ownerTimeout if the owner no longer listens on its address
	maxTakeoverJitter        = 120 * time.Millisecond
	maxVacantJitter          = 40 * time.Millisecond
	leaveTimeout             = 800 * time.Millisecond
	docketWriteShare         = 0.6 // share of the store's write rate that is used for docket changes
)

// follow keeps the replica up to date and takes the docket over when its owner is
// presumed dead, has released the docket, or requests a takeover.
func (p *participant) follow(ctx context.Context) error {
	version, changedAt := uint64(0), time.Time{}
	for ctx.Err() == nil {
		if p.isLeaving() {
			p.markLeft()
		}
		if !p.shouldFollow(time.Now()) {
			changedAt = time.Time{}
			p.idle(ctx)
			continue
		}
		requested := p.consumeTakeoverRequest()
		if err := p.followOnce(ctx, requested); err != nil {
			changedAt = time.Time{} // measure the owner's silence from the store's next answer
			p.recordStoreFailure(err)
			pause.For(ctx, storeRetryDelay)
			continue
		}
		now := time.Now()
		p.recordStoreAnswer(now)
		head := p.replica.Head()
		if v := p.replica.Version(); v != version || changedAt.IsZero() {
			version, changedAt = v, now
		}
		p.updateOwner(ownerView{address: head.GetAddress(), epoch: head.GetEpoch()})
		if p.isLeaving() {
			p.sleepUntilWoken(ctx, followInterval)
			continue
		}
		if !p.shouldTakeOver(ctx, head, now.Sub(changedAt), requested) {
			if !p.needsOwnerLookup() {
				p.sleepUntilWoken(ctx, followInterval)
			}
			continue
		}
		if err := p.ownDocket(ctx); err != nil {
			p.Log.Emit(event.DocketLost, "docket", p.docket, "error", err)
			pause.For(ctx, storeRetryDelay)
		}
		changedAt = time.Time{}
	}
	return nil
}

// idle is one round without a replica: it drops the replica and, while no owner is
// known, reads the head to find one. If the docket has no owner, or the owner is an
// earlier incarnation of this process, it makes the process follow the docket.
func (p *participant) idle(ctx context.Context) {
	if p.replica.Docket() != nil {
		p.resetReplica()
	}
	if v, _ := p.current(); v.address != "" {
		p.sleepUntilWoken(ctx, followInterval)
		return
	}
	call, cancel := context.WithTimeout(ctx, feedTimeoutMargin)
	head, err := changelog.ReadHead(call, p.table)
	cancel()
	if err != nil {
		p.recordStoreFailure(err)
		pause.For(ctx, storeRetryDelay)
		return
	}
	p.recordStoreAnswer(time.Now())
	p.updateOwner(ownerView{address: head.GetAddress(), epoch: head.GetEpoch()})
	if head.GetEpoch() == 0 || head.GetVacant() || head.GetOwner() == p.Identity.Name {
		p.forceFollow(time.Now())
	}
}

const (
	maxDocketBytes  = 32 << 20 // of the jobs of one docket
	maxDocketsBytes = 64 << 20 // of all dockets together, which the last host that is left has to hold
)

// cellLimits returns the limits of the docket's cell. All cells get equal parts of
// the store's write rate, and of the memory for jobs.
func (p *participant) cellLimits() cell.Limits {
	limits := p.Limits
	l, _ := p.currentLayout()
	if p.WriteRate > 0 {
		limits.MinCommitInterval = time.Duration(float64(l.Dockets()) / (docketWriteShare * p.WriteRate) * float64(time.Second))
	}
	limits.DocketBytes = min(maxDocketBytes, maxDocketsBytes/int64(l.Dockets()))
	return limits
}

// followOnce applies the changes since the last call, or waits for one. It does not
// wait if the docket is vacant or a takeover from its current owner was requested.
func (p *participant) followOnce(ctx context.Context, requested uint64) error {
	wait, limit := feedWait, feedWait+feedTimeoutMargin
	if p.needsOwnerLookup() {
		wait = ownerLostFeedWait
	}
	if !p.replica.Loaded() {
		limit = loadTimeout
	} else if head := p.replica.Head(); head != nil && (head.GetVacant() || requested != 0 && requested == head.GetEpoch()) {
		wait, limit = 0, probeTimeout
	}
	call, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	p.mu.Lock()
	p.cancelFeed = cancel
	p.mu.Unlock()
	err := p.replica.Follow(call, wait)
	if err != nil && ctx.Err() == nil && errors.Is(call.Err(), context.Canceled) {
		retryCtx, cancel := context.WithTimeout(ctx, feedTimeoutMargin)
		defer cancel()
		return p.replica.Follow(retryCtx, 0) // wakeFollower cancelled the feed to get the changes at once
	}
	return err
}

// shouldTakeOver reports whether to try to take over now. Random jitter, and a longer
// delay on weaker hosts, make it likely that only one process tries. If several do,
// the store lets one succeed.
func (p *participant) shouldTakeOver(ctx context.Context, head *wire.DocketHead, silence time.Duration, requested uint64) bool {
	delay := p.takeoverDelay(head)
	silence -= delay
	switch {
	case head.GetEpoch() == 0 || head.GetVacant():
		pause.For(ctx, delay+rand.N(maxVacantJitter))
		return true
	case head.GetOwner() == p.Identity.Name && head.GetIncarnation() < p.Identity.Incarnation:
		return true
	case requested != 0 && requested == head.GetEpoch():
	case p.isOwnerUnreachable(head.GetEpoch()) && silence > unreachableOwnerTimeout+rand.N(maxTakeoverJitter):
	case p.isOwnerNotListening(head.GetEpoch()) && silence > notListeningOwnerTimeout+rand.N(maxTakeoverJitter):
	case silence > ownerTimeout+rand.N(maxTakeoverJitter):
	default:
		return false
	}
	p.Log.Emit(event.DocketOwnerSuspect, "docket", p.docket, "owner", head.GetOwner(), "epoch", head.GetEpoch(),
		"silent-ms", silence.Milliseconds(), "asked", requested == head.GetEpoch())
	return true
}

// ownDocket takes the docket over and schedules its jobs until another process takes
// it over, or this process releases it because it leaves or a stronger host is there.
func (p *participant) ownDocket(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, feedWait+feedTimeoutMargin)
	w, err := p.replica.TakeOver(call, changelog.Owner{
		Name: p.Identity.Name, Incarnation: p.Identity.Incarnation, Address: p.Identity.Address, Cores: p.Identity.Cores,
	})
	cancel()
	if err != nil {
		return fmt.Errorf("take over: %w", err)
	}
	p.Log.Emit(event.DocketTaken, "docket", p.docket, "epoch", w.Epoch(), "life", p.Identity.Incarnation,
		"sequence", w.Sequence(), "jobs", p.replica.Docket().Len(), "bytes", p.replica.Docket().Bytes())
	released := false
	released, err = p.runCell(ctx, w)
	p.resetReplica()
	if (released || p.isLeaving()) && err == nil {
		leave, cancel := context.WithTimeout(ctx, leaveTimeout)
		err = w.Release(leave)
		p.requestTakeover(leave, w.Epoch())
		cancel()
	}
	p.Log.Emit(event.DocketLost, "docket", p.docket, "epoch", w.Epoch(), "leaving", p.isLeaving(), "to-stronger", released)
	return err
}

// runCell runs the docket's cell until it ends. It reports whether the docket should
// be released to a stronger host.
func (p *participant) runCell(ctx context.Context, w *changelog.Writer) (released bool, err error) {
	c := &cell.Cell{
		Docket: p.replica.Docket(), Writer: w, Orders: p.Orders, Advice: advice.NewBalancer(p.Identity.Name, p.Advisor),
		Fleet: &docketFleet{p.Node, p.docket}, OtherDockets: p.others(), OtherOwners: otherOwners{p},
		Organisations: p.Organisations, Log: p.Log, Meter: p.Meter, Limits: p.cellLimits(),
		OnStoreStalled: func() {
			select {
			case p.stalled <- w.Epoch():
			default: // an earlier stall is still being handled
			}
		},
	}
	c.Prepare()
	p.claims.adopt(p.replica.Docket().Workers(), p.docket)
	run, stop := context.WithCancel(ctx)
	defer stop()
	group, run := errgroup.WithContext(run)
	group.Go(func() error {
		defer stop()
		return c.Run(run)
	})
	group.Go(func() error {
		select {
		case <-p.leaving:
			stop()
		case <-run.Done():
		}
		return nil
	})
	group.Go(func() error {
		released = p.waitForStrongerHost(run, w)
		if released {
			stop()
		}
		return nil
	})
	p.mu.Lock()
	p.stopCell = stop
	if p.view.epoch > w.Epoch() {
		stop()
	} else {
		p.setView(ownerView{address: p.Identity.Address, epoch: w.Epoch(), cell: c})
	}
	p.mu.Unlock()
	group.Go(func() error {
		p.announceOwnership(run)
		return nil
	})
	err = group.Wait()
	p.mu.Lock()
	p.stopCell = nil
	if p.view.cell == c {
		p.setView(ownerView{epoch: w.Epoch()})
	}
	p.mu.Unlock()
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return released, err
}
