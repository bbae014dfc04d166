package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"persimmonworks.example/persimmonworks/cell"
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/exchange"
)

const (
	helloInterval = 400 * time.Millisecond
	helloTimeout  = 400 * time.Millisecond
	ownerSilence  = 700 * time.Millisecond // without an answer of the owner callers are refused at once
	peerMemory    = 30 * time.Second       // a peer that was not heard of for so long is forgotten
	yieldTimeout  = 250 * time.Millisecond
	storeFresh    = 900 * time.Millisecond // the store has answered lately
)

// greet tells the owner that the process is there, asks the others for the
// owner while that does not answer, and forgets peers that have gone.
func (n *Node) greet(ctx context.Context) error {
	for turn := 0; ctx.Err() == nil; turn++ {
		v, _ := n.current()
		if v.cell == nil && v.address != "" {
			n.greetOwner(ctx, v)
		}
		if n.lostOwner() {
			n.greetPeer(ctx, turn)
		}
		sleep(ctx, helloInterval)
	}
	return nil
}

func (n *Node) greetOwner(ctx context.Context, v view) {
	call, cancel := context.WithTimeout(ctx, helloTimeout)
	w, err := n.client.Hello(call, v.address, n.Identity, exchange.Owner{Epoch: v.epoch, Address: v.address})
	cancel()
	switch {
	case err == nil && (w.Owner.Epoch < v.epoch || w.Owner.Epoch == v.epoch && w.Owner.Address != v.address):
		n.markGone(v.epoch) // it listens and knows nothing of owning the docket
	case err == nil:
		n.welcomed(w)
		n.ownerAnswered(v.epoch)
	case refusedConnection(err):
		n.markGone(v.epoch)
		n.ownerFailed(v.epoch, err)
	default:
		n.ownerFailed(v.epoch, err)
	}
}

func (n *Node) markGone(epoch uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.gone = epoch
	n.poke()
}

// welcomed takes in what another process has told.
func (n *Node) welcomed(w exchange.Welcome) {
	now := time.Now()
	n.mu.Lock()
	for _, p := range w.Peers {
		n.note(p, now)
	}
	if w.Owner.Address != "" {
		n.note(exchange.Peer{Address: w.Owner.Address}, now)
	}
	n.mu.Unlock()
	n.learn(view{address: w.Owner.Address, epoch: w.Owner.Epoch})
}

// note needs the lock.
func (n *Node) note(p exchange.Peer, now time.Time) {
	if p.Address != n.Identity.Address {
		n.peers[p.Address] = peer{max(p.Cores, n.peers[p.Address].cores), now}
	}
	for a, known := range n.peers {
		if now.Sub(known.heard) > peerMemory {
			delete(n.peers, a)
		}
	}
}

// peerList returns the other processes, the strongest first.
func (n *Node) peerList() []exchange.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]exchange.Peer, 0, len(n.peers))
	for a, known := range n.peers {
		list = append(list, exchange.Peer{Address: a, Cores: known.cores})
	}
	slices.SortFunc(list, func(a, b exchange.Peer) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Address, b.Address))
	})
	return list
}

// lostOwner reports whether the process has to look for the owner elsewhere.
func (n *Node) lostOwner() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownerBad || n.storeBad
}

// greetPeer asks one of the other processes, in turn, for the owner.
func (n *Node) greetPeer(ctx context.Context, turn int) {
	if list := n.peerList(); len(list) > 0 {
		n.greetOne(ctx, list[turn%len(list)].Address)
	}
}

func (n *Node) greetOne(ctx context.Context, peer string) {
	v, _ := n.current()
	call, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	if w, err := n.client.Hello(call, peer, n.Identity, exchange.Owner{Epoch: v.epoch, Address: v.address}); err == nil {
		n.welcomed(w)
	}
}

// announce tells all peers that this process owns the docket.
func (n *Node) announce(ctx context.Context) error {
	for _, p := range n.peerList() {
		n.greetOne(ctx, p.Address)
	}
	return nil
}

// yieldWhenStalled asks the other processes to take over while the store does
// not serve this owner.
func (n *Node) yieldWhenStalled(ctx context.Context) error {
	for {
		select {
		case epoch := <-n.stalled:
			n.yield(ctx, epoch)
		case <-ctx.Done():
			return nil
		}
	}
}

func (n *Node) yield(ctx context.Context, epoch uint64) {
	for _, p := range n.peerList() {
		if v, _ := n.current(); v.epoch != epoch {
			return
		}
		call, cancel := context.WithTimeout(ctx, yieldTimeout)
		err := n.client.Yield(call, p.Address, epoch)
		cancel()
		if err == nil {
			return
		}
		n.greetOne(ctx, p.Address) // it may know of a newer owner
	}
}

// ownerAnswered notes that the owner of an epoch can be reached.
func (n *Node) ownerAnswered(epoch uint64) {
	n.mu.Lock()
	if epoch != n.view.epoch {
		n.mu.Unlock()
		return
	}
	was := n.ownerBad
	n.ownerBad, n.ownerOK = false, time.Now()
	n.mu.Unlock()
	if was {
		n.Log.Emit(event.OwnerRegained, "epoch", epoch)
	}
}

// ownerFailed notes that the owner of an epoch did not answer.
func (n *Node) ownerFailed(epoch uint64, err error) {
	n.mu.Lock()
	if epoch != n.view.epoch || n.ownerBad || n.view.cell != nil {
		n.mu.Unlock()
		return
	}
	n.ownerBad = time.Since(n.ownerOK) > ownerSilence || refusedConnection(err)
	lost := n.ownerBad
	if lost {
		n.poke()
	}
	n.mu.Unlock()
	if lost {
		n.Log.Emit(event.OwnerLost, "epoch", epoch, "error", err)
	}
}

// HelloHere implements exchange.Service.
func (n *Node) HelloHere(ctx context.Context, h exchange.Hello, known exchange.Owner) (exchange.Welcome, error) {
	n.mu.Lock()
	n.note(exchange.Peer{Address: h.Address, Cores: h.Cores}, time.Now())
	n.mu.Unlock()
	n.learn(view{address: known.Address, epoch: known.Epoch})
	v, _ := n.current()
	w := exchange.Welcome{Owner: exchange.Owner{Epoch: v.epoch, Address: v.address}, Peers: n.peerList()}
	if v.cell == nil {
		if v.address == n.Identity.Address {
			w.Owner = exchange.Owner{} // a former life owned it
		}
		return w, nil
	}
	err := v.cell.Hear(ctx, h.Name, func() cell.Advisor { return n.client.Advisor(h.Address) })
	if errors.Is(err, context.Canceled) {
		return w, nil
	}
	return w, err
}

// YieldHere implements exchange.Service.
func (n *Node) YieldHere(epoch uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.storeBad || time.Since(n.storeOK) > storeFresh || n.view.cell != nil || n.view.epoch != epoch || n.isLeaving() {
		return false
	}
	n.yielded = epoch
	n.poke()
	return true
}
