package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/changelog"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/exchange"
	"persimmonworks.example/persimmonworks/turn"
)

// participant is the state of this process for one docket, as follower or owner.
type participant struct {
	*Node
	docket  int
	table   changelog.Table
	replica *changelog.Replica
	left    chan struct{} // closed once the process is leaving and does not own the docket
	stalled chan uint64   // epochs of this process in which commits stall
	wake    chan struct{} // ends the pause between two feed calls

	mu                sync.Mutex
	view              ownerView
	changed           chan struct{} // closed when view changes
	stopCell          func()        // stops the cell; nil while this process is not the owner
	cancelFeed        func()        // cancels the feed call in progress
	notListeningEpoch uint64        // epoch whose owner no longer listens on its address
	takeoverRequest   uint64        // epoch whose owner has requested a takeover, 0 if none
	followUntil       time.Time     // until then the docket is followed whatever the rank
	ownerAnsweredAt   time.Time     // time of the owner's newest answer
	ownerUnreachable  bool
	load              float64   // of the docket, as reported by its owner
	loadUpdatedAt     time.Time // when load was reported
	shares            *turn.Report
}

// ownerView is what this process knows of a docket's owner.
type ownerView struct {
	address string
	epoch   uint64
	cell    *cell.Cell // set while this process is the owner
}

func tableName(docket int) string { return fmt.Sprintf("docket-%d", docket) }

func newParticipant(n *Node, docket int) *participant {
	p := &participant{
		Node: n, docket: docket, table: n.Tables(tableName(docket)),
		left: make(chan struct{}), stalled: make(chan uint64, 1), wake: make(chan struct{}, 1),
		changed: make(chan struct{}), cancelFeed: func() {},
	}
	p.resetReplica()
	return p
}

// resetReplica replaces the replica by an empty one.
func (p *participant) resetReplica() {
	p.replica = &changelog.Replica{Table: p.table, OnInvalidEntry: func(err error) {
		p.Log.Emit(event.DocketEntryRefused, "docket", p.docket, "error", err)
	}}
}

// wakeFollower makes follow read the store at once. The caller must hold p.mu.
func (p *participant) wakeFollower() {
	p.cancelFeed()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// sleepUntilWoken waits until wakeFollower is called, d has passed or ctx ends.
func (p *participant) sleepUntilWoken(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.wake:
	case <-ctx.Done():
	}
}

func (p *participant) markLeft() {
	select {
	case <-p.left:
	default:
		close(p.left)
	}
}

func (p *participant) current() (ownerView, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view, p.changed
}

// connected reports whether the process owns the docket or its owner is reachable.
func (p *participant) connected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.cell != nil || p.view.address != "" && !p.ownerUnreachable
}

// updateOwner records an owner that this process has learned of. An epoch lower than
// the known one is ignored; a higher one stops the cell of this process.
func (p *participant) updateOwner(v ownerView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v.epoch < p.view.epoch || v == p.view || v.address == "" && v.cell == nil {
		return
	}
	if p.view.cell != nil && v.cell == nil && v.epoch == p.view.epoch {
		return
	}
	if p.stopCell != nil && v.epoch > p.view.epoch && v.cell == nil {
		p.stopCell()
	}
	p.setView(v)
}

// setView replaces the view and notifies waiters. The caller must hold p.mu.
func (p *participant) setView(v ownerView) {
	p.view = v
	p.ownerUnreachable, p.ownerAnsweredAt = false, time.Now()
	close(p.changed)
	p.changed = make(chan struct{})
}

// updateLoad records the docket's load if it was reported by the current owner.
func (p *participant) updateLoad(o exchange.Owner) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.Load > 0 && o.Epoch == p.view.epoch {
		p.load, p.loadUpdatedAt = o.Load, time.Now()
	}
}

// consumeTakeoverRequest returns the epoch whose owner has requested a takeover, or 0,
// and clears the request.
func (p *participant) consumeTakeoverRequest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	requested := p.takeoverRequest
	p.takeoverRequest = 0 // each request leads to one attempt
	return requested
}

func (p *participant) isOwnerNotListening(epoch uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notListeningEpoch == epoch
}

func (p *participant) isOwnerUnreachable(epoch uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownerUnreachable && p.view.epoch == epoch
}

// needsOwnerLookup reports whether the owner or the store does not answer, so that a
// newer owner has to be learned from peers.
func (p *participant) needsOwnerLookup() bool {
	_, available := p.storeStatus()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ownerUnreachable || !available
}

func (p *participant) markOwnerNotListening(epoch uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notListeningEpoch = epoch
	p.wakeFollower()
}

// recordOwnerAnswer records that the owner of an epoch has answered.
func (p *participant) recordOwnerAnswer(epoch uint64) {
	p.mu.Lock()
	if epoch != p.view.epoch {
		p.mu.Unlock()
		return
	}
	wasUnreachable := p.ownerUnreachable
	p.ownerUnreachable, p.ownerAnsweredAt = false, time.Now()
	p.mu.Unlock()
	if wasUnreachable {
		p.Log.Emit(event.OwnerReachable, "docket", p.docket, "epoch", epoch)
	}
}

// recordOwnerFailure records that the owner of an epoch did not answer. The owner
// counts as unreachable when it has not answered for ownerAnswerTimeout, or at once if
// it refused the connection.
func (p *participant) recordOwnerFailure(epoch uint64, err error) {
	p.mu.Lock()
	if epoch != p.view.epoch || p.ownerUnreachable || p.view.cell != nil {
		p.mu.Unlock()
		return
	}
	p.ownerUnreachable = time.Since(p.ownerAnsweredAt) > ownerAnswerTimeout || isConnectionRefused(err)
	lost := p.ownerUnreachable
	if lost {
		p.wakeFollower()
	}
	p.mu.Unlock()
	if lost {
		p.Log.Emit(event.OwnerUnreachable, "docket", p.docket, "epoch", epoch, "error", err)
	}
}
