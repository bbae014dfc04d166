package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"persimmonworks.example/persimmonworks/advice"
	"persimmonworks.example/persimmonworks/exchange"
)

const (
	helloInterval = 400 * time.Millisecond
	helloTimeout  = 400 * time.Millisecond
	ownerSilence  = 700 * time.Millisecond  // without an answer of the owner callers are refused at once
	peerMemory    = 30 * time.Second        // a peer that was not heard of for so long is forgotten
	peerFresh     = 2500 * time.Millisecond // a peer that has spoken lately
	greetAtOnce   = 8
	yieldTimeout  = 250 * time.Millisecond
	storeFresh    = 900 * time.Millisecond // the store has answered lately
)

// peer is another process, by its address.
type peer struct {
	cores float64
	heard time.Time // from it or of it
	spoke time.Time // when it last called this process
}

// greet tells the owners that the process is there, asks the others for the
// owners while those do not answer, and forgets peers that have gone.
func (n *Node) greet(ctx context.Context) error {
	for turn := 0; ctx.Err() == nil; turn++ {
		n.greetOwners(ctx)
		for _, s := range n.allSeats() {
			if s.lostOwner() {
				n.greetPeer(ctx, turn)
				break
			}
		}
		sleep(ctx, helloInterval)
	}
	return nil
}

// greetOwners calls each process that owns a docket once.
func (n *Node) greetOwners(ctx context.Context) {
	owners := map[string][]*seat{}
	for _, s := range n.allSeats() {
		if v, _ := s.current(); v.cell == nil && v.address != "" {
			owners[v.address] = append(owners[v.address], s)
		}
	}
	var group errgroup.Group
	group.SetLimit(greetAtOnce)
	for address, seats := range owners {
		group.Go(func() error {
			n.greetOwner(ctx, address, seats)
			return nil
		})
	}
	_ = group.Wait() // nothing fails
}

// greetOwner calls the owner of some dockets.
func (n *Node) greetOwner(ctx context.Context, address string, seats []*seat) {
	w, known, err := n.hello(ctx, address)
	answered := map[int]exchange.Owner{}
	for _, o := range w.Owners {
		answered[o.Docket] = o
	}
	for _, s := range seats {
		v := known[s.docket]
		switch o := answered[s.docket]; {
		case err == nil && (o.Epoch < v.Epoch || o.Epoch == v.Epoch && o.Address != v.Address):
			s.markGone(v.Epoch) // it listens and knows nothing of owning the docket
		case err == nil:
			s.ownerAnswered(v.Epoch)
		case refusedConnection(err):
			s.markGone(v.Epoch)
			s.ownerFailed(v.Epoch, err)
		default:
			s.ownerFailed(v.Epoch, err)
		}
	}
}

// hello calls another process and takes in what it says. It returns the owners
// that were known before, by docket.
func (n *Node) hello(ctx context.Context, address string) (exchange.Welcome, []exchange.Owner, error) {
	known := n.owners()
	h := n.Identity
	h.Helps = n.helps()
	call, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	w, err := n.client.Hello(call, address, h, known)
	if err != nil {
		if refusedConnection(err) {
			n.forgetPeer(address)
		}
		return w, known, err
	}
	n.welcomed(address, w)
	return w, known, nil
}

// owners returns the owners that this process knows of, by docket.
func (n *Node) owners() []exchange.Owner {
	seats := n.allSeats()
	list := make([]exchange.Owner, len(seats))
	for d, s := range seats {
		list[d] = s.owner()
	}
	return list
}

// owner returns the docket's owner as this process knows it, with the load only if
// it is this process.
func (s *seat) owner() exchange.Owner {
	v, _ := s.current()
	o := exchange.Owner{Docket: s.docket, Epoch: v.epoch, Address: v.address}
	if v.cell != nil {
		o.Load = v.cell.Load()
	}
	return o
}

// welcomed takes in what another process has told.
func (n *Node) welcomed(address string, w exchange.Welcome) {
	now := time.Now()
	n.mu.Lock()
	n.note(exchange.Peer{Address: address}, now)
	for _, p := range w.Peers {
		n.note(p, now)
	}
	n.mu.Unlock()
	n.learnOwners(w.Owners)
}

func (n *Node) learnOwners(owners []exchange.Owner) {
	for _, o := range owners {
		if s := n.seat(o.Docket); s != nil {
			s.learn(view{address: o.Address, epoch: o.Epoch})
			s.noteLoad(o)
		}
	}
}

// note needs the lock.
func (n *Node) note(p exchange.Peer, now time.Time) {
	if p.Address != n.Identity.Address {
		old := n.peers[p.Address]
		n.peers[p.Address] = peer{max(p.Cores, old.cores), now, old.spoke}
	}
	for a, known := range n.peers {
		if now.Sub(known.heard) > peerMemory {
			delete(n.peers, a)
		}
	}
}

// spoke notes a process that has called this one.
func (n *Node) spoke(h exchange.Hello, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[h.Address] = peer{h.Cores, now, now}
}

func (n *Node) forgetPeer(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.peers, address)
}

// peerList returns the other processes, the strongest first.
func (n *Node) peerList() []exchange.Peer {
	return n.peersThat(func(peer) bool { return true })
}

// freshPeers returns the processes that have called this one lately. Only those
// are told to others, so that word of one that has gone does not go round for
// ever.
func (n *Node) freshPeers() []exchange.Peer {
	now := time.Now()
	return n.peersThat(func(p peer) bool { return now.Sub(p.spoke) < peerFresh })
}

func (n *Node) peersThat(pass func(peer) bool) []exchange.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]exchange.Peer, 0, len(n.peers))
	for a, known := range n.peers {
		if pass(known) {
			list = append(list, exchange.Peer{Address: a, Cores: known.cores})
		}
	}
	slices.SortFunc(list, func(a, b exchange.Peer) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Address, b.Address))
	})
	return list
}

// greetPeer asks one of the other processes, in turn, for the owners.
func (n *Node) greetPeer(ctx context.Context, turn int) {
	if list := n.peerList(); len(list) > 0 {
		_, _, _ = n.hello(ctx, list[turn%len(list)].Address) // another one is asked next
	}
}

// announce tells all peers that this process owns a docket.
func (n *Node) announce(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(greetAtOnce)
	for _, p := range n.peerList() {
		group.Go(func() error {
			_, _, _ = n.hello(ctx, p.Address) // it hears of the owner elsewhere
			return nil
		})
	}
	_ = group.Wait() // nothing fails
}

// yieldWhenStalled asks the other processes to take over while the store does
// not serve this owner.
func (s *seat) yieldWhenStalled(ctx context.Context) error {
	for {
		select {
		case epoch := <-s.stalled:
			s.yield(ctx, epoch)
		case <-ctx.Done():
			return nil
		}
	}
}

// yield asks the other processes, the best candidates first, to take over.
func (s *seat) yield(ctx context.Context, epoch uint64) {
	list, owned := s.peerList(), s.owned()
	slices.SortStableFunc(list, func(a, b exchange.Peer) int {
		return cmp.Or(
			cmp.Compare(offers(b.Cores, owned[b.Address]), offers(a.Cores, owned[a.Address])),
			cmp.Compare(s.weight(b.Address, b.Cores), s.weight(a.Address, a.Cores)),
		)
	})
	for _, p := range list {
		if v, _ := s.current(); v.epoch != epoch {
			return
		}
		call, cancel := context.WithTimeout(ctx, yieldTimeout)
		err := s.client.Yield(call, p.Address, s.docket, epoch)
		cancel()
		if err == nil {
			return
		}
		_, _, _ = s.hello(ctx, p.Address) // it may know of a newer owner
	}
}

// HelloHere implements exchange.Service.
func (n *Node) HelloHere(ctx context.Context, h exchange.Hello, known []exchange.Owner) (exchange.Welcome, error) {
	n.spoke(h, time.Now())
	n.learnOwners(known)
	w := exchange.Welcome{Peers: n.freshPeers()}
	for _, s := range n.allSeats() {
		v, _ := s.current()
		if v.cell == nil && v.address == n.Identity.Address {
			continue // a former life owned it
		}
		w.Owners = append(w.Owners, s.owner())
		if v.cell == nil || !slices.Contains(h.Helps, s.docket) {
			continue
		}
		err := v.cell.Hear(ctx, h.Name, func() advice.Advisor { return n.client.Advisor(h.Address) })
		if err != nil && !errors.Is(err, context.Canceled) {
			return w, err
		}
	}
	return w, nil
}

// YieldHere implements exchange.Service.
func (n *Node) YieldHere(docket int, epoch uint64) bool {
	s := n.seat(docket)
	answered, serves := n.storeServes()
	if s == nil || !serves || time.Since(answered) > storeFresh || n.isLeaving() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view.cell != nil || s.view.epoch != epoch {
		return false
	}
	s.yielded = epoch
	s.poke()
	return true
}
